package node

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Engines may be several versions behind when all VMs are killed.
func TestNamingTimesOfSeveralVersionsSurviveRestart(t *testing.T) {
	table := rowTable{}
	now := time.Unix(1000, 0)
	before := newGoalNode(table, &now)
	before.storeClock.synchronize(500*time.Second, now)
	before.setGoal("m", fleet.Goal{Version: 5, Since: now}, "store")
	before.persistGoals(context.Background())
	now = now.Add(9 * time.Second)
	before.setGoal("m", fleet.Goal{Version: 7, Since: now}, "store")
	before.persistGoals(context.Background())

	later := time.Unix(77, 0)
	after := newGoalNode(table, &later)
	after.setGoal("m", fleet.Goal{Version: 7, Since: later}, "store")
	after.storeClock.synchronize(512*time.Second, later)
	for key, value := range table {
		after.applyNamingRow(platform.Row{Key: key, Value: value})
	}
	for held, want := range map[uint64]time.Duration{4: 12 * time.Second, 5: 3 * time.Second, 7: 0} {
		if got := after.goals.Behind("m", held, later); got != want {
			t.Errorf("version %d is behind by %v, want %v", held, got, want)
		}
	}
}

// goalStore is a store in which version 2 of weights is named.
type goalStore struct {
	mu      sync.Mutex
	members []platform.Row
	named   chan platform.Change
}

func (s *goalStore) Rows(_ context.Context, table string) (platform.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.Listing{Revision: platform.Revision{Version: 1}, Now: 512 * time.Second}
	if table == "op" {
		l.Rows = []platform.Row{{Key: "op/weights", Version: 1, Value: []byte("2")}}
	} else {
		l.Rows = s.members
	}
	return l, nil
}

func (s *goalStore) Changes(ctx context.Context, _ string, after platform.Revision, _ time.Duration) ([]platform.Change, platform.Revision, error) {
	select {
	case c := <-s.named:
		return []platform.Change{c}, c.Revision(), nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// goalDecoder decodes the version in a goalStore's row.
type goalDecoder struct{ entryDecoder }

func (goalDecoder) Operator(rows []platform.Row) Operator {
	o := Operator{Goals: map[string]uint64{}}
	for _, r := range rows {
		var v uint64
		if err := json.Unmarshal(r.Value, &v); err != nil {
			o.Malformed = append(o.Malformed, err)
		}
		o.Goals["m"] = max(o.Goals["m"], v)
	}
	return o
}

func newOperatorVM(t *testing.T, store *goalStore, table platform.Table) (*Node, context.Context) {
	n, err := New(Options{
		Log: zap.NewNop(), LogDropped: func() uint64 { return 0 }, VM: vm.VM{ID: "vm", FailureDomain: "a"},
		Peer: loopback.Host() + ":0", Table: table, Feed: store, Decoder: goalDecoder{}, OperatorTable: "op", MemberTable: "vms",
		Bounds: Bounds{VersionBound: 20 * time.Second, Lease: 3 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.goLoop(func() { n.followOperator(ctx) })
	n.goLoop(func() { n.persistNamings(ctx) })
	t.Cleanup(func() {
		cancel()
		n.loops.Wait()
		_ = n.listener.Close()
		n.gossip.Run(ctx) // Closes the socket.
	})
	return n, ctx
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 2 s waiting until %s", what)
		}
	}
}

// A VM that starts learns which weights are named before it reads when they were named.
func TestOldWeightsAreUnusableUntilNamingTimeIsKnown(t *testing.T) {
	value, err := json.Marshal(namingRow{Model: "m", Namings: []naming{{Version: 2, Named: 495 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	store := &goalStore{members: []platform.Row{{Key: "vms/weights:m", Version: 1, Value: value}}}
	n, ctx := newOperatorVM(t, store, rowTable{})
	waitFor(t, "the named weights are known", func() bool { return n.goals.Wanted("m") == 2 })
	if got := n.goals.Behind("m", 1, n.now()); got < n.opts.Bounds.VersionBound {
		t.Errorf("version 1 is behind by %v before the naming time is known", got)
	}
	if err := n.readMembers(ctx); err != nil {
		t.Fatal(err)
	}
	if got := n.goals.Behind("m", 1, n.now()); got < 17*time.Second || got > 18*time.Second {
		t.Errorf("version 1 is behind by %v, want 17 s", got)
	}
}

// All VMs may be killed before one of them holds the order lease.
func TestNamingTimeIsPersistedBeforeAnyVMHoldsTheLease(t *testing.T) {
	store, table := &goalStore{named: make(chan platform.Change)}, &lockedTable{rows: rowTable{}}
	n, ctx := newOperatorVM(t, store, table)
	waitFor(t, "the named weights are known", func() bool { return n.goals.Wanted("m") == 2 })
	if err := n.readMembers(ctx); err != nil {
		t.Fatal(err)
	}
	store.named <- platform.Change{Row: platform.Row{Key: "op/weights", Version: 2, Value: []byte("3")}}
	waitFor(t, "the naming time is stored", func() bool { return table.has("vms/weights:m") })
}

type lockedTable struct {
	mu   sync.Mutex
	rows rowTable
}

func (t *lockedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return t.rows.Get(ctx, keys...)
}

func (t *lockedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return t.rows.Scan(ctx, prefix, after, limit)
}

func (t *lockedTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows.Commit(ctx, checks, writes)
}

func (t *lockedTable) has(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key] != nil
}

// A VM that has lost the store learns from other VMs when weights were named.
func TestReconnectedVMKeepsNamingTimeReceivedFromPeers(t *testing.T) {
	store := newServerStore()
	name := func(version string) {
		store.change(platform.Change{Row: platform.Row{Key: "op/weights", Value: []byte(version)}})
	}
	name("1")
	v := newTestVM(t, store)
	if err := v.loadTable(context.Background(), &v.operatorFeed, "op", v.applyOperatorListing); err != nil {
		t.Fatal(err)
	}
	v.callFailed(&v.operatorFeed, platform.ErrUnavailable)
	v.advance(5 * time.Second)
	name("2")
	v.applyPeerKnowledge("other", []gossip.WeightsGoal{{Model: "m", Version: 2}}, nil, nil, nil)
	v.advance(time.Second)
	reads := func() {
		if err := v.watchTable(context.Background(), &v.operatorFeed, "op", v.applyOperatorChanges); err != nil {
			t.Fatal(err)
		}
	}
	reads()
	if got := v.goals.Behind("m", 1, v.clock); got != time.Second {
		t.Errorf("version 2 counts as named %v ago, want 1 s", got)
	}
	v.callFailed(&v.operatorFeed, platform.ErrUnavailable)
	v.advance(2 * time.Second)
	name("3") // No other VM has reported it.
	reads()
	if got := v.goals.Behind("m", 2, v.clock); got != 2*time.Second {
		t.Errorf("version 3 counts as named %v ago, want 2 s, the time since the last answer of the store", got)
	}
}
