// Package ratelimit keeps the rates of requests that backend servers say they take from
// all VMs together.
package ratelimit

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
)

// Statement is what an answer of a server says of the rate that it takes.
type Statement struct {
	// Limited is set if the answer names a rate.
	Limited bool
	// Rate is in requests a second, from all VMs together.
	Rate float64
}

// Change is a change of what is known of a server.
type Change struct {
	Key         selector.ServerKey
	Before, Now Statement
}

// known is the newest statement of a server.
type known struct {
	Statement
	// at is when the answer came that made the statement.
	at time.Time
}

// Table keeps the newest statement of each server. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	servers map[selector.ServerKey]known
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, servers: map[selector.ServerKey]known{}}
}

// Stated takes what the answer to a request says that was sent at a time. An answer without
// a rate withdraws one only if its request was sent after the rate was named: answers on
// several connections may overtake one another. It reports whether anything changed.
func (t *Table) Stated(key selector.ServerKey, s Statement, sent time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.servers[key]
	if !s.Limited && (!before.Limited || !sent.After(before.at)) {
		return Change{}, false
	}
	t.servers[key] = known{Statement: s, at: t.now()}
	return Change{Key: key, Before: before.Statement, Now: s}, before.Statement != s
}

// Known returns the newest statement of a server and its age.
func (t *Table) Known(key selector.ServerKey) (Statement, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.servers[key]
	if k.at.IsZero() {
		return Statement{}, 0
	}
	return k.Statement, t.now().Sub(k.at)
}

// Keep forgets the runs of servers that are not in the view.
func (t *Table) Keep(v *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.servers {
		if e := v.Server(key.ID); e == nil || e.Started != key.Started {
			delete(t.servers, key)
		}
	}
}
