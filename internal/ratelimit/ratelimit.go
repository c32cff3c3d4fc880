// Package ratelimit holds the rates of requests that backend servers say they take from all
// VMs together: what is known of them, and which part of them this VM may use.
//
// It answers servers in need that name a few requests a second. A count that VMs tell one
// another lags by more than such a rate allows, and an equal share of each VM is of no use
// where there are many. So a few of the VMs that take calls, chosen by rendezvous, share a
// server's rate, and the others send elsewhere. The sum holds without any message.
package ratelimit

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
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

// Notice is what a VM tells the others of a server's rate.
type Notice struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Rate    float64    `json:"r,omitempty"`
	// Lifted is set if the server names no rate any more.
	Lifted bool `json:"u,omitempty"`
	// Age is the age of the answer that said so, in milliseconds.
	Age int64 `json:"a"`
}

const (
	// tellFor is for how long a change is in every digest: several digests in a row may be
	// lost.
	tellFor = 2 * time.Second
	// tellAgain is the time after which a rate that holds on is told again, for VMs that
	// heard nothing of it.
	tellAgain = 1 * time.Second
	// maxNotices bounds the notices of a digest: about 60 bytes each, of which a VM has
	// 7 kB a second for all that it tells (docs/CAPACITY.md).
	maxNotices = 16
)

// server is what is known of one run of a server.
type server struct {
	Statement
	// at is when the answer came that said so.
	at time.Time
	// fresh is until when the statement is in every digest, told when it last was in one.
	fresh, told time.Time
	share       *share
}

// Table keeps the newest statement of each server, and this VM's share of its rate. It is
// safe for concurrent use.
type Table struct {
	self vm.ID
	now  func() time.Time

	mu      sync.Mutex
	servers map[selector.ServerKey]*server
	// senders are the VMs that take calls, sorted.
	senders []vm.ID
	// shares has an entry for each server that names a rate; it is replaced whole.
	shares atomic.Pointer[map[selector.ServerKey]*share]
}

// NewTable returns the empty table of a VM.
func NewTable(self vm.ID, now func() time.Time) *Table {
	t := &Table{self: self, now: now, servers: map[selector.ServerKey]*server{}, senders: []vm.ID{self}}
	t.shares.Store(&map[selector.ServerKey]*share{})
	return t
}

// Stated takes what the answer to a request that was sent at a time says. An answer without
// a rate withdraws one only if its request was sent after the rate was named: answers on
// several connections may overtake one another. It reports whether anything changed.
func (t *Table) Stated(key selector.ServerKey, s Statement, sent time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.Limited {
		before := t.servers[key]
		if before == nil || !before.Limited || !sent.After(before.at) {
			return Change{}, false
		}
	}
	return t.set(key, s, t.now())
}

// Heard takes what another VM tells. The newer of two answers counts. It reports whether
// anything changed.
func (t *Table) Heard(n Notice) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := selector.ServerKey{ID: n.ID, Started: n.Started}
	s := Statement{Limited: !n.Lifted, Rate: n.Rate}
	at := t.now().Add(-time.Duration(max(0, n.Age)) * time.Millisecond)
	before := t.servers[key]
	if before != nil && !at.After(before.at) {
		if before.Statement != s {
			before.fresh = t.now().Add(tellFor) // That VM has missed it.
		}
		return Change{}, false
	}
	if before == nil && n.Lifted {
		return Change{}, false
	}
	return t.set(key, s, at)
}

// set is called with the mutex held.
func (t *Table) set(key selector.ServerKey, s Statement, at time.Time) (Change, bool) {
	x := t.servers[key]
	if x == nil {
		x = &server{}
		t.servers[key] = x
	}
	before := x.Statement
	x.Statement, x.at = s, at
	if before == s {
		return Change{}, false
	}
	x.fresh = t.now().Add(tellFor)
	t.reshare()
	return Change{Key: key, Before: before, Now: s}, true
}

// Known returns the newest statement of a server and the age of the answer that made it.
func (t *Table) Known(key selector.ServerKey) (Statement, time.Duration) {
	if len(*t.shares.Load()) == 0 {
		return Statement{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.servers[key]
	if x == nil {
		return Statement{}, 0
	}
	return x.Statement, t.now().Sub(x.at)
}

// Limited returns the number of servers that name a rate.
func (t *Table) Limited() int { return len(*t.shares.Load()) }

// Notices returns what to tell the other VMs now: changes at once, the rest now and then.
func (t *Table) Notices() []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var due []selector.ServerKey
	for key, x := range t.servers {
		if now.Before(x.fresh) || x.Limited && now.Sub(x.told) >= tellAgain {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b selector.ServerKey) int { return t.servers[a].told.Compare(t.servers[b].told) })
	var out []Notice
	for _, key := range due[:min(len(due), maxNotices)] {
		x := t.servers[key]
		x.told = now
		out = append(out, Notice{ID: key.ID, Started: key.Started, Rate: x.Rate, Lifted: !x.Limited, Age: now.Sub(x.at).Milliseconds()})
	}
	return out
}

// TellAgain makes the next digest tell all rates, as a VM has just started.
func (t *Table) TellAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.servers {
		x.told = time.Time{}
	}
}

// Keep forgets the runs of servers that are not in the view.
func (t *Table) Keep(v *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.servers)
	maps.DeleteFunc(t.servers, func(key selector.ServerKey, _ *server) bool {
		e := v.Server(key.ID)
		return e == nil || e.Started != key.Started
	})
	if len(t.servers) != before {
		t.reshare()
	}
}

// SetSenders sets the VMs that take calls. All VMs should be told of the same ones.
func (t *Table) SetSenders(ids []vm.ID) {
	ids = slices.Sorted(slices.Values(ids))
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(ids, t.senders) {
		t.senders = ids
		t.reshare()
	}
}

// reshare is called with the mutex held.
func (t *Table) reshare() {
	shares := map[selector.ServerKey]*share{}
	for key, x := range t.servers {
		if !x.Limited {
			x.share = nil
			continue
		}
		x.share = x.share.resized(t.portion(key, x.Rate), t.now())
		shares[key] = x.share
	}
	t.shares.Store(&shares)
}
