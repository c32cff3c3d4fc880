package prefix

import (
	"sync/atomic"
	"time"
)

const (
	// recentScopeCells is the number of cells of the set. Scopes that share a
	// cell only make the index accept events that it could ignore.
	recentScopeCells = 1 << 15
	// recentScopeTTL is the time for which a scope stays in the set after a
	// request.
	recentScopeTTL = 10 * time.Minute
)

// scopeSet is an approximate set, of constant size, of the scopes with recent
// requests. Each cell stores the tick of the last use plus one; 0 means never
// used.
type scopeSet struct {
	used [recentScopeCells]atomic.Uint32
}

func (s *scopeSet) add(scope Scope, at uint32) {
	s.used[scope.check%recentScopeCells].Store(at + 1)
}

func (s *scopeSet) contains(scope Scope, at uint32) bool {
	used := s.used[scope.check%recentScopeCells].Load()
	return used > 0 && age(at+1, used) <= recentScopeTTL
}
