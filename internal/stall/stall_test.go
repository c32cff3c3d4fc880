package stall

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

const (
	testWithin = 200 * time.Millisecond
	testLimit  = 100 * time.Millisecond
)

// get reads the response of a handler in a call, and returns its size.
func get(t *testing.T, ctx context.Context, h http.HandlerFunc) (int, *Call, error) {
	s := loopback.Serve(t, h)
	c := Start(ctx, testWithin, testLimit)
	defer c.End()
	r, err := http.NewRequestWithContext(c.Context, http.MethodGet, s.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, c, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(c.Body(resp.Body))
	return len(data), c, err
}

// send sends pieces of a response at an interval.
func send(w http.ResponseWriter, pieces, size int, interval time.Duration) {
	for range pieces {
		_, _ = w.Write(make([]byte, size))
		w.(http.Flusher).Flush()
		time.Sleep(interval)
	}
}

func TestResponseThatMakesProgressOutlastsAllLimits(t *testing.T) {
	n, _, err := get(t, context.Background(), func(w http.ResponseWriter, _ *http.Request) { send(w, 40, 8<<10, 20*time.Millisecond) })
	if err != nil || n != 40*8<<10 {
		t.Errorf("read %d bytes, error %v", n, err)
	}
}

func TestCallWithoutProgressEnds(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"no response":          func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"head without a body":  func(w http.ResponseWriter, r *http.Request) { send(w, 1, 0, 0); <-r.Context().Done() },
		"silence in the body":  func(w http.ResponseWriter, r *http.Request) { send(w, 3, 4<<10, 0); <-r.Context().Done() },
		"a byte now and then":  func(w http.ResponseWriter, _ *http.Request) { send(w, 50, 1, testLimit/2) },
		"chunks of a few byte": func(w http.ResponseWriter, _ *http.Request) { send(w, 50, 16, testLimit/4) },
	} {
		began := time.Now()
		if _, c, err := get(t, context.Background(), h); err == nil || !errors.Is(c.Cause(), ErrStalled) {
			t.Errorf("%s: error %v", name, err)
		}
		if took := time.Since(began); took > testWithin+testLimit+200*time.Millisecond {
			t.Errorf("%s: ended after %v", name, took)
		}
	}
}

func TestInterruptionSparesResponseThatIsArriving(t *testing.T) {
	for name, c := range map[string]struct {
		cause   error
		silence time.Duration
		ends    bool
	}{
		"waiting":              {cause: ErrInterrupted, silence: testWithin, ends: true},
		"arriving":             {cause: ErrInterrupted},
		"arriving, other ends": {cause: io.ErrClosedPipe, ends: true},
	} {
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(testWithin/2, func() { cancel(c.cause) })
		_, _, err := get(t, ctx, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(c.silence)
			send(w, 20, 2<<10, 20*time.Millisecond)
		})
		if (err != nil) != c.ends {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
