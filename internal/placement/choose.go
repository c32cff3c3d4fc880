package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/order"
)

// fleet is a snapshot with the number of copies of each model.
type fleet struct {
	Snapshot
	models map[string]Model
	// ready counts the loaded copies of any version, without those that a
	// pending change replaces.
	ready map[string]int
	// current counts the ready copies of the wanted version.
	current map[string]int
	// loadingCopies counts the copies of the wanted version that are being loaded.
	loadingCopies map[string]int
	// target is the number of copies that each model should have.
	target map[string]int
}

func newFleet(p *Planner, s Snapshot) *fleet {
	f := &fleet{Snapshot: s, models: map[string]Model{}, target: map[string]int{}}
	for _, m := range s.Models {
		f.models[m.Name] = m
	}
	f.count(p)
	for _, m := range s.Models {
		f.target[m.Name] = p.target(f, m)
	}
	return f
}

func (f *fleet) count(p *Planner) {
	f.ready, f.current, f.loadingCopies = map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range f.Engines {
		if e.Leaving {
			continue
		}
		l, loading := p.loading[e.ID]
		if loading && f.models[l.model].Version == l.version {
			f.loadingCopies[l.model]++
		}
		for model, version := range e.Holds {
			if p.desired[e.ID][model] != version {
				continue // a pending change replaces it
			}
			f.ready[model]++
			if version == f.models[model].Version {
				f.current[model]++
			}
		}
	}
}

// minCopies returns the least number of copies of a model, whatever its demand.
func minCopies(m Model) int { return max(m.Replicas, 1) }

// target returns the number of copies that a model should have. It follows the
// demand only once the demand has been above the present number for RaiseAfter
// or below it for LowerAfter; a model below its least number is raised at once.
func (p *Planner) target(f *fleet, m Model) int {
	have := f.ready[m.Name] + f.loadingCopies[m.Name]
	want := max(int(math.Ceil(m.Demand)), minCopies(m))
	p.trackSince(p.aboveSince, m.Name, want > have, f.Now)
	p.trackSince(p.belowSince, m.Name, want < have, f.Now)
	switch {
	case have < minCopies(m):
		return want
	case want > have && f.Now.Sub(p.aboveSince[m.Name]) >= p.settings.RaiseAfter:
		return want
	case want < have && f.Now.Sub(p.belowSince[m.Name]) >= p.settings.LowerAfter:
		return want
	default:
		return have
	}
}

// trackSince records the time since when a condition holds for a model and
// removes it when the condition ends.
func (p *Planner) trackSince(since map[string]time.Time, model string, holds bool, now time.Time) {
	if !holds {
		delete(since, model)
		return
	}
	if _, ok := since[model]; !ok {
		since[model] = now
	}
}

// nextShort returns a change that adds a copy of the model that is furthest
// below its target and for which an engine is available.
func (p *Planner) nextShort(f *fleet) (Change, bool) {
	models := slices.Clone(f.Models)
	slices.SortStableFunc(models, func(a, b Model) int { return f.shortage(b) - f.shortage(a) })
	for _, m := range models {
		if f.shortage(m) <= 0 {
			break
		}
		if c, ok := p.place(f, m, Short); ok {
			return c, true
		}
	}
	return Change{}, false
}

// shortage returns the number of copies that the model lacks, negative if it
// has more than its target.
func (f *fleet) shortage(m Model) int {
	return f.target[m.Name] - f.ready[m.Name] - f.loadingCopies[m.Name]
}

