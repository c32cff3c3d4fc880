package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/vm"
)

// serverStore is a table of servers with its history.
type serverStore struct {
	revision platform.Revision
	rows     map[string]platform.Row
	history  []platform.Change
	// pollWaits are the wait times that calls requested.
	pollWaits []time.Duration
}

func newServerStore() *serverStore { return &serverStore{rows: map[string]platform.Row{}} }

func (s *serverStore) write(id string, state fleet.State, started int64) {
	value, err := json.Marshal(fleet.Entry{ID: backend.ID(id), Service: "s", Address: "127.0.0.1:1", Slots: 4, State: state, Started: started})
	if err != nil {
		panic(err)
	}
	s.change(platform.Change{Row: platform.Row{Key: id, Value: value}})
}

func (s *serverStore) remove(id string) {
	s.change(platform.Change{Row: platform.Row{Key: id}, Deleted: true})
}

func (s *serverStore) change(c platform.Change) {
	s.revision.Version++
	c.Version, c.Era = s.revision.Version, s.revision.Era
	s.history = append(s.history, c)
	if c.Deleted {
		delete(s.rows, c.Key)
	} else {
		s.rows[c.Key] = c.Row
	}
}

// restore simulates a store that is restored from a copy without the last changes.
func (s *serverStore) restore(lacks int) {
	copied := s.history[:len(s.history)-lacks]
	s.revision = platform.Revision{Era: s.revision.Era + 1}
	s.rows, s.history = map[string]platform.Row{}, nil
	for _, c := range copied {
		s.change(c)
	}
}

func (s *serverStore) Rows(context.Context, string) (platform.Listing, error) {
	l := platform.Listing{Revision: s.revision}
	for _, r := range s.rows {
		l.Rows = append(l.Rows, r)
	}
	return l, nil
}

func (s *serverStore) Changes(_ context.Context, _ string, after platform.Revision, wait time.Duration) ([]platform.Change, platform.Revision, error) {
	s.pollWaits = append(s.pollWaits, wait)
	if after.Era != s.revision.Era {
		return nil, platform.Revision{}, platform.ErrHistoryGone
	}
	var out []platform.Change
	for _, c := range s.history {
		if c.Revision().After(after) {
			out = append(out, c)
		}
	}
	return out, s.revision, nil
}

// entryDecoder decodes rows of a serverStore.
type entryDecoder struct{}

func (entryDecoder) Operator([]platform.Row) Operator { return Operator{} }

func (entryDecoder) Server(c platform.Change) (fleet.Entry, error) {
	e := fleet.Entry{ID: backend.ID(c.Key), Revision: c.Revision(), Gone: true}
	if c.Deleted {
		return e, nil
	}
	err := json.Unmarshal(c.Value, &e)
	e.Revision, e.Gone = c.Revision(), err != nil
	return e, err
}

// testVM is a VM that reads servers from a store and from other VMs only when a test calls its
// methods.
type testVM struct {
	*Node
	t       *testing.T
	address string
	clock   time.Time
}

// testHeartbeat is heartbeat_ms in the platform's settings.
const testHeartbeat = 1200 * time.Millisecond

