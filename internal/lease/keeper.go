package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// renewals is the number of renewals that a holder tries within one lease.
const renewals = 3

// Keeper competes for one lease and renews it while it holds it.
type Keeper struct {
	table   platform.Table
	row     string
	ttl     time.Duration
	now     func() time.Time
	watcher *Watcher
	term    atomic.Pointer[Term]
}

// NewKeeper returns a Keeper for a resource, by the monotonic clock.
func NewKeeper(table platform.Table, resource string, holder Holder, ttl time.Duration) *Keeper {
	return NewKeeperWithClock(table, resource, holder, ttl, time.Now)
}

// NewKeeperWithClock returns a Keeper that takes the time from now. Where a VM
// may be suspended, its clock must go on meanwhile.
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

// Term returns the term as last known. The caller checks Valid before each
// action. It is safe for concurrent use.
func (k *Keeper) Term() Term { return *k.term.Load() }

// Run competes for the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	for {
		_ = k.Step(ctx) // The next step meets a failure.
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

// Release gives the lease up. Run must have ended, or never have been started.
func (k *Keeper) Release() { k.release() }

// pause returns the time to the next step. Those who wait read once a lease
// only, with jitter, since they may be many.
func (k *Keeper) pause() time.Duration {
	if k.Term().Fencing != 0 {
		return k.ttl / renewals
	}
	return time.Duration((0.75 + rand.Float64()/2) * float64(k.ttl))
}

// Era returns the era of the store as the last step saw it. It must not run beside Step.
func (k *Keeper) Era() platform.Era { return k.watcher.Era() }

// Heard notes what another holder says of its term. It must not run beside Step.
func (k *Keeper) Heard(c Claim) { k.watcher.Heard(c) }

// Claim returns what this holder may say of its own term.
func (k *Keeper) Claim() Claim { return k.watcher.Claim() }

// Resign ends the term at once and returns the claim that says so. It must not
// run beside Step.
func (k *Keeper) Resign() Claim {
	defer k.publish()
	return k.watcher.Resign(k.now())
}

// Step reads the row and commits one renewal or take-over if that is due. A
// failure is met by the next step.
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
	sent := k.now()
	k.watcher.Sent(a)
	err = k.commit(ctx, a)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		err = k.readBack(ctx, a)
	}
	if err == nil {
		k.watcher.Committed(a, sent, k.now())
	}
	return err
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

// readBack returns nil if the row shows that the attempt was applied.
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

// release gives the lease up, so that the next holder need not wait.
func (k *Keeper) release() {
	term := k.Term()
	k.term.Store(&Term{})
	if term.Fencing == 0 || k.now().Before(term.From) {
		return
	}
	row, err := k.read(context.Background())
	if err != nil || row.Record.Holder != k.watcher.Holder() || !row.current() {
		return // The lease lapses by itself.
	}
	a := Attempt{Next: row.Record, Version: row.Version}
	a.Next.Holder = ""
	_ = k.commit(context.Background(), a)
}

func (k *Keeper) publish() {
	t := k.watcher.Term()
	k.term.Store(&t)
}