// nextRollout returns a change that brings one more copy of a model to the
// wanted version. One copy of a model is rolled out at a time. The new copy goes
// to a free slot or replaces an unneeded copy of another model where possible,
// so that capacity does not drop during the load; otherwise an old copy is
// replaced in place if another copy serves.
func (p *Planner) nextRollout(f *fleet) (Change, bool) {
	for _, m := range f.Models {
		old := f.ready[m.Name] - f.current[m.Name]
		if old <= 0 || f.loadingCopies[m.Name] > 0 {
			continue
		}
		enough := f.ready[m.Name] > f.target[m.Name]
		if !enough {
			if c, ok := p.place(f, m, Rollout); ok {
				return c, true
			}
		}
		if c, ok := p.replaceOld(f, m); ok {
			return c, true
		}
	}
	return Change{}, false
}

// replaceOld returns a change that loads the wanted version in place of an old
// copy, unless it is the only copy that serves.
func (p *Planner) replaceOld(f *fleet, m Model) (Change, bool) {
	if f.ready[m.Name] <= 1 {
		return Change{}, false
	}
	for _, e := range f.Engines {
		version, ok := p.desired[e.ID][m.Name]
		if !p.usable(e) || !ok || version == m.Version || e.Holds[m.Name] != version {
			continue
		}
		return p.change(e, m, "", Rollout), true
	}
	return Change{}, false
}

// nextFill returns a change that loads a model on an engine that holds none, such
// as one that restarted with an empty memory. The model is the one with the most
// demand per copy, counting the new one.
func (p *Planner) nextFill(f *fleet) (Change, bool) {
	for _, e := range f.Engines {
		if !p.usable(e) || len(p.desired[e.ID]) > 0 {
			continue
		}
		best, pressure := Model{}, -1.0
		for _, m := range f.Models {
			perCopy := m.Demand / float64(f.ready[m.Name]+f.loadingCopies[m.Name]+1)
			if perCopy > pressure && slices.Contains(e.Models, m.Name) {
				best, pressure = m, perCopy
			}
		}
		if pressure >= 0 {
			return p.change(e, best, "", Idle), true
		}
	}
	return Change{}, false
}

// place returns a change that adds a copy of m on an engine with a free slot, or
// else on an engine that can evict a copy of another model.
func (p *Planner) place(f *fleet, m Model, reason Reason) (Change, bool) {
	var victim string
	best := -1
	for i, e := range f.Engines {
		if _, has := p.desired[e.ID][m.Name]; has || !p.usable(e) || !slices.Contains(e.Models, m.Name) {
			continue
		}
		if len(p.desired[e.ID]) < e.Slots {
			return p.change(e, m, "", reason), true
		}
		if v, ok := p.evictable(f, e); ok && best < 0 {
			best, victim = i, v
		}
	}
	if best < 0 {
		return Change{}, false
	}
	return p.change(f.Engines[best], m, victim, reason), true
}

// usable reports whether a change may be ordered on the engine.
func (p *Planner) usable(e Engine) bool {
	_, loading := p.loading[e.ID]
	return !e.Leaving && !loading
}

// evictable returns a model whose copy on the engine can be evicted: it is not
// configured any more, or it has stayed for MinResidency and the other copies
// meet the model's target.
func (p *Planner) evictable(f *fleet, e Engine) (string, bool) {
	for _, model := range slices.Sorted(maps.Keys(p.desired[e.ID])) {
		if e.Holds[model] != p.desired[e.ID][model] {
			continue
		}
		m, known := f.models[model]
		if !known {
			return model, true
		}
		resident := f.Now.Sub(p.loadedAt[copyKey{e.ID, model}]) >= p.settings.MinResidency
		remaining := f.ready[model] - 1
		if resident && remaining >= minCopies(m) && remaining+f.loadingCopies[model] >= f.target[model] {
			return model, true
		}
	}
	return "", false
}

// change returns a change of the engine that loads m and evicts victim, if any.
func (p *Planner) change(e Engine, m Model, victim string, reason Reason) Change {
	desired := order.Weights{}
	maps.Copy(desired, p.desired[e.ID])
	delete(desired, victim)
	desired[m.Name] = m.Version
	return Change{Engine: e.ID, Desired: desired, Model: m.Name, Reason: reason}
}
