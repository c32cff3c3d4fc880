package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/verdict"
)

func TestControllerAdmit(t *testing.T) {
	c := NewController(DefaultSettings(), 100)
	release, err := c.Admit(context.Background(), Request{Account: "a", Tokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	expiring := Request{Account: "b", Class: config.Review, Tokens: 100, Deadline: time.Now().Add(5 * time.Millisecond)}
	_, err = c.Admit(context.Background(), expiring)
	e := verdict.AsError(err)
	if e.Verdict != verdict.NotRun || e.Code != string(DeadlinePassed) || e.RetryAfter <= 0 {
		t.Errorf("deadline passed: %v, retry after %v", e, e.RetryAfter)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err = c.Admit(canceled, Request{Account: "b", Tokens: 100}); verdict.Of(err) != verdict.NotRun {
		t.Errorf("context canceled: %v", err)
	}
	release(100)
	if waiting, inFlight := c.Load(); waiting != 0 || inFlight != 0 {
		t.Errorf("%d requests waiting and %v tokens in flight at the end", waiting, inFlight)
	}
}

func TestControllerConcurrent(t *testing.T) {
	c := NewController(DefaultSettings(), 300)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%20)*time.Millisecond)
			defer cancel()
			release, err := c.Admit(ctx, Request{Account: "a", Tokens: 50})
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond)
			release(float64(i % 50))
		}()
	}
	wg.Wait()
	if waiting, inFlight := c.Load(); waiting != 0 || inFlight != 0 {
		t.Errorf("%d requests waiting and %v tokens in flight at the end", waiting, inFlight)
	}
}
