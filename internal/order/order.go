// Package order decides when the holder of the placement lease sends an order
// to an engine. An order is idempotent: it carries the whole desired state, so
// repeating it changes nothing. Engines that check fencing tokens refuse the
// orders of an earlier holder. For engines that ignore them, the sends are
// bounded in time and a new holder waits until every send of the earlier one
// has ended. In either case the holder reads the state back and corrects it for
// as long as it holds the lease.
package order

import (
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/lease"
)

const (
	// MaxSend bounds the time from the check of the lease to the last byte of
	// the order that the engine may read.
	MaxSend = 1 * time.Second
	// ReadInterval is the time between two reads of an engine that has not
	// reached the desired state.
	ReadInterval = 500 * time.Millisecond
	// CheckInterval is the time between two reads of an engine that has reached
	// the desired state.
	CheckInterval = 2 * time.Second
	// ResendAfter is the delay after which an order without effect is sent
	// again. It is longer than a load of weights.
	ResendAfter = 6 * time.Second
)

// Weights maps each model that an engine holds to its version.
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

// Kind is the next step of the holder for an engine.
type Kind uint8

const (
	// Stop means that the lease doesn't allow any order.
	Stop Kind = iota
	// Wait means to do nothing until Action.Until.
	Wait
	// Read means to read the engine's state.
	Read
	// Send means to send an order with the desired state.
	Send
)

// Action is a decision of a Tracker.
type Action struct {
	Kind Kind
	// Until is when to call Next again, for Wait.
	Until time.Time
	// Deadline is when the send must have ended, for Send.
	Deadline time.Time
	// Fencing is the fencing token of the order, for Send.
	Fencing lease.Fencing
}

// Tracker tracks the state of one engine during the lease terms of one holder.
// Its zero value is ready to use.
type Tracker struct {
	fencing lease.Fencing
	// checksFencing is set if the engine refuses old fencing tokens.
	checksFencing bool
	// accepted is set once the engine has accepted an order of this term. From
	// then on it refuses the delayed orders of earlier terms.
	accepted bool
	// sent is the canonical form of the last order of this term, and sentAt when
	// it was decided.
	sent   string
	sentAt time.Time
	// reportedWeights is the canonical form of the response to the last read, which
	// began at readAt. readIsCurrent is set if no order was sent since.
	reportedWeights string
	readAt          time.Time
	readIsCurrent   bool
}

// Next decides what to do now. checksFencing says whether the engine refuses
// old fencing tokens.
func (t *Tracker) Next(now time.Time, term lease.Term, checksFencing bool, desired Weights) Action {
	if !term.Valid(now, MaxSend) {
		return Action{Kind: Stop}
	}
	if t.fencing != term.Fencing {
		*t = Tracker{fencing: term.Fencing}
	}
	t.checksFencing = checksFencing
	if earlierSendsEnd := term.Since.Add(MaxSend); !checksFencing && !now.After(earlierSendsEnd) {
		return Action{Kind: Wait, Until: earlierSendsEnd.Add(1)}
	}
	if !t.readIsCurrent || !now.Before(t.readAt.Add(t.interval(desired))) {
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
	return guarded && t.readIsCurrent && t.reportedWeights == desired.String()
}

// Accepted records that the engine accepted an order with a fencing token.
func (t *Tracker) Accepted(f lease.Fencing) {
	if f == t.fencing {
		t.accepted = true
	}
}

// Sent records that an order was sent, whatever its result.
func (t *Tracker) Sent(desired Weights, decided time.Time) {
	t.sent, t.sentAt = desired.String(), decided
	t.readIsCurrent = false
}

// Reported records the response to a read. sent is when the read was sent; it
// must be after the end of the last send of an order.
func (t *Tracker) Reported(w Weights, sent time.Time) {
	t.reportedWeights, t.readAt, t.readIsCurrent = w.String(), sent, true
}
