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
	// claimSlack is how much longer a claim is open than a request may take.
	claimSlack = 1 * time.Minute
	// sweepLease is the lease under which one VM removes old claims.
	sweepLease = "claim-sweep"
	sweepTTL   = 30 * time.Second
	// sweepInterval is the time between two pages of a sweep.
	sweepInterval = 5 * time.Second
	// flushTimeout bounds the wait for outcomes at shutdown.
	flushTimeout = 10 * time.Second
)

func (d *Daemon) newClaims(self vm.VM) *claim.Store {
	s := claim.DefaultSettings()
	s.Lapse = d.settings.Limits.RequestTimeout.Std() + claimSlack
	owner := claim.Owner{VM: self.ID, Incarnation: d.incarnation}
	store := claim.NewStore(d.platform.Table, d.platform.Objects, owner, s)
	store.SetOwnerGone(func(o claim.Owner) bool {
		if o.VM == self.ID {
			return o.Incarnation != d.incarnation
		}
		members := d.roster()
		return len(members.Members) > 0 && !members.Contains(o.VM)
	})
	return store
}

// runClaims commits claims and, on one VM at a time, removes old ones.
func (d *Daemon) runClaims(ctx context.Context) {
	d.goLoop(func() { d.claims.Run(ctx) })
	keeper := lease.NewKeeper(d.platform.Table, sweepLease, d.holder(), sweepTTL)
	d.goLoop(func() { keeper.Run(ctx) })
	d.goLoop(func() { d.sweepClaims(ctx, keeper) })
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
