package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

var testEngineKey = selector.ServerKey{ID: "e"}

func limitTo(g *Gateway, rate float64) {
	g.opts.RateLimits.RecordStatement(testEngineKey, ratelimit.Statement{Limited: true, Rate: rate}, time.Now())
}

func countingEngine(reached *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}
}

func TestRefusedAtOnceWhenAllRateLimitsAreUsedUp(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, countingEngine(&reached))
	limitTo(g, 0.5)
	c, sink := modelCall(), &recordingSink{}
	c.CallerTimeout = 2 * time.Second
	began := time.Now()
	g.Serve(context.Background(), c, sink)
	if took := time.Since(began); took > 100*time.Millisecond || sink.refusal == nil || sink.refusal.Verdict != verdict.NotRun || sink.refusal.Code != "servers_limited" {
		t.Fatalf("refusal %+v after %v", sink.refusal, took)
	}
	if after := sink.refusal.RetryAfter; after <= minRetryAfter || after > c.CallerTimeout/3 || reached.Load() != 0 {
		t.Errorf("retry after %v, %d requests reached the server", after, reached.Load())
	}
}

func TestRequestWaitsForPlaceWithinRateLimit(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, countingEngine(&reached))
	limitTo(g, 5)
	c, sink := modelCall(), &recordingSink{}
	g.Serve(context.Background(), c, sink)
	if took := time.Since(c.Arrived); sink.refusal != nil || reached.Load() != 1 || took < 100*time.Millisecond || took > time.Second {
		t.Errorf("refusal %+v after %v, %d requests reached the server; want an answer after about 200 ms", sink.refusal, took, reached.Load())
	}
}

// The server states a rate limit between the choice and the write, while a connection
// is opened or the VM is busy.
func TestRateLimitStatedBeforeWriteIsObeyed(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, countingEngine(&reached))
	other := newTestEngine(t, "other", 3, 1)
	g.opts.NotifyPeers = func() {
		g.opts.NotifyPeers = func() {}
		limitTo(g, 0.1)
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{other.entry}}, time.Now())
	}
	sink := &recordingSink{}
	g.Serve(context.Background(), modelCall(), sink)
	if reached.Load() != 0 || other.received.Load() != 1 || sink.body.Len() == 0 {
		t.Errorf("%d requests at the rate-limited server, %d at the other one; the caller got %q", reached.Load(), other.received.Load(), sink.body.String())
	}
}

// A server that is about to load weights and has no place within its rate limit gets no
// request, even if no other server is left.
func TestWithheldServerWithoutPlaceIsNotUsed(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, countingEngine(&reached))
	limitTo(g, 0.1)
	g.SetWithheld(map[string]bool{"e": true})
	sink := &recordingSink{}
	g.Serve(context.Background(), modelCall(), sink)
	if sink.refusal == nil || sink.refusal.Code != "servers_limited" || reached.Load() != 0 {
		t.Errorf("refusal %+v, %d requests reached the server", sink.refusal, reached.Load())
	}
}

func TestRequestIsNotSentIfCallerLeavesDuringPlaceWait(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, countingEngine(&reached))
	g.Serve(context.Background(), modelCall(), &recordingSink{}) // Leaves an idle connection.
	limitTo(g, 4)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	g.Serve(ctx, modelCall(), &recordingSink{})
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("the call took %v, although the caller had left after 50 ms", took)
	}
	time.Sleep(300 * time.Millisecond)
	if reached.Load() != 1 {
		t.Errorf("%d requests reached the server, want only that of the first caller", reached.Load())
	}
}
