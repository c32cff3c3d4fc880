package rollout

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// runRolloutBesideLongRuns plays a roll-out in which some engines have runs that last for a time after
// their order, before they load. It returns the longest time that an engine lacked the version.
func runRolloutBesideLongRuns(t *testing.T, slow int, runs, bound time.Duration) (took time.Duration) {
	t.Helper()
	const load = 300 * time.Millisecond
	settings := DefaultSettings()
	settings.VersionBound = bound
	planner := NewPlanner(settings)
	p := newEngineSim(12)
	runsEnd := map[backend.ID]time.Time{}
	for i := range p.engines {
		p.engines[i].Running = 0
		if i < slow {
			p.engines[i].Running = 3
		}
	}
	p.setWanted(2)
	began := p.now
	for p.behind() > 0 && p.now.Sub(began) < time.Minute {
		p.now = p.now.Add(100 * time.Millisecond)
		for i := range p.engines {
			e := &p.engines[i]
			e.Behind = p.now.Sub(began)
			if at, ok := runsEnd[e.ID]; ok && !p.now.Before(at) {
				e.Running = 0
			}
			if at, ok := p.loadEnds[e.ID]; ok && !p.now.Before(at) {
				e.Held = p.loadingVersion[e.ID]
				delete(p.loadEnds, e.ID)
			}
		}
		for _, o := range planner.Plan(p.engines, p.now).Orders {
			planner.Sent(o, p.now)
			planner.Accepted(o)
			for _, e := range p.engines {
				if e.ID != o.Engine {
					continue
				}
				end := p.now
				if e.Running > 0 {
					end = end.Add(runs)
					runsEnd[e.ID] = end
				}
				p.loadEnds[e.ID], p.loadingVersion[e.ID] = end.Add(load), o.Version
			}
		}
	}
	return p.now.Sub(began)
}

func TestEnginesThatFinishRunsHoldUpRollOut(t *testing.T) {
	const bound = 6 * time.Second
	for _, slow := range []int{3, 4, 6} {
		// The last engine's runs begin to count when its order is sent.
		if took := runRolloutBesideLongRuns(t, slow, 3*time.Second, bound); took > bound {
			t.Errorf("with %d engines whose runs last 3s, the roll-out took %v, which exceeds its bound of %v", slow, took, bound)
		}
	}
}
