// Package ratelimit keeps what backend servers state in their responses of the requests that
// they take: request rate limits, brittleness, and the time for which they want none. Each limit applies to the requests of all VMs together; the package computes
// the share of it that this VM may use.
//
// Overloaded servers state limits of a few requests a second. Request counts that VMs
// exchange lag by more than such a limit permits, and an equal share for each VM is too
// small to use when there are many VMs. A few of the VMs that receive client requests,
// chosen by rendezvous hashing, therefore share a server's limit, and the others send
// requests to other servers. The shares add up to the limit without any coordination
// messages.
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

// Statement is what a server's response states of the requests that it takes.
type Statement struct {
	// Limited is set if the response states a rate limit.
	Limited bool
	// Rate is the limit for all VMs together, in requests a second.
	Rate float64
	// Brittle is set if the server lets few requests wait, and falls over if it has to turn away
	// more than MaxRefusals a second.
	Brittle     bool
	MaxRefusals float64
}

// Change is a change of a server's rate limit.
type Change struct {
	Key         selector.ServerKey
	Before, Now Statement
}

// Notice is a server's rate limit as gossiped between VMs.
type Notice struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Rate    float64    `json:"r,omitempty"`
	// Lifted is set if the server states no limit, or no longer does.
	Lifted bool `json:"u,omitempty"`
	// Brittle and MaxRefusals have the same meaning as in a Statement.
	Brittle     bool    `json:"b,omitempty"`
	MaxRefusals float64 `json:"m,omitempty"`
	// Age is the age of the response that stated it, in milliseconds.
	Age int64 `json:"a"`
}

const (
	// changeNoticePeriod is the time for which a change is included in every digest, because
	// several digests in a row may be lost.
	changeNoticePeriod = 2 * time.Second
	// noticeInterval is the interval at which an unchanged limit is repeated, for VMs that
	// missed the earlier notices.
	noticeInterval = 1 * time.Second
	// maxNotices bounds the notices in a digest. A notice takes about 60 bytes, and all
	// gossip of a VM has to fit into 7 kB a second (docs/CAPACITY.md).
	maxNotices = 16
)

// serverState is the rate limit of one run of a server.
type serverState struct {
	Statement
	// statedAt is when the response with this statement arrived.
	statedAt time.Time
	// The statement is included in every digest until announceUntil. announcedAt is when a
	// digest last included it.
	announceUntil, announcedAt time.Time
	share                      *share
	// refusedUntil is the time until which a brittle server that has turned a request of this VM
	// away gets no other one.
	refusedUntil time.Time
}

// Table keeps the newest statement of each server and this VM's share of its rate limit. It
// is safe for concurrent use.
type Table struct {
	*Backoffs
	self vm.ID
	now  func() time.Time

	mu      sync.Mutex
	servers map[selector.ServerKey]*serverState
	// senders are the VMs that receive client requests, sorted.
	senders []vm.ID
	// shares has an entry for each server with a rate limit. Updates replace the whole map.
	shares atomic.Pointer[map[selector.ServerKey]*share]
	// brittle holds the brittle servers. Updates replace the whole map.
	brittle atomic.Pointer[map[selector.ServerKey]bool]
	// division is how the VMs divide the slots of brittle servers.
	division atomic.Pointer[Division]
}

// NewTable returns an empty table for the VM self.
func NewTable(self vm.ID, now func() time.Time) *Table {
	t := &Table{Backoffs: NewBackoffs(now), self: self, now: now, servers: map[selector.ServerKey]*serverState{}, senders: []vm.ID{self}}
	t.shares.Store(&map[selector.ServerKey]*share{})
	t.brittle.Store(&map[selector.ServerKey]bool{})
	t.division.Store(&Division{count: 1})
	return t
}

// RecordStatement records the statement in the response to a request that was sent at
// the time sent. A response without a limit lifts the limit only if its request was sent
// after the limit was received, because responses on different connections may arrive out of
// order. It reports whether the statement changed.
func (t *Table) RecordStatement(key selector.ServerKey, s Statement, sent time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.servers[key]
	if before == nil && s == (Statement{}) {
		return Change{}, false
	}
	if before != nil && !sent.After(before.statedAt) {
		if !s.Limited {
			s.Limited, s.Rate = before.Limited, before.Rate
		}
		if !s.Brittle {
			s.Brittle, s.MaxRefusals = before.Brittle, before.MaxRefusals
		}
		if s == before.Statement {
			return Change{}, false
		}
	}
	return t.record(key, s, t.now())
}

