package node

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/platform"
)

// rowTable is a table that keeps rows in memory.
type rowTable map[string][]byte

func (t rowTable) Get(context.Context, ...string) ([]platform.Row, error) { return nil, nil }

func (t rowTable) Scan(context.Context, string, string, int) ([]platform.Row, error) { return nil, nil }

func (t rowTable) Commit(_ context.Context, _ []platform.Check, writes []platform.Write) error {
	for _, w := range writes {
		t[w.Key] = w.Value
	}
	return nil
}

func newGoalNode(table rowTable, now *time.Time) *Node {
	return &Node{
		opts:           Options{Table: table, MemberTable: "vms"},
		log:            zap.NewNop(),
		now:            func() time.Time { return *now },
		goals:          fleet.NewGoals(),
		digestDue:      make(chan struct{}, 1),
		persistedGoals: map[string]uint64{},
		goalsChanged:   make(chan struct{}, 1),
		rereadMembers:  make(chan struct{}, 1),
	}
}

// After a restart of all VMs the age of named weights is still known, although the VMs' clocks
// are unrelated.
func TestNamingTimeSurvivesRestart(t *testing.T) {
	table := rowTable{}
	now := time.Unix(1000, 0)
	before := newGoalNode(table, &now)
	before.storeClock.synchronize(500*time.Second, now)
	before.setGoal("m", fleet.Goal{Version: 5, Since: now}, "store")
	now = now.Add(300 * time.Millisecond)
	before.persistGoals(context.Background())
	if before.persistGoals(context.Background()); len(table) != 1 {
		t.Fatalf("rows %v", table)
	}

	later := time.Unix(77, 0)
	after := newGoalNode(table, &later)
	after.setGoal("m", fleet.Goal{Version: 5, Since: later}, "store")
	after.storeClock.synchronize(512*time.Second, later)
	for key, value := range table {
		after.applyNamingRow(platform.Row{Key: key, Value: value})
	}
	if got := after.goals.Behind("m", 4, later); got != 12*time.Second {
		t.Errorf("behind by %v, want 12 s", got)
	}
	after.applyNamingRow(platform.Row{Key: "vms/weights:m", Value: []byte("{")})
	if after.goals.Wanted("m") != 5 {
		t.Error("a malformed row changed the goal")
	}
}
