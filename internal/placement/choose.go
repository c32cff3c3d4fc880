package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/order"
)

// fleet is a snapshot with the copies counted.
type fleet struct {
	Snapshot
	models map[string]Model
	// ready counts the copies of any version that serve now, without those
	// that an order replaces.
	ready map[string]int
	// current counts the ready copies of the wanted version.
	current map[string]int
	// coming counts the copies of the wanted version that load.
	coming map[string]int
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
	f.ready, f.current, f.coming = map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range f.Engines {
		if e.Leaving {
			continue
		}
		l, loading := p.loading[e.ID]
		if loading && f.models[l.model].Version == l.version {
			f.coming[l.model]++
		}
		for model, version := range e.Holds {
			if p.desired[e.ID][model] != version {
				continue // an order replaces it
			}
			f.ready[model]++
			if version == f.models[model].Version {
				f.current[model]++
			}
		}
	}
}

// least returns the number of copies that a model always keeps.
func least(m Model) int { return max(m.Replicas, 1) }

// target returns the number of copies that a model should have. It follows
// the demand only once that has asked for another number for long enough.
func (p *Planner) target(f *fleet, m Model) int {
	have := f.ready[m.Name] + f.coming[m.Name]
	want := max(int(math.Ceil(m.Demand)), least(m))
	p.note(p.above, m.Name, want > have, f.Now)
	p.note(p.below, m.Name, want < have, f.Now)
	switch {
	case have < least(m):
		return want
	case want > have && f.Now.Sub(p.above[m.Name]) >= p.settings.RaiseAfter:
		return want
	case want < have && f.Now.Sub(p.below[m.Name]) >= p.settings.LowerAfter:
		return want
	default:
		return have
	}
}

// note keeps the time since when a condition has held.
func (p *Planner) note(since map[string]time.Time, model string, holds bool, now time.Time) {
	if !holds {
		delete(since, model)
		return
	}
	if _, ok := since[model]; !ok {
		since[model] = now
	}
}

// nextShort returns a change that adds a copy of the model that is furthest
// below its target.
func (p *Planner) nextShort(f *fleet) (Change, bool) {
	models := slices.Clone(f.Models)
	slices.SortStableFunc(models, func(a, b Model) int { return f.lack(b) - f.lack(a) })
	for _, m := range models {
		if f.lack(m) <= 0 {
			break
		}
		if c, ok := p.place(f, m, Short); ok {
			return c, true
		}
	}
	return Change{}, false
}

func (f *fleet) lack(m Model) int {
	return f.target[m.Name] - f.ready[m.Name] - f.coming[m.Name]
}

// nextRollout returns a change that brings one more copy of a model to the
// wanted version. One copy of a model is rolled out at a time. A spare slot is
// used first, so that no copy is missing meanwhile; else a copy is replaced in
// place if another one serves.
func (p *Planner) nextRollout(f *fleet) (Change, bool) {
	for _, m := range f.Models {
		old := f.ready[m.Name] - f.current[m.Name]
		if old <= 0 || f.coming[m.Name] > 0 {
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

// replaceOld loads the wanted version in place of an old copy.
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

// nextFill gives an engine that holds nothing, such as one that came back
// empty, a copy of the model with the most demand for each copy.
func (p *Planner) nextFill(f *fleet) (Change, bool) {
	for _, e := range f.Engines {
		if !p.usable(e) || len(p.desired[e.ID]) > 0 {
			continue
		}
		best, pressure := Model{}, -1.0
		for _, m := range f.Models {
			each := m.Demand / float64(f.ready[m.Name]+f.coming[m.Name]+1)
			if each > pressure && slices.Contains(e.Models, m.Name) {
				best, pressure = m, each
			}
		}
		if pressure >= 0 {
			return p.change(e, best, "", Idle), true
		}
	}
	return Change{}, false
}

// place finds an engine for one more copy: one with a free slot, else one
// whose copy of another model is not needed.
func (p *Planner) place(f *fleet, m Model, why Reason) (Change, bool) {
	var victim string
	best := -1
	for i, e := range f.Engines {
		if _, has := p.desired[e.ID][m.Name]; has || !p.usable(e) || !slices.Contains(e.Models, m.Name) {
			continue
		}
		if len(p.desired[e.ID]) < e.Slots {
			return p.change(e, m, "", why), true
		}
		if v, ok := p.spare(f, e); ok && best < 0 {
			best, victim = i, v
		}
	}
	if best < 0 {
		return Change{}, false
	}
	return p.change(f.Engines[best], m, victim, why), true
}

func (p *Planner) usable(e Engine) bool {
	_, loading := p.loading[e.ID]
	return !e.Leaving && !loading
}

// spare returns a model of the engine that can spare this copy.
func (p *Planner) spare(f *fleet, e Engine) (string, bool) {
	for _, model := range slices.Sorted(maps.Keys(p.desired[e.ID])) {
		if e.Holds[model] != p.desired[e.ID][model] {
			continue
		}
		m, known := f.models[model]
		if !known {
			return model, true
		}
		dwelled := f.Now.Sub(p.loadedAt[slot{e.ID, model}]) >= p.settings.Dwell
		stays := f.ready[model] - 1
		if dwelled && stays >= least(m) && stays+f.coming[model] >= f.target[model] {
			return model, true
		}
	}
	return "", false
}

func (p *Planner) change(e Engine, m Model, victim string, why Reason) Change {
	desired := order.Weights{}
	maps.Copy(desired, p.desired[e.ID])
	delete(desired, victim)
	desired[m.Name] = m.Version
	return Change{Engine: e.ID, Desired: desired, Model: m.Name, Reason: why}
}
