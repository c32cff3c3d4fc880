package budget

import (
	"math"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// holdTTL is how long an unsettled reservation can still be settled. The
	// tokens of an older one stay debited.
	holdTTL = 15 * time.Minute
	// maxHolds bounds the unsettled reservations of one account. The oldest
	// ones beyond it can no longer be settled.
	maxHolds = 1024
	// tolerance in tokens absorbs the rounding of a computed wait.
	tolerance = 1e-6
)

// bucket is a token bucket that accepts late refunds. Its level always equals
// that of a bucket from which each settled reservation took only the used
// tokens at the time when it was reserved.
type bucket struct {
	rate  float64 // tokens a second
	burst float64 // tokens
	level float64 // tokens
	at    time.Time
	// holds are the unsettled reservations, oldest first.
	holds []hold
}

// hold is an unsettled reservation.
type hold struct {
	id     ReservationID
	tokens float64
	at     time.Time
	// room is the least free space of the bucket between this reservation and
	// the next one. A refund that passes through it shrinks it.
	room float64
}

func newBucket(c account.Contract, level float64, now time.Time) *bucket {
	return &bucket{rate: c.Rate, burst: c.Burst, level: min(level, c.Burst), at: now}
}

// advance refills the bucket up to now. Time never goes back.
func (b *bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		b.at = now
	}
	b.noteRoom()
}

// noteRoom records the present free space for the newest reservation.
func (b *bucket) noteRoom() {
	if n := len(b.holds); n > 0 {
		b.holds[n-1].room = min(b.holds[n-1].room, b.burst-b.level)
	}
}

// reserve debits the tokens, or returns how long until they are there. The
// tokens must not exceed the burst.
func (b *bucket) reserve(id ReservationID, tokens float64, now time.Time) (wait time.Duration, ok bool) {
	b.advance(now)
	b.expire(now)
	if missing := tokens - b.level; missing > tolerance {
		return seconds(missing / b.rate), false
	}
	b.level -= tokens
	b.holds = append(b.holds, hold{id: id, tokens: tokens, at: now, room: math.Inf(1)})
	return 0, true
}

func (b *bucket) find(id ReservationID) int {
	return slices.IndexFunc(b.holds, func(h hold) bool { return h.id == id })
}

// settle replaces the debit of hold i by the used tokens. The refund is
// carried forward from the time of the reservation; what would have overflowed
// on the way is lost. Tokens used beyond the reservation are debited now.
func (b *bucket) settle(i int, used float64, now time.Time) {
	b.advance(now)
	refund := b.holds[i].tokens - used
	for k := i; k < len(b.holds) && refund > 0; k++ {
		refund = min(refund, b.holds[k].room)
		b.holds[k].room -= refund
	}
	b.level += refund
	if i > 0 {
		b.holds[i-1].room = min(b.holds[i-1].room, b.holds[i].room)
	}
	b.holds = slices.Delete(b.holds, i, i+1)
}

// expire forgets the reservations that nobody settled; they stay debited.
func (b *bucket) expire(now time.Time) {
	n := max(0, len(b.holds)-maxHolds+1)
	for n < len(b.holds) && now.Sub(b.holds[n].at) > holdTTL {
		n++
	}
	if n > 0 {
		b.holds = slices.Delete(b.holds, 0, n)
	}
}

// setContract changes rate and burst from now on.
func (b *bucket) setContract(c account.Contract, now time.Time) {
	b.advance(now)
	b.rate = c.Rate
	b.burst = c.Burst
	b.level = min(b.level, b.burst)
	b.noteRoom()
}

func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
