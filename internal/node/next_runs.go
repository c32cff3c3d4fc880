package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/logging"
)

const (
	// healthTimeout bounds a health check, which waits for a slot as requests do.
	healthTimeout = 5 * time.Second
	// healthSpread is the period over which the first checks of several VMs are spread.
	healthSpread = 300 * time.Millisecond
	// minHealthPause and maxHealthPause bound the pause after a health check that shows nothing.
	minHealthPause = 100 * time.Millisecond
	maxHealthPause = 1500 * time.Millisecond
)

// decideRuns asks the servers of undecided runs whether they leave, until ctx ends.
func (n *Node) decideRuns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.runsUndecided:
		}
		for _, e := range n.directory.UndecidedRuns() {
			if _, asked := n.askedRuns.LoadOrStore(e.Run(), true); !asked {
				n.goLoop(func() { n.decideRun(ctx, e) })
			}
		}
	}
}

// signalUndecidedRuns has the servers of undecided runs asked whether they leave.
func (n *Node) signalUndecidedRuns() { n.signal(n.runsUndecided) }

// decideRun asks a server whether it leaves, until it says so, either way, or until another run of
// it is known.
func (n *Node) decideRun(ctx context.Context, e *fleet.Entry) {
	defer n.signalUndecidedRuns()
	defer n.askedRuns.Delete(e.Run())
	began := n.now()
	n.log.Info("server_run_undecided", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started), zap.Stringer("revision", e.Revision))
	clock.Sleep(ctx, rand.N(healthSpread))
	for pause := minHealthPause; n.directory.Undecided(e) && ctx.Err() == nil; pause = min(2*pause, maxHealthPause) {
		leaves, err := n.askLeaving(ctx, e)
		if err == nil {
			used := n.directory.DecideRun(e, leaves) != nil
			n.log.Info("server_run_decided", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
				zap.Bool("leaves", leaves), zap.Bool("used", used), zap.Duration("took", n.now().Sub(began)))
			if leaves {
				n.notifyAll()
			}
			return
		}
		n.log.Info("server_health_unknown", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started), logging.Error(err))
		clock.Sleep(ctx, pause)
	}
}

// askLeaving asks a server, in a health check, whether it leaves.
func (n *Node) askLeaving(ctx context.Context, e *fleet.Entry) (bool, error) {
	path := ""
	if c := n.Gateway.Catalog(); c != nil {
		if service := c.Service(e.Service); service != nil {
			path = service.HealthPath
		}
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return n.opts.Engines.Leaving(ctx, e, path, n.dialVia(e))
}
