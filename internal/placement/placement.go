// Package placement plans which engine holds which model in which weights
// version. A plan depends only on a snapshot and on the planner's earlier state.
// The planner never unloads a copy except to replace it: a copy stays until its
// slot is needed for a model with too few copies, so fluctuating demand moves no
// copies.
package placement

import (
	"maps"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/order"
)

// Settings are the limits of the planner.
type Settings struct {
	// MaxLoading bounds the number of engines that load weights concurrently,
	// across the fleet. More concurrent loads slow each other down.
	MaxLoading int
	// MinResidency is the least time for which a loaded copy stays before it
	// may be evicted for another model.
	MinResidency time.Duration
	// RaiseAfter is the time for which demand must exceed the present number of
	// copies before a copy is added.
	RaiseAfter time.Duration
	// LowerAfter is the time for which demand must be below the present number
	// of copies before a copy may be replaced by one of another model.
	LowerAfter time.Duration
	// ObservationTime is the time for which a new planner orders no changes, so
	// that loads ordered by an earlier planner appear in the reports.
	ObservationTime time.Duration
	// LoadTimeout is the time after which an unfinished load counts as failed.
	LoadTimeout time.Duration
}

// DefaultSettings returns settings for engines that load weights in two to three
// seconds.
func DefaultSettings() Settings {
	return Settings{
		MaxLoading:      3,
		MinResidency:    60 * time.Second,
		RaiseAfter:      5 * time.Second,
		LowerAfter:      60 * time.Second,
		ObservationTime: 5 * time.Second,
		LoadTimeout:     30 * time.Second,
	}
}

// Model is a model with its wanted weights version and its demand.
type Model struct {
	Name string
	// Version is the weights version that engines must run.
	Version string
	// Replicas is the configured least number of copies.
	Replicas int
	// Demand is the load in units of fully used engines, such as 1.5.
	Demand float64
}

// Engine is the last known state of one engine.
type Engine struct {
	ID backend.ID
	// Models lists the models that the engine may hold.
	Models []string
	// Slots is the number of models that the engine can hold at the same time.
	Slots int
	// Holds are the loaded weights that the engine reports.
	Holds order.Weights
	// Leaving marks an engine that is being drained: it gets no orders, and its
	// copies don't count.
	Leaving bool
}

// Snapshot is the input of the planner. Models and Engines are sorted.
type Snapshot struct {
	Now     time.Time
	Models  []Model
	Engines []Engine
}

// Change is the new desired state of one engine.
type Change struct {
	Engine  backend.ID
	Desired order.Weights
	// Model is the model that the change loads.
	Model  string
	Reason Reason
}

// Reason says why a change is made.
type Reason string

const (
	// Short means that the model has too few copies for its demand.
	Short Reason = "short"
	// Rollout means that a copy of the model has an old weights version.
	Rollout Reason = "rollout"
	// Idle means that the engine held no model.
	Idle Reason = "idle"
)

// load is a load of weights that was ordered and is not reported as done yet.
type load struct {
	model   string
	version string
	since   time.Time
}

// copyKey identifies the copy of a model on an engine.
type copyKey struct {
	engine backend.ID
	model  string
}

// Planner plans changes and keeps its state between calls.
type Planner struct {
	settings Settings
	// firstPlan is the time of the first call of Plan.
	firstPlan time.Time
	desired   map[backend.ID]order.Weights
	loading   map[backend.ID]load
	loadedAt  map[copyKey]time.Time
	// aboveSince and belowSince are the times since when a model's demand has
	// been above and below its present number of copies.
	aboveSince, belowSince map[string]time.Time
}

// NewPlanner returns a planner without earlier state.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings:   s,
		desired:    map[backend.ID]order.Weights{},
		loading:    map[backend.ID]load{},
		loadedAt:   map[copyKey]time.Time{},
		aboveSince: map[string]time.Time{},
		belowSince: map[string]time.Time{},
	}
}

// Desired returns the desired state of an engine: the ordered state while it
// loads, otherwise the reported state. It returns false for an unknown engine.
func (p *Planner) Desired(id backend.ID) (order.Weights, bool) {
	w, ok := p.desired[id]
	return w, ok
}

// Loading returns the number of engines that are loading weights.
func (p *Planner) Loading() int { return len(p.loading) }

// Plan returns the changes to order now. Together with the loads in progress
// they don't exceed MaxLoading.
func (p *Planner) Plan(s Snapshot) []Change {
	p.observe(s)
	if p.firstPlan.IsZero() {
		p.firstPlan = s.Now
	}
	if s.Now.Sub(p.firstPlan) < p.settings.ObservationTime {
		return nil
	}
	f := newFleet(p, s)
	var changes []Change
	for len(p.loading) < p.settings.MaxLoading {
		c, ok := p.nextShort(f)
		if !ok {
			c, ok = p.nextRollout(f)
		}
		if !ok {
			c, ok = p.nextFill(f)
		}
		if !ok {
			return changes
		}
		p.startLoad(f, c)
		changes = append(changes, c)
	}
	return changes
}

// observe ends the loads that are reported as done or have timed out. The desired
// state of an engine that loads nothing is its reported state, so that an engine
// that restarted empty is filled again within the limit of concurrent loads.
func (p *Planner) observe(s Snapshot) {
	present := map[backend.ID]bool{}
	for _, e := range s.Engines {
		present[e.ID] = true
		l, ok := p.loading[e.ID]
		if ok && e.Holds[l.model] == l.version {
			p.loadedAt[copyKey{e.ID, l.model}] = s.Now
			ok = false
		}
		if !ok || s.Now.Sub(l.since) >= p.settings.LoadTimeout {
			delete(p.loading, e.ID)
			p.desired[e.ID] = maps.Clone(e.Holds)
		}
	}
	for id := range p.desired {
		if !present[id] {
			delete(p.desired, id)
			delete(p.loading, id)
		}
	}
}

func (p *Planner) startLoad(f *fleet, c Change) {
	p.desired[c.Engine] = c.Desired
	p.loading[c.Engine] = load{model: c.Model, version: c.Desired[c.Model], since: f.Now}
	delete(p.aboveSince, c.Model)
	f.count(p)
}
