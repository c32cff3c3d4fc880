package daemon

import (
	"context"

	"papayaspan.dev/papayaspan/internal/admin"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/spread"
	"papayaspan.dev/papayaspan/internal/vm"
)

// newSpreader returns the component that keeps the configuration current.
func (d *Daemon) newSpreader() *spread.Spreader {
	return spread.New(spread.Options{
		Self:       d.Self(),
		Table:      d.platform.Table,
		Objects:    d.platform.Objects,
		Membership: d.platform.Membership,
		Peers:      spread.PoolPeers{Pool: d.pool},
		Log:        d.log,
		Metrics:    d.metrics,
		Publish:    d.publish,
	})
}

// publish puts a configuration in force. The components that limit accounts
// apply it before the router does.
func (d *Daemon) publish(s *config.Snapshot) {
	d.budget.Apply(s)
	d.admitter.Apply(s)
	d.router.Publish(s)
}

// Spread returns the component that keeps the configuration current.
func (d *Daemon) Spread() *spread.Spreader { return d.spread }

// fleet implements admin.Fleet, the view of the VMs that the administration API
// has.
type fleet struct{ d *Daemon }

// Current implements admin.Fleet.
func (f fleet) Current() *config.Snapshot { return f.d.router.View().Snapshot }

// VMProgress implements admin.Fleet. A VM whose presence row cannot be read is
// listed with number 0.
func (f fleet) VMProgress(ctx context.Context) ([]admin.VMProgress, error) {
	view := f.d.spread.View()
	_, rows, err := f.d.spread.InForce(ctx, view.Head.Number)
	acknowledged := map[vm.ID]config.Number{f.d.Self().ID: view.Head.Number}
	for _, p := range rows {
		acknowledged[p.VM.ID] = max(p.Head.Number, acknowledged[p.VM.ID])
	}
	var out []admin.VMProgress
	for _, m := range view.Roster.Members {
		out = append(out, admin.VMProgress{VM: m, Number: acknowledged[m.ID]})
	}
	return out, err
}

// InForceEverywhere implements admin.Fleet. It returns true only if the
// configuration is known to be in force on every VM.
func (f fleet) InForceEverywhere(ctx context.Context, n config.Number) (bool, error) {
	status, _, err := f.d.spread.InForce(ctx, n)
	if status.Rule != roster.NotYet {
		return true, nil
	}
	return false, err
}

// InForceRecord implements admin.Fleet.
func (f fleet) InForceRecord(ctx context.Context, n config.Number) (roster.InForceRecord, error) {
	return f.d.spread.Force(ctx, n)
}

// Drain implements admin.Fleet.
func (f fleet) Drain() { f.d.requestDrain() }
