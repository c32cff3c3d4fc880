// Package health decides which backend servers may get requests. It has a circuit
// breaker for each incarnation of a server and a slow start for a server that was
// restarted.
package health

import (
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Thresholds and times of a Breaker.
const (
	// failureThreshold is the number of consecutive failures that opens the breaker.
	failureThreshold = 3
	// baseOpenTime is how long the breaker first stays open. The time doubles with each
	// failed probe up to maxOpenTime.
	baseOpenTime = 250 * time.Millisecond
	maxOpenTime  = 8 * time.Second
	// probeTimeout is the time after which a probe without a result is abandoned.
	probeTimeout = 2 * time.Second
	// slowStartDuration is the time until a new incarnation gets its full share.
	slowStartDuration = 10 * time.Second
	// minSlowStartShare is the share at the beginning of the slow start.
	minSlowStartShare = 0.1
)

// Breaker is the state of one backend server. It is a value: each method returns the
// next state. The zero value is an unknown server, which may get requests.
type Breaker struct {
	incarnation backend.Incarnation
	// firstSeen is when the incarnation was first seen.
	firstSeen time.Time
	// slowStart is set if the incarnation replaced another one.
	slowStart bool
	failures  int
	// openings counts the openings since the last success.
	openings  int
	openUntil time.Time
	// probeUntil is when the current probe of a half-open breaker is abandoned; zero if
	// none was sent since the last opening.
	probeUntil time.Time
}

// Incarnation returns the incarnation last seen; empty if there is none.
func (b Breaker) Incarnation() backend.Incarnation { return b.incarnation }

// Allows reports whether the server may get a request: always while the breaker is
// closed, never while it is open, and one probe at a time while it is half open.
func (b Breaker) Allows(now time.Time) bool {
	if b.openings == 0 {
		return true
	}
	return !now.Before(b.openUntil) && !now.Before(b.probeUntil)
}

// OpenUntil returns when the next request is allowed; zero if the breaker is closed.
func (b Breaker) OpenUntil() time.Time {
	if b.probeUntil.After(b.openUntil) {
		return b.probeUntil
	}
	return b.openUntil
}

// Share returns the fraction of its usual load, in (0, 1], that the server should get.
func (b Breaker) Share(now time.Time) float64 {
	age := now.Sub(b.firstSeen)
	if !b.slowStart || age >= slowStartDuration {
		return 1
	}
	return minSlowStartShare + (1-minSlowStartShare)*float64(max(age, 0))/float64(slowStartDuration)
}

// Grade is how suitable a server is for a request; higher is better.
type Grade uint8

const (
	// BreakerOpen means that the breaker is open.
	BreakerOpen Grade = iota
	// SlowStarting means that the server is in its slow start and its share is used up.
	SlowStarting
	// Ready means that the server may get the request without restriction.
	Ready
)

// Grade returns the server's grade for a request. Draw is the request's random number
// in [0, 1), by which a server in its slow start gets its share.
func (b Breaker) Grade(now time.Time, draw float64) Grade {
	switch {
	case !b.Allows(now):
		return BreakerOpen
	case draw >= b.Share(now):
		return SlowStarting
	default:
		return Ready
	}
}

// Started records that a request was sent.
func (b Breaker) Started(now time.Time) Breaker {
	if b.openings > 0 {
		b.probeUntil = now.Add(probeTimeout)
	}
	return b
}

// Seen records an incarnation reported by a response or a load report that was
// requested at sent. A new incarnation closes the breaker and starts slowly. A report
// requested before the current incarnation was first seen is outdated and ignored.
func (b Breaker) Seen(now, sent time.Time, inc backend.Incarnation) Breaker {
	if inc == "" || inc == b.incarnation || sent.Before(b.firstSeen) {
		return b
	}
	return Breaker{incarnation: inc, firstSeen: now, slowStart: b.incarnation != ""}
}

// Answered records that the server has begun a successful response.
func (b Breaker) Answered() Breaker {
	b.failures = 0
	b.openings = 0
	b.openUntil = time.Time{}
	b.probeUntil = time.Time{}
	return b
}

// Failed records a failure of a request that was sent at sent; jitter is in [0, 1). A
// failure of an earlier incarnation is ignored. A refused connection is fatal and opens
// the breaker at once.
func (b Breaker) Failed(now, sent time.Time, fatal bool, jitter float64) Breaker {
	if sent.Before(b.firstSeen) {
		return b
	}
	b.failures++
	if b.openings == 0 && b.failures < failureThreshold && !fatal {
		return b
	}
	if b.openings > 0 && b.probeUntil.IsZero() {
		// The request was sent before the breaker opened, so its failure is no new evidence.
		return b
	}
	open := min(baseOpenTime<<min(b.openings, 16), maxOpenTime)
	b.openings++
	b.openUntil = now.Add(open/2 + time.Duration(jitter*float64(open/2)))
	b.probeUntil = time.Time{}
	return b
}
