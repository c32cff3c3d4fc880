// Package claim models how routers claim, dispatch and settle one request with
// an idempotency key. The transitions of the row are the product's own, from
// internal/claim. A router may pause between any two steps, crash at any step,
// and lose the answer of any commit, which then takes effect at once, late or
// never.
package claim

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/spec/explore"
)

// Variant selects the protocol. All but Sound are wrong on purpose.
type Variant uint8

const (
	// Sound is the protocol of the product.
	Sound Variant = iota
	// ClaimAfterDispatch sends the request before the claim is committed.
	ClaimAfterDispatch
	// TakeOver lets a second attempt dispatch once a claim has lapsed.
	TakeOver
	// TrustLostAnswer dispatches after a commit with unknown outcome.
	TrustLostAnswer
	// ReleaseAfterSend gives the claim back when a sent request failed.
	ReleaseAfterSend
)

// attempts is the number of times that callers send the request.
const attempts = 3

// lapse is the age of a lapsed claim, in the model's time.
const lapse = time.Second

// maxTime bounds the model's time, in units of lapse.
const maxTime = 2

type phase uint8

const (
	idle phase = iota
	read
	unknown
	granted
	sent
	// givenUp has answered "not run" and still releases what it may hold.
	givenUp
	ended
)

// attempt is one try of a caller. The model keeps no row versions: fresh says
// that the row is as the attempt read it, which is when its commit can apply.
type attempt struct {
	phase phase
	fresh bool
	// late is set while a commit whose answer was lost is still under way. It
	// was computed at lateAt.
	late   bool
	lateAt uint8
	// lost is set once the answer of a commit was lost.
	lost   bool
	ran    bool
	notRun bool
}

type state struct {
	row      claim.Record
	now      uint8
	attempts [attempts]attempt
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
		b = append(b, byte(a.phase), a.lateAt, flags(a.fresh, a.late, a.lost, a.ran, a.notRun))
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
		if a.ran && a.notRun {
			return errors.Errorf("attempt %d ran and was answered as not run", i)
		}
	}
	if runs > 1 {
		return errors.Errorf("the request ran %d times", runs)
	}
	if s.row.State == claim.Done && runs == 0 {
		return errors.New("an outcome is recorded and nothing ran")
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
			break // attempts start in order, which loses no behaviour
		}
		e := env{v: v, s: s, i: i, add: add}
		e.lateCommit()
		switch a.phase {
		case idle:
			e.readRow("read the row")
		case read:
			e.acquire()
		case unknown:
			e.readRow("read back")
			e.giveUp()
		case granted:
			e.dispatch()
			e.provedNotRun()
		case sent:
			e.settle()
		case givenUp:
			e.release("release in the background")
		}
		if a.phase != idle && a.phase != ended {
			e.set("crash", func(_ *state, a *attempt) { a.end() })
		}
	}
	return steps
}

// env is one attempt in one state, with the collector of its steps.
type env struct {
	v   Variant
	s   state
	i   int
	add func(int, string, state)
}

func (e env) set(action string, change func(*state, *attempt)) {
	n := e.s
	change(&n, &n.attempts[e.i])
	e.add(e.i, action, n)
}

// stampAt returns the stamp of a change that is made at a model time.
func stampAt(now uint8) claim.Stamp {
	return claim.Stamp{Now: time.Unix(int64(now), 0)}
}

func (e env) stamp() claim.Stamp { return stampAt(e.s.now) }

func (e env) nonce() claim.Nonce { return claim.Nonce(fmt.Sprint("n", e.i)) }

// decide applies the product's decision to the row.
func (e env) decide(now uint8) (claim.Record, claim.Decision, bool) {
	a := claim.Attempt{Digest: "d", Nonce: e.nonce()}
	rec, d, write := claim.Acquire(e.s.row, a, lapse, stampAt(now))
	if e.v == TakeOver && d == claim.Unresolved {
		free := claim.Record{State: claim.Released, Attempt: e.s.row.Attempt}
		return claim.Acquire(free, a, lapse, stampAt(now))
	}
	return rec, d, write
}

