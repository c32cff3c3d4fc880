package budget

import (
	"math"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// holdTTL is how long a reservation can be settled. The tokens of an older
	// one stay debited.
	holdTTL = 15 * time.Minute
	// maxHolds bounds the unsettled reservations of one account. Beyond it the
	// oldest ones can no longer be settled.
	maxHolds = 1024
	// tolerance, in tokens, absorbs the rounding of a computed wait.
	tolerance = 1e-6
)

// bucket is a token bucket that accepts late refunds. Its level always equals
// that of a bucket from which each settled reservation took only the used
// tokens when it was made.
type bucket struct {
	rate      float64 // tokens a second
	burst     float64 // tokens
	level     float64 // tokens
	updatedAt time.Time
	// holds are the unsettled reservations, oldest first.
	holds []hold
}

// hold is an unsettled reservation.
type hold struct {
	id         ReservationID
	tokens     float64
	reservedAt time.Time
	// refundLimit is the least free space of the bucket between this
	// reservation and the next one. Each refund carried past it reduces it.
	refundLimit float64
}

func newBucket(c account.Contract, level float64, now time.Time) *bucket {
	return &bucket{rate: c.Rate, burst: c.Burst, level: min(level, c.Burst), updatedAt: now}
}

// advance refills the bucket up to now. A time before the last update has no
// effect.
func (b *bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		b.updatedAt = now
	}
	b.updateRefundLimit()
}

// updateRefundLimit applies the current free space to the refund limit of the
// newest reservation.
func (b *bucket) updateRefundLimit() {
	if n := len(b.holds); n > 0 {
		b.holds[n-1].refundLimit = min(b.holds[n-1].refundLimit, b.burst-b.level)
	}
}

// reserve debits the tokens, or returns the time until enough are available.
// The tokens must not exceed the burst.
func (b *bucket) reserve(id ReservationID, tokens float64, now time.Time) (wait time.Duration, ok bool) {
	b.advance(now)
	b.expire(now)
	if missing := tokens - b.level; missing > tolerance {
		return seconds(missing / b.rate), false
	}
	b.level -= tokens
	b.holds = append(b.holds, hold{id: id, tokens: tokens, reservedAt: now, refundLimit: math.Inf(1)})
	return 0, true
}

func (b *bucket) find(id ReservationID) int {
	return slices.IndexFunc(b.holds, func(h hold) bool { return h.id == id })
}

// settle replaces the debit of hold i by the used tokens. The refund is carried
// forward from the time of the reservation; any part that would have overflowed
// the bucket since then is lost. Tokens used beyond the reservation are debited
// now.
func (b *bucket) settle(i int, used float64, now time.Time) {
	b.advance(now)
	refund := b.holds[i].tokens - used
	for k := i; k < len(b.holds) && refund > 0; k++ {
		refund = min(refund, b.holds[k].refundLimit)
		b.holds[k].refundLimit -= refund
	}
	b.level += refund
	if i > 0 {
		b.holds[i-1].refundLimit = min(b.holds[i-1].refundLimit, b.holds[i].refundLimit)
	}
	b.holds = slices.Delete(b.holds, i, i+1)
}

// expire removes reservations that were not settled in time; their tokens stay
// debited.
func (b *bucket) expire(now time.Time) {
	n := max(0, len(b.holds)-maxHolds+1)
	for n < len(b.holds) && now.Sub(b.holds[n].reservedAt) > holdTTL {
		n++
	}
	if n > 0 {
		b.holds = slices.Delete(b.holds, 0, n)
	}
}

// setContract applies a new rate and burst from now on.
func (b *bucket) setContract(c account.Contract, now time.Time) {
	b.advance(now)
	b.rate = c.Rate
	b.burst = c.Burst
	b.level = min(b.level, b.burst)
	b.updateRefundLimit()
}

func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
