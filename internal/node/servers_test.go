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
	// waits are the times for which calls asked to wait.
	waits []time.Duration
}

func newServerStore() *serverStore { return &serverStore{rows: map[string]platform.Row{}} }

func (s *serverStore) write(id string, state fleet.State, started int64) {
	value, err := json.Marshal(fleet.Entry{ID: backend.ID(id), Service: "s", Address: "127.0.0.1:1", State: state, Started: started})
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

// comeBack lets the store come back from a copy that lacks the last changes.
func (s *serverStore) comeBack(lacks int) {
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
	s.waits = append(s.waits, wait)
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

// entryDecoder reads rows of a serverStore.
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

// testVM is a VM that reads servers from a store and from other VMs when told to.
type testVM struct {
	*Node
	t       *testing.T
	address string
	at      time.Time
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
	v := &testVM{Node: n, t: t, at: time.Unix(1000, 0)}
	n.now = func() time.Time { return v.at }
	n.started = v.at
	v.address = serve(t, n.peerHandler())
	return v
}

func serve(t *testing.T, h http.Handler) string {
	return strings.TrimPrefix(loopback.Serve(t, h).URL, "http://")
}

// lists reads all servers from the store, reads the changes since.
func (v *testVM) lists() {
	if err := v.load(context.Background(), &v.serverFeed, "servers", v.listServers); err != nil {
		v.t.Fatal(err)
	}
}

func (v *testVM) reads() {
	if err := v.watch(context.Background(), &v.serverFeed, "servers", v.changeServers); err != nil {
		v.t.Fatal(err)
	}
}

// fetches takes over the state of another VM.
func (v *testVM) fetches(address string) { v.fetch(gossip.Member{ID: "other", Peer: address}) }

// hears takes the digest of another VM.
func (v *testVM) hears(other *testVM) { v.received(&gossip.Peer{Digest: other.digest()}) }

// delayed returns the address of an answer that a VM gave earlier to whoever knows
// nothing.
func (v *testVM) delayed() string {
	resp, err := http.Get("http://" + v.address + pathState + "?catalog=0&servers=0.0")
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

func (v *testVM) passes(d time.Duration) {
	v.at = v.at.Add(d)
	v.directory.Expire(v.at)
}

// uses returns the servers that get requests.
func (v *testVM) uses() []string {
	var ids []string
	for _, e := range v.directory.View().Service("s") {
		ids = append(ids, string(e.ID))
	}
	return ids
}

func (v *testVM) wantUses(ids ...string) {
	v.t.Helper()
	if got := v.uses(); !slices.Equal(got, ids) {
		v.t.Errorf("uses %v, want %v", got, ids)
	}
}

// A VM that starts again reads the store, then hears from one that lags.
func TestLaggingVMDoesNotBringBackAServerThatLeft(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	lagging, started := newTestVM(t, store), newTestVM(t, store)
	lagging.lists()
	store.remove("x")
	started.lists()
	started.fetches(lagging.address)
	started.wantUses()
}

func TestDelayedStateDoesNotBringBackAServerThatLeft(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v, other := newTestVM(t, store), newTestVM(t, store)
	v.lists()
	other.lists()
	address := other.delayed()
	store.remove("x")
	v.reads()
	v.passes(61 * time.Second)
	store.write("y", fleet.Ready, 1)
	v.reads()
	v.fetches(address)
	v.wantUses("y")
}

// All connections between VMs may fall silent at a time.
func TestStateIsNotFetchedOverAKeptConnection(t *testing.T) {
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
		other.lists()
		v.fetches(strings.TrimPrefix(server.URL, "http://"))
	}
	v.wantUses("x")
	if opened.Load() != 3 {
		t.Errorf("%d connections for 3 fetches", opened.Load())
	}
}

// The other VM has started after the server left and never knew it.
func TestStateOfAVMThatNeverKnewAServerEndsIt(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v, started := newTestVM(t, store), newTestVM(t, store)
	v.lists()
	store.remove("x")
	store.write("y", fleet.Ready, 1)
	started.lists()
	v.fetches(started.address)
	v.wantUses("y")
}

func TestEndFoundByListingReachesVMsThatDoNotReadTheStore(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	reader, other := newTestVM(t, store), newTestVM(t, store)
	reader.lists()
	other.lists()
	store.remove("x")
	store.write("y", fleet.Ready, 1)
	reader.lists()
	reader.passes(5 * time.Second)
	reader.wantUses("y")
	other.passes(5 * time.Second)
	other.fetches(reader.address)
	other.wantUses("y")
}

// Clocks of servers don't order what the store has ordered.
func TestLeaveWithEarlierStartIsBelieved(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 9)
	v := newTestVM(t, store)
	v.lists()
	store.write("x", fleet.Draining, 5)
	v.reads()
	v.wantUses()
}

func TestLateAnnouncementDoesNotUndoALeave(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 5)
	v, other := newTestVM(t, store), newTestVM(t, store)
	v.lists()
	store.write("x", fleet.Draining, 5)
	v.reads()
	store.write("x", fleet.Ready, 5)
	v.reads()
	v.wantUses()
	other.fetches(v.address)
	other.wantUses()
	store.write("x", fleet.Ready, 8) // Another run.
	v.reads()
	v.wantUses("x")
}

