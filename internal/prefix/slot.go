package prefix

import (
	"sync"
	"sync/atomic"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Slot identifies one incarnation of an engine between two clearings of its
// cache. A restart or a cleared cache gives the engine a new slot, so that
// entries of the old one no longer match. The zero Slot identifies no engine.
type Slot struct {
	// Position is the index of the engine in a dense table. It does not change
	// while the engine is attached.
	Position uint16
	// Generation starts at 1 and increases with each new slot of the position.
	Generation uint32
}

// attachedEngine is the state of the engine in a slot.
type attachedEngine struct {
	slot        Slot
	engine      backend.ID
	incarnation backend.Incarnation
	retention   *retention
	stream      *stream
}

// slots maps engines to slots. Readers load an immutable table; writers publish a
// modified copy.
type slots struct {
	mu         sync.Mutex
	table      atomic.Pointer[[]*attachedEngine]
	generation []uint32
	byEngine   map[backend.ID]uint16
	free       []uint16
}

func newSlots() *slots {
	s := &slots{byEngine: map[backend.ID]uint16{}}
	s.table.Store(&[]*attachedEngine{})
	return s
}

// current returns the engine in a slot, or nil if the slot is retired.
func (s *slots) current(slot Slot) *attachedEngine {
	return currentInTable(*s.table.Load(), slot)
}

// currentInTable returns the engine in a slot by a table, or nil if the slot is
// retired.
func currentInTable(table []*attachedEngine, slot Slot) *attachedEngine {
	if int(slot.Position) >= len(table) {
		return nil
	}
	o := table[slot.Position]
	if o == nil || o.slot != slot {
		return nil
	}
	return o
}

// attach returns the slot of an engine's incarnation and retires the slot of
// any other incarnation of the engine.
func (s *slots) attach(engine backend.ID, incarnation backend.Incarnation) Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := *s.table.Load()
	position, known := s.byEngine[engine]
	if known && table[position].incarnation == incarnation {
		return table[position].slot
	}
	estimate := newRetention()
	if known {
		estimate = table[position].retention
	} else {
		position = s.allocate(engine)
	}
	return s.assign(position, &attachedEngine{
		engine:      engine,
		incarnation: incarnation,
		retention:   estimate,
		stream:      &stream{},
	})
}

// renew assigns a new slot, with no entries, to the engine in slot. It returns
// the zero Slot if slot is retired.
func (s *slots) renew(slot Slot) Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current(slot)
	if old == nil {
		return Slot{}
	}
	next := *old
	return s.assign(slot.Position, &next)
}

// find returns the state of an engine, or nil if it is not attached.
func (s *slots) find(engine backend.ID) *attachedEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, known := s.byEngine[engine]
	if !known {
		return nil
	}
	return (*s.table.Load())[position]
}

// detach retires an engine's slot.
func (s *slots) detach(engine backend.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, known := s.byEngine[engine]
	if !known {
		return
	}
	delete(s.byEngine, engine)
	s.free = append(s.free, position)
	s.publish(position, nil)
}

// allocate allocates a position for a new engine. The caller holds s.mu.
func (s *slots) allocate(engine backend.ID) uint16 {
	var position uint16
	if n := len(s.free); n > 0 {
		position = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		position = uint16(len(s.generation))
		s.generation = append(s.generation, 0)
	}
	s.byEngine[engine] = position
	return position
}

// assign publishes o in a new slot, the next generation of a position. The
// caller holds s.mu.
func (s *slots) assign(position uint16, o *attachedEngine) Slot {
	s.generation[position]++
	o.slot = Slot{Position: position, Generation: s.generation[position]}
	s.publish(position, o)
	return o.slot
}

// publish replaces the table by a copy with o at position. The caller holds
// s.mu.
func (s *slots) publish(position uint16, o *attachedEngine) {
	old := *s.table.Load()
	table := make([]*attachedEngine, max(len(old), int(position)+1))
	copy(table, old)
	table[position] = o
	s.table.Store(&table)
}
