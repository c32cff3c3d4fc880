package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxGoalsPerModel bounds the versions kept for a model. The oldest one takes the time of the
// versions dropped before it: engines that lack it count as behind since the first.
const maxGoalsPerModel = 6

// Goal is a target version of a model's weights, named by the operator.
type Goal struct {
	Version uint64
	// Since is when the version was named, by the boot-time clock; zero if unknown.
	Since time.Time
}

// undatedAge is the age assumed for a version that was named at an unknown time. It is long
// enough that no request may begin on older weights.
const undatedAge = time.Hour

// Goals holds the target versions of all models. It is safe for concurrent use.
type Goals struct {
	mu    sync.Mutex
	goals atomic.Pointer[map[string][]Goal]
}

// NewGoals returns empty goals.
func NewGoals() *Goals {
	g := &Goals{}
	g.goals.Store(&map[string][]Goal{})
	return g
}

// All returns the named versions by model, oldest first. The map must not be
// modified.
func (g *Goals) All() map[string][]Goal { return *g.goals.Load() }

// Wanted returns the newest named version of a model; 0 if none was named.
func (g *Goals) Wanted(model string) uint64 {
	list := g.All()[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Version
}

// Behind returns the staleness of held: the time since the first newer version of the model
// was named, or 0 if there is none.
func (g *Goals) Behind(model string, held uint64, now time.Time) time.Duration {
	for _, goal := range g.All()[model] {
		if goal.Version > held && goal.Since.IsZero() {
			return undatedAge
		}
		if goal.Version > held {
			return max(now.Sub(goal.Since), 1)
		}
	}
	return 0
}

// AddResult is the effect of adding a named version.
type AddResult uint8

const (
	// Known means that nothing changed, or only the time by less than minCorrection.
	Known AddResult = iota
	// Corrected means that the version was known, and its time was replaced by an
	// earlier one.
	Corrected
	// Older means that the version is new here, but a newer one was already known.
	Older
	// Newest means that the version is new here, and the newest one known.
	Newest
)

// minCorrection is the least difference between two times of naming that counts as a
// correction. Clocks are compared over a network, with an error of a few milliseconds.
const minCorrection = 100 * time.Millisecond

// HasUndated reports whether any version was named at an unknown time.
func (g *Goals) HasUndated() bool {
	for _, list := range g.All() {
		if slices.ContainsFunc(list, func(goal Goal) bool { return goal.Since.IsZero() }) {
			return true
		}
	}
	return false
}

// Dated reports whether a version is known together with the time when it was named.
func (g *Goals) Dated(model string, version uint64) bool {
	return slices.ContainsFunc(g.All()[model], func(goal Goal) bool { return goal.Version == version && !goal.Since.IsZero() })
}

// Add records a named version. Of two times for the same version the earlier one is kept; a
// known time replaces an unknown one.
func (g *Goals) Add(model string, goal Goal) AddResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.All()
	list := old[model]
	corrected := false
	i, found := slices.BinarySearchFunc(list, goal.Version, func(x Goal, v uint64) int {
		return int(int64(x.Version) - int64(v))
	})
	switch {
	case found && (goal.Since.IsZero() || !list[i].Since.IsZero() && !goal.Since.Before(list[i].Since)):
		return Known
	case found:
		corrected = list[i].Since.IsZero() || list[i].Since.Sub(goal.Since) >= minCorrection
		list = slices.Clone(list)
		list[i].Since = goal.Since
	default:
		list = slices.Insert(slices.Clone(list), i, goal)
		for ; len(list) > maxGoalsPerModel; list = list[1:] {
			if list[0].Since.Before(list[1].Since) {
				list[1].Since = list[0].Since
			}
		}
	}
	next := maps.Clone(old)
	next[model] = list
	g.goals.Store(&next)
	switch {
	case corrected:
		return Corrected
	case found:
		return Known
	case goal.Version < list[len(list)-1].Version:
		return Older
	default:
		return Newest
	}
}
