package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/internal/warm"
)

const (
	// warmTimeout bounds the wait for the first configuration and roster.
	warmTimeout      = 5 * time.Second
	warmPollInterval = 20 * time.Millisecond
)

// warmIndex fills the index of the engines' caches from a peer. Requests are
// served in the meantime.
func (d *Daemon) warmIndex(ctx context.Context) {
	ready := func() bool { return d.balancer.Ready() && len(d.roster().Members) > 0 }
	for waited := time.Duration(0); waited < warmTimeout && !ready(); waited += warmPollInterval {
		select {
		case <-time.After(warmPollInterval):
		case <-ctx.Done():
			return
		}
	}
	n, err := warm.Fetch(ctx, d.balancer.Index(), d.peerDialers())
	if err != nil {
		d.log.Info("index_not_warmed", zap.Error(err))
		return
	}
	d.log.Info("index_warmed", zap.Int("blocks", n))
}

// peerDialers returns a function for each other member that connects to it.
func (d *Daemon) peerDialers() []warm.Dial {
	var dialers []warm.Dial
	for _, m := range d.roster().Members {
		if m.ID != d.Self().ID {
			dialers = append(dialers, func() (*grpc.ClientConn, error) { return d.pool.Conn(m.PeerAddress) })
		}
	}
	return dialers
}
