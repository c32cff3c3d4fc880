package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

// testEngine counts the requests that reach it.
type testEngine struct {
	entry    fleet.Entry
	received atomic.Int32
}

func newTestEngine(t *testing.T, id backend.ID, revision platform.Version, weights uint64) *testEngine {
	e := &testEngine{}
	server := loopback.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.received.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}))
	e.entry = fleet.Entry{
		ID: id, Service: "llm", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8,
		State: fleet.Ready, Weights: map[string]uint64{"m": weights}, Revision: platform.Revision{Version: revision},
	}
	return e
}

// The server starts draining between the choice and the write, while a connection is
// opened or the VM is busy.
func TestDrainingServerGetsNoRequestAfterChoice(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) { reached.Add(1) })
	other := newTestEngine(t, "other", 3, 1)
	g.opts.NotifyPeers = func() {
		leaving := *g.opts.Directory.View().All()[0]
		leaving.State, leaving.Revision = fleet.Draining, platform.Revision{Version: 2}
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{leaving, other.entry}}, time.Now())
		g.opts.NotifyPeers = func() {}
	}
	sink := &recordingSink{}
	g.Serve(context.Background(), modelCall(), sink)
	if reached.Load() != 0 || other.received.Load() != 1 || sink.body.Len() == 0 {
		t.Errorf("%d requests at the draining server, %d at the other one; the caller got %q", reached.Load(), other.received.Load(), sink.body.String())
	}
}

func TestEngineWithExpiredWeightsGetsNoRequestAfterChoice(t *testing.T) {
	reached := atomic.Int32{}
	g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) { reached.Add(1) })
	var ahead atomic.Int64
	g.opts.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	g.opts.Model.VersionBound = 6 * time.Second
	g.opts.Goals.Add("m", fleet.Goal{Version: 2, Since: time.Now()})
	other := newTestEngine(t, "other", 3, 2)
	g.opts.NotifyPeers = func() {
		g.opts.NotifyPeers = func() {}
		ahead.Store(int64(7 * time.Second))
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{other.entry}}, time.Now())
	}
	c, sink := modelCall(), &recordingSink{}
	c.Arrived = c.Arrived.Add(7 * time.Second) // The clock jump must not use up the request's own time.
	g.Serve(context.Background(), c, sink)
	if reached.Load() != 0 || other.received.Load() != 1 {
		t.Errorf("%d requests at the engine on old weights, %d at the other one", reached.Load(), other.received.Load())
	}
}

// A run begins with its first token, which may come long after the request is sent. The
// weights may become too old in between.
func TestUnstartedRunIsCanceledBeforeVersionBound(t *testing.T) {
	ended := make(chan time.Time, 1)
	g, _ := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(6 * time.Second):
		}
		ended <- time.Now()
	})
	g.Publish(catalog.Snapshot{
		Version: 2,
		Routes: []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, Resumable: true, Timeout: 10 * time.Second, Objective: 3 * time.Second,
			MaxAttempts: 2, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
		}},
		Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Slots: 8, CacheTokens: 160_000, TokenBytes: 1000, LinkBitRate: 1e9}}},
	})
	named := time.Now()
	g.opts.Model.VersionBound = 4 * time.Second
	g.opts.Goals.Add("m", fleet.Goal{Version: 2, Since: named})
	other := newTestEngine(t, "other", 3, 2)
	time.AfterFunc(time.Second, func() { g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{other.entry}}, time.Now()) })
	sink := &recordingSink{}
	g.Serve(context.Background(), modelCall(), sink)
	if took := (<-ended).Sub(named); took > g.opts.Model.VersionBound {
		t.Errorf("the run could still begin after %v, the bound is %v", took, g.opts.Model.VersionBound)
	}
	if other.received.Load() != 1 || sink.body.Len() == 0 {
		t.Errorf("%d requests at the engine on the new weights, the caller got %q", other.received.Load(), sink.body.String())
	}
}
