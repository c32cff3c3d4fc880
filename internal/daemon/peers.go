package daemon

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/internal/link"
	"papayaspan.dev/papayaspan/internal/poison"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// admissionPoll is how often a VM looks whether it was admitted to the roster.
const admissionPoll = 20 * time.Millisecond

// admission is the evidence of a VM that serves. Beyond fresh evidence it needs
// to have asked the other VMs, after its admission, which contents crash
// backend servers: from then on they tell it of each crash.
type admission struct {
	d       *Daemon
	learned atomic.Bool
}

// Fresh implements router.Evidence.
func (a *admission) Fresh(now time.Time) bool {
	return a.learned.Load() && a.d.spread.Fresh(now)
}

// run learns after each admission until the context ends.
func (a *admission) run(ctx context.Context) {
	tick := time.NewTicker(admissionPoll)
	defer tick.Stop()
	for {
		member := a.d.spread.View().Member
		if member && !a.learned.Load() {
			a.d.guard.Learn(ctx)
		}
		a.learned.Store(member)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// roster returns the roster as this VM knows it.
func (d *Daemon) roster() *roster.Roster { return d.spread.View().Roster }

// peerDirectory finds the VMs that may run requests, for the poison guard.
type peerDirectory struct {
	self vm.ID
	// roster returns the roster as this VM knows it.
	roster  func() *roster.Roster
	refresh func(context.Context)
	pool    *link.Pool
}

// refreshTimeout bounds one reading of the roster.
const refreshTimeout = 250 * time.Millisecond

// Refresh implements poison.Directory.
func (d peerDirectory) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	d.refresh(ctx)
}

// outsiderVersion is the version of a VM that is not on its own roster. Nobody
// announces suspects to it, so it must not hold grants.
const outsiderVersion = math.MaxUint64

// Roster implements poison.Directory.
func (d peerDirectory) Roster() poison.Roster {
	r := d.roster()
	if !r.Contains(d.self) {
		return poison.Roster{Version: outsiderVersion, Members: r.IDs()}
	}
	return poison.Roster{Version: uint64(r.Version), Members: r.IDs()}
}

// Conn implements poison.Directory.
func (d peerDirectory) Conn(id vm.ID) (*grpc.ClientConn, error) {
	m, ok := d.roster().Get(id)
	if !ok {
		return nil, errors.Errorf("VM %s is not a member", id)
	}
	return d.pool.Conn(m.PeerAddress)
}
