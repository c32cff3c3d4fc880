package prefix

import (
	"sync"
	"sync/atomic"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Slot stands for one run of one engine with one cache. A restart or a cleared
// cache gives the engine a new slot, so entries of the old one match nothing.
// The zero Slot stands for no engine.
type Slot struct {
	// Position is dense and stable for an engine while it is attached.
	Position uint16
	// Generation starts at 1 and grows with each new slot of the position.
	Generation uint32
}

// occupant is the engine in a slot.
type occupant struct {
	slot        Slot
	engine      backend.ID
	incarnation backend.Incarnation
	retention   *retention
	stream      *stream
}

// slots maps engines to slots. Readers take an immutable table; writers copy.
type slots struct {
	mu         sync.Mutex
	table      atomic.Pointer[[]*occupant]
	generation []uint32
	byEngine   map[backend.ID]uint16
	free       []uint16
}

func newSlots() *slots {
	s := &slots{byEngine: map[backend.ID]uint16{}}
	s.table.Store(&[]*occupant{})
	return s
}

// current returns the occupant of a slot, or nil if the slot is retired.
func (s *slots) current(slot Slot) *occupant {
	return currentIn(*s.table.Load(), slot)
}

func currentIn(table []*occupant, slot Slot) *occupant {
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
	keep := newRetention()
	if known {
		keep = table[position].retention
	} else {
		position = s.take(engine)
	}
	return s.occupy(position, &occupant{
		engine:      engine,
		incarnation: incarnation,
		retention:   keep,
		stream:      &stream{},
	})
}

// renew gives the occupant of slot a new slot with no entries.
func (s *slots) renew(slot Slot) Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current(slot)
	if old == nil {
		return Slot{}
	}
	next := *old
	return s.occupy(slot.Position, &next)
}

// find returns the occupant of an engine's current slot, or nil.
func (s *slots) find(engine backend.ID) *occupant {
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
	s.set(position, nil)
}

// take reserves a position for a new engine. The caller holds s.mu.
func (s *slots) take(engine backend.ID) uint16 {
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

// occupy puts o into the next generation of a position. The caller holds s.mu.
func (s *slots) occupy(position uint16, o *occupant) Slot {
	s.generation[position]++
	o.slot = Slot{Position: position, Generation: s.generation[position]}
	s.set(position, o)
	return o.slot
}

// set publishes a table with o at position. The caller holds s.mu.
func (s *slots) set(position uint16, o *occupant) {
	old := *s.table.Load()
	table := make([]*occupant, max(len(old), int(position)+1))
	copy(table, old)
	table[position] = o
	s.table.Store(&table)
}
