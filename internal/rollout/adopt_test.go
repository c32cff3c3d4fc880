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
	polled := p.now.Add(maxReportAge)
	planner.Polled(ids[0], p.engines[0].Started, true, p.now)
	planner.Polled(ids[1], p.engines[1].Started, true, p.now)
	planner.Polled(ids[2], p.engines[2].Started, false, polled)
	p.engines[2].Blocked = true
	plan = planner.Plan(p.engines, polled.Add(100*time.Millisecond))
	if len(plan.Orders) != 1 || len(plan.Reserved) != 3 {
		t.Errorf("beside two engines that load: %d orders, %d reserved; want 1, 3", len(plan.Orders), len(plan.Reserved))
	}
	for _, o := range plan.Orders {
		if o.Engine == ids[2] {
			t.Error("an engine is ordered that must not be ordered yet")
		}
	}
}

// A report may be older than the predecessor's last order.
func TestOldReportDoesNotFreePlaceOfLoadingEngine(t *testing.T) {
	for _, seen := range []bool{false, true} {
		p := newEngineSim(12)
		for i := range p.engines {
			p.engines[i].Running = 0
		}
		p.setWanted(2)
		planner := NewPlanner(DefaultSettings())
		ids := []backend.ID{p.engines[0].ID, p.engines[1].ID, p.engines[2].ID}
		planner.Adopt(p.engines, ids, p.now)
		planner.Plan(p.engines, p.now)
		polled := p.now.Add(200 * time.Millisecond)
		for i := range ids {
			p.engines[i].Blocked = true
			if seen {
				planner.Polled(ids[i], p.engines[i].Started, true, p.now)
			}
			planner.Polled(ids[i], p.engines[i].Started, false, polled)
		}
		plan := planner.Plan(p.engines, polled.Add(100*time.Millisecond))
		if n := len(plan.Orders); n > 0 {
			t.Errorf("seen to load %v: %d engines are ordered beside 3 that load; %d may load at once", seen, n, plan.MaxLoading)
		}
	}
}

// An engine that the predecessor took out of service a drain time ago is ordered at once, although it
// still has runs.
func TestReservedEnginesDrainAgain(t *testing.T) {
	p := newEngineSim(12)
	for i := range p.engines {
		p.engines[i].Running = 3
	}
	p.setWanted(2)
	settings := DefaultSettings()
	planner := NewPlanner(settings)
	planner.AdoptReserved(p.engines, map[backend.ID]time.Time{
		p.engines[0].ID: p.now.Add(-settings.DrainWait),
		p.engines[1].ID: p.now.Add(-settings.DrainWait / 2),
		"gone":          p.now.Add(-settings.DrainWait),
	})
	plan := planner.Plan(p.engines, p.now)
	if len(plan.Orders) != 1 || plan.Orders[0].Engine != p.engines[0].ID {
		t.Errorf("orders %+v, want one to the engine that has drained", plan.Orders)
	}
	if len(plan.Reserved) != 3 {
		t.Errorf("%d engines are reserved, want 3", len(plan.Reserved))
	}
}

// The rest of a load that another VM has ordered doesn't tell how long a load takes.
func TestLoadOfPredecessorIsNotMeasured(t *testing.T) {
	p := newEngineSim(12)
	p.setWanted(2)
	planner := NewPlanner(DefaultSettings())
	e := &p.engines[0]
	planner.AdoptReserved(p.engines, map[backend.ID]time.Time{e.ID: p.now.Add(-time.Minute)})
	for _, o := range planner.Plan(p.engines, p.now).Orders {
		planner.Sent(o, p.now)
		planner.Busy(o)
	}
	e.Held = 2
	if got := planner.Plan(p.engines, p.now.Add(100*time.Millisecond)).LoadTime; got != DefaultSettings().LoadTime {
		t.Errorf("load time %v after the rest of a load", got)
	}
}
