package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
)

// fullDialect takes every 503 for the response of a server that has not run the request.
type fullDialect struct {
	signedDialect
	brittle bool
}

func (d fullDialect) Head(_ backend.ID, resp *http.Response) Head {
	h := Head{Signed: true, NotRun: resp.StatusCode == http.StatusServiceUnavailable}
	h.RateLimit = ratelimit.Statement{Brittle: d.brittle, MaxRefusals: 3}
	return h
}

// Each request learns again that the servers are full, which costs a send of the retry budget, and
// brittle servers must not be taken for full ones: each VM has its own part of those.
func TestFullServerGetsNoFurtherRequest(t *testing.T) {
	for _, brittle := range []bool{false, true} {
		var received atomic.Int32
		full := atomic.Bool{}
		full.Store(true)
		g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
			received.Add(1)
			if full.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		})
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		servers := selector.NewTable(time.Second, clock)
		g.opts.Servers, g.opts.Dialect = servers, fullDialect{brittle: brittle}
		serve := func() *recordingSink {
			sink := &recordingSink{}
			g.Serve(context.Background(), modelCall(), sink)
			return sink
		}
		serve()
		key := selector.KeyOf(g.opts.Directory.View().All()[0])
		if reported := servers.Loads()[key].FullFor > 0; reported == brittle {
			t.Errorf("brittle %v: reported as full to other VMs: %v", brittle, reported)
		}
		if brittle {
			continue
		}
		if sink := serve(); received.Load() != 1 || sink.refusal == nil || sink.refusal.Code != codeServersRejecting || sink.refusal.RetryAfter <= 0 {
			t.Errorf("the full server got %d requests; the second was refused with %v", received.Load(), sink.refusal)
		}
		full.Store(false)
		now = now.Add(100 * time.Millisecond)
		if sink := serve(); sink.refusal != nil || sink.body.Len() == 0 {
			t.Errorf("refused after the hold: %v", sink.refusal)
		}
		other := selector.NewTable(time.Second, clock)
		other.UpdatePeerLoads(map[selector.ServerKey]selector.Report{key: {Running: 8, FullUntil: now.Add(200 * time.Millisecond)}})
		g.opts.Servers = other
		if sink := serve(); received.Load() != 2 || sink.refusal == nil {
			t.Errorf("%d requests, the last one to a server that another VM reports as full", received.Load())
		}
	}
}

// A prompt that exceeds the memory of any engine is rejected by all of them as if they were full. Other
// requests must not be refused because of it.
func TestOversizedPromptMarksNoServerAsFull(t *testing.T) {
	g, servers := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	g.opts.Dialect = fullDialect{}
	call := modelCall()
	call.PromptTokens, call.MaxTokens = 1<<30, 1
	snapshot := g.Catalog().Snapshot
	snapshot.Version++
	for i := range snapshot.Services {
		if snapshot.Services[i].Engine != nil {
			snapshot.Services[i].Engine.CacheTokens = 1 << 20
		}
	}
	g.Publish(snapshot)
	g.Serve(context.Background(), call, &recordingSink{})
	if key := selector.KeyOf(g.opts.Directory.View().All()[0]); servers.Loads()[key].FullFor > 0 {
		t.Error("an engine that rejected an oversized prompt counts as full")
	}
}
