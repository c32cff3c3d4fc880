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

// balanced is a balancer over stand-in engines.
type balanced struct {
	t        *testing.T
	b        *PrefixBalancer
	d        *dispatch.Dispatcher
	engines  map[backend.ID]*engine.Engine
	snapshot *config.Snapshot
	view     *config.View
	serial   int
}

func newBalanced(t *testing.T, n int) *balanced {
	w := &balanced{t: t, engines: map[backend.ID]*engine.Engine{}, snapshot: config.Empty()}
	w.snapshot.Number = 1
	w.snapshot.Models["m"] = config.Model{Name: "m", WeightsVersion: "1"}
	for i := range n {
		e := engine.New(engine.Options{BlockTokens: testBlock, CacheBlocks: 1000, MaxRunning: 8, Weights: map[string]string{"m": "1"}})
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		id := backend.ID(fmt.Sprint("e", i))
		w.engines[id] = e
		w.snapshot.Servers[id] = backend.Server{ID: id, Kind: backend.Engine, URL: srv.URL, Models: []string{"m"}}
	}
	w.view = config.NewView(w.snapshot)
	w.b = NewPrefixBalancer(settings.Routing{PieceTokens: testBlock}, zap.NewNop())
	w.d = dispatch.New(dispatch.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		enginewatch.New(w.b, zap.NewNop()).Run(ctx, func() []backend.Server { return w.b.Watched(w.view) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		w.d.Close()
	})
	// What is learnt before an engine's first report is dropped with it.
	eventually(t, "all engines have reported", func() bool {
		w.b.table.mu.Lock()
		defer w.b.table.mu.Unlock()
		for _, s := range w.b.table.engines {
			if s.incarnation == "" {
				return false
			}
		}
		return len(w.b.table.engines) == n
	})
	return w
}

// send runs a request and returns its outcome.
func (w *balanced) send(view *config.View, prompt string) dispatch.Outcome {
	w.t.Helper()
	w.serial++
	p := Prompt{Account: "a", Model: "m", WeightsVersion: view.Models["m"].WeightsVersion, Text: prompt, View: view}
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":2,"prompt":%q}`, prompt)
	req := dispatch.Request{
		ID: fmt.Sprint("r", w.serial), Account: "a", Model: "m", Method: http.MethodPost,
		Path: openai.PathCompletions, Header: http.Header{}, Body: []byte(body), Stream: true,
		Idempotent: true, CacheSalt: CacheSalt("a", view.Models["m"]),
	}
	sink := dispatch.NewHTTPSink(httptest.NewRecorder(), time.Second)
	out, err := w.d.Do(w.t.Context(), req, w.b.Engine(p), sink)
	if err != nil {
		w.t.Fatal(err)
	}
	return out
}

// eventually waits until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestPriority checks the order in which engines are to serve requests.
func TestPriority(t *testing.T) {
	w := newBalanced(t, 3)
	long := strings.Repeat("a tenancy file, ", 5000)
	priority := func(class config.Class, text string) int {
		p := w.b.Engine(Prompt{Account: "a", Model: "m", WeightsVersion: "1", Text: text, Class: class, View: w.view})
		s, err := p.Pick(t.Context(), dispatch.Request{ID: "r"}, dispatch.Attempt{Number: 1})
		if err != nil {
			t.Fatal(err)
		}
		return p.(dispatch.Hinter).Hints(s.ID).Priority
	}
	review := priority(config.Review, "")
	missed := priority(config.Interactive, long)
	short := priority(config.Interactive, "a note")
	if !(short < missed && missed < review) {
		t.Errorf("short %d, missed %d, review %d: not in this order", short, missed, review)
	}
}

func TestPrefixBalancer(t *testing.T) {
	w := newBalanced(t, 6)
	prompt := strings.Repeat("winding history of a motor, ", 100)
	first := w.send(w.view, prompt)
	for i := range 5 {
		out := w.send(w.view, prompt+fmt.Sprint("question ", i))
		if out.Server != first.Server || out.Usage.CachedTokens < 600 {
			t.Errorf("sent to %s with %d cached tokens, want %s with most", out.Server, out.Usage.CachedTokens, first.Server)
		}
	}

	w.engines[first.Server].Crash()
	old := first.Incarnation
	eventually(t, "a new incarnation is seen", func() bool {
		w.b.table.mu.Lock()
		defer w.b.table.mu.Unlock()
		return w.b.table.engines[first.Server].incarnation != old
	})
	if out := w.send(w.view, prompt); out.Usage.CachedTokens != 0 {
		t.Errorf("%d tokens cached after a crash", out.Usage.CachedTokens)
	}

	changed := *w.snapshot
	changed.Number = 2
	changed.Servers = maps.Clone(w.snapshot.Servers)
	leaving := changed.Servers[first.Server]
	leaving.Leaving = true
	changed.Servers[first.Server] = leaving
	next := config.NewView(&changed)
	for range 10 {
		if out := w.send(next, prompt); out.Server == first.Server {
			t.Fatal("a leaving engine got new work")
		}
	}
}

// TestHoldOnce checks that a request is held back once, however many engines an
// attempt asks for.
func TestHoldOnce(t *testing.T) {
	w := newBalanced(t, 2)
	p := w.b.Engine(Prompt{Account: "a", Model: "m", WeightsVersion: "1", Text: "a note", View: w.view}).(*enginePicker)
	const hold = 200 * time.Millisecond
	p.hold = hold
	begin := time.Now()
	for range 4 {
		if _, err := p.Pick(t.Context(), dispatch.Request{ID: "r"}, dispatch.Attempt{Number: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begin); took < hold || took > 3*hold {
		t.Errorf("held for %v, want %v", took, hold)
	}
}