// RecordNotice records a notice from another VM. The statement of the newer response is
// kept. It reports whether the statement changed.
func (t *Table) RecordNotice(n Notice) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := selector.ServerKey{ID: n.ID, Started: n.Started}
	s := Statement{Limited: !n.Lifted, Rate: n.Rate, Brittle: n.Brittle, MaxRefusals: n.MaxRefusals}
	at := t.now().Add(-time.Duration(max(0, n.Age)) * time.Millisecond)
	before := t.servers[key]
	if before != nil && !at.After(before.statedAt) {
		if before.Statement != s {
			before.announceUntil = t.now().Add(changeNoticePeriod) // The other VM has an older statement.
		}
		return Change{}, false
	}
	if before == nil && s == (Statement{}) {
		return Change{}, false
	}
	return t.record(key, s, at)
}

// record stores a statement and reports whether it changed. The caller holds the mutex.
func (t *Table) record(key selector.ServerKey, s Statement, at time.Time) (Change, bool) {
	x := t.servers[key]
	if x == nil {
		x = &serverState{}
		t.servers[key] = x
	}
	before := x.Statement
	x.Statement, x.statedAt = s, at
	if before == s {
		return Change{}, false
	}
	x.announceUntil = t.now().Add(changeNoticePeriod)
	t.updateShares()
	return Change{Key: key, Before: before, Now: s}, true
}

// LatestStatement returns the newest statement of a server and the age of the response
// that contained it.
func (t *Table) LatestStatement(key selector.ServerKey) (Statement, time.Duration) {
	if len(*t.shares.Load()) == 0 {
		return Statement{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.servers[key]
	if x == nil {
		return Statement{}, 0
	}
	return x.Statement, t.now().Sub(x.statedAt)
}

// LimitedCount returns the number of servers with a rate limit.
func (t *Table) LimitedCount() int { return len(*t.shares.Load()) }

// Notices returns the notices for the next digest: recent changes, and the limits whose last
// notice is at least noticeInterval old. If there are too many, those with the oldest last
// notice go first.
func (t *Table) Notices() []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var due []selector.ServerKey
	for key, x := range t.servers {
		if now.Before(x.announceUntil) || x.Statement != (Statement{}) && now.Sub(x.announcedAt) >= noticeInterval {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b selector.ServerKey) int { return t.servers[a].announcedAt.Compare(t.servers[b].announcedAt) })
	var out []Notice
	for _, key := range due[:min(len(due), maxNotices)] {
		x := t.servers[key]
		x.announcedAt = now
		out = append(out, Notice{ID: key.ID, Started: key.Started, Rate: x.Rate, Lifted: !x.Limited, Brittle: x.Brittle, MaxRefusals: x.MaxRefusals, Age: now.Sub(x.statedAt).Milliseconds()})
	}
	return out
}

// RepeatNotices marks all limits as due for the next digests, for a VM that has just started.
func (t *Table) RepeatNotices() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.servers {
		x.announcedAt = time.Time{}
	}
}

// Prune removes the state of server runs that are not in the view.
func (t *Table) Prune(v *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := func(key selector.ServerKey) bool {
		e := v.Server(key.ID)
		return e == nil || e.Started != key.Started
	}
	t.RemoveEnded(ended)
	before := len(t.servers)
	maps.DeleteFunc(t.servers, func(key selector.ServerKey, _ *serverState) bool { return ended(key) })
	if len(t.servers) != before {
		t.updateShares()
	}
}

// SetSenders sets the VMs that receive client requests. The shares add up to the limit only
// if all VMs are given the same set.
func (t *Table) SetSenders(ids []vm.ID) {
	ids = slices.Sorted(slices.Values(ids))
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(ids, t.senders) {
		t.senders = ids
		t.division.Store(&Division{count: len(ids), rank: slices.Index(ids, t.self)})
		t.updateShares()
	}
}

// updateShares recomputes this VM's shares of all limits. The caller holds the mutex.
func (t *Table) updateShares() {
	shares, brittle := map[selector.ServerKey]*share{}, map[selector.ServerKey]bool{}
	for key, x := range t.servers {
		if x.Brittle {
			brittle[key] = true
		}
		if !x.Limited {
			x.share = nil
			continue
		}
		x.share = x.share.resized(t.portion(key, x.Rate), t.now())
		shares[key] = x.share
	}
	t.shares.Store(&shares)
	t.brittle.Store(&brittle)
}
