package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/internal/link"
	"papayaspan.dev/papayaspan/internal/poison"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// memberWait bounds the wait for the membership list at the start.
	memberWait = 1 * time.Second
	memberPoll = 10 * time.Millisecond
)

// learnSuspects asks the other VMs which contents crash backend servers. It
// returns soon also if neither the platform nor a peer answers.
func (d *Daemon) learnSuspects(ctx context.Context) {
	for waited := time.Duration(0); waited < memberWait && len(d.members()) == 0; waited += memberPoll {
		select {
		case <-time.After(memberPoll):
		case <-ctx.Done():
			return
		}
	}
	d.guard.Learn(ctx)
}

// members lists the VMs of the roster, with those that leave.
func (d *Daemon) members() []vm.VM { return d.spread.View().Roster.Members }

// peerDirectory finds the VMs that may run requests, for the poison guard.
type peerDirectory struct {
	self vm.VM
	// members lists the VMs that may run requests, with those that leave.
	members func() []vm.VM
	pool    *link.Pool
}

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
