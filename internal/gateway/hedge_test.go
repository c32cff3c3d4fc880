package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/faulty"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

// hedgeTest is a gateway before two servers of an idempotent route. The first server to get a request
// answers by handlers[0], the other one by handlers[1].
type hedgeTest struct {
	g        *Gateway
	received atomic.Int32
	// canceled receives the position of a server whose request was canceled.
	canceled chan int
}

func newHedgeTest(t *testing.T, share float64, maxAttempts int, handlers [2]http.HandlerFunc) *hedgeTest {
	h := &hedgeTest{canceled: make(chan int, 2)}
	h.g, _ = newTestGateway(t, nil)
	h.g.opts.HedgeShare, h.g.opts.RetryRatio = share, 0.2
	h.g.hedges = newHedger(&h.g.opts)
	serve := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		i := int(h.received.Add(1)) - 1
		handlers[min(i, 1)](w, r)
		if r.Context().Err() != nil {
			select {
			case h.canceled <- i:
			default:
			}
		}
	}
	entries := []fleet.Entry{{ID: "e", Gone: true, Revision: platform.Revision{Version: 2}}}
	for i, id := range []backend.ID{"a", "b"} {
		server := loopback.Serve(t, http.HandlerFunc(serve))
		entries = append(entries, fleet.Entry{
			ID: id, Service: "web", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, State: fleet.Ready,
			FailureDomain: string(id), Revision: platform.Revision{Version: platform.Version(i + 3)},
		})
	}
	h.g.opts.Directory.Apply(fleet.Update{Entries: entries}, time.Now())
	h.g.Publish(catalog.Snapshot{
		Version: 2,
		Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Idempotent, Timeout: 3 * time.Second, Objective: 50 * time.Millisecond,
			MaxAttempts: maxAttempts, Targets: []catalog.Target{{Service: "web", Weight: 1}}}},
		Services: []catalog.Service{{Name: "web"}},
	})
	if h.g.hedges != nil { // Responses take 40 ms, and the budgets are full.
		for range 40 {
			h.g.hedges.route("r").Record(40*time.Millisecond, time.Now())
			h.g.hedges.countRequest("web")
		}
	}
	return h
}

func (h *hedgeTest) call(ctx context.Context) *recordingSink {
	sink := &recordingSink{}
	h.g.Serve(ctx, &Call{ID: "1", Method: "POST", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}, Body: []byte("q"), Arrived: time.Now(), LastEvent: -1}, sink)
	return sink
}

func (h *hedgeTest) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.g.opts.Metrics).Count()
}

// after answers with a status and a body after a delay, unless the request is canceled before.
func after(d time.Duration, status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(d):
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
}

// cut answers a part of a response after a delay and closes the connection.
func cut(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	}
}

// malformed answers with what isn't a response after a delay.
func malformed(d time.Duration, broken faulty.Response) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = broken.Write(c, "")
			_ = c.Close()
		}
	}
}

const (
	never = time.Hour
	// beyondSilence is later than a request leaves a silent server while another attempt is allowed.
	beyondSilence = minSilence + 100*time.Millisecond
)

