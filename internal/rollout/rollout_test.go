package rollout

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// engineSim simulates engines that load weights.
type engineSim struct {
	now     time.Time
	engines []Engine
	// loadEnds and loadingVersion are the end and the version of each load in progress.
	loadEnds       map[backend.ID]time.Time
	loadingVersion map[backend.ID]uint64
	// noAck holds the engines that execute orders without acknowledging them.
	noAck map[backend.ID]bool
	// maxLoading is the largest number of engines that loaded at once.
	maxLoading int
	orderCount map[backend.ID]int
}

const loadTime = 1900 * time.Millisecond

func newEngineSim(n int) *engineSim {
	p := &engineSim{now: time.Unix(1000, 0), loadEnds: map[backend.ID]time.Time{}, loadingVersion: map[backend.ID]uint64{}, noAck: map[backend.ID]bool{}, orderCount: map[backend.ID]int{}}
	for i := range n {
		p.engines = append(p.engines, Engine{
			ID: backend.ID(fmt.Sprintf("e%02d", i)), Started: 1, FailureDomain: fmt.Sprint(i % 3),
			Model: "m", Held: 1, Wanted: 1, Running: i % 4,
		})
	}
	return p
}

func (p *engineSim) setWanted(version uint64) {
	for i := range p.engines {
		p.engines[i].Wanted = version
	}
}

// step simulates a tenth of a second.
func (p *engineSim) step(planner *Planner) Plan {
	p.now = p.now.Add(100 * time.Millisecond)
	for i := range p.engines {
		e := &p.engines[i]
		if at, ok := p.loadEnds[e.ID]; ok && !p.now.Before(at) {
			e.Held = p.loadingVersion[e.ID]
			delete(p.loadEnds, e.ID)
		}
	}
	plan := planner.Plan(p.engines, p.now)
	reserved := map[backend.ID]bool{}
	for _, id := range plan.Reserved {
		reserved[id] = true
	}
	for i := range p.engines {
		if e := &p.engines[i]; reserved[e.ID] && e.Running > 0 && p.now.UnixMilli()%300 == 0 {
			e.Running--
		}
	}
	for _, o := range plan.Orders {
		planner.Sent(o, p.now)
		p.orderCount[o.Engine]++
		if _, busy := p.loadEnds[o.Engine]; busy {
			continue
		}
		p.loadEnds[o.Engine], p.loadingVersion[o.Engine] = p.now.Add(loadTime), o.Version
		if !p.noAck[o.Engine] {
			planner.Accepted(o)
		}
	}
	p.maxLoading = max(p.maxLoading, len(p.loadEnds))
	return plan
}

func (p *engineSim) behind() int {
	n := 0
	for _, e := range p.engines {
		if e.Held < e.Wanted {
			n++
		}
	}
	return n
}

// 18 engines load three at a time for 1.9 s each, which takes 11.4 s. The first drain and
// the interval between plans may add two seconds.
func TestRolloutWithoutPauses(t *testing.T) {
	p := newEngineSim(18)
	planner := NewPlanner(DefaultSettings())
	p.setWanted(2)
	began := p.now
	for p.behind() > 0 && p.now.Sub(began) < time.Minute {
		p.step(planner)
	}
	if took := p.now.Sub(began); took > 13400*time.Millisecond {
		t.Errorf("the roll-out took %v", took)
	}
	if p.maxLoading > 3 {
		t.Errorf("%d engines loaded at once", p.maxLoading)
	}
	if plan := p.step(planner); len(plan.Reserved)+len(plan.Orders) != 0 {
		t.Errorf("plan after the end: %+v", plan)
	}
}

// The first three engines to load are in three failure domains.
func TestFirstEnginesSpreadOverDomains(t *testing.T) {
	p := newEngineSim(18)
	p.setWanted(2)
	plan := NewPlanner(DefaultSettings()).Plan(p.engines, p.now)
	domains := map[string]bool{}
	for _, id := range plan.Reserved {
		for _, e := range p.engines {
			if e.ID == id {
				domains[e.FailureDomain] = true
			}
		}
	}
	if len(plan.Reserved) != 3 || len(domains) != 3 {
		t.Errorf("reserved %v in %d domains", plan.Reserved, len(domains))
	}
}

// Engines that don't load a version yet skip it when a newer one is named.
func TestSupersededVersionIsSkipped(t *testing.T) {
	p := newEngineSim(18)
	planner := NewPlanner(DefaultSettings())
	p.setWanted(2)
	for range 40 {
		p.step(planner)
	}
	p.setWanted(3)
	loads := 0
	for _, n := range p.orderCount {
		loads += n
	}
	for range 200 {
		p.step(planner)
	}
	total := 0
	for _, n := range p.orderCount {
		total += n
	}
	if p.behind() != 0 || total-loads > 18 {
		t.Errorf("%d engines behind, %d loads after the second version was named", p.behind(), total-loads)
	}
}

