package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// renewalsPerLease is the number of renewals that a holder attempts within one
// lease.
const renewalsPerLease = 3

// Keeper competes for one lease and renews it while it holds it.
type Keeper struct {
	table   platform.Table
	row     string
	ttl     time.Duration
	now     func() time.Time
	watcher *Watcher
	term    atomic.Pointer[Term]
	// note returns the note to write; nil for none.
	note func(replaced Row, read time.Time) string
	// renewing is called with the claim that will hold once a renewal is applied, right before it is
	// sent; nil for none.
	renewing func(Claim)
	// replaced is the row that the present term has replaced, and replacedRead when it was first read.
	replaced     Row
	replacedRead time.Time
}

// NewKeeper returns a Keeper for a resource that uses the monotonic clock.
func NewKeeper(table platform.Table, resource string, holder Holder, ttl time.Duration) *Keeper {
	return NewKeeperWithClock(table, resource, holder, ttl, time.Now)
}

// NewKeeperWithClock returns a Keeper that takes the time from now. If the VM
// may be suspended, this clock must continue to run meanwhile.
func NewKeeperWithClock(table platform.Table, resource string, holder Holder, ttl time.Duration, now func() time.Time) *Keeper {
	k := &Keeper{
		table:   table,
		row:     Prefix + resource,
		ttl:     ttl,
		now:     now,
		watcher: NewWatcher(holder, ttl),
	}
	k.term.Store(&Term{})
	return k
}

// SetNote sets the function that returns the note for each write of the row, given the row that the
// write replaces and when it was first read. It must be called before the first step.
func (k *Keeper) SetNote(note func(replaced Row, read time.Time) string) { k.note = note }

// SetRenewing sets the function that is called before a renewal is sent, with the claim that will hold
// once it is applied. If the claim reaches the others first, it covers the row whenever the holder
// ends. It must be called before the first step.
func (k *Keeper) SetRenewing(renewing func(Claim)) { k.renewing = renewing }

// Replaced returns the row that the present term has replaced, and when it was first read. It must not
// be called concurrently with Step.
func (k *Keeper) Replaced() (Row, time.Time) { return k.replaced, k.replacedRead }

// Term returns the term as last known. The caller checks Valid before each
// action. Term is safe for concurrent use.
func (k *Keeper) Term() Term { return *k.term.Load() }

// Run competes for the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	for {
		_ = k.Step(ctx) // The next step retries after a failure.
		timer := time.NewTimer(k.pause())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			k.release()
			return
		}
	}
}

// Release releases the lease. Run must have ended or never have been started.
func (k *Keeper) Release() { k.release() }

// pause returns the time to the next step. A process that doesn't hold the
// lease reads the row only about once per lease, with jitter, since there may
// be many of them.
func (k *Keeper) pause() time.Duration {
	if k.Term().Fencing != 0 {
		return k.ttl / renewalsPerLease
	}
	return time.Duration((0.75 + rand.Float64()/2) * float64(k.ttl))
}

// Era returns the era of the store at the last step. It must not be called
// concurrently with Step.
func (k *Keeper) Era() platform.Era { return k.watcher.Era() }

// RecordClaim records the claim of another holder about its term. It must not be
// called concurrently with Step.
func (k *Keeper) RecordClaim(c Claim) { k.watcher.RecordClaim(c) }

// Claim returns this holder's claim about its own term.
func (k *Keeper) Claim() Claim { return k.watcher.Claim() }

// Resign ends the term at once and returns the claim that announces it. It must
// not be called concurrently with Step.
func (k *Keeper) Resign() Claim {
	defer k.publish()
	return k.watcher.Resign(k.now())
}

// Step reads the row and commits a renewal or takeover if one is due. After a
// failure the next step tries again.
func (k *Keeper) Step(ctx context.Context) error {
	defer k.publish()
	row, err := k.read(ctx)
	if err != nil {
		return err
	}
	k.watcher.Observe(row, k.now())
	a, ok := k.watcher.Next(k.now())
	if !ok {
		return nil
	}
	observed, read, term := k.watcher.observed, k.watcher.observedAt, k.watcher.Term()
	if k.note != nil {
		a.Next.Note = k.note(observed, read)
	}
	sent := k.now()
	k.watcher.RecordSent(a)
	if k.renewing != nil && term.Fencing != 0 && term.Fencing == a.Next.Fencing {
		k.renewing(Claim{Fencing: a.Next.Fencing, Renewals: a.Next.Renewals, Until: laterOf(term.Until, sent.Add(k.ttl))})
	}
	err = k.commit(ctx, a)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		err = k.readBack(ctx, a)
	}
	if err == nil {
		k.watcher.RecordCommitted(a, sent, k.now())
		if term.Fencing != a.Next.Fencing && !term.Valid(sent, 0) {
			k.replaced, k.replacedRead = observed, read
		}
	}
	return err
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (k *Keeper) read(ctx context.Context) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	rows, err := k.table.Get(ctx, k.row)
	if err != nil {
		return Row{}, err
	}
	return decode(rows[0])
}

func (k *Keeper) commit(ctx context.Context, a Attempt) error {
	value, err := encode(a.Next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return k.table.Commit(ctx,
		[]platform.Check{a.check(k.row)},
		[]platform.Write{{Key: k.row, Value: value}})
}

// readBack resolves an attempt with an unknown outcome. It returns nil if the
// row shows that the attempt was applied.
func (k *Keeper) readBack(ctx context.Context, a Attempt) error {
	row, err := k.read(ctx)
	if err != nil {
		return err
	}
	if !a.Applied(row) {
		return errors.WithStack(platform.ErrOutcomeUnknown)
	}
	return nil
}

// release releases the lease, so that the next holder need not wait for it to
// expire.
func (k *Keeper) release() {
	term := k.Term()
	k.term.Store(&Term{})
	if term.Fencing == 0 || k.now().Before(term.From) {
		return
	}
	row, err := k.read(context.Background())
	if err != nil || row.Record.Holder != k.watcher.Holder() || !row.inCurrentEra() {
		return // The lease expires by itself.
	}
	a := Attempt{Next: row.Record, Version: row.Version}
	a.Next.Holder = ""
	_ = k.commit(context.Background(), a)
}

// publish makes the Watcher's term available to Term.
func (k *Keeper) publish() {
	t := k.watcher.Term()
	k.term.Store(&t)
}
