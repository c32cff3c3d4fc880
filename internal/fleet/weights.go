package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// goalHistory is the number of versions of a model that are remembered. The oldest
// stands for those before it: engines that lack it count as behind since the first.
const goalHistory = 6

// Goal is a version of a model's weights that the operator named.
type Goal struct {
	Version uint64
	// Since is when it was named, by the boot-time clock; zero if that isn't known.
	Since time.Time
}

// unknownAge is the age of a version that was named at an unknown time: no request
// may begin on older weights.
const unknownAge = time.Hour

// Goals are the weights that engines are to run, by model. It is safe for
// concurrent use.
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
// changed.
func (g *Goals) All() map[string][]Goal { return *g.goals.Load() }

// Wanted returns the newest version of a model; 0 if none was named.
func (g *Goals) Wanted(model string) uint64 {
	list := g.All()[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Version
}

// Behind returns for how long a newer version than held has been named; 0 if
// none was.
func (g *Goals) Behind(model string, held uint64, now time.Time) time.Duration {
	for _, goal := range g.All()[model] {
		if goal.Version > held && goal.Since.IsZero() {
			return unknownAge
		}
		if goal.Version > held {
			return max(now.Sub(goal.Since), 1)
		}
	}
	return 0
}

// Learnt says what a named version changed in what was known.
type Learnt uint8

const (
	// Known means that nothing changed.
	Known Learnt = iota
	// Corrected means that the version was known, and was named earlier than
	// thought.
	Corrected
	// Older means that the version wasn't known, and that a newer one is.
	Older
	// Newest means that no newer version is known.
	Newest
)

// correction is the least difference of two times of naming that counts as a
// correction. Clocks are compared over a network, which takes a few milliseconds.
const correction = 100 * time.Millisecond

// Unknown reports whether a version of any model was named at an unknown time.
func (g *Goals) Unknown() bool {
	for _, list := range g.All() {
		if slices.ContainsFunc(list, func(goal Goal) bool { return goal.Since.IsZero() }) {
			return true
		}
	}
	return false
}

// Dated reports whether a version is known with the time at which it was named.
func (g *Goals) Dated(model string, version uint64) bool {
	return slices.ContainsFunc(g.All()[model], func(goal Goal) bool { return goal.Version == version && !goal.Since.IsZero() })
}

// Add notes a named version. Of two times for one version the earlier one holds, and
// any known one before an unknown one.
func (g *Goals) Add(model string, goal Goal) Learnt {
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
		corrected = list[i].Since.IsZero() || list[i].Since.Sub(goal.Since) >= correction
		list = slices.Clone(list)
		list[i].Since = goal.Since
	default:
		list = slices.Insert(slices.Clone(list), i, goal)
		for ; len(list) > goalHistory; list = list[1:] {
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