// The first whole sound response wins: a cut response, a server error or a refusal doesn't win against a
// pending attempt, and the caller gets one response only.
func TestFirstWholeSoundResponseWins(t *testing.T) {
	for name, c := range map[string]struct {
		handlers  [2]http.HandlerFunc
		want      string
		won, lost int
	}{
		"the first server is stalled":          {[2]http.HandlerFunc{after(never, 200, ""), after(0, 200, "second")}, "second", 1, 0},
		"the first server is only late":        {[2]http.HandlerFunc{after(200*time.Millisecond, 200, "first"), after(never, 200, "")}, "first", 0, 1},
		"the hedge is cut":                     {[2]http.HandlerFunc{after(beyondSilence, 200, "first"), cut(0)}, "first", 0, -1},
		"the hedge is malformed":               {[2]http.HandlerFunc{after(beyondSilence, 200, "first"), malformed(0, faulty.Responses()[0])}, "first", 0, -1},
		"the first response is malformed":      {[2]http.HandlerFunc{malformed(150*time.Millisecond, faulty.Responses()[0]), after(300*time.Millisecond, 200, "second")}, "second", 1, -1},
		"the hedge gets a server error":        {[2]http.HandlerFunc{after(beyondSilence, 200, "first"), after(0, 500, "error")}, "first", 0, -1},
		"the first response is cut":            {[2]http.HandlerFunc{cut(150 * time.Millisecond), after(300*time.Millisecond, 200, "second")}, "second", 1, -1},
		"the first response is a server error": {[2]http.HandlerFunc{after(150*time.Millisecond, 500, "error"), after(300*time.Millisecond, 200, "second")}, "second", 1, -1},
		"both get a server error":              {[2]http.HandlerFunc{after(150*time.Millisecond, 500, "error"), after(100*time.Millisecond, 500, "error")}, "error", 0, -1},
		"a long response wins":                 {[2]http.HandlerFunc{after(never, 200, ""), after(0, 200, strings.Repeat("x", 2*maxBufferedBytes))}, strings.Repeat("x", 2*maxBufferedBytes), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHedgeTest(t, 0.1, 2, c.handlers)
			began := time.Now()
			sink := h.call(context.Background())
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("the call took %v: it waited for the loser", took)
			}
			if sink.body.String() != c.want || sink.refusal != nil || sink.aborted {
				t.Errorf("the caller got %.40q, %+v, aborted %v; want %.40q", sink.body.String(), sink.refusal, sink.aborted, c.want)
			}
			if h.received.Load() != 2 || h.count("hedges_sent") != 1 || h.count("hedges_won") != int64(c.won) {
				t.Errorf("%d sends, %d hedges, %d won; want 2, 1, %d", h.received.Load(), h.count("hedges_sent"), h.count("hedges_won"), c.won)
			}
			if c.lost < 0 {
				return
			}
			select {
			case i := <-h.canceled:
				if i != c.lost {
					t.Errorf("request %d was canceled, want %d", i, c.lost)
				}
			case <-time.After(400 * time.Millisecond):
				t.Error("the loser still works on the request 400 ms after the answer")
			}
		})
	}
}

// Two attempts that end at the same time must not both answer the caller, and the loser's failure must not
// be attributed to its server: its context has ended.
func TestOneAttemptOfRaceAnswers(t *testing.T) {
	for _, winner := range []side{first, second} {
		g := newHedgeTest(t, 0.1, 2, [2]http.HandlerFunc{}).g
		r := &race{task: &task{g: g}, winner: nobody, latencies: g.hedges.route("r")}
		var contexts [2]context.Context
		for s := range contexts {
			contexts[s], r.cancel[s] = context.WithCancel(context.Background())
		}
		won, lost := &recordingSink{}, &recordingSink{}
		if err := (&raceSink{race: r, sink: won, side: winner}).Answer(200, nil, []byte("w")); err != nil || won.body.String() != "w" {
			t.Errorf("the first answer: %v, %q", err, won.body.String())
		}
		loser := &raceSink{race: r, sink: lost, side: 1 - winner}
		if err := loser.Answer(200, nil, []byte("l")); err == nil || lost.body.Len() > 0 || loser.Begin(200, nil) == nil {
			t.Error("the second answer reached the caller")
		}
		if contexts[winner].Err() != nil || contexts[1-winner].Err() == nil {
			t.Errorf("context of the winner %v, of the loser %v", contexts[winner].Err(), contexts[1-winner].Err())
		}
	}
}

