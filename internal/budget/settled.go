package budget

// settledCapacity is how many settled reservations are remembered, so that a
// late repeat of a reservation is not debited.
const settledCapacity = 1024

// settledIDs is a set of the newest reservation IDs.
type settledIDs struct {
	set  map[ReservationID]struct{}
	ring []ReservationID
	next int
}

func (s *settledIDs) has(id ReservationID) bool {
	_, ok := s.set[id]
	return ok
}

// add reports whether the ID is new.
func (s *settledIDs) add(id ReservationID) bool {
	if s.has(id) {
		return false
	}
	if s.set == nil {
		s.set = make(map[ReservationID]struct{})
	}
	if len(s.ring) < settledCapacity {
		s.ring = append(s.ring, id)
	} else {
		delete(s.set, s.ring[s.next])
		s.ring[s.next] = id
		s.next = (s.next + 1) % settledCapacity
	}
	s.set[id] = struct{}{}
	return true
}
