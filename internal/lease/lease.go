// Package lease gives one holder at a time the right to act on a resource. A
// lease is one row in the platform's table. Its fencing number grows with every
// change of holder.
//
// No wall clock is compared with another: the holder counts its time from
// before the send of the last renewal that is known to have been applied, and a
// taker waits until it has seen the row unchanged for a whole lease. Both use
// their own monotonic clocks.
//
// A row that a store brings back from an older copy of itself gives nobody a right, and
// says nothing of who held the lease last. The holder, whose term goes on by its clock,
// writes the row anew; others take the lease, and act a whole lease later. Fencing
// numbers of a later era are greater than all of the eras before.
package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// Prefix starts the keys of all lease rows.
const Prefix = "lease/"

// Holder names a process. It must be unique to one run of it.
type Holder string

// Fencing is the fencing number of a lease. It starts at 1.
type Fencing uint64

// Record is the content of a lease row.
type Record struct {
	// Holder is empty once the lease is released.
	Holder  Holder  `json:"holder"`
	Fencing Fencing `json:"fencing"`
	// Renewals counts the renewals by this holder.
	Renewals uint64 `json:"renewals"`
	// TTL is how long the holder may act after a renewal.
	TTL time.Duration `json:"ttl"`
	// Era is that of the store when the row was written.
	Era platform.Era `json:"era,omitempty"`
}

// Row is a lease row as it was read.
type Row struct {
	Record  Record
	Version platform.Version
	// Era is that of the answer.
	Era platform.Era
}

// current reports whether the row was written in the era in which it was read.
func (r Row) current() bool { return r.Record.Era == r.Era }

// eraShift makes room for the changes of holder within an era.
const eraShift = 32

// next returns the fencing number of a new term.
func (r Row) next() Fencing { return max(r.Record.Fencing, Fencing(r.Era)<<eraShift) + 1 }

// Term is the right to act, as the holder knows it.
type Term struct {
	Fencing Fencing
	// Since is when the term was known to have begun.
	Since time.Time
	// From is when the right begins, if a holder of an earlier era may act until then.
	From time.Time
	// Until is when the right ends unless it is renewed.
	Until time.Time
}

// Valid reports whether the holder may start an action that takes up to
// margin. The holder asks right before each action.
func (t Term) Valid(now time.Time, margin time.Duration) bool {
	return t.Fencing != 0 && !now.Before(t.From) && now.Add(margin).Before(t.Until)
}

// clockDrift is how much faster, in parts of the lease, the clock of a taker
// may run than that of the holder.
const clockDrift = 0.01

// Wait returns how long a taker must see a row unchanged.
func Wait(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*clockDrift)
}

// Watcher decides for one process when it may take or renew a lease.
type Watcher struct {
	holder Holder
	ttl    time.Duration
	seen   Row
	// seenAt is when the first read that showed seen had returned.
	seenAt time.Time
	term   Term
	claim  Claim
	// pending is the greatest renewal of this holder that may be applied yet.
	pending uint64
	// resigned is the term that this holder gave up.
	resigned Fencing
}

// Claim is what a holder says of its own term: that it won't act after Until on
// any renewal up to Renewals. It lets others take the lease sooner than the row
// alone would.
type Claim struct {
	Fencing  Fencing
	Renewals uint64
	// Until is by the clock of the process that heard it.
	Until time.Time
}

// Heard notes the last claim of another holder.
func (w *Watcher) Heard(c Claim) {
	if c.Fencing > w.claim.Fencing || c.Fencing == w.claim.Fencing && (c.Renewals > w.claim.Renewals || c.Until.Before(w.claim.Until)) {
		w.claim = c
	}
}

// Claim returns what this holder may say of its own term.
func (w *Watcher) Claim() Claim {
	return Claim{Fencing: w.term.Fencing, Renewals: max(w.seen.Record.Renewals, w.pending), Until: w.term.Until}
}

// Resign ends the term at once and returns the claim that says so.
func (w *Watcher) Resign(now time.Time) Claim {
	c := w.Claim()
	c.Until = now
	if w.term.From.After(now) {
		c.Until = w.term.From // Until then a holder of an earlier era may act.
	}
	w.resigned = w.term.Fencing
	w.term = Term{}
	return c
}

