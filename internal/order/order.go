// Package order decides when the holder of the placement lease sends an order
// to an engine. An order is absolute: it carries the whole desired state, so a
// repeated order changes nothing. Engines that check fencing numbers refuse the
// orders of an earlier holder. For engines that ignore them, the sends are
// bounded in time and a new holder waits until every send of the old one is
// over. In either case the holder reads the state back and corrects it for as
// long as it holds the lease.
package order

import (
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/lease"
)

const (
	// MaxSend bounds one order from the check of the lease to the last byte
	// that the engine may read of it.
	MaxSend = 1 * time.Second
	// ReadInterval is the time between two reads of an engine that has not
	// reached the desired state.
	ReadInterval = 500 * time.Millisecond
	// CheckInterval is the time between two reads of a settled engine.
	CheckInterval = 2 * time.Second
	// ResendAfter is when an order is sent again that had no effect yet. It is
	// longer than a load of weights.
	ResendAfter = 6 * time.Second
)

// Weights is the version that an engine holds of each model.
type Weights map[string]string

// String returns the canonical form: "model=version", sorted and joined by
// commas. Equal weights have equal forms.
func (w Weights) String() string {
	parts := make([]string, 0, len(w))
	for model, version := range w {
		parts = append(parts, model+"="+version)
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// Kind is what the holder does next with one engine.
type Kind uint8

const (
	// Stop means that the lease doesn't allow any order.
	Stop Kind = iota
	// Wait means that there is nothing to do until Action.Until.
	Wait
	// Read means to ask the engine for its state.
	Read
	// Send means to send the desired state.
	Send
)

// Action is a decision of a Tracker.
type Action struct {
	Kind Kind
	// Until is when to ask the Tracker again, for Wait.
	Until time.Time
	// Deadline is when a send must have ended, for Send.
	Deadline time.Time
	// Fencing is the fencing number of an order, for Send.
	Fencing lease.Fencing
}

// Tracker follows one engine during the terms of one holder. Its zero value is
// ready to use.
type Tracker struct {
	fencing lease.Fencing
	// checksFencing says whether the engine refuses old fencing numbers.
	checksFencing bool
	// accepted is set once the engine has accepted an order of this term. From
	// then on it refuses the delayed orders of earlier terms.
	accepted bool
	// sent is the canonical form of the last order of this term and sentAt when
	// it was decided.
	sent   string
	sentAt time.Time
	// reported is the canonical form of what the engine answered to a read that
	// began at readAt, after the last send had ended.
	reported string
	readAt   time.Time
	fresh    bool
}

// Next decides what to do now. checksFencing says whether the engine refuses
// old fencing numbers.
func (t *Tracker) Next(now time.Time, term lease.Term, checksFencing bool, desired Weights) Action {
	if !term.Valid(now, MaxSend) {
		return Action{Kind: Stop}
	}
	if t.fencing != term.Fencing {
		*t = Tracker{fencing: term.Fencing}
	}
	t.checksFencing = checksFencing
	if quiet := term.Since.Add(MaxSend); !checksFencing && !now.After(quiet) {
		return Action{Kind: Wait, Until: quiet.Add(1)}
	}
	if !t.fresh || !now.Before(t.readAt.Add(t.interval(desired))) {
		return Action{Kind: Read}
	}
	resend := t.sentAt.Add(ResendAfter)
	pending := !t.sentAt.IsZero() && t.sent == desired.String() && now.Before(resend)
	if t.Settled(desired) || pending {
		return Action{Kind: Wait, Until: t.readAt.Add(t.interval(desired))}
	}
	return Action{Kind: Send, Deadline: now.Add(MaxSend), Fencing: term.Fencing}
}

func (t *Tracker) interval(desired Weights) time.Duration {
	if t.Settled(desired) {
		return CheckInterval
	}
	return ReadInterval
}

// Settled reports whether the engine had the desired state when it was last
// read, no order was sent since, and a delayed order of an earlier term cannot
// change it.
func (t *Tracker) Settled(desired Weights) bool {
	guarded := t.accepted || !t.checksFencing
	return guarded && t.fresh && t.reported == desired.String()
}

// Accepted notes that the engine accepted an order with a fencing number.
func (t *Tracker) Accepted(f lease.Fencing) {
	if f == t.fencing {
		t.accepted = true
	}
}

// Sent notes that an order was sent, whatever its answer was.
func (t *Tracker) Sent(desired Weights, decided time.Time) {
	t.sent, t.sentAt = desired.String(), decided
	t.fresh = false
}

// Reported notes the answer to a read. sent is when the read was sent; it must
// be after the end of the last send.
func (t *Tracker) Reported(w Weights, sent time.Time) {
	t.reported, t.readAt, t.fresh = w.String(), sent, true
}