// The row alone doesn't tell of the leave.
func TestVMsThatStartAfterALateAnnouncementHearOfTheLeave(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 5)
	v := newTestVM(t, store)
	v.lists()
	store.write("x", fleet.Draining, 5)
	v.reads()
	store.write("x", fleet.Ready, 5)
	v.reads()
	listed, next, early := newTestVM(t, store), newTestVM(t, store), newTestVM(t, store)
	listed.lists()
	listed.hears(v)
	listed.wantUses()
	next.lists()
	next.hears(listed)
	next.wantUses()
	early.hears(next)
	early.lists()
	early.wantUses()
	store.write("x", fleet.Ready, 8) // Another run.
	for _, vm := range []*testVM{v, listed, next, early} {
		vm.reads()
		vm.hears(v)
		vm.wantUses("x")
	}
}

// Rows that lapsed in an outage are back within lapseHold of the store's return.
func TestHoldOfVanishedServersCountsFromTheStoresReturn(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.lists()
	v.failed(&v.serverFeed, platform.ErrUnavailable)
	v.passes(5 * time.Second)
	v.reads()
	v.passes(lapseHold - 200*time.Millisecond)
	store.remove("x")
	v.reads()
	v.passes(100 * time.Millisecond)
	v.wantUses("x")
	v.passes(200 * time.Millisecond)
	v.wantUses()
}

// No row lapses within two heartbeats without the store.
func TestLeaveAfterAShortLossOfTheStoreIsNotHeld(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	store.write("y", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.lists()
	v.failed(&v.serverFeed, platform.ErrUnavailable)
	v.passes(2*testHeartbeat - time.Millisecond)
	store.remove("x")
	v.reads()
	v.wantUses("y")
	v.failed(&v.serverFeed, platform.ErrUnavailable)
	v.passes(2 * testHeartbeat)
	store.remove("y")
	v.reads()
	v.wantUses("y")
}

// A connection that falls silent just after an outage is no second outage, and doesn't end
// the first one's time either.
func TestShortLossOfTheStoreLeavesTheHoldOfAnOutageAsItIs(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	store.write("y", fleet.Ready, 1)
	v := newTestVM(t, store)
	v.lists()
	v.failed(&v.serverFeed, platform.ErrUnavailable)
	v.passes(5 * time.Second)
	v.reads()
	v.failed(&v.serverFeed, platform.ErrUnavailable)
	v.passes(1500 * time.Millisecond)
	store.remove("x")
	v.reads()
	v.wantUses("x", "y")
	v.passes(lapseHold - 1500*time.Millisecond)
	v.wantUses("y")
	store.remove("y")
	v.reads()
	v.wantUses()
}

// A call that waits would make the loss of the store look longer than it was.
func TestFirstCallAfterALossOfTheStoreDoesNotWait(t *testing.T) {
	store := newServerStore()
	v := newTestVM(t, store)
	v.serverFeed.wait = serverWait
	v.lists()
	v.reads()
	v.failed(&v.serverFeed, platform.ErrUnavailable)
	v.reads()
	v.reads()
	if want := []time.Duration{serverWait, 0, serverWait}; !slices.Equal(store.waits, want) {
		t.Errorf("calls waited %v, want %v", store.waits, want)
	}
}

// The store comes back from a copy that lacks a leave, and its versions are given out again.
func TestLeaveHoldsAcrossTheStoresReturn(t *testing.T) {
	store := newServerStore()
	store.write("x", fleet.Ready, 1)
	store.write("y", fleet.Ready, 1)
	store.write("z", fleet.Ready, 1)
	reader, other := newTestVM(t, store), newTestVM(t, store)
	reader.lists()
	other.lists()
	store.write("x", fleet.Draining, 1)
	store.remove("z")
	reader.reads()
	store.comeBack(2)
	if err := reader.watch(context.Background(), &reader.serverFeed, "servers", reader.changeServers); !errors.Is(err, platform.ErrHistoryGone) {
		t.Fatalf("the feed went on in another era: %v", err)
	}
	reader.lists()
	reader.wantUses("y")
	other.hears(reader)
	other.fetches(reader.address)
	other.wantUses("y")
	if era, since := other.era(); era != store.revision.Era || since.IsZero() {
		t.Errorf("a VM that hears only others takes the era for %d, since %v", era, since)
	}
	started := newTestVM(t, store)
	started.lists()
	started.hears(other)
	started.wantUses("y")
	store.write("y", fleet.Draining, 1)
	reader.reads()
	reader.wantUses()
	other.fetches(reader.address)
	other.wantUses()
	// The row of z has outlived the time in which it would have lapsed.
	reader.passes(lapseTime(testHeartbeat))
	reader.wantUses("z")
}

// An answer of the era before, which was long on its way.
func TestListingOfAnEarlierEraIsIgnored(t *testing.T) {
	store, old := newServerStore(), newServerStore()
	for _, s := range []*serverStore{store, old} {
		s.write("x", fleet.Ready, 1)
	}
	store.comeBack(0)
	v := newTestVM(t, store)
	v.lists()
	v.opts.Feed = old
	if err := v.load(context.Background(), &v.serverFeed, "servers", v.listServers); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("an answer of the era before was taken: %v", err)
	}
}
