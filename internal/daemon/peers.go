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

// admissionPollInterval is the interval at which a VM checks whether it has been
// admitted to the roster.
const admissionPollInterval = 20 * time.Millisecond

// suspectEvidence is the evidence that a VM needs to serve requests. In addition
// to fresh configuration evidence, the VM must have fetched from the other VMs, after
// its admission to the roster, which contents crash backend servers. From then
// on they report each crash to it.
type suspectEvidence struct {
	d               *Daemon
	suspectsFetched atomic.Bool
}

// Fresh implements router.FreshnessChecker.
func (a *suspectEvidence) Fresh(now time.Time) bool {
	return a.suspectsFetched.Load() && a.d.spread.Fresh(now)
}

// run fetches the suspects after each admission until the context ends.
func (a *suspectEvidence) run(ctx context.Context) {
	tick := time.NewTicker(admissionPollInterval)
	defer tick.Stop()
	for {
		member := a.d.spread.View().Member
		if member && !a.suspectsFetched.Load() {
			a.d.guard.FetchEvidence(ctx)
		}
		a.suspectsFetched.Store(member)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// roster returns the latest roster known to this VM.
func (d *Daemon) roster() *roster.Roster { return d.spread.View().Roster }

// rosterDirectory gives the poison guard the VMs that may run requests and
// connections to them.
type rosterDirectory struct {
	self vm.ID
	// roster returns the latest roster known to this VM.
	roster  func() *roster.Roster
	refresh func(context.Context)
	pool    *link.Pool
}

// refreshTimeout bounds one refresh of the roster.
const refreshTimeout = 250 * time.Millisecond

// Refresh implements poison.Directory.
func (d rosterDirectory) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	d.refresh(ctx)
}

// nonMemberVersion is the roster version of a VM that is not on its own roster.
// No VM announces suspects to it, so it must not hold grants.
const nonMemberVersion = math.MaxUint64

// Roster implements poison.Directory.
func (d rosterDirectory) Roster() poison.Roster {
	r := d.roster()
	if !r.Contains(d.self) {
		return poison.Roster{Version: nonMemberVersion, Members: r.IDs()}
	}
	return poison.Roster{Version: uint64(r.Version), Members: r.IDs()}
}

// Conn implements poison.Directory.
func (d rosterDirectory) Conn(id vm.ID) (*grpc.ClientConn, error) {
	m, ok := d.roster().Get(id)
	if !ok {
		return nil, errors.Errorf("VM %s is not a member", id)
	}
	return d.pool.Conn(m.PeerAddress)
}
