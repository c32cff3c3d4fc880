// Package health decides which backend servers may get requests: a circuit
// breaker for each incarnation of a server, and a slow start for one that has
// come back.
package health

import (
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Thresholds and times of a Breaker.
const (
	// failureLimit is the number of failures in a row that opens the breaker.
	failureLimit = 3
	// baseOpen is how long the breaker first stays open. It doubles with each
	// failed probe up to maxOpen.
	baseOpen = 250 * time.Millisecond
	maxOpen  = 8 * time.Second
	// probeTimeout is when an unanswered probe is given up.
	probeTimeout = 2 * time.Second
	// slowStart is how long a new incarnation takes to get its full share.
	slowStart = 10 * time.Second
	// slowStartFloor is the share at the beginning of the slow start.
	slowStartFloor = 0.1
)

// Breaker is the state of one backend server. It is a value: each method
// returns the next state. The zero value is a server never heard of, which may
// get requests.
type Breaker struct {
	incarnation backend.Incarnation
	// since is when the incarnation was first seen.
	since time.Time
	// ramp is set if the incarnation replaced another and starts slowly.
	ramp     bool
	failures int
	// opens counts the openings since the last success.
	opens     int
	openUntil time.Time
	// probeUntil is set while a probe of a half-open breaker is under way.
	probeUntil time.Time
}

// Incarnation returns the incarnation last seen; empty if none was.
func (b Breaker) Incarnation() backend.Incarnation { return b.incarnation }

// Allows reports whether the server may get a request: always when closed,
// never when open, and one at a time as a probe when half open.
func (b Breaker) Allows(now time.Time) bool {
	if b.opens == 0 {
		return true
	}
	return !now.Before(b.openUntil) && !now.Before(b.probeUntil)
}

// OpenUntil returns when the next request may be tried; zero if closed.
func (b Breaker) OpenUntil() time.Time {
	if b.probeUntil.After(b.openUntil) {
		return b.probeUntil
	}
	return b.openUntil
}

// Share returns the part of its usual load, in (0, 1], that the server should
// get.
func (b Breaker) Share(now time.Time) float64 {
	age := now.Sub(b.since)
	if !b.ramp || age >= slowStart {
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(max(age, 0))/float64(slowStart)
}

// Grade says how well a server may take a request; higher is better.
type Grade uint8

const (
	// Shut means that the breaker is open.
	Shut Grade = iota
	// Slow means that the server starts slowly and its share is used up.
	Slow
	// Ready means that nothing is against it.
	Ready
)

// Grade returns the server's grade for a request. Draw is a random number in
// [0, 1) of the request, by which a server in its slow start gets its share.
func (b Breaker) Grade(now time.Time, draw float64) Grade {
	switch {
	case !b.Allows(now):
		return Shut
	case draw >= b.Share(now):
		return Slow
	default:
		return Ready
	}
}

// Started records that a request was sent.
func (b Breaker) Started(now time.Time) Breaker {
	if b.opens > 0 {
		b.probeUntil = now.Add(probeTimeout)
	}
	return b
}

// Seen records an incarnation, from an answer or a load report that was sent
// for at sent. A new incarnation closes the breaker and starts slowly. A report
// sent for before the current incarnation was seen is old and ignored.
func (b Breaker) Seen(now, sent time.Time, inc backend.Incarnation) Breaker {
	if inc == "" || inc == b.incarnation || sent.Before(b.since) {
		return b
	}
	return Breaker{incarnation: inc, since: now, ramp: b.incarnation != ""}
}

// Answered records that the server has begun a regular answer.
func (b Breaker) Answered() Breaker {
	b.failures = 0
	b.opens = 0
	b.openUntil = time.Time{}
	b.probeUntil = time.Time{}
	return b
}

// Failed records a failure of a request that was sent at sent; jitter is in
// [0, 1). A failure of an earlier incarnation is ignored. A refused connection
// is fatal and opens the breaker at once.
func (b Breaker) Failed(now, sent time.Time, fatal bool, jitter float64) Breaker {
	if sent.Before(b.since) {
		return b
	}
	b.failures++
	if b.opens == 0 && b.failures < failureLimit && !fatal {
		return b
	}
	if b.opens > 0 && b.probeUntil.IsZero() {
		// Sent before the breaker opened: it says nothing new.
		return b
	}
	open := min(baseOpen<<min(b.opens, 16), maxOpen)
	b.opens++
	b.openUntil = now.Add(open/2 + time.Duration(jitter*float64(open/2)))
	b.probeUntil = time.Time{}
	return b
}
