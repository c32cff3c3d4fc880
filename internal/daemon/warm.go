package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/internal/warm"
)

const (
	// warmWait bounds the wait for the first configuration and roster.
	warmWait = 5 * time.Second
	warmPoll = 20 * time.Millisecond
)

// warmIndex asks a peer for what it knows of the engines' caches. Requests are
// served meanwhile.
func (d *Daemon) warmIndex(ctx context.Context) {
	ready := func() bool { return d.balancer.Ready() && len(d.roster().Members) > 0 }
	for waited := time.Duration(0); waited < warmWait && !ready(); waited += warmPoll {
		select {
		case <-time.After(warmPoll):
		case <-ctx.Done():
			return
		}
	}
	n, err := warm.Fetch(ctx, d.balancer.Index(), d.peerDials())
	if err != nil {
		d.log.Info("index_not_warmed", zap.Error(err))
		return
	}
	d.log.Info("index_warmed", zap.Int("blocks", n))
}

// peerDials lists how to reach the other members.
func (d *Daemon) peerDials() []warm.Dial {
	var dials []warm.Dial
	for _, m := range d.roster().Members {
		if m.ID != d.Self().ID {
			dials = append(dials, func() (*grpc.ClientConn, error) { return d.pool.Conn(m.PeerAddress) })
		}
	}
	return dials
}
