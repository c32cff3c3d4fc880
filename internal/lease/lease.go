// Package lease gives one holder at a time the right to act on a resource. A
// lease is one row in the platform's table. Its fencing token grows with every
// change of holder.
//
// Wall clocks of different VMs are never compared. The holder's term is counted
// from before it sent the last renewal known to have been applied. A process
// that takes the lease over waits until it has observed the row unchanged for a
// whole lease. Both use their own monotonic clocks.
//
// If the store restores a row from an older copy of itself, that row gives
// nobody a right and doesn't show who held the lease last. The holder, whose
// term continues by its clock, writes the row anew; any other process may take
// the lease, but acts only a whole lease later. Fencing tokens of a later era
// are greater than those of all earlier eras.
package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// Prefix is the prefix of the keys of all lease rows.
const Prefix = "lease/"

// Holder identifies a process. It must be unique to one run of the process.
type Holder string

// Fencing is the fencing token of a lease. It starts at 1.
type Fencing uint64

// Record is the content of a lease row.
type Record struct {
	// Holder is empty once the lease is released.
	Holder  Holder  `json:"holder"`
	Fencing Fencing `json:"fencing"`
	// Renewals counts the renewals by this holder.
	Renewals uint64 `json:"renewals"`
	// TTL is how long the holder may act after it sent a renewal.
	TTL time.Duration `json:"ttl"`
	// Era is the era of the store when the row was written.
	Era platform.Era `json:"era,omitempty"`
	// Note is the holder's statement about its actions, for the next holder. It is empty if the
	// holder makes none, as earlier builds don't.
	Note string `json:"note,omitempty"`
}

// Row is a lease row as it was read.
type Row struct {
	Record  Record
	Version platform.Version
	// Era is the era of the store when the row was read.
	Era platform.Era
}

// inCurrentEra reports whether the row was written in the era in which it was read.
func (r Row) inCurrentEra() bool { return r.Record.Era == r.Era }

// Current reports whether the row was written in the era in which it was read. Otherwise it is from
// an older copy of the store, and others may have held the lease since.
func (r Row) Current() bool { return r.inCurrentEra() }

// NeverHeld reports whether nobody has held the lease yet.
func (r Row) NeverHeld() bool { return r.inCurrentEra() && r.Record.Fencing == 0 }

// eraShift leaves room for 2^32 changes of holder within an era.
const eraShift = 32

// nextFencing returns the fencing token of a new term.
func (r Row) nextFencing() Fencing { return max(r.Record.Fencing, Fencing(r.Era)<<eraShift) + 1 }

// Term is the right to act, as the holder knows it.
type Term struct {
	Fencing Fencing
	// Since is when the term was known to have begun.
	Since time.Time
	// From is when the right begins. It is later than Since if a holder of an
	// earlier era may still act until then.
	From time.Time
	// Until is when the right ends unless it is renewed.
	Until time.Time
}

// Valid reports whether the holder may start an action that takes up to margin.
// The holder checks it right before each action.
func (t Term) Valid(now time.Time, margin time.Duration) bool {
	return t.Fencing != 0 && !now.Before(t.From) && now.Add(margin).Before(t.Until)
}

// maxClockDrift bounds how much faster the clock of a process that takes the
// lease over may run than that of the holder, as a fraction.
const maxClockDrift = 0.01

// TakeoverWait returns how long a process must observe a row unchanged before
// it takes the lease over.
func TakeoverWait(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*maxClockDrift)
}

// Watcher is the state machine that decides when a process may take or renew a
// lease.
type Watcher struct {
	holder   Holder
	ttl      time.Duration
	observed Row
	// observedAt is when the first read that showed observed returned.
	observedAt time.Time
	term       Term
	claim      Claim
	// maxPendingRenewal is the highest renewal of this holder that may still be
	// applied.
	maxPendingRenewal uint64
	// resignedFencing is the fencing token of the term that this holder gave
	// up.
	resignedFencing Fencing
}

// Claim is a holder's statement about its own term: it won't act after Until on
// any renewal up to Renewals. It lets others take the lease earlier than the
// row alone would allow.
type Claim struct {
	Fencing  Fencing
	Renewals uint64
	// Until is by the clock of the process that received the claim.
	Until time.Time
}

// RecordClaim records the last claim received from another holder.
func (w *Watcher) RecordClaim(c Claim) {
	if c.Fencing > w.claim.Fencing || c.Fencing == w.claim.Fencing && (c.Renewals > w.claim.Renewals || c.Until.Before(w.claim.Until)) {
		w.claim = c
	}
}

// Claim returns this holder's claim about its own term.
func (w *Watcher) Claim() Claim {
	return Claim{Fencing: w.term.Fencing, Renewals: max(w.observed.Record.Renewals, w.maxPendingRenewal), Until: w.term.Until}
}

