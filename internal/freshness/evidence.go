// Package freshness decides whether a router may treat its configuration as
// current. A router that may not refuses keyed requests.
//
// Evidence is a point in time at which the router's head is known to have
// contained every committed change. It comes from a read of the head row, from
// a peer that relays its own evidence with its age, or, when the store cannot
// be reached, from a majority of the roster attesting that no commit they
// supported can have taken effect since (see Supporter).
//
// All types are plain state machines: they start no goroutines and take the
// time as an argument. Times are readings of the local clock; durations cross
// the network, times never do.
package freshness

import (
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/head"
)

// Bound is the age at which evidence stops counting. A committed change is in
// force everywhere this long after its commit, because a router that has not
// seen it has no evidence left.
const Bound = 4 * time.Second

// Evidence tracks the head of one router and the time at which it was known to
// be current. The zero value has no head and no evidence.
type Evidence struct {
	own head.Head
	at  time.Time
	// next is an observation of a head that the router does not have yet.
	next   head.Head
	nextAt time.Time
	// floor is the start of the process. Serving on older evidence could take
	// a restarted router back behind what it served before.
	floor time.Time
}

// NewEvidence returns the state of a process that started at this time.
func NewEvidence(start time.Time) Evidence {
	return Evidence{floor: start}
}

// Head returns the head that the router has installed.
func (e *Evidence) Head() head.Head { return e.own }

// At returns the time at which Head was known to be current, or the zero time.
func (e *Evidence) At() time.Time { return e.at }

// ServableAt returns At, or the zero time if that is not after the start of
// the process. Only evidence that counts here lets the router serve; older
// evidence may still be relayed and extended.
func (e *Evidence) ServableAt() time.Time {
	if !e.at.After(e.floor) {
		return time.Time{}
	}
	return e.at
}

// Target returns the newest head known to exist, which the router must fetch
// if it is not Head.
func (e *Evidence) Target() head.Head { return head.Max(e.own, e.next) }

// Observe records that the head of the deployment was h at time at. Late and
// repeated observations are harmless.
func (e *Evidence) Observe(h head.Head, at time.Time) {
	if e.own.AtLeast(h) {
		e.advance(at)
		return
	}
	e.next = head.Max(e.next, h)
	if at.After(e.nextAt) {
		e.nextAt = at
	}
}

// Install records that the router now has this head. It reports false and
// changes nothing if that would take any part of the head back.
func (e *Evidence) Install(h head.Head) bool {
	if !h.AtLeast(e.own) {
		return false
	}
	e.own = h
	if e.own.AtLeast(e.next) {
		e.advance(e.nextAt)
		e.next = head.Head{}
		e.nextAt = time.Time{}
	}
	return true
}

// AppendText appends a description of the state that is the same for equal
// states. It never fails.
func (e *Evidence) AppendText(b []byte) ([]byte, error) {
	b = appendHead(b, e.own)
	b = appendTime(b, e.at)
	b = appendHead(b, e.next)
	b = appendTime(b, e.nextAt)
	return appendTime(b, e.floor), nil
}

func appendHead(b []byte, h head.Head) []byte {
	b = strconv.AppendUint(b, uint64(h.Number), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(h.Roster), 10)
	return append(b, ' ')
}

func appendTime(b []byte, t time.Time) []byte {
	if !t.IsZero() {
		b = strconv.AppendInt(b, t.UnixNano(), 36)
	}
	return append(b, ' ')
}

func (e *Evidence) advance(at time.Time) {
	if at.After(e.at) {
		e.at = at
	}
}

// Fresh reports whether the router may serve on its evidence at this time.
func (e *Evidence) Fresh(now time.Time) bool {
	return Fresh(e.ServableAt(), now)
}

// Fresh reports whether evidence from time at counts now.
func Fresh(at, now time.Time) bool {
	return !at.IsZero() && Age(at, now) < Bound
}

// Age returns the time that has passed since at. It takes the larger reading
// of the monotonic and the wall clock, because the monotonic clock stands
// still while a VM is frozen.
func Age(at, now time.Time) time.Duration {
	monotonic := now.Sub(at)
	wall := now.Round(0).Sub(at.Round(0))
	return max(monotonic, wall)
}

// before reports whether a is before b by both clocks.
func before(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

// Relayed returns the time of evidence that a peer reported to be this old in
// its reply to a request sent at sent.
func Relayed(sent time.Time, age time.Duration) time.Time {
	return sent.Add(-age)
}
