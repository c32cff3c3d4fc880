package router

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/enginewatch"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/standin/engine"
)

const testBlock = 32

// balancerHarness runs a PrefixBalancer with stand-in engines.
type balancerHarness struct {
	t          *testing.T
	balancer   *PrefixBalancer
	dispatcher *dispatch.Dispatcher
	engines    map[backend.ID]*engine.Engine
	snapshot   *config.Snapshot
	view       *config.View
	lastID     int
	// serve, if set, serves a request in an engine's place and reports whether it did.
	serve func(id backend.ID, rw http.ResponseWriter, r *http.Request) bool
}

func newBalancerHarness(t *testing.T, n int) *balancerHarness {
	h := &balancerHarness{t: t, engines: map[backend.ID]*engine.Engine{}, snapshot: config.Empty()}
	h.snapshot.Number = 1
	h.snapshot.Models["m"] = config.Model{Name: "m", WeightsVersion: "1"}
	for i := range n {
		e := engine.New(engine.Options{BlockTokens: testBlock, CacheBlocks: 1000, MaxRunning: 8, Weights: map[string]string{"m": "1"}})
		id := backend.ID(fmt.Sprint("e", i))
		handler := e.Handler()
		srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost || h.serve == nil || !h.serve(id, rw, r) {
				handler.ServeHTTP(rw, r)
			}
		}))
		t.Cleanup(srv.Close)
		h.engines[id] = e
		h.snapshot.Servers[id] = backend.Server{ID: id, Kind: backend.Engine, URL: srv.URL, Models: []string{"m"}}
	}
	h.view = config.NewView(h.snapshot)
	h.balancer = NewPrefixBalancer(settings.Routing{PieceTokens: testBlock}, zap.NewNop())
	h.dispatcher = dispatch.New(dispatch.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		enginewatch.New(h.balancer, zap.NewNop()).Run(ctx, func() []backend.Server { return h.balancer.Watched(h.view) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		h.dispatcher.Close()
	})
	// An engine's first report resets its load and its part of the prefix index, so
	// the test waits for all first reports.
	eventually(t, "all engines have reported", func() bool {
		h.balancer.table.mu.Lock()
		defer h.balancer.table.mu.Unlock()
		for _, s := range h.balancer.table.engines {
			if s.incarnation == "" {
				return false
			}
		}
		return len(h.balancer.table.engines) == n
	})
	return h
}

// send dispatches a request and returns its outcome.
func (h *balancerHarness) send(view *config.View, prompt string) dispatch.Outcome {
	h.t.Helper()
	h.lastID++
	p := Prompt{Account: "a", Model: "m", WeightsVersion: view.Models["m"].WeightsVersion, Text: prompt, View: view}
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":2,"prompt":%q}`, prompt)
	req := dispatch.Request{
		ID: fmt.Sprint("r", h.lastID), Account: "a", Model: "m", Method: http.MethodPost,
		Path: openai.PathCompletions, Header: http.Header{}, Body: []byte(body), Stream: true,
		Idempotent: true, CacheSalt: CacheSalt("a", view.Models["m"]),
	}
	sink := dispatch.NewHTTPSink(httptest.NewRecorder(), time.Second)
	out, err := h.dispatcher.Do(h.t.Context(), req, h.balancer.Engine(p), sink)
	if err != nil {
		h.t.Fatal(err)
	}
	return out
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEnginePriorityOrder checks that engines are told to serve short requests
// before long uncached ones, and those before reviews.
func TestEnginePriorityOrder(t *testing.T) {
	h := newBalancerHarness(t, 3)
	long := strings.Repeat("a tenancy file, ", 5000)
	priority := func(class config.Class, text string) int {
		p := h.balancer.Engine(Prompt{Account: "a", Model: "m", WeightsVersion: "1", Text: text, Class: class, View: h.view})
		s, err := p.Pick(t.Context(), dispatch.Request{ID: "r"}, dispatch.Attempt{Number: 1})
		if err != nil {
			t.Fatal(err)
		}
		return p.(dispatch.Hinter).Hints(s.ID).Priority
	}
	review := priority(config.Review, "")
	uncached := priority(config.Interactive, long)
	short := priority(config.Interactive, "a note")
	if !(short < uncached && uncached < review) {
		t.Errorf("priorities: short %d, uncached %d, review %d; want them in ascending order", short, uncached, review)
	}
}

func TestPrefixBalancer(t *testing.T) {
	h := newBalancerHarness(t, 6)
	prompt := strings.Repeat("winding history of a motor, ", 100)
	first := h.send(h.view, prompt)
	for i := range 5 {
		out := h.send(h.view, prompt+fmt.Sprint("question ", i))
		if out.Server != first.Server || out.Usage.CachedTokens < 600 {
			t.Errorf("sent to %s with %d cached tokens, want %s with at least 600", out.Server, out.Usage.CachedTokens, first.Server)
		}
	}

	h.engines[first.Server].Crash()
	old := first.Incarnation
	eventually(t, "a new incarnation is seen", func() bool {
		h.balancer.table.mu.Lock()
		defer h.balancer.table.mu.Unlock()
		return h.balancer.table.engines[first.Server].incarnation != old
	})
	if out := h.send(h.view, prompt); out.Usage.CachedTokens != 0 {
		t.Errorf("%d tokens cached after a crash", out.Usage.CachedTokens)
	}

	changed := *h.snapshot
	changed.Number = 2
	changed.Servers = maps.Clone(h.snapshot.Servers)
	leaving := changed.Servers[first.Server]
	leaving.Leaving = true
	changed.Servers[first.Server] = leaving
	next := config.NewView(&changed)
	for range 10 {
		if out := h.send(next, prompt); out.Server == first.Server {
			t.Fatal("a request was sent to a leaving engine")
		}
	}
}

// TestPacingDelayIsAppliedOnce checks that a request is delayed once, however many
// engines are picked for it.
func TestPacingDelayIsAppliedOnce(t *testing.T) {
	h := newBalancerHarness(t, 2)
	p := h.balancer.Engine(Prompt{Account: "a", Model: "m", WeightsVersion: "1", Text: "a note", View: h.view}).(*enginePicker)
	const delay = 200 * time.Millisecond
	p.pacingDelay = delay
	begin := time.Now()
	for range 4 {
		if _, err := p.Pick(t.Context(), dispatch.Request{ID: "r"}, dispatch.Attempt{Number: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begin); took < delay || took > 3*delay {
		t.Errorf("delayed by %v, want %v", took, delay)
	}
}
