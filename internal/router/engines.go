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
	"papayaspan.dev/papayaspan/internal/selector"
)

// engineState is the state of one engine from its reports and dispatches. Its
// fields are guarded by engineTable.mu, except load, unreachable and lastSent.
type engineState struct {
	incarnation backend.Incarnation
	// runs counts the incarnations.
	runs        atomic.Int64
	slot        prefix.Slot
	weights     map[string]string // nil until the first report
	load        *route.Load
	unreachable atomic.Bool
	// lastSent is when the last request was sent, in nanoseconds of Unix time.
	lastSent atomic.Int64
}

// servesVersion reports whether the engine may serve a version of a model. An
// engine that has not reported yet is assumed to serve the version in force.
func (s *engineState) servesVersion(model, version string) bool {
	return s.weights == nil || s.weights[model] == version
}

// engineTable builds fleets from the configuration and the engines' reports.
type engineTable struct {
	index *prefix.Index

	mu      sync.Mutex
	engines map[backend.ID]*engineState
	fleet   atomic.Pointer[versionedFleet]
	// byID is a copy of engines that is read without the lock.
	byID atomic.Pointer[map[backend.ID]*engineState]
}

// versionedFleet is a fleet with the number of the configuration from which it
// was built.
type versionedFleet struct {
	configNumber config.Number
	fleet        *route.Fleet
}

func newEngineTable(index *prefix.Index) *engineTable {
	t := &engineTable{index: index, engines: map[backend.ID]*engineState{}}
	t.byID.Store(&map[backend.ID]*engineState{})
	return t
}

// fleetFor returns the fleet for a view of the configuration.
func (t *engineTable) fleetFor(view *config.View) *route.Fleet {
	f := t.fleet.Load()
	if f != nil && f.configNumber >= view.Number {
		return f.fleet
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f = t.fleet.Load(); f == nil || f.configNumber < view.Number {
		f = t.build(view)
	}
	return f.fleet
}

// build builds and publishes the fleet of a view. The caller holds t.mu.
func (t *engineTable) build(view *config.View) *versionedFleet {
	t.removeUnconfigured(view)
	var list []route.Engine
	for id, s := range view.Servers {
		if s.Kind != backend.Engine {
			continue
		}
		state := t.state(id)
		list = append(list, route.Engine{
			ID: id, Slot: state.slot, Leaving: s.Leaving, Load: state.load,
			Pools: poolsOf(view, s, state),
		})
	}
	byID := make(map[backend.ID]*engineState, len(t.engines))
	for id, s := range t.engines {
		byID[id] = s
	}
	t.byID.Store(&byID)
	f := &versionedFleet{configNumber: view.Number, fleet: route.NewFleet(list)}
	t.fleet.Store(f)
	return f
}

// poolsOf returns the pools of an engine: the models that it serves in the
// versions in force.
func poolsOf(view *config.View, s backend.Server, state *engineState) []route.PoolKey {
	var keys []route.PoolKey
	for _, name := range s.Models {
		m, ok := view.Models[name]
		if ok && state.servesVersion(name, m.WeightsVersion) {
			keys = append(keys, route.PoolKey{Model: name, WeightsVersion: m.WeightsVersion})
		}
	}
	return keys
}

// removeUnconfigured removes the engines that are no longer configured. The caller
// holds t.mu.
func (t *engineTable) removeUnconfigured(view *config.View) {
	for id := range t.engines {
		if _, ok := view.Servers[id]; !ok {
			delete(t.engines, id)
			t.index.Detach(id)
		}
	}
}

// state returns the state of an engine and creates it if necessary. The caller
// holds t.mu.
func (t *engineTable) state(id backend.ID) *engineState {
	s := t.engines[id]
	if s == nil {
		s = &engineState{slot: t.index.Attach(id, ""), load: route.NewLoad(nominalPrefillRate)}
		t.engines[id] = s
	}
	return s
}

// reachable reports whether an engine may be chosen: it is reachable or not yet
// known.
func (t *engineTable) reachable(id backend.ID) bool {
	s := (*t.byID.Load())[id]
	return s == nil || !s.unreachable.Load()
}

// inUseWindow is how long an engine counts as in use after a request was sent to
// it.
const inUseWindow = 30 * time.Second

// recordSend records that a request is sent to an engine.
func (t *engineTable) recordSend(id backend.ID, now time.Time) {
	if s := (*t.byID.Load())[id]; s != nil {
		s.lastSent.Store(now.UnixNano())
	}
}

func (t *engineTable) inUse(id backend.ID, now time.Time) bool {
	s := (*t.byID.Load())[id]
	return s != nil && now.Sub(time.Unix(0, s.lastSent.Load())) < inUseWindow
}

// markUnreachable excludes an engine until its next load report.
func (t *engineTable) markUnreachable(id backend.ID) {
	if s := (*t.byID.Load())[id]; s != nil {
		s.unreachable.Store(true)
	}
}

// recordLoad records a load report and reports whether the fleet must be rebuilt.
func (t *engineTable) recordLoad(id backend.ID, l openai.Load, asked, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engines[id]
	if s == nil {
		return false
	}
	changed = t.setIncarnation(id, s, backend.Incarnation(l.Incarnation))
	changed = changed || !sameWeights(s.weights, l.Weights)
	s.weights = l.Weights
	s.load.ApplyReport(route.Report{Sampled: asked, QueuedTokens: l.QueuedTokens, Running: l.Running}, now)
	s.unreachable.Store(false)
	return changed
}

// setIncarnation moves an engine to the index slot of an incarnation and, if the
// incarnation is new, resets its load. It reports whether the slot changed. The
// caller holds t.mu.
func (t *engineTable) setIncarnation(id backend.ID, s *engineState, incarnation backend.Incarnation) bool {
	slot := t.index.Attach(id, incarnation)
	if slot == s.slot {
		return false
	}
	s.slot = slot
	if s.incarnation != incarnation {
		s.incarnation = incarnation
		s.runs.Add(1)
		s.load.Reset()
	}
	return true
}

// sameWeights reports whether two reports name the same weights. A nil map, for
// an engine without a report, differs from every report.
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

// setSlot sets an engine's index slot and reports whether it changed.
func (t *engineTable) setSlot(id backend.ID, slot prefix.Slot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engines[id]
	if s == nil || s.slot == slot {
		return false
	}
	s.slot = slot
	return true
}

// key returns the key of an engine's present run.
func (t *engineTable) key(id backend.ID) selector.ServerKey {
	key := selector.ServerKey{ID: id}
	if s := (*t.byID.Load())[id]; s != nil {
		key.Started = s.runs.Load()
	}
	return key
}
