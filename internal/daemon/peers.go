package daemon

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/internal/link"
	"papayaspan.dev/papayaspan/internal/poison"
	"papayaspan.dev/papayaspan/internal/roster"
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
	for waited := time.Duration(0); waited < memberWait && len(d.roster().Members) == 0; waited += memberPoll {
		select {
		case <-time.After(memberPoll):
		case <-ctx.Done():
			return
		}
	}
	d.guard.Learn(ctx)
}

// roster returns the roster as this VM knows it.
func (d *Daemon) roster() *roster.Roster { return d.spread.View().Roster }

// peerDirectory finds the VMs that may run requests, for the poison guard.
type peerDirectory struct {
	self vm.ID
	// roster returns the roster as this VM knows it.
	roster func() *roster.Roster
	pool   *link.Pool
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
