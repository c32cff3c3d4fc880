// Package placement plans which engine holds which model in which weights
// version. The planner is a pure function of a snapshot and of its own earlier
// state. It only ever replaces: a copy stays where it is until its slot is
// needed for a model that is short, so demand that comes and goes moves
// nothing.
package placement

import (
	"maps"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/order"
)

// Settings are the limits of the planner.
type Settings struct {
	// MaxLoading bounds the engines that load weights at once, fleet-wide.
	// Engines load slower beyond it.
	MaxLoading int
	// Dwell is how long a loaded copy stays at least.
	Dwell time.Duration
	// RaiseAfter is how long demand must be above the present number of copies
	// before a copy is added.
	RaiseAfter time.Duration
	// LowerAfter is how long demand must be below the present number of copies
	// before a copy may be given to another model.
	LowerAfter time.Duration
	// Settle is how long a new planner only watches, so that the loads that an
	// earlier one ordered show in the reports.
	Settle time.Duration
	// LoadTimeout is when a load that did not finish is taken as failed.
	LoadTimeout time.Duration
}

// DefaultSettings suit engines that load weights in two to three seconds.
func DefaultSettings() Settings {
	return Settings{
		MaxLoading:  3,
		Dwell:       60 * time.Second,
		RaiseAfter:  5 * time.Second,
		LowerAfter:  60 * time.Second,
		Settle:      5 * time.Second,
		LoadTimeout: 30 * time.Second,
	}
}

// Model is a model and what it needs.
type Model struct {
	Name string
	// Version is the weights version that engines must run.
	Version string
	// Replicas is the least number of copies.
	Replicas int
	// Demand is the load in engines: 1.5 keeps one and a half engines busy.
	Demand float64
}

// Engine is one engine as it was last read.
type Engine struct {
	ID backend.ID
	// Models are those that the engine may hold.
	Models []string
	// Slots is the number of models that it can hold at once.
	Slots int
	// Holds are the weights that it reports.
	Holds order.Weights
	// Leaving engines get no orders and count as no capacity.
	Leaving bool
}

// Snapshot is what the planner decides on. Models and Engines are sorted.
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
	// Rollout means that the copy has an old weights version.
	Rollout Reason = "rollout"
	// Idle means that the engine held nothing.
	Idle Reason = "idle"
)

// load is a copy that was ordered and not yet reported.
type load struct {
	model   string
	version string
	since   time.Time
}

// slot names the copy of a model on an engine.
type slot struct {
	engine backend.ID
	model  string
}

// Planner keeps what the planner must remember between two calls.
type Planner struct {
	settings Settings
	started  time.Time
	desired  map[backend.ID]order.Weights
	loading  map[backend.ID]load
	loadedAt map[slot]time.Time
	// above and below say since when a model's demand asks for more copies
	// or for fewer.
	above, below map[string]time.Time
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s,
		desired:  map[backend.ID]order.Weights{},
		loading:  map[backend.ID]load{},
		loadedAt: map[slot]time.Time{},
		above:    map[string]time.Time{},
		below:    map[string]time.Time{},
	}
}

// Desired returns the desired state of an engine: what was ordered while it
// loads, else what it reported.
func (p *Planner) Desired(id backend.ID) (order.Weights, bool) {
	w, ok := p.desired[id]
	return w, ok
}

// Loading returns the number of engines that are loading.
func (p *Planner) Loading() int { return len(p.loading) }

// Plan returns the changes to order now, at most as many as may load at once.
func (p *Planner) Plan(s Snapshot) []Change {
	p.observe(s)
	if p.started.IsZero() {
		p.started = s.Now
	}
	if s.Now.Sub(p.started) < p.settings.Settle {
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
		p.start(f, c)
		changes = append(changes, c)
	}
	return changes
}

// observe ends the loads that are reported or timed out. The desired state of
// an engine that loads nothing is what it reports: an engine that came back
// empty is filled again within the limit of concurrent loads.
func (p *Planner) observe(s Snapshot) {
	present := map[backend.ID]bool{}
	for _, e := range s.Engines {
		present[e.ID] = true
		l, ok := p.loading[e.ID]
		if ok && e.Holds[l.model] == l.version {
			p.loadedAt[slot{e.ID, l.model}] = s.Now
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

func (p *Planner) start(f *fleet, c Change) {
	p.desired[c.Engine] = c.Desired
	p.loading[c.Engine] = load{model: c.Model, version: c.Desired[c.Model], since: f.Now}
	delete(p.above, c.Model)
	f.count(p)
}
