package budget

// settledCapacity is the number of settled reservations remembered, so that a
// late repeat of a reservation isn't debited.
const settledCapacity = 1024

// settledIDs is the set of the most recently settled reservation IDs.
type settledIDs struct {
	set  map[ReservationID]struct{}
	ring []ReservationID
	next int
}

func (s *settledIDs) has(id ReservationID) bool {
	_, ok := s.set[id]
	return ok
}

// add adds the ID and reports whether it was new.
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