// Resign ends the term at once and returns the claim that announces it.
func (w *Watcher) Resign(now time.Time) Claim {
	c := w.Claim()
	c.Until = now
	if w.term.From.After(now) {
		c.Until = w.term.From // A holder of an earlier era may act until then.
	}
	w.resignedFencing = w.term.Fencing
	w.term = Term{}
	return c
}

// NewWatcher returns a Watcher that doesn't hold the lease.
func NewWatcher(holder Holder, ttl time.Duration) *Watcher {
	return &Watcher{holder: holder, ttl: ttl}
}

// Holder returns the identity of the process.
func (w *Watcher) Holder() Holder { return w.holder }

// Term returns the current term. A zero Term is never valid.
func (w *Watcher) Term() Term { return w.term }

// Era returns the era of the store at the last read.
func (w *Watcher) Era() platform.Era { return w.observed.Era }

// Observe records a row that was read, where returned is when the read
// returned. A response from an earlier era than the last one is ignored.
func (w *Watcher) Observe(row Row, returned time.Time) {
	if row.Era < w.observed.Era {
		return
	}
	if w.observedAt.IsZero() || row.Version != w.observed.Version || row.Era != w.observed.Era {
		w.observed, w.observedAt = row, returned
	}
	ownTerm := row.Record.Holder == w.holder && row.Record.Fencing == w.term.Fencing
	if w.term.Fencing != 0 && !ownTerm && row.inCurrentEra() {
		w.term = Term{}
	}
}

// Attempt is a change of the lease row that the process may commit.
type Attempt struct {
	Next    Record
	Version platform.Version
	// ActionDelay is the time between the commit and the first action.
	ActionDelay time.Duration
}

// check returns the condition of the attempt's transaction.
func (a Attempt) check(key string) platform.Check {
	return platform.Check{Key: key, Version: a.Version, Era: a.Next.Era}
}

// Next returns the change to commit now, a renewal or a takeover. It returns
// false while another holder's lease may be in force.
func (w *Watcher) Next(now time.Time) (Attempt, bool) {
	r := w.observed.Record
	a := Attempt{Version: w.observed.Version, Next: Record{Holder: w.holder, TTL: w.ttl, Era: w.observed.Era}}
	if w.observed.inCurrentEra() && r.Holder == w.holder && r.Fencing != w.resignedFencing {
		a.Next.Fencing = r.Fencing
		a.Next.Renewals = r.Renewals + 1
		if r.Fencing == w.term.Fencing {
			// Each try has a number of its own: a claim made for an earlier one may end before this one.
			a.Next.Renewals = max(r.Renewals, w.maxPendingRenewal) + 1
		} else {
			a.ActionDelay = TakeoverWait(w.ttl) // The commit's response was lost, or the row is from an older copy.
		}
		return a, true
	}
	available := r.Holder == "" || w.claim.covers(r) && !now.Before(w.claim.Until) || !w.observed.inCurrentEra()
	if !available && now.Sub(w.observedAt) < TakeoverWait(r.TTL) {
		return Attempt{}, false
	}
	a.Next.Fencing = w.observed.nextFencing()
	if !w.observed.inCurrentEra() && !w.term.Valid(now, 0) {
		a.ActionDelay = TakeoverWait(max(r.TTL, w.ttl))
	}
	return a, true
}

// covers reports whether the claim applies to the term in the record, with all
// its renewals.
func (c Claim) covers(r Record) bool {
	return c.Fencing != 0 && c.Fencing == r.Fencing && r.Renewals <= c.Renewals
}

// RecordSent records that an attempt is being sent. It may be applied even if its
// response is lost.
func (w *Watcher) RecordSent(a Attempt) {
	if a.Next.Fencing == w.term.Fencing {
		w.maxPendingRenewal = max(w.maxPendingRenewal, a.Next.Renewals)
	}
}

// RecordCommitted records that an attempt is known to have been applied. sent is when
// its commit was sent, known is when its result became known.
func (w *Watcher) RecordCommitted(a Attempt, sent, known time.Time) {
	if w.term.Fencing != a.Next.Fencing {
		next := Term{Fencing: a.Next.Fencing, Since: known, From: known.Add(a.ActionDelay)}
		if w.term.Valid(sent, 0) {
			next.Since = w.term.Since // The term continues in a later era.
		}
		w.term, w.maxPendingRenewal = next, a.Next.Renewals
	}
	if until := sent.Add(w.ttl); until.After(w.term.Until) {
		w.term.Until = until
	}
	w.observed = Row{Record: a.Next, Version: a.Version + 1, Era: a.Next.Era}
	w.observedAt = known
}

// Applied reports whether a row that was read shows that the attempt was
// applied. It resolves an attempt whose response was lost.
func (a Attempt) Applied(row Row) bool { return row.inCurrentEra() && row.Record == a.Next }

func encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode lease")
}

func decode(row platform.Row) (Row, error) {
	r := Row{Version: row.Version, Era: row.Era}
	if row.Value == nil {
		return r, nil
	}
	err := json.Unmarshal(row.Value, &r.Record)
	return r, errors.Wrap(err, "decode lease")
}
