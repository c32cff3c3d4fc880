package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Goal is the version of a model's weights that the operator named.
type Goal struct {
	Version uint64
	// Since is when this VM learned of it, by the boot-time clock. A VM that hears of
	// it from another VM counts the age that it had there.
	Since time.Time
}

// Goals are the weights that engines are to run, by model. It is safe for
// concurrent use.
type Goals struct {
	mu    sync.Mutex
	goals atomic.Pointer[map[string]Goal]
}

// NewGoals returns empty goals.
func NewGoals() *Goals {
	g := &Goals{}
	g.goals.Store(&map[string]Goal{})
	return g
}

// All returns the goals by model. The map must not be changed.
func (g *Goals) All() map[string]Goal { return *g.goals.Load() }

// Set notes a goal unless a newer one is known, and reports whether it is new.
func (g *Goals) Set(model string, goal Goal) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.All()
	if goal.Version <= old[model].Version {
		return false
	}
	next := maps.Clone(old)
	next[model] = goal
	g.goals.Store(&next)
	return true
}
