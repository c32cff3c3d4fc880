package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/selector"
)

// newTestTask returns a short prompt whose server has not been chosen, with a virtual clock.
func newTestTask(t testing.TB, entries []fleet.Entry, now *time.Time) *task {
	g, _ := newTestGateway(t, func(http.ResponseWriter, *http.Request) {})
	g.opts.Now = func() time.Time { return *now }
	g.opts.Directory = fleet.NewDirectory(time.Second)
	g.opts.Directory.Apply(fleet.Update{Entries: entries}, *now)
	g.opts.Servers = selector.NewTable(10*time.Second, g.opts.Now)
	call := modelCall()
	call.PromptTokens, call.Arrived = 400, *now
	snapshot := g.Catalog()
	route := snapshot.Routes[0]
	return &task{
		g: g, call: call, sink: &recordingSink{}, catalog: snapshot, route: &route, account: &catalog.Account{},
		deadline: now.Add(route.Timeout), lastEvent: -1,
		prompt: selector.NewPrompt("m", "shared", 400, []selector.Part{{ID: "own", Tokens: 400}}),
	}
}

func testEntries(n int) (entries []fleet.Entry) {
	for i := range n {
		entries = append(entries, fleet.Entry{
			ID: backend.ID(fmt.Sprint("e", i)), Started: 1, Service: "llm", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 16,
			State: fleet.Ready, Weights: map[string]uint64{"m": 1}, Revision: platform.Revision{Version: 1},
		})
	}
	return entries
}

// While a third of the servers are down and the others overloaded, the costs of a sound server add
// up to more than 1, the cost of a dead one.
func TestDownServersGetNoRequestsUnderOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	entries := testEntries(9)
	k := newTestTask(t, entries, &now)
	servers, loads := k.g.opts.Servers, map[selector.ServerKey]selector.Report{}
	for i := range entries {
		key := selector.KeyOf(&entries[i])
		switch {
		case i < 2:
			servers.Begin(&selector.Candidate{Entry: &entries[i]}, nil, 50_000).End(selector.Unreachable)
		case i == 2:
			loads[key] = selector.Report{Silent: time.Second}
		default:
			loads[key] = selector.Report{Running: 20, Backlog: 100_000}
		}
	}
	servers.UpdatePeerLoads(loads)
	service := k.catalog.Service("llm")
	chosen := map[backend.ID]bool{}
	for range 200 {
		c, refusal := k.choose(service)
		if refusal != nil {
			t.Fatal(refusal)
		}
		chosen[c.Entry.ID] = true
	}
	if chosen["e0"] || chosen["e1"] || chosen["e2"] {
		t.Errorf("servers that accept no connections were chosen: %v", chosen)
	}
	for i := 3; i < 9; i++ {
		k.tried = append(k.tried, selector.KeyOf(&entries[i]))
	}
	if _, refusal := k.choose(service); refusal != nil {
		t.Errorf("no server is left except those that accept no connections: %v", refusal)
	}
}

// The next incarnation of a crashed server answers 421 at its address. Each request would learn that
// again, at the cost of an attempt.
func TestReplacedServerGetsOneRequest(t *testing.T) {
	var misdirected atomic.Int32
	g, servers := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		misdirected.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	g.opts.Dialect = misdirectedDialect{}
	var told atomic.Int32
	g.opts.NotifyPeers = func() { told.Add(1) }
	old := g.opts.Directory.View().All()[0]
	for range 5 {
		sink := &recordingSink{}
		g.Serve(context.Background(), modelCall(), sink)
		if sink.refusal == nil {
			t.Error("the request was not refused")
		}
		servers.MarkReachable(selector.KeyOf(old)) // A probe found the address open.
	}
	if n := misdirected.Load(); n != 1 || !servers.Loads()[selector.KeyOf(old)].Gone || told.Load() == 0 {
		t.Errorf("%d requests reached the next incarnation, want 1; notified %d times", n, told.Load())
	}
	next := *old
	next.ID, next.Started = "next", old.Started+1
	g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{next}}, time.Now())
	if !g.replaced(old) {
		t.Error("a later server at the same address is not noticed")
	}
}

// misdirectedDialect takes every 421 for the response of another server.
type misdirectedDialect struct{ signedDialect }

func (misdirectedDialect) Head(_ backend.ID, resp *http.Response) Head {
	return Head{Misdirected: resp.StatusCode == http.StatusMisdirectedRequest}
}
