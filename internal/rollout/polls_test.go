package rollout

import (
	"testing"
	"time"
)

// polledSim simulates engines whose weights become known by polls alone.
type polledSim struct {
	*engineSim
	planner *Planner
	load    time.Duration
}

// rollOut plays a roll-out of a version and returns how long it took.
func (p *polledSim) rollOut(version uint64) time.Duration {
	p.setWanted(version)
	began := p.now
	for p.behind() > 0 && p.now.Sub(began) < time.Minute {
		p.now = p.now.Add(100 * time.Millisecond)
		for i := range p.engines {
			p.engines[i].Behind = p.now.Sub(began)
		}
		plan := p.planner.Plan(p.engines, p.now)
		for _, o := range plan.Orders {
			p.planner.Sent(o, p.now)
			p.planner.Accepted(o)
			p.loadEnds[o.Engine], p.loadingVersion[o.Engine] = p.now.Add(p.load), o.Version
		}
		for _, id := range plan.Polls {
			for i := range p.engines {
				if e := &p.engines[i]; e.ID == id && !p.now.Before(p.loadEnds[id]) {
					e.Held = p.loadingVersion[id]
				}
			}
		}
	}
	return p.now.Sub(began)
}

func TestSlowLoadsDelayPollsOfLaterOnes(t *testing.T) {
	const bound = 6 * time.Second
	settings := DefaultSettings()
	settings.VersionBound = bound
	p := &polledSim{engineSim: newEngineSim(12), planner: NewPlanner(settings), load: 300 * time.Millisecond}
	p.rollOut(2)
	p.load = 3 * time.Second
	p.rollOut(3)
	p.load = 300 * time.Millisecond
	if took := p.rollOut(4); took > bound {
		t.Errorf("a roll-out of loads of %v took %v after one of slow loads, which exceeds its bound of %v", p.load, took, bound)
	}
}
