package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/tunnel"
	"papayaspan.dev/papayaspan/internal/vm"
)

func testCatalog(version catalog.Version, routes int) catalog.Snapshot {
	s := catalog.Snapshot{Version: version}
	for i := range routes {
		s.Routes = append(s.Routes, catalog.Route{Name: fmt.Sprint("route-", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i)})
	}
	return s
}

// ofEarlierBuild serves a VM's state like the builds that know no parts and compress nothing.
func (v *testVM) ofEarlierBuild(t *testing.T) string {
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		known, err := json.Number(r.URL.Query().Get("catalog")).Int64()
		s := struct {
			Catalog *catalog.Snapshot `json:"catalog,omitempty"`
			Servers fleet.Update      `json:"servers"`
		}{Servers: v.directory.Export(v.directory.Known(), v.clock)}
		if c := v.Gateway.Catalog(); err == nil && int64(c.Version) > known {
			s.Catalog = &c.Snapshot
		}
		_ = json.NewEncoder(w).Encode(s)
	}))
}

func TestStateOfEarlierBuildIsApplied(t *testing.T) {
	source, v := newTestVM(t, newServerStore()), newTestVM(t, newServerStore())
	source.Gateway.Publish(testCatalog(7, 1400))
	peer := gossip.Member{ID: "old", Peer: source.ofEarlierBuild(t)}
	v.fetchServers(peer)
	if v.Gateway.Catalog() != nil {
		t.Error("a fetch of servers brought a configuration")
	}
	v.fetchCatalog(peer)
	if got := v.catalogVersion(); got != 7 {
		t.Errorf("version %d is in force, want 7", got)
	}
}

// A VM of an earlier build names no part, and takes everything from one response.
func TestEarlierBuildGetsWholeState(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.loadServers()
	v.Gateway.Publish(testCatalog(7, 1400))
	for _, encoding := range []string{"identity", "gzip"} {
		r, err := http.NewRequest(http.MethodGet, "http://"+v.address+statePath+"?catalog=3&servers=0.0", nil)
		if err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{DisableCompression: encoding == "identity"}
		resp, err := transport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		var s struct {
			Catalog *catalog.Snapshot
			Servers fleet.Update
		}
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err != nil || s.Catalog == nil || len(s.Catalog.Routes) != 1400 || len(s.Servers.Entries) != 1 {
			t.Errorf("%s: error %v, state %+v", encoding, err, s.Servers)
		}
	}
}

func TestBusySourceIsNoFailureOfItsState(t *testing.T) {
	v := newTestVM(t, newServerStore())
	v.Gateway.Publish(testCatalog(7, 1400))
	v.opts.LinkBitRate = 1e6
	served, busy := 0, 0
	for range 20 {
		other := newTestVM(t, newServerStore())
		other.fetchCatalog(gossip.Member{ID: "source", Peer: v.address})
		if other.catalogVersion() == 7 {
			served++
		} else {
			busy++
		}
		if other.fetchFailedAt.Load() != nil {
			t.Error("a VM reads the store because another one was busy")
		}
	}
	if served == 0 || busy == 0 {
		t.Errorf("%d served, %d turned away", served, busy)
	}
}

func TestSlowFetchIsJoinedByAnotherOne(t *testing.T) {
	f, now := newFetches(), time.Unix(1000, 0)
	begin := func(id vm.ID, at time.Duration) bool { return f.begin(id, true, 0, now.Add(at)) }
	if !begin("a", 0) || begin("b", fetchTimeout/2) {
		t.Fatal("two fetches at the start")
	}
	if begin("a", fetchTimeout) || !begin("b", fetchTimeout) || begin("c", 3*fetchTimeout) {
		t.Error("a slow fetch must be joined by one from another VM")
	}
	f.end("a")
	if !begin("c", 3*fetchTimeout) {
		t.Error("no fetch after one ended")
	}
}

func TestStalledFetchEnds(t *testing.T) {
	v := newTestVM(t, newServerStore())
	stalled := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"catalog":{"version":7`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	began := time.Now()
	v.fetchCatalog(gossip.Member{ID: "stalled", Peer: stalled})
	if took := time.Since(began); took > 3*fetchTimeout {
		t.Errorf("ended after %v", took)
	}
	if v.fetchFailedAt.Load() == nil {
		t.Error("the failure was not recorded")
	}
}

func TestLeavingServerGetsNoConnectionForAnotherVM(t *testing.T) {
	v := newTestVM(t, newServerStore())
	l := loopback.Listen(t)
	v.directory.Apply(fleet.Update{UpTo: platform.Revision{Version: 2}, Whole: true, Entries: []fleet.Entry{{
		ID: "x", Service: "s", Address: l.Addr().String(), Slots: 4, State: fleet.Ready, Started: 1, Revision: platform.Revision{Version: 2},
	}}}, v.clock)
	v.directory.MarkDrained("x", 1, v.clock)
	request := func() int {
		r := httptest.NewRequest("GET", tunnel.Endpoint+"?server=x&started=1", nil)
		r.Header.Set("Upgrade", "papayaspan-tunnel")
		w := httptest.NewRecorder()
		v.tunnels.ServeHTTP(w, r)
		return w.Code
	}
	if status := request(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the server lives", status)
	}
	l.Close()
	if status := request(); status != http.StatusBadGateway {
		t.Errorf("status %d once the server accepts no connection", status)
	}
}

func TestOddEntryOfEarlierBuildIsNotUsed(t *testing.T) {
	source, v := newTestVM(t, newServerStore()), newTestVM(t, newServerStore())
	sound := fleet.Entry{ID: "sound", Service: "s", Address: "127.0.0.1:1", Slots: 4, State: fleet.Ready, Started: 1, Revision: platform.Revision{Version: 2}}
	odd := sound
	odd.ID, odd.Address, odd.Revision.Version = "odd", "127.0.0.1:70000", 3
	source.directory.Apply(fleet.Update{UpTo: odd.Revision, Whole: true, Entries: []fleet.Entry{sound, odd}}, source.clock)
	v.fetchServers(gossip.Member{ID: "old", Peer: source.address})
	v.wantUsable("sound")
}