// apply commits a new row, which makes every earlier read and every commit
// still under way stale.
func (s *state) apply(next claim.Record) {
	s.row = next
	for i := range s.attempts {
		s.attempts[i].fresh = false
		s.attempts[i].late = false
		s.attempts[i].lateAt = 0
	}
}

func (a *attempt) end() { a.phase, a.fresh, a.lost = ended, false, false }

func (a *attempt) follow(d claim.Decision) {
	a.end()
	if d == claim.Granted {
		a.phase = granted
	}
}

func (e env) lateCommit() {
	a := e.s.attempts[e.i]
	if !a.late {
		return
	}
	e.set("the late commit is dropped", func(_ *state, a *attempt) { a.late, a.lateAt = false, 0 })
	e.set("the late commit arrives", func(s *state, _ *attempt) {
		rec, _, _ := e.decide(a.lateAt)
		s.apply(rec)
	})
}

func (e env) readRow(action string) {
	_, d, write := e.decide(e.s.now)
	e.set(action, func(_ *state, a *attempt) {
		if !write {
			a.follow(d)
			return
		}
		a.phase, a.fresh = read, true
	})
	if e.v == ClaimAfterDispatch && write && e.s.attempts[e.i].phase == idle {
		e.set("read the row and dispatch before the claim", func(_ *state, a *attempt) {
			a.phase, a.fresh, a.ran = read, true, true
		})
	}
}

func (e env) acquire() {
	a := e.s.attempts[e.i]
	if !a.fresh {
		e.set("conflict", func(_ *state, a *attempt) { a.phase = unknown })
		return
	}
	rec, d, write := e.decide(e.s.now)
	if !write {
		panic("a fresh row that was to be written needs no write")
	}
	e.set("commit", func(s *state, a *attempt) {
		s.apply(rec)
		a.follow(d)
	})
	e.set("table unavailable", func(_ *state, a *attempt) {
		a.fresh = false
		if a.lost {
			a.phase = unknown
			return
		}
		a.end()
		a.notRun = !a.ran
	})
	if !a.late {
		e.loseAnswer(rec)
	}
}

func (e env) loseAnswer(rec claim.Record) {
	lost := func(a *attempt) {
		a.phase, a.fresh, a.lost = unknown, false, true
		if e.v == TrustLostAnswer {
			a.phase = granted
		}
	}
	e.set("commit, answer lost", func(s *state, a *attempt) {
		s.apply(rec)
		lost(a)
	})
	e.set("commit delayed, answer lost", func(s *state, a *attempt) {
		a.late, a.lateAt = true, s.now
		lost(a)
	})
}

func (e env) giveUp() {
	e.set("give up, answer not run", func(_ *state, a *attempt) { a.phase, a.notRun = givenUp, !a.ran })
}

func (e env) dispatch() {
	e.set("dispatch", func(_ *state, a *attempt) { a.phase, a.ran = sent, true })
}

func (e env) provedNotRun() {
	e.set("connect fails, answer not run", func(_ *state, a *attempt) { a.phase, a.notRun = givenUp, !a.ran })
}

func (e env) release(action string) {
	e.set(action, func(s *state, a *attempt) {
		if rec, ok := claim.Release(s.row, claim.Hold{Attempt: s.row.Attempt, Nonce: e.nonce()}, e.stamp()); ok {
			s.apply(rec)
		}
		a.end()
	})
}

func (e env) settle() {
	hold := claim.Hold{Attempt: e.s.row.Attempt, Nonce: e.nonce()}
	e.set("record the outcome", func(s *state, a *attempt) {
		if rec, ok := claim.Finish(s.row, hold, claim.Outcome{Status: 200}, e.stamp()); ok {
			rec.Outcome = nil // not part of the state
			s.apply(rec)
		}
		a.end()
	})
	e.set("the send fails half-way", func(s *state, a *attempt) {
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
