// Package eras models VMs that compete for a lease in a store that is restored from older
// copies of itself. Each restore begins a new era. Commits may be applied late, even in a
// later era, responses may be lost or delayed, and VMs may pause between any two steps. The
// decisions are the product's, from internal/lease. Time advances in whole seconds.
package eras

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/spec/explore"
)

// Variant selects the protocol and bounds the exploration. Fields marked as wrong are for
// the checker to refute.
type Variant struct {
	// IgnoreEras lets VMs rely on row versions alone. Wrong.
	IgnoreEras bool
	// TrustRestoredRows lets a VM treat a row of an older copy as one of the current era.
	// Wrong.
	TrustRestoredRows bool
	// Restores bounds the restores of the store, Writes the commits that it applies.
	Restores, Writes int
	// Resigns lets VM 1, once it has taken the lease from VM 0, resign it once.
	Resigns bool
	// Seconds bounds the model's time. A take-over after a restore needs two.
	Seconds int
}

const (
	numVMs    = 2
	leaseTime = 1 * time.Second
)

var start = time.Unix(0, 0)

// commit is a transaction that was sent.
type commit struct {
	attempt lease.Attempt
	sent    time.Time
	// pending is set until the store applies the commit, refuses it or loses it. applied
	// is set once the store has applied it in the attempt's era, until the response
	// arrives or is lost.
	pending, applied bool
}

// competitor is the state of one VM.
type competitor struct {
	watcher lease.Watcher
	// read is the response to a read that the VM has not processed yet, if hasRead is set.
	read    lease.Row
	hasRead bool
	commit  commit
}

type state struct {
	now     int
	row     lease.Row
	version platform.Version
	era     platform.Era
	writes  int
	// past holds the row and the store's version before each of the last two writes, newest
	// first.
	past [2]pastRow
	vms  [numVMs]competitor
	// resignation is the claim that a VM announced when it resigned the lease.
	resignation    lease.Claim
	highestFencing lease.Fencing
	holder         int
	violation      string
}

// pastRow is the row of an older copy of the store; known is set if there is one.
type pastRow struct {
	row     lease.Row
	version platform.Version
	known   bool
}

// Model returns the model of a variant.
func Model(v Variant) explore.Model[state] {
	var first state
	first.era = 1
	for i := range first.vms {
		first.vms[i].watcher = *lease.NewWatcher(lease.Holder(fmt.Sprint("vm", i)), leaseTime)
	}
	first.grantFirstTerm(0)
	return explore.Model[state]{
		Initial: []state{first},
		Next:    v.next,
		Key:     newKey(),
		Invariant: func(s state) error {
			if s.violation != "" {
				return errors.New(s.violation)
			}
			return nil
		},
		MaxStates: 1_000_000,
	}
}

// grantFirstTerm makes a VM the holder of the first term, which is valid immediately.
func (s *state) grantFirstTerm(i int) {
	w := &s.vms[i].watcher
	w.Observe(lease.Row{Era: s.era}, s.time())
	a, _ := w.Next(s.time())
	a.ActionDelay = 0
	w.RecordCommitted(a, s.time(), s.time())
	s.past[0] = pastRow{known: true}
	s.version++
	s.row = lease.Row{Record: a.Next, Version: s.version}
	s.checkTerms()
}

// newKey returns a key function. It numbers the distinct parts of states, which is faster
// than formatting them.
func newKey() func(state) string {
	type part struct {
		vm          competitor
		row         lease.Row
		version     platform.Version
		past        [2]pastRow
		resignation lease.Claim
	}
	ids := map[part]int64{}
	id := func(p part) int64 {
		if _, ok := ids[p]; !ok {
			ids[p] = int64(len(ids))
		}
		return ids[p]
	}
	return func(s state) string {
		b := make([]byte, 0, 32)
		for _, n := range []int64{
			int64(s.now), int64(s.era), int64(s.writes), int64(s.highestFencing), int64(s.holder), int64(len(s.violation)),
			id(part{row: s.row, version: s.version, past: s.past, resignation: s.resignation}),
		} {
			b = binary.AppendVarint(b, n)
		}
		for _, c := range s.vms {
			b = binary.AppendVarint(b, id(part{vm: c}))
		}
		return string(b)
	}
}

func (s state) time() time.Time { return start.Add(time.Duration(s.now) * time.Second) }

// visibleRow returns the row as a read returns it.
func (v Variant) visibleRow(s state) lease.Row {
	r := s.row
	r.Era = s.era
	if v.IgnoreEras {
		r.Era, r.Record.Era = 0, 0
	}
	if v.TrustRestoredRows {
		r.Record.Era = r.Era
	}
	return r
}