func newTestVM(t *testing.T, store *serverStore) *testVM {
	n, err := New(Options{
		Log: zap.NewNop(), LogDropped: func() uint64 { return 0 }, VM: vm.VM{ID: "vm", FailureDomain: "a"},
		Peer: loopback.Host() + ":0", Table: rowTable{}, Feed: store, Decoder: goalDecoder{}, MemberTable: "vms",
		Bounds: Bounds{
			Quota: quota.Settings{Window: 8 * time.Second}, VersionBound: 20 * time.Second, Lease: 3 * time.Second, Heartbeat: testHeartbeat,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = n.listener.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.gossip.Run(ctx) // Closes the socket.
	})
	v := &testVM{Node: n, t: t, clock: time.Unix(1000, 0)}
	n.now = func() time.Time { return v.clock }
	n.started = v.clock
	v.address = serve(t, n.peerHandler())
	return v
}

func serve(t *testing.T, h http.Handler) string {
	return strings.TrimPrefix(loopback.Serve(t, h).URL, "http://")
}

// loadServers reads all servers from the store; readChanges reads the changes since.
func (v *testVM) loadServers() {
	if err := v.loadTable(context.Background(), &v.serverFeed, "servers", v.applyServerListing); err != nil {
		v.t.Fatal(err)
	}
}

func (v *testVM) readChanges() {
	if err := v.watchTable(context.Background(), &v.serverFeed, "servers", v.applyServerChanges); err != nil {
		v.t.Fatal(err)
	}
}

// fetchFrom fetches and applies the state of another VM.
func (v *testVM) fetchFrom(address string) { v.fetchServers(gossip.Member{ID: "other", Peer: address}) }

// receiveFrom applies the digest of another VM.
func (v *testVM) receiveFrom(other *testVM) { v.receiveDigest(&gossip.Peer{Digest: other.digest()}) }

// serveRecordedState returns the address of a server that replays this VM's present response to
// a VM that knows nothing.
func (v *testVM) serveRecordedState() string {
	resp, err := http.Get("http://" + v.address + statePath + "?catalog=0&servers=0.0")
	if err != nil {
		v.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		v.t.Fatal(err)
	}
	return serve(v.t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
}

func (v *testVM) advance(d time.Duration) {
	v.clock = v.clock.Add(d)
	v.directory.Expire(v.clock)
}

// usable returns the servers to which requests are sent.
func (v *testVM) usable() []string {
	var ids []string
	for _, e := range v.directory.View().Service("s") {
		ids = append(ids, string(e.ID))
	}
	return ids
}

func (v *testVM) wantUsable(ids ...string) {
	v.t.Helper()
	if got := v.usable(); !slices.Equal(got, ids) {
		v.t.Errorf("usable servers %v, want %v", got, ids)
	}
}

// A VM that restarts reads the store, then fetches the state of a VM that lags behind.
func TestStaleStateDoesNotRestoreRemovedServer(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	lagging, started := newTestVM(t, store), newTestVM(t, store)
	lagging.loadServers()
	store.remove("x")
	started.loadServers()
	started.fetchFrom(lagging.address)
	started.wantUsable()
}

func TestDelayedStateDoesNotRestoreRemovedServer(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v, other := newTestVM(t, store), newTestVM(t, store)
	v.loadServers()
	other.loadServers()
	address := other.serveRecordedState()
	store.remove("x")
	v.readChanges()
	v.advance(61 * time.Second)
	store.write("y", fleet.Ready, 1)
	v.readChanges()
	v.fetchFrom(address)
	v.wantUsable("y")
}

// All connections between VMs may fail silently at the same time.
func TestStateFetchOpensNewConnection(t *testing.T) {
	store := newServerStore()
	v, other := newTestVM(t, store), newTestVM(t, store)
	var opened atomic.Int32
	server := loopback.Unstarted(t, other.peerHandler())
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	for i := range 3 {
		store.write("x", fleet.Ready, int64(i+1))
		other.loadServers()
		v.fetchFrom(strings.TrimPrefix(server.URL, "http://"))
	}
	v.wantUsable("x")
	if opened.Load() != 3 {
		t.Errorf("%d connections for 3 fetches", opened.Load())
	}
}

// The other VM started after the server left and never knew of it.
func TestPeerStateWithoutServerRemovesIt(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v, started := newTestVM(t, store), newTestVM(t, store)
	v.loadServers()
	store.remove("x")
	store.write("y", fleet.Ready, 1)
	started.loadServers()
	v.fetchFrom(started.address)
	v.wantUsable("y")
}

func TestRemovalFoundByListingReachesNonFollowers(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	reader, other := newTestVM(t, store), newTestVM(t, store)
	reader.loadServers()
	other.loadServers()
	store.remove("x")
	store.write("y", fleet.Ready, 1)
	reader.loadServers()
	reader.advance(5 * time.Second)
	reader.wantUsable("y")
	other.advance(5 * time.Second)
	other.fetchFrom(reader.address)
	other.wantUsable("y")
}

// The store's revisions, not the servers' clocks, order announcements.
func TestLeaveWithEarlierStartIsApplied(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 9)
	v := newTestVM(t, store)
	v.loadServers()
	store.write("x", fleet.Draining, 5)
	v.readChanges()
	v.wantUsable()
}

func TestLateAnnouncementDoesNotUndoALeave(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 5)
	v, other := newTestVM(t, store), newTestVM(t, store)
	v.loadServers()
	store.write("x", fleet.Draining, 5)
	v.readChanges()
	store.write("x", fleet.Ready, 5)
	v.readChanges()
	v.wantUsable()
	other.fetchFrom(v.address)
	other.wantUsable()
	store.write("x", fleet.Ready, 8) // Another run.
	v.readChanges()
	v.wantUsable("x")
}

// The store's row alone doesn't show that the server is draining or has ended.
func TestNewVMsLearnOfLeaveAfterLateAnnouncement(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 5)
	v := newTestVM(t, store)
	v.loadServers()
	store.write("x", fleet.Draining, 5)
	v.readChanges()
	store.write("x", fleet.Ready, 5)
	v.readChanges()
	listed, next, early := newTestVM(t, store), newTestVM(t, store), newTestVM(t, store)
	listed.loadServers()
	listed.receiveFrom(v)
	listed.wantUsable()
	next.loadServers()
	next.receiveFrom(listed)
	next.wantUsable()
	early.receiveFrom(next)
	early.loadServers()
	early.wantUsable()
	store.write("x", fleet.Ready, 8) // Another run.
	for _, vm := range []*testVM{v, listed, next, early} {
		vm.readChanges()
		vm.receiveFrom(v)
		vm.wantUsable("x")
	}
}

