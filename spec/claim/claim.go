// Package claim models how routers claim, dispatch and settle one request with
// an idempotency key. The row of the claim changes by the decisions of the product,
// from internal/claim. A router may pause between any two steps, crash at any
// step, and miss the response to any commit, which then takes effect immediately,
// after a delay or never.
package claim

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/spec/explore"
)

// Variant selects the protocol. All but Sound are deliberately wrong, for the
// checker to refute.
type Variant uint8

const (
	// Sound is the protocol of the product.
	Sound Variant = iota
	// ClaimAfterDispatch sends the request before the claim is committed.
	ClaimAfterDispatch
	// DispatchAfterLapse lets a second attempt dispatch once the claim of the
	// first one has reached abandonAge.
	DispatchAfterLapse
	// DispatchOnUnknownOutcome dispatches after a commit whose outcome is
	// unknown.
	DispatchOnUnknownOutcome
	// ReleaseAfterSend releases the claim if a request that was sent fails.
	ReleaseAfterSend
)

// maxAttempts is the number of times that callers send the same request.
const maxAttempts = 3

// abandonAge is the age at which a claim counts as abandoned, in the model's time.
const abandonAge = time.Second

// maxTime bounds the model's time, in units of abandonAge.
const maxTime = 2

type phase uint8

const (
	idle phase = iota
	read
	outcomeUnknown
	granted
	sent
	// givenUp is an attempt that has reported "not run" and has yet to release
	// the claim, which it may have.
	givenUp
	ended
)

// attempt is a router's handling of one request of a caller.
type attempt struct {
	phase phase
	// fresh is set while the row is unchanged since the attempt read it, so that
	// its commit can apply. It replaces row versions, which the model lacks.
	fresh bool
	// commitPending is set while a commit whose response was lost can still take
	// effect. The attempt computed it at pendingSince.
	commitPending bool
	pendingSince  uint8
	// responseLost is set once the response to a commit was lost.
	responseLost   bool
	ran            bool
	reportedNotRun bool
}

type state struct {
	row      claim.Record
	now      uint8
	attempts [maxAttempts]attempt
}

// Model returns the model of a variant.
func Model(v Variant) explore.Model[state] {
	return explore.Model[state]{
		Initial:   []state{{}},
		Next:      func(s state) []explore.Step[state] { return next(v, s) },
		Key:       state.key,
		Invariant: invariant,
		MaxStates: 3_000_000,
	}
}

func (s state) key() string {
	b := make([]byte, 0, 64)
	b = append(b, s.row.State...)
	b = append(b, s.row.Nonce...)
	b = append(b, byte(s.row.Attempt), byte(s.row.ChangedMS/1000), s.now)
	for _, a := range s.attempts {
		b = append(b, byte(a.phase), a.pendingSince, flags(a.fresh, a.commitPending, a.responseLost, a.ran, a.reportedNotRun))
	}
	return string(b)
}

func flags(bits ...bool) byte {
	var f byte
	for i, bit := range bits {
		if bit {
			f |= 1 << i
		}
	}
	return f
}

func invariant(s state) error {
	runs := 0
	for i, a := range s.attempts {
		if a.ran {
			runs++
		}
		if a.ran && a.reportedNotRun {
			return errors.Errorf("attempt %d ran, but its caller got the verdict that it did not run", i)
		}
	}
	if runs > 1 {
		return errors.Errorf("the request ran %d times", runs)
	}
	if s.row.State == claim.Done && runs == 0 {
		return errors.New("an outcome is recorded, but the request did not run")
	}
	return nil
}

func next(v Variant, s state) []explore.Step[state] {
	var steps []explore.Step[state]
	add := func(i int, action string, n state) {
		steps = append(steps, explore.Step[state]{Action: fmt.Sprintf("attempt %d: %s", i, action), State: n})
	}
	if s.now < maxTime {
		n := s
		n.now++
		steps = append(steps, explore.Step[state]{Action: "time passes", State: n})
	}
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.phase == idle && i > 0 && s.attempts[i-1].phase == idle {
			break // attempts are interchangeable, so they start in order
		}
		e := stepBuilder{v: v, s: s, i: i, add: add}
		e.resolvePendingCommit()
		switch a.phase {
		case idle:
			e.readRow("read the row")
		case read:
			e.acquire()
		case outcomeUnknown:
			e.readRow("read the row back")
			e.giveUp()
		case granted:
			e.dispatch()
			e.failConnect()
		case sent:
			e.settle()
		case givenUp:
			e.release("release in the background")
		}
		if a.phase != idle && a.phase != ended {
			e.addStep("crash", func(_ *state, a *attempt) { a.end() })
		}
	}
	return steps
}

// stepBuilder adds the steps of attempt i in state s.
type stepBuilder struct {
	v   Variant
	s   state
	i   int
	add func(int, string, state)
}

// addStep adds the successor that change makes from the state.
func (e stepBuilder) addStep(action string, change func(*state, *attempt)) {
	n := e.s
	change(&n, &n.attempts[e.i])
	e.add(e.i, action, n)
}

// stampAt returns the stamp of a change at the given model time.
func stampAt(now uint8) claim.Stamp {
	return claim.Stamp{Now: time.Unix(int64(now), 0)}
}

func (e stepBuilder) stamp() claim.Stamp { return stampAt(e.s.now) }