func (v Variant) next(s state) []explore.Step[state] {
	var steps []explore.Step[state]
	add := func(action string, change func(*state)) {
		n := s
		change(&n)
		n.checkTerms()
		steps = append(steps, explore.Step[state]{Action: fmt.Sprintf("t=%d %s", s.now, action), State: n})
	}
	if s.now < v.Seconds {
		add("a second passes", func(s *state) { s.now++ })
	}
	if int(s.era) <= v.Restores {
		for i, p := range s.past {
			if p.known {
				add(fmt.Sprintf("the store is restored without its last %d writes", i+1), func(s *state) { s.restore(i) })
			}
		}
	}
	for i := range s.vms {
		v.vmSteps(s, i, add)
	}
	return steps
}

// restore restores the store from the copy past[i] and begins a new era.
func (s *state) restore(i int) {
	p := s.past[i]
	s.row, s.version, s.past = p.row, p.version, [2]pastRow{}
	s.era++
}

type addFunc func(string, func(*state))

func (v Variant) vmSteps(s state, i int, add addFunc) {
	name := fmt.Sprint("VM ", i)
	c := s.vms[i]
	switch {
	case c.commit.pending:
		add(name+"'s commit is applied", func(s *state) { s.apply(v, i) })
		add(name+"'s commit is lost", func(s *state) { s.vms[i].commit = commit{} })
	case c.commit.applied:
		add(name+" receives the response to its commit", func(s *state) {
			c := &s.vms[i]
			c.watcher.RecordCommitted(c.commit.attempt, c.commit.sent, s.time())
			c.commit = commit{}
		})
		add(name+"'s response is lost", func(s *state) { s.vms[i].commit = commit{} })
	case c.hasRead:
		add(name+" decides", func(s *state) { s.decide(v, i) })
	default:
		add(name+" reads", func(s *state) { s.vms[i].read, s.vms[i].hasRead = v.visibleRow(*s), true })
	}
	if v.Resigns && i == 1 && s.resignation.Fencing == 0 && c.watcher.Term().Fencing != 0 && !c.commit.pending && !c.commit.applied {
		add(name+" resigns", func(s *state) { s.resignation = s.vms[i].watcher.Resign(s.time()) })
	}
	if s.resignation.Fencing != 0 && c.watcher.Term().Fencing == 0 {
		add(name+" receives the resignation", func(s *state) { s.vms[i].watcher.RecordClaim(s.resignation) })
	}
}

// decide lets VM i process its read and send the commit that follows from it, if any.
func (s *state) decide(v Variant, i int) {
	c := &s.vms[i]
	c.watcher.Observe(c.read, s.time())
	c.read, c.hasRead = lease.Row{}, false
	a, ok := c.watcher.Next(s.time())
	if !ok || a.Next.Renewals > 1 || s.writes >= v.Writes {
		return // Further renewals of a term add no behaviour.
	}
	c.watcher.RecordSent(a)
	c.commit = commit{attempt: a, sent: s.time(), pending: true}
}

// apply applies VM i's commit if the row still has the version that it expects. The response
// names the era, so the VM discards a commit that was applied in another one.
func (s *state) apply(v Variant, i int) {
	m := &s.vms[i].commit
	m.pending = false
	if m.attempt.Version != s.row.Version {
		*m = commit{}
		return
	}
	s.past = [2]pastRow{{row: s.row, version: s.version, known: true}, s.past[0]}
	s.version++
	s.writes++
	s.row = lease.Row{Record: m.attempt.Next, Version: s.version}
	m.applied = v.IgnoreEras || m.attempt.Next.Era == s.era
	if !m.applied {
		*m = commit{}
	}
}

// checkTerms records a violation if two VMs hold valid terms at the same time, or if a
// fencing token decreases or has two holders.
func (s *state) checkTerms() {
	valid := -1
	for i := range s.vms {
		t := s.vms[i].watcher.Term()
		if !t.Valid(s.time(), 0) {
			continue
		}
		switch {
		case valid >= 0:
			s.violation = fmt.Sprintf("VMs %d and %d both hold terms", valid, i)
		case t.Fencing < s.highestFencing:
			s.violation = fmt.Sprintf("VM %d acts under number %d after %d", i, t.Fencing, s.highestFencing)
		case t.Fencing == s.highestFencing && s.holder != i:
			s.violation = fmt.Sprintf("VMs %d and %d act under number %d", s.holder, i, t.Fencing)
		}
		valid, s.highestFencing, s.holder = i, max(s.highestFencing, t.Fencing), i
	}
}
