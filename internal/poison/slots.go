package poison

import (
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// slotTTL is how long a server is reserved for a suspect. In most cases, a
// request that crashes its server does so early.
const slotTTL = 1 * time.Second

// Slots holds reservations that keep suspects on different servers, so that a
// second crash can be attributed to a single suspect. It is a state machine;
// the caller must serialize the calls.
type Slots struct {
	held map[backend.ID]slot
}

type slot struct {
	content Content
	expires time.Time
}

// NewSlots returns slots without reservations.
func NewSlots() *Slots { return &Slots{held: map[backend.ID]slot{}} }

// Reserve reserves the server for the content for slotTTL. It returns false if
// the server is reserved for another content.
func (s *Slots) Reserve(now time.Time, server backend.ID, c Content) bool {
	held, ok := s.held[server]
	if ok && held.content != c && now.Before(held.expires) {
		return false
	}
	s.held[server] = slot{content: c, expires: now.Add(slotTTL)}
	return true
}

// Expire deletes expired reservations.
func (s *Slots) Expire(now time.Time) {
	for id, held := range s.held {
		if !now.Before(held.expires) {
			delete(s.held, id)
		}
	}
}