func (e stepBuilder) nonce() claim.Nonce { return claim.Nonce(fmt.Sprint("n", e.i)) }

// decide returns the product's decision on the attempt to claim the row at the
// given time.
func (e stepBuilder) decide(now uint8) (claim.Record, claim.Decision, bool) {
	a := claim.Attempt{Digest: "d", Nonce: e.nonce()}
	rec, d, write := claim.Acquire(e.s.row, a, abandonAge, stampAt(now))
	if e.v == DispatchAfterLapse && d == claim.Unresolved {
		free := claim.Record{State: claim.Released, Attempt: e.s.row.Attempt}
		return claim.Acquire(free, a, abandonAge, stampAt(now))
	}
	return rec, d, write
}

// apply commits a new row. Every earlier read becomes stale and every pending
// commit fails.
func (s *state) apply(next claim.Record) {
	s.row = next
	for i := range s.attempts {
		s.attempts[i].fresh = false
		s.attempts[i].commitPending = false
		s.attempts[i].pendingSince = 0
	}
}

func (a *attempt) end() { a.phase, a.fresh, a.responseLost = ended, false, false }

// handleDecision continues with the dispatch if the claim is granted and ends the
// attempt otherwise.
func (a *attempt) handleDecision(d claim.Decision) {
	a.end()
	if d == claim.Granted {
		a.phase = granted
	}
}

// resolvePendingCommit lets a pending commit fail or take effect.
func (e stepBuilder) resolvePendingCommit() {
	a := e.s.attempts[e.i]
	if !a.commitPending {
		return
	}
	e.addStep("the pending commit fails", func(_ *state, a *attempt) { a.commitPending, a.pendingSince = false, 0 })
	e.addStep("the pending commit takes effect", func(s *state, _ *attempt) {
		rec, _, _ := e.decide(a.pendingSince)
		s.apply(rec)
	})
}

func (e stepBuilder) readRow(action string) {
	_, d, write := e.decide(e.s.now)
	e.addStep(action, func(_ *state, a *attempt) {
		if !write {
			a.handleDecision(d)
			return
		}
		a.phase, a.fresh = read, true
	})
	if e.v == ClaimAfterDispatch && write && e.s.attempts[e.i].phase == idle {
		e.addStep("read the row and dispatch before the claim", func(_ *state, a *attempt) {
			a.phase, a.fresh, a.ran = read, true, true
		})
	}
}

func (e stepBuilder) acquire() {
	a := e.s.attempts[e.i]
	if !a.fresh {
		e.addStep("conflict", func(_ *state, a *attempt) { a.phase = outcomeUnknown })
		return
	}
	rec, d, write := e.decide(e.s.now)
	if !write {
		panic("the row is unchanged since the attempt read it, but no longer needs a write")
	}
	e.addStep("commit", func(s *state, a *attempt) {
		s.apply(rec)
		a.handleDecision(d)
	})
	e.addStep("the table is unavailable", func(_ *state, a *attempt) {
		a.fresh = false
		if a.responseLost {
			a.phase = outcomeUnknown
			return
		}
		a.end()
		a.reportedNotRun = !a.ran
	})
	if !a.commitPending {
		e.loseResponse(rec)
	}
}

func (e stepBuilder) loseResponse(rec claim.Record) {
	markLost := func(a *attempt) {
		a.phase, a.fresh, a.responseLost = outcomeUnknown, false, true
		if e.v == DispatchOnUnknownOutcome {
			a.phase = granted
		}
	}
	e.addStep("commit, response lost", func(s *state, a *attempt) {
		s.apply(rec)
		markLost(a)
	})
	e.addStep("commit delayed, response lost", func(s *state, a *attempt) {
		a.commitPending, a.pendingSince = true, s.now
		markLost(a)
	})
}

func (e stepBuilder) giveUp() {
	e.addStep("give up, report \"not run\"", func(_ *state, a *attempt) { a.phase, a.reportedNotRun = givenUp, !a.ran })
}

func (e stepBuilder) dispatch() {
	e.addStep("dispatch", func(_ *state, a *attempt) { a.phase, a.ran = sent, true })
}

func (e stepBuilder) failConnect() {
	e.addStep("connect fails, report \"not run\"", func(_ *state, a *attempt) { a.phase, a.reportedNotRun = givenUp, !a.ran })
}

func (e stepBuilder) release(action string) {
	e.addStep(action, func(s *state, a *attempt) {
		if rec, ok := claim.Release(s.row, claim.Hold{Attempt: s.row.Attempt, Nonce: e.nonce()}, e.stamp()); ok {
			s.apply(rec)
		}
		a.end()
	})
}

func (e stepBuilder) settle() {
	hold := claim.Hold{Attempt: e.s.row.Attempt, Nonce: e.nonce()}
	e.addStep("record the outcome", func(s *state, a *attempt) {
		if rec, ok := claim.Finish(s.row, hold, claim.Outcome{Status: 200}, e.stamp()); ok {
			rec.Outcome = nil // the invariants don't depend on it, and key leaves it out
			s.apply(rec)
		}
		a.end()
	})
	e.addStep("the request fails after it was sent", func(s *state, a *attempt) {
		rec, ok := claim.Abandon(s.row, hold, e.stamp())
		if e.v == ReleaseAfterSend {
			rec, ok = claim.Release(s.row, hold, e.stamp())
		}
		if ok {
			s.apply(rec)
		}
		a.end()
	})
}
