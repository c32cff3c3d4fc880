package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// minProbePause and maxProbePause bound the time between attempts to reach a
	// server that takes no connections. Crashed servers are back after some
	// seconds.
	minProbePause = 250 * time.Millisecond
	maxProbePause = 1500 * time.Millisecond
	// probeTimeout bounds one attempt.
	probeTimeout = 400 * time.Millisecond
)

// watchDown tries to reach a server that takes no connections, until it does or
// has ended. Requests are not sent there meanwhile, unless no other is left: one
// that finds the server still down would lose a good part of its objective.
func (g *Gateway) watchDown(e *fleet.Entry, connections int) {
	key := selector.KeyOf(e)
	if _, watched := g.probes.LoadOrStore(key, true); watched {
		return
	}
	g.opts.Log.Warn("server_unreachable", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
		zap.String("address", e.Address), zap.Stringer("server_revision", e.Revision))
	go func() {
		defer g.probes.Delete(key)
		since := g.opts.Now()
		for pause := minProbePause; ; pause = min(2*pause, maxProbePause) {
			time.Sleep(pause)
			if !g.opts.Servers.Down(key) {
				break // It has answered a request.
			}
			known := g.opts.Directory.View().Server(e.ID)
			if known == nil || known.Started != e.Started || g.closed.Load() {
				return
			}
			if g.probe(known, connections) {
				g.opts.Servers.Reachable(key)
				break
			}
		}
		g.opts.Log.Info("server_reachable", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Duration("outage", g.opts.Now().Sub(since)))
	}()
}

// probe opens a connection to a server, for the next request to use, and reports
// whether it takes any. One whose connections are used up does.
func (g *Gateway) probe(e *fleet.Entry, connections int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.opts.Pool.Open(ctx, string(e.ID), e.Address, connections)
	return err == nil || errors.Is(err, hop.ErrNoConnection)
}
