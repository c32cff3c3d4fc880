// Package freshness decides whether a router may treat its configuration as
// current. A router whose configuration may be stale refuses requests that need
// an API key.
//
// Evidence is a time at which the router's head is known to have contained every
// committed change. It comes from a read of the head row, from a peer that relays
// its own evidence with its age, or, while the store is unreachable, from a
// majority of the roster whose members attest that no commit they supported can
// have taken effect since (see Supporter).
//
// All types are deterministic state machines: they start no goroutines and take
// the time as an argument. Times are readings of the local clock; only durations
// are sent over the network, never times.
package freshness

import (
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/head"
)

// Bound is the age at which evidence expires. A committed change is in force
// everywhere this long after its commit, because the evidence of a router
// that has not received the change has expired.
const Bound = 4 * time.Second

// Evidence tracks the head of one router and the time at which it was known to
// be current. The zero value has no head and no evidence.
type Evidence struct {
	installed head.Head
	at        time.Time
	// pending is the newest observed head that the router has not installed yet,
	// and pendingAt the latest time of such an observation.
	pending   head.Head
	pendingAt time.Time
	// processStart is the start of the process. A restarted router that served on
	// older evidence could revert to a configuration older than the one that it
	// served before.
	processStart time.Time
}

// NewEvidence returns the evidence of a process that started at time start.
func NewEvidence(start time.Time) Evidence {
	return Evidence{processStart: start}
}

// Head returns the head that the router has installed.
func (e *Evidence) Head() head.Head { return e.installed }

// At returns the time at which Head was known to be current, or the zero time.
func (e *Evidence) At() time.Time { return e.at }

// ServableAt returns At, or the zero time if that is not after the start of the
// process. The router may serve only on evidence from after its start; older
// evidence may still be relayed and extended.
func (e *Evidence) ServableAt() time.Time {
	if !e.at.After(e.processStart) {
		return time.Time{}
	}
	return e.at
}

// Target returns the newest head known to exist, which the router must fetch
// if it is not Head.
func (e *Evidence) Target() head.Head { return head.Max(e.installed, e.pending) }

// Observe records that the head of the deployment was h at time at. Observations
// may be repeated and arrive in any order.
func (e *Evidence) Observe(h head.Head, at time.Time) {
	if e.installed.AtLeast(h) {
		e.advance(at)
		return
	}
	e.pending = head.Max(e.pending, h)
	if at.After(e.pendingAt) {
		e.pendingAt = at
	}
}

// Install records that the router has installed head h. It returns false and
// changes nothing if that would revert any part of the head.
func (e *Evidence) Install(h head.Head) bool {
	if !h.AtLeast(e.installed) {
		return false
	}
	e.installed = h
	if e.installed.AtLeast(e.pending) {
		e.advance(e.pendingAt)
		e.pending = head.Head{}
		e.pendingAt = time.Time{}
	}
	return true
}

// AppendText appends a text that is the same for equal states. It never fails.
func (e *Evidence) AppendText(b []byte) ([]byte, error) {
	b = appendHead(b, e.installed)
	b = appendTime(b, e.at)
	b = appendHead(b, e.pending)
	b = appendTime(b, e.pendingAt)
	return appendTime(b, e.processStart), nil
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

// advance moves the evidence to time at unless it is already later.
func (e *Evidence) advance(at time.Time) {
	if at.After(e.at) {
		e.at = at
	}
}

// Fresh reports whether the router may serve on its evidence at time now.
func (e *Evidence) Fresh(now time.Time) bool {
	return Fresh(e.ServableAt(), now)
}

// Fresh reports whether evidence from time at is valid at time now.
func Fresh(at, now time.Time) bool {
	return !at.IsZero() && Age(at, now) < Bound
}

// Age returns the time from at to now. It is the larger of the differences by the
// monotonic and by the wall clock, because the monotonic clock stops while a VM
// is frozen.
func Age(at, now time.Time) time.Duration {
	monotonic := now.Sub(at)
	wall := now.Round(0).Sub(at.Round(0))
	return max(monotonic, wall)
}

// beforeByBothClocks reports whether a is before b by the monotonic and the wall
// clock.
func beforeByBothClocks(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

// Relayed returns the time of the evidence that a peer reported, with its age, in
// the reply to a request sent at sent.
func Relayed(sent time.Time, age time.Duration) time.Time {
	return sent.Add(-age)
}
