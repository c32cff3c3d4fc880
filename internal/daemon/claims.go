package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// claimSlack is added to the request timeout to give the time after which a
	// claim is abandoned.
	claimSlack = 1 * time.Minute
	// sweepLease is the lease under which one VM removes old claims.
	sweepLease = "claim-sweep"
	sweepTTL   = 30 * time.Second
	// sweepInterval is the time between two steps of a sweep; each reads one page.
	sweepInterval = 5 * time.Second
	// flushTimeout bounds the wait at shutdown until the outcomes are recorded.
	flushTimeout = 10 * time.Second
)

func (d *Daemon) newClaims(self vm.VM) *claim.Store {
	s := claim.DefaultSettings()
	s.AbandonAfter = d.settings.Limits.RequestTimeout.Std() + claimSlack
	owner := claim.Owner{VM: self.ID, Incarnation: d.incarnation}
	store := claim.NewStore(d.platform.Table, d.platform.Objects, owner, s)
	store.SetOwnerGone(func(o claim.Owner) bool {
		if o.VM == self.ID {
			return o.Incarnation != d.incarnation
		}
		current := d.roster()
		return len(current.Members) > 0 && !current.Contains(o.VM)
	})
	return store
}

// runClaims starts the loops that commit claims and, on one VM at a time, remove
// old ones.
func (d *Daemon) runClaims(ctx context.Context) {
	d.runInBackground(func() { d.claims.Run(ctx) })
	keeper := lease.NewKeeper(d.platform.Table, sweepLease, d.holder(), sweepTTL)
	d.runInBackground(func() { keeper.Run(ctx) })
	d.runInBackground(func() { d.sweepClaims(ctx, keeper) })
}

func (d *Daemon) sweepClaims(ctx context.Context, keeper *lease.Keeper) {
	sweeper := claim.NewSweeper(d.platform.Table, claim.DefaultRetention)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		d.claims.SetVMs(len(d.spread.VMs("")))
		if !keeper.Term().Valid(time.Now(), 0) {
			continue
		}
		if err := sweeper.Step(ctx, time.Now); err != nil {
			d.log.Warn("claims_not_swept", zap.Error(err))
		}
	}
}

// flushClaims waits until the outcomes of the last requests are recorded.
func (d *Daemon) flushClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	d.claims.Flush(ctx)
	if n := d.claims.Pending(); n > 0 {
		d.log.Warn("outcomes_not_recorded", zap.Int("claims", n))
	}
}
