package router

import (
	"sync"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
)

// engineState is what this router learned of one engine. Its fields are
// guarded by engineTable.mu, but for load, lost and sent.
type engineState struct {
	incarnation backend.Incarnation
	slot        prefix.Slot
	weights     map[string]string // nil until the first report
	load        *route.Load
	lost        atomic.Bool
	// sent is when the last request was sent, in nanoseconds of Unix time.
	sent atomic.Int64
}

// servesVersion reports whether the engine may run a version of a model. An
// engine that has not reported yet is taken at its word in the configuration.
func (s *engineState) servesVersion(model, version string) bool {
	return s.weights == nil || s.weights[model] == version
}

// engineTable joins the configuration with the engines' reports into fleets.
type engineTable struct {
	index *prefix.Index

	mu      sync.Mutex
	engines map[backend.ID]*engineState
	fleet   atomic.Pointer[fleetOf]
	// known is a copy of engines for readers without the lock.
	known atomic.Pointer[map[backend.ID]*engineState]
}

// fleetOf is a fleet and the configuration that it was made from.
type fleetOf struct {
	number config.Number
	fleet  *route.Fleet
}

func newEngineTable(index *prefix.Index) *engineTable {
	t := &engineTable{index: index, engines: map[backend.ID]*engineState{}}
	t.known.Store(&map[backend.ID]*engineState{})
	return t
}

// current returns the fleet for a view of the configuration.
func (t *engineTable) current(view *config.View) *route.Fleet {
	f := t.fleet.Load()
	if f != nil && f.number >= view.Number {
		return f.fleet
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f = t.fleet.Load(); f == nil || f.number < view.Number {
		f = t.build(view)
	}
	return f.fleet
}

// build makes and publishes the fleet of a view. The caller holds t.mu.
func (t *engineTable) build(view *config.View) *fleetOf {
	t.forget(view)
	var list []route.Engine
	for id, s := range view.Servers {
		if s.Kind != backend.Engine {
			continue
		}
		state := t.state(id)
		list = append(list, route.Engine{
			ID: id, Slot: state.slot, Leaving: s.Leaving, Load: state.load,
			Pools: pools(view, s, state),
		})
	}
	known := make(map[backend.ID]*engineState, len(t.engines))
	for id, s := range t.engines {
		known[id] = s
	}
	t.known.Store(&known)
	f := &fleetOf{number: view.Number, fleet: route.NewFleet(list)}
	t.fleet.Store(f)
	return f
}

// pools lists the models that an engine serves in the versions in force.
func pools(view *config.View, s backend.Server, state *engineState) []route.PoolKey {
	var keys []route.PoolKey
	for _, name := range s.Models {
		m, ok := view.Models[name]
		if ok && state.servesVersion(name, m.WeightsVersion) {
			keys = append(keys, route.PoolKey{Model: name, WeightsVersion: m.WeightsVersion})
		}
	}
	return keys
}

// forget drops engines that are no longer configured. The caller holds t.mu.
func (t *engineTable) forget(view *config.View) {
	for id := range t.engines {
		if _, ok := view.Servers[id]; !ok {
			delete(t.engines, id)
			t.index.Detach(id)
		}
	}
}

// state returns the state of an engine, new if it is unknown. The caller holds
// t.mu.
func (t *engineTable) state(id backend.ID) *engineState {
	s := t.engines[id]
	if s == nil {
		s = &engineState{slot: t.index.Attach(id, ""), load: route.NewLoad(nominalPrefillRate)}
		t.engines[id] = s
	}
	return s
}

// allows is a filter for engines that report.
func (t *engineTable) allows(id backend.ID) bool {
	s := (*t.known.Load())[id]
	return s == nil || !s.lost.Load()
}

// useFor is how long an engine counts as in use after a request.
const useFor = 30 * time.Second

// used notes that a request is sent to an engine.
func (t *engineTable) used(id backend.ID, now time.Time) {
	if s := (*t.known.Load())[id]; s != nil {
		s.sent.Store(now.UnixNano())
	}
}

func (t *engineTable) inUse(id backend.ID, now time.Time) bool {
	s := (*t.known.Load())[id]
	return s != nil && now.Sub(time.Unix(0, s.sent.Load())) < useFor
}

// setLost marks an engine as gone until its next report.
func (t *engineTable) setLost(id backend.ID) {
	if s := (*t.known.Load())[id]; s != nil {
		s.lost.Store(true)
	}
}

// loaded takes in a load report and reports whether the fleet must be built
// anew.
func (t *engineTable) loaded(id backend.ID, l openai.Load, asked, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engines[id]
	if s == nil {
		return false
	}
	changed = t.setIncarnation(id, s, backend.Incarnation(l.Incarnation))
	changed = changed || !sameWeights(s.weights, l.Weights)
	s.weights = l.Weights
	s.load.Reported(route.Report{Sampled: asked, QueuedTokens: l.QueuedTokens, Running: l.Running}, now)
	s.lost.Store(false)
	return changed
}

// setIncarnation empties what is known of an engine's earlier incarnation. The
// caller holds t.mu.
func (t *engineTable) setIncarnation(id backend.ID, s *engineState, incarnation backend.Incarnation) bool {
	slot := t.index.Attach(id, incarnation)
	if slot == s.slot {
		return false
	}
	s.slot = slot
	if s.incarnation != incarnation {
		s.incarnation = incarnation
		s.load.Reset()
	}
	return true
}

func sameWeights(a, b map[string]string) bool {
	if a == nil || len(a) != len(b) {
		return false
	}
	for m, v := range a {
		if b[m] != v {
			return false
		}
	}
	return true
}

// renewed notes an engine's new slot and reports whether it changed.
func (t *engineTable) renewed(id backend.ID, slot prefix.Slot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engines[id]
	if s == nil || s.slot == slot {
		return false
	}
	s.slot = slot
	return true
}