// Rows that expired in an outage reappear within missingRowHold of its end.
func TestMissingServerHoldStartsAtStoreReturn(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.loadServers()
	v.callFailed(&v.serverFeed, platform.ErrUnavailable)
	v.advance(5 * time.Second)
	v.readChanges()
	v.advance(missingRowHold - 200*time.Millisecond)
	store.remove("x")
	v.readChanges()
	v.advance(100 * time.Millisecond)
	v.wantUsable("x")
	v.advance(200 * time.Millisecond)
	v.wantUsable()
}

// No row expires in an outage shorter than two heartbeats.
func TestRemovalAfterShortStoreOutageIsImmediate(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	store.write("y", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.loadServers()
	v.callFailed(&v.serverFeed, platform.ErrUnavailable)
	v.advance(2*testHeartbeat - time.Millisecond)
	store.remove("x")
	v.readChanges()
	v.wantUsable("y")
	v.callFailed(&v.serverFeed, platform.ErrUnavailable)
	v.advance(2 * testHeartbeat)
	store.remove("y")
	v.readChanges()
	v.wantUsable("y")
}

// A connection that fails silently just after an outage is not a second outage, and doesn't
// shorten the hold of the first one.
func TestShortStoreOutageKeepsHoldOfEarlierOutage(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	store.write("y", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.loadServers()
	v.callFailed(&v.serverFeed, platform.ErrUnavailable)
	v.advance(5 * time.Second)
	v.readChanges()
	v.callFailed(&v.serverFeed, platform.ErrUnavailable)
	v.advance(1500 * time.Millisecond)
	store.remove("x")
	v.readChanges()
	v.wantUsable("x", "y")
	v.advance(missingRowHold - 1500*time.Millisecond)
	v.wantUsable("y")
	store.remove("y")
	v.readChanges()
	v.wantUsable()
}

// A call that waits would make the outage of the store appear longer than it was.
func TestFirstCallAfterStoreOutageDoesNotWait(t *testing.T) {
	store := newServerStore()
	v := newTestVM(t, store)
	v.serverFeed.pollWait = serverPollWait.least
	v.loadServers()
	v.readChanges()
	v.callFailed(&v.serverFeed, platform.ErrUnavailable)
	v.readChanges()
	v.readChanges()
	if want := []time.Duration{serverPollWait.least, 0, serverPollWait.least}; !slices.Equal(store.pollWaits, want) {
		t.Errorf("calls waited %v, want %v", store.pollWaits, want)
	}
}

// The store is restored from a copy that lacks a drain and a removal, and issues the same versions again.
func TestLeaveSurvivesStoreRestoredFromOlderCopy(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	store.write("y", fleet.Ready, 1)
	store.write("z", fleet.Ready, 1)
	reader, other := newTestVM(t, store), newTestVM(t, store)
	reader.loadServers()
	other.loadServers()
	store.write("x", fleet.Draining, 1)
	store.remove("z")
	reader.readChanges()
	store.restore(2)
	if err := reader.watchTable(context.Background(), &reader.serverFeed, "servers", reader.applyServerChanges); !errors.Is(err, platform.ErrHistoryGone) {
		t.Fatalf("the feed continued in another era: %v", err)
	}
	reader.loadServers()
	reader.wantUsable("y")
	other.receiveFrom(reader)
	other.fetchFrom(reader.address)
	other.wantUsable("y")
	if era, since := other.era(); era != store.revision.Era || since.IsZero() {
		t.Errorf("a VM that receives only digests has era %d, since %v", era, since)
	}
	started := newTestVM(t, store)
	started.loadServers()
	started.receiveFrom(other)
	started.wantUsable("y")
	store.write("y", fleet.Draining, 1)
	reader.readChanges()
	reader.wantUsable()
	other.fetchFrom(reader.address)
	other.wantUsable()
	// A row of z that outlasts rowTTL shows that z still announces itself.
	reader.advance(rowTTL(testHeartbeat))
	reader.wantUsable("z")
}

// A delayed answer may belong to the previous era.
func TestListingOfAnEarlierEraIsIgnored(t *testing.T) {
	store, old := newServerStore(), newServerStore()
	for _, s := range []*serverStore{store, old} {
		s.write("x", fleet.Ready, 1)
	}
	store.restore(0)
	v := newTestVM(t, store)
	v.loadServers()
	v.opts.Feed = old
	if err := v.loadTable(context.Background(), &v.serverFeed, "servers", v.applyServerListing); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("an answer of the previous era was applied: %v", err)
	}
}