// NewWatcher returns a Watcher that holds nothing.
func NewWatcher(holder Holder, ttl time.Duration) *Watcher {
	return &Watcher{holder: holder, ttl: ttl}
}

// Holder returns the process that the Watcher acts for.
func (w *Watcher) Holder() Holder { return w.holder }

// Term returns the current term; its zero value is valid never.
func (w *Watcher) Term() Term { return w.term }

// Era returns the era of the store as seen last.
func (w *Watcher) Era() platform.Era { return w.seen.Era }

// Observe notes a row that was read. returned is when the read had returned. An answer
// of an earlier era than the last is ignored.
func (w *Watcher) Observe(row Row, returned time.Time) {
	if row.Era < w.seen.Era {
		return
	}
	if w.seenAt.IsZero() || row.Version != w.seen.Version || row.Era != w.seen.Era {
		w.seen, w.seenAt = row, returned
	}
	mine := row.Record.Holder == w.holder && row.Record.Fencing == w.term.Fencing
	if w.term.Fencing != 0 && !mine && row.current() {
		w.term = Term{}
	}
}

// Attempt is a change of the lease row that the process may commit.
type Attempt struct {
	Next    Record
	Version platform.Version
	// Wait is the time between the commit and the first action.
	Wait time.Duration
}

// check is the condition of the attempt's transaction.
func (a Attempt) check(key string) platform.Check {
	return platform.Check{Key: key, Version: a.Version, Era: a.Next.Era}
}

// Next returns the change to commit now: a renewal or a take-over. It returns
// false while another holder's lease may be in force.
func (w *Watcher) Next(now time.Time) (Attempt, bool) {
	r := w.seen.Record
	a := Attempt{Version: w.seen.Version, Next: Record{Holder: w.holder, TTL: w.ttl, Era: w.seen.Era}}
	if w.seen.current() && r.Holder == w.holder && r.Fencing != w.resigned {
		a.Next.Fencing = r.Fencing
		a.Next.Renewals = r.Renewals + 1
		if r.Fencing != w.term.Fencing {
			a.Wait = Wait(w.ttl) // It took the lease without knowing, perhaps from a copy.
		}
		return a, true
	}
	free := r.Holder == "" || w.claim.covers(r) && !now.Before(w.claim.Until) || !w.seen.current()
	if !free && now.Sub(w.seenAt) < Wait(r.TTL) {
		return Attempt{}, false
	}
	a.Next.Fencing = w.seen.next()
	if !w.seen.current() && !w.term.Valid(now, 0) {
		a.Wait = Wait(max(r.TTL, w.ttl))
	}
	return a, true
}

// covers reports whether the claim is about a row's term.
func (c Claim) covers(r Record) bool {
	return c.Fencing != 0 && c.Fencing == r.Fencing && r.Renewals <= c.Renewals
}

// Sent notes that an attempt is sent, whatever becomes of it.
func (w *Watcher) Sent(a Attempt) {
	if a.Next.Fencing == w.term.Fencing {
		w.pending = max(w.pending, a.Next.Renewals)
	}
}

// Committed notes that an attempt is known to have been applied. sent is when
// its commit was sent, known is when that became known.
func (w *Watcher) Committed(a Attempt, sent, known time.Time) {
	if w.term.Fencing != a.Next.Fencing {
		next := Term{Fencing: a.Next.Fencing, Since: known, From: known.Add(a.Wait)}
		if w.term.Valid(sent, 0) {
			next.Since = w.term.Since // It goes on in a later era.
		}
		w.term, w.pending = next, a.Next.Renewals
	}
	if until := sent.Add(w.ttl); until.After(w.term.Until) {
		w.term.Until = until
	}
	w.seen = Row{Record: a.Next, Version: a.Version + 1, Era: a.Next.Era}
	w.seenAt = known
}

// Applied reports whether a row that was read shows that an attempt with a
// lost answer was applied.
func (a Attempt) Applied(row Row) bool { return row.current() && row.Record == a.Next }

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