// An unacknowledged order is sent again, and the load of a removed engine is dropped.
func TestUnacknowledgedOrderAndRemovedEngine(t *testing.T) {
	p := newEngineSim(3)
	planner := NewPlanner(DefaultSettings())
	p.noAck["e00"] = true
	p.setWanted(2)
	for range 15 {
		p.step(planner)
	}
	p.engines = p.engines[:2]
	for range 60 {
		p.step(planner)
	}
	if p.behind() != 0 || p.orderCount["e00"] < 2 {
		t.Errorf("%d engines behind, %d orders to the engine that doesn't acknowledge", p.behind(), p.orderCount["e00"])
	}
	planner.Reset()
	if plan := planner.Plan(p.engines, p.now); len(plan.Reserved) != 0 {
		t.Errorf("reserved after a reset: %v", plan.Reserved)
	}
}

// newSimWithCrashed returns a simulation of n engines, and the IDs of those that have crashed
// and are still listed.
func newSimWithCrashed(n, crashed int) (p *engineSim, crashedIDs map[backend.ID]bool) {
	p, crashedIDs = newEngineSim(n), map[backend.ID]bool{}
	for i := range crashed {
		crashedIDs[p.engines[i].ID] = true
	}
	return p, crashedIDs
}

// runRollout simulates a roll-out. It returns the time until all engines that haven't crashed
// hold the named version, and for how long no engine could serve: an engine on old weights
// may not serve after the bound.
func (p *engineSim) runRollout(planner *Planner, crashedIDs map[backend.ID]bool, loadDuration func(loading int) time.Duration, bound time.Duration) (took, unserved time.Duration) {
	const step = 100 * time.Millisecond
	began := p.now
	for p.now.Sub(began) < time.Minute {
		p.now = p.now.Add(step)
		behind, serving := 0, 0
		for i := range p.engines {
			e := &p.engines[i]
			if at, ok := p.loadEnds[e.ID]; ok && !p.now.Before(at) {
				e.Held = p.loadingVersion[e.ID]
				delete(p.loadEnds, e.ID)
			}
			e.Behind = 0
			if e.Held < e.Wanted {
				e.Behind = p.now.Sub(began)
				if !crashedIDs[e.ID] {
					behind++
				}
			}
			if !crashedIDs[e.ID] && p.loadEnds[e.ID].IsZero() && e.Behind < bound {
				serving++
			}
		}
		if behind == 0 {
			return p.now.Sub(began), unserved
		}
		if serving == 0 {
			unserved += step
		}
		for _, o := range planner.Plan(p.engines, p.now).Orders {
			planner.Sent(o, p.now)
			p.orderCount[o.Engine]++
			if crashedIDs[o.Engine] {
				planner.Unanswered(o, p.now)
				continue
			}
			if _, busy := p.loadEnds[o.Engine]; !busy {
				p.loadEnds[o.Engine], p.loadingVersion[o.Engine] = p.now.Add(loadDuration(len(p.loadEnds)+1)), o.Version
				planner.Accepted(o)
				p.maxLoading = max(p.maxLoading, len(p.loadEnds))
			}
		}
	}
	return time.Minute, unserved
}

// Crashed engines are listed until their rows expire. While they counted against the limit of
// concurrent loads, no engine had new weights when the bound of the old ones passed, and every
// request was refused.
func TestCrashedEnginesDoNotBlockARollOut(t *testing.T) {
	const bound = 6 * time.Second
	p, crashedIDs := newSimWithCrashed(12, 4)
	s := DefaultSettings()
	s.VersionBound = bound
	p.setWanted(2)
	took, unserved := p.runRollout(NewPlanner(s), crashedIDs, func(int) time.Duration { return 300 * time.Millisecond }, bound)
	if took > bound || unserved > 0 {
		t.Errorf("the roll-out took %v, no engine could serve for %v", took, unserved)
	}
	for id := range crashedIDs {
		if n := p.orderCount[id]; n > int(took/s.RetryAfter)+1 {
			t.Errorf("%s was tried %d times in %v", id, n, took)
		}
	}
}

// With slow loads and a short bound, more engines must load at once than the usual limit.
func TestRollOutMeetsTheBound(t *testing.T) {
	const bound = 9 * time.Second
	p, _ := newSimWithCrashed(24, 0)
	s := DefaultSettings()
	s.VersionBound = bound
	p.setWanted(2)
	took, _ := p.runRollout(NewPlanner(s), nil, func(int) time.Duration { return 1500 * time.Millisecond }, bound)
	if took > bound {
		t.Errorf("the roll-out took %v", took)
	}
	if p.maxLoading > 12 {
		t.Errorf("%d of 24 engines loaded at once", p.maxLoading)
	}
}

// When concurrent loads slow each other, a higher limit takes more engines out of service and
// doesn't end the roll-out sooner.
func TestLoadsThatSlowEachOtherDoNotRaiseTheLimit(t *testing.T) {
	const bound = 12 * time.Second
	totalOutOfService := func(bound time.Duration) (outOfService time.Duration) {
		p, _ := newSimWithCrashed(18, 0)
		s := DefaultSettings()
		s.VersionBound = bound
		p.setWanted(2)
		p.runRollout(NewPlanner(s), nil, func(loading int) time.Duration {
			duration := time.Duration(max(1, float64(loading)/3) * float64(2500*time.Millisecond))
			outOfService += duration
			return duration
		}, bound)
		return outOfService
	}
	if bounded, unbounded := totalOutOfService(bound), totalOutOfService(0); bounded > unbounded*3/2 {
		t.Errorf("engines were out of service for %v in all, %v without a bound", bounded, unbounded)
	}
}
