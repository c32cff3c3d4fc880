package poison

import (
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// slotTTL is how long a suspect keeps other suspects off its server. A server
// that crashes under a request does so early in most cases.
const slotTTL = 1 * time.Second

// Slots keeps suspects on different servers, so that a second crash points to
// one of them only. It is a state machine; its caller serializes the calls.
type Slots struct {
	held map[backend.ID]slot
}

type slot struct {
	content Content
	expires time.Time
}

// NewSlots returns slots that are all free.
func NewSlots() *Slots { return &Slots{held: map[backend.ID]slot{}} }

// Reserve reports whether the content may run on the server now, and keeps
// other suspects off it for slotTTL.
func (s *Slots) Reserve(now time.Time, server backend.ID, c Content) bool {
	held, ok := s.held[server]
	if ok && held.content != c && now.Before(held.expires) {
		return false
	}
	s.held[server] = slot{content: c, expires: now.Add(slotTTL)}
	return true
}

// Expire forgets free slots.
func (s *Slots) Expire(now time.Time) {
	for id, held := range s.held {
		if !now.Before(held.expires) {
			delete(s.held, id)
		}
	}
}
