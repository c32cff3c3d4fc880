package rollout

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// The VM that sends orders next knows which engines its predecessor may have ordered, but not which
// of them still load.
func TestLoadsOfPredecessorHoldPlaces(t *testing.T) {
	p := newEngineSim(12)
	for i := range p.engines {
		p.engines[i].Running = 0
	}
	p.setWanted(2)
	planner := NewPlanner(DefaultSettings())
	ids := []backend.ID{p.engines[0].ID, p.engines[1].ID, p.engines[2].ID}
	planner.Adopt(p.engines, ids, p.now)
	plan := planner.Plan(p.engines, p.now)
	if len(plan.Orders) != 0 || len(plan.Reserved) != 0 || len(plan.Polls) != 3 {
		t.Errorf("before the engines were polled: %d orders, %d reserved, %d polls; want 0, 0, 3", len(plan.Orders), len(plan.Reserved), len(plan.Polls))
	}
	planner.Polled(ids[0], p.engines[0].Started, true)
	planner.Polled(ids[1], p.engines[1].Started, true)
	planner.Polled(ids[2], p.engines[2].Started, false)
	p.engines[2].Blocked = true
	plan = planner.Plan(p.engines, p.now.Add(100*time.Millisecond))
	if len(plan.Orders) != 1 || len(plan.Reserved) != 3 {
		t.Errorf("beside two engines that load: %d orders, %d reserved; want 1, 3", len(plan.Orders), len(plan.Reserved))
	}
	for _, o := range plan.Orders {
		if o.Engine == ids[2] {
			t.Error("an engine is ordered that must not be ordered yet")
		}
	}
}
