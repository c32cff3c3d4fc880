package daemon

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/internal/link"
	"papayaspan.dev/papayaspan/internal/poison"
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

// members lists the VMs that may run requests, with those that leave and those
// that are about to join: they must hear of a crash before they do.
func (d *Daemon) members() []vm.VM { return d.spread.Known() }

// peerDirectory finds the VMs that may run requests, for the poison guard.
type peerDirectory struct {
	self vm.VM
	// members lists the VMs that may run requests, with those that leave.
	members func() []vm.VM
	refresh func(context.Context)
	pool    *link.Pool
}

// Refresh implements poison.Directory.
func (d peerDirectory) Refresh(ctx context.Context) { d.refresh(ctx) }

// Roster implements poison.Directory. The version is a digest of the members,
// so that VMs with the same version have the same members.
func (d peerDirectory) Roster() poison.Roster {
	ids := []string{string(d.self.ID)}
	for _, m := range d.members() {
		ids = append(ids, string(m.ID))
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	r := poison.Roster{Version: xxhash.Sum64String(strings.Join(ids, "\x00"))}
	for _, id := range ids {
		r.Members = append(r.Members, vm.ID(id))
	}
	return r
}

// Conn implements poison.Directory.
func (d peerDirectory) Conn(id vm.ID) (*grpc.ClientConn, error) {
	for _, m := range d.members() {
		if m.ID == id {
			return d.pool.Conn(m.PeerAddress)
		}
	}
	return nil, errors.Errorf("VM %s is not a member", id)
}
