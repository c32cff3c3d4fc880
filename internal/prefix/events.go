package prefix

import (
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// EventType says what happened to blocks in an engine's cache.
type EventType string

const (
	// Stored blocks were added to the cache.
	Stored EventType = "stored"
	// Removed blocks were evicted.
	Removed EventType = "removed"
	// Cleared means that the whole cache was emptied.
	Cleared EventType = "cleared"
)

// Event is one entry of an engine's stream of cache events.
type Event struct {
	// Seq grows by one with each event of an incarnation.
	Seq         uint64              `json:"seq"`
	Incarnation backend.Incarnation `json:"incarnation"`
	Type        EventType           `json:"type"`
	Hashes      []Hash              `json:"hashes,omitempty"`
	// Salt is the cache_salt of the blocks, if the engine tells it.
	Salt string `json:"salt,omitempty"`
}

const (
	// confirmedLifetime is the lifetime of an entry under an unbroken event
	// stream, as a multiple of the engine's retention.
	confirmedLifetime = 4
	// maxEventDelay bounds the delay of events that contradict a dispatch: a
	// removal that arrives sooner after a dispatch is taken to precede it.
	maxEventDelay = time.Second
	// streamTimeout is how long a stream without events counts as unbroken.
	streamTimeout = 30 * time.Second
)

// stream is the state of an engine's event stream.
type stream struct {
	// next is the expected sequence number, 0 before the first event.
	next atomic.Uint64
	// since is the tick from which the stream has been unbroken.
	since atomic.Uint32
	// last is the tick of the last event.
	last atomic.Uint32
}

// advance notes an event. A gap or a long silence before it breaks the stream.
func (s *stream) advance(seq uint64, at uint32) {
	idle := age(at, s.last.Load()) > streamTimeout
	if s.next.Load() != seq || idle {
		s.since.Store(at)
	}
	s.next.Store(seq + 1)
	s.last.Store(at)
}

// lifetime is how long an entry used at tick used is believed. An entry from
// before a gap in the events is only a hint.
func (o *occupant) lifetime(used uint32) time.Duration {
	r := o.retention.get()
	confirmed := o.stream.next.Load() > 0 && used >= o.stream.since.Load()
	if confirmed {
		return confirmedLifetime * r
	}
	return r
}

// Apply takes in a cache event of an engine and returns the engine's slot,
// which is a new one after a cleared cache. Events of another incarnation are
// dropped. Blocks that no request through this index had are ignored, unless
// the event tells their scope and requests of that scope came through this
// index lately.
func (x *Index) Apply(engine backend.ID, e Event, now time.Time) Slot {
	o := x.slots.find(engine)
	if o == nil {
		return Slot{}
	}
	if o.incarnation != e.Incarnation {
		return o.slot
	}
	at := x.ticks(now)
	o.stream.advance(e.Seq, at)
	if e.Type == Cleared {
		return x.slots.renew(o.slot)
	}
	scope := scopeOf(e.Salt)
	add := e.Type == Stored && e.Salt != "" && x.recent.contains(scope, at)
	for _, h := range e.Hashes {
		if add {
			x.learn(scope, h, o.slot, at)
			continue
		}
		x.applyBlock(o.slot, e.Type, h, at)
	}
	return o.slot
}

// learn records a block that another router's request stored.
func (x *Index) learn(scope Scope, h Hash, slot Slot, at uint32) {
	s := x.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.touch(h, scope.check, at, x.perShard)
	b.computed = true
	x.hold(b, slot, at)
}

func (x *Index) applyBlock(slot Slot, t EventType, h Hash, at uint32) {
	s := x.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := s.byHash[h]
	if !known {
		return
	}
	b := &s.blocks[i]
	if t == Stored {
		b.computed = true
		x.hold(b, slot, at)
		return
	}
	for _, held := range b.holders {
		if held.slot == slot && age(at, held.used) >= maxEventDelay {
			b.release(slot)
			return
		}
	}
}
