package prefix

import (
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// EventType is the type of a change to an engine's cache.
type EventType string

const (
	// Stored means that blocks were added to the cache.
	Stored EventType = "stored"
	// Removed means that blocks were evicted.
	Removed EventType = "removed"
	// Cleared means that all blocks were removed.
	Cleared EventType = "cleared"
)

// Event is one entry of an engine's stream of cache events.
type Event struct {
	// Seq increases by one with each event of an incarnation.
	Seq         uint64              `json:"seq"`
	Incarnation backend.Incarnation `json:"incarnation"`
	Type        EventType           `json:"type"`
	Hashes      []Hash              `json:"hashes,omitempty"`
	// Salt is the cache_salt of the blocks, if the engine includes it.
	Salt string `json:"salt,omitempty"`
}

const (
	// confirmedLifetimeFactor is the lifetime of an entry under an unbroken
	// event stream, as a multiple of the engine's retention.
	confirmedLifetimeFactor = 4
	// maxEventDelay bounds the delay of events. A removal that arrives sooner
	// than this after a dispatch may have preceded it and is ignored.
	maxEventDelay = time.Second
	// streamTimeout is the longest time without events for which a stream counts
	// as unbroken.
	streamTimeout = 30 * time.Second
)

// stream is the state of an engine's event stream.
type stream struct {
	// nextSeq is the sequence number expected next, 0 before the first event.
	nextSeq atomic.Uint64
	// unbrokenSince is the tick from which the stream has been unbroken.
	unbrokenSince atomic.Uint32
	// lastEvent is the tick of the last event.
	lastEvent atomic.Uint32
}

// record records an event. The stream restarts at this event after a gap in the
// sequence numbers or a time of more than streamTimeout without events.
func (s *stream) record(seq uint64, at uint32) {
	idle := age(at, s.lastEvent.Load()) > streamTimeout
	if s.nextSeq.Load() != seq || idle {
		s.unbrokenSince.Store(at)
	}
	s.nextSeq.Store(seq + 1)
	s.lastEvent.Store(at)
}

// entryLifetime returns the time for which an entry last used at tick used is
// valid. It is longer if the event stream has been unbroken since that tick,
// because evictions are then reported.
func (o *attachedEngine) entryLifetime(used uint32) time.Duration {
	r := o.retention.get()
	confirmed := o.stream.nextSeq.Load() > 0 && used >= o.stream.unbrokenSince.Load()
	if confirmed {
		return confirmedLifetimeFactor * r
	}
	return r
}

// Apply applies a cache event of an engine and returns the engine's slot, which
// is a new one after a Cleared event. Events of another incarnation are dropped.
// Unknown blocks are ignored, unless the event includes their salt and the index
// has recently recorded requests of that scope.
func (x *Index) Apply(engine backend.ID, e Event, now time.Time) Slot {
	o := x.slots.find(engine)
	if o == nil {
		return Slot{}
	}
	if o.incarnation != e.Incarnation {
		return o.slot
	}
	at := x.ticks(now)
	o.stream.record(e.Seq, at)
	if e.Type == Cleared {
		return x.slots.renew(o.slot)
	}
	scope := scopeOf(e.Salt)
	add := e.Type == Stored && e.Salt != "" && x.recentScopes.contains(scope, at)
	for _, h := range e.Hashes {
		if add {
			x.addFromEvent(scope, h, o.slot, at)
			continue
		}
		x.applyBlock(o.slot, e.Type, h, at)
	}
	return o.slot
}

// addFromEvent adds a block stored by a request that another router sent.
func (x *Index) addFromEvent(scope Scope, h Hash, slot Slot, at uint32) {
	s := x.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.getOrAdd(h, scope.check, at, x.perShard)
	b.computed = true
	x.addHolder(b, slot, at)
}

// applyBlock applies a Stored or Removed event to a block that is known.
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
		x.addHolder(b, slot, at)
		return
	}
	for _, held := range b.holders {
		if held.slot == slot && age(at, held.used) >= maxEventDelay {
			b.removeHolder(slot)
			return
		}
	}
}