// Nothing but the conditions lets a request run at two servers: neither a share of 0, nor a route with one
// attempt or of another kind, nor spent budgets, a loaded service or a caller who has left.
func TestRequestIsNotHedged(t *testing.T) {
	slow := [2]http.HandlerFunc{after(150*time.Millisecond, 200, "first"), after(0, 200, "second")}
	for name, c := range map[string]struct {
		share       float64
		maxAttempts int
		prepare     func(*hedgeTest)
	}{
		"share of 0":  {0, 2, func(*hedgeTest) {}},
		"one attempt": {0.1, 1, func(*hedgeTest) {}},
		"other kind":  {0.1, 2, func(h *hedgeTest) { h.g.Catalog().Route("h", "/x").Kind = catalog.AtMostOnce }},
		"budget spent": {0.1, 2, func(h *hedgeTest) {
			for h.g.hedges.service("web").budget.Spend() {
			}
		}},
		"retries first": {0.1, 2, func(h *hedgeTest) {
			for h.g.retryBudget("web").SpendSpare() {
			}
		}},
		"loaded": {0.1, 2, func(h *hedgeTest) { h.g.hedges.recordLoad("web", time.Now()) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHedgeTest(t, c.share, c.maxAttempts, slow)
			c.prepare(h)
			if sink := h.call(context.Background()); sink.body.String() != "first" || h.received.Load() != 1 {
				t.Errorf("the caller got %q after %d sends, want the first server's response alone", sink.body.String(), h.received.Load())
			}
		})
	}
	t.Run("the caller leaves", func(t *testing.T) {
		h := newHedgeTest(t, 0.1, 2, slow)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		h.call(ctx)
		time.Sleep(100 * time.Millisecond)
		if h.received.Load() != 1 {
			t.Errorf("%d sends, although the caller had left before the delay", h.received.Load())
		}
	})
}

// A call whose servers are both silent ends with the VM, as it does without a hedge, and both servers stop.
func TestHedgedCallEndsWithVM(t *testing.T) {
	h := newHedgeTest(t, 0.1, 2, [2]http.HandlerFunc{after(never, 200, ""), after(never, 200, "")})
	time.AfterFunc(200*time.Millisecond, h.g.EndCalls)
	began := time.Now()
	sink := h.call(context.Background())
	if took := time.Since(began); sink.refusal == nil || sink.refusal.Code != codeStopping || took > time.Second {
		t.Fatalf("refusal %+v after %v", sink.refusal, took)
	}
	for range 2 {
		select {
		case <-h.canceled:
		case <-time.After(400 * time.Millisecond):
			t.Fatal("a server still works on the request")
		}
	}
}

// Under concurrent calls of which some are slow, each caller gets one whole response, no call is sent more
// often than the route allows, and the hedges stay within the share.
func TestConcurrentHedgedCalls(t *testing.T) {
	const calls, share = 400, 0.1
	sends := sync.Map{} // The number of sends by call.
	answer := func(w http.ResponseWriter, r *http.Request) {
		n, _ := sends.LoadOrStore(r.Header.Get("Call"), &atomic.Int32{})
		n.(*atomic.Int32).Add(1)
		delay := time.Duration(rand.Int64N(int64(5 * time.Millisecond)))
		if rand.Float64() < 0.06 {
			delay = 150 * time.Millisecond
		}
		after(delay, 200, "whole")(w, r)
	}
	h := newHedgeTest(t, share, 2, [2]http.HandlerFunc{answer, answer})
	earned := 40 + calls // The first 40 filled the budget.
	next := make(chan int)
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for i := range next {
				c, sink := &Call{ID: "1", Method: "POST", Target: "/x", Path: "/x", Host: "h", Header: http.Header{"Call": {strconv.Itoa(i)}}, Arrived: time.Now(), LastEvent: -1}, &recordingSink{}
				h.g.Serve(context.Background(), c, sink)
				if sink.body.String() != "whole" || sink.refusal != nil || sink.aborted {
					t.Errorf("call %d: got %q, %+v, aborted %v", i, sink.body.String(), sink.refusal, sink.aborted)
				}
			}
		})
	}
	for i := range calls {
		next <- i
	}
	close(next)
	callers.Wait()
	sends.Range(func(call, n any) bool {
		if n := n.(*atomic.Int32).Load(); n > 2 {
			t.Errorf("call %v was sent %d times", call, n)
		}
		return true
	})
	if sent := h.count("hedges_sent"); sent == 0 || float64(sent) > share*float64(earned) || h.count("hedges_won") > sent {
		t.Errorf("%d hedges, %d won, of %d requests; want some, at most a share of %v", sent, h.count("hedges_won"), earned, share)
	}
}
