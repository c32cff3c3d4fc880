package prefix

import (
	"sync/atomic"
	"time"
)

const (
	// recentScopes is the number of cells of the set. Scopes that share a cell
	// only let more events in.
	recentScopes = 1 << 15
	// recentFor is how long a scope stays in the set after a request.
	recentFor = 10 * time.Minute
)

// scopeSet is an approximate set of the scopes with recent requests. Its memory
// is constant.
type scopeSet struct{ used [recentScopes]atomic.Uint32 }

func (s *scopeSet) add(scope Scope, at uint32) {
	// 0 means never used.
	s.used[scope.check%recentScopes].Store(at + 1)
}

func (s *scopeSet) contains(scope Scope, at uint32) bool {
	used := s.used[scope.check%recentScopes].Load()
	return used > 0 && age(at+1, used) <= recentFor
}
