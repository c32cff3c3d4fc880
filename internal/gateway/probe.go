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
	// minProbeInterval and maxProbeInterval bound the interval between probes of a
	// server that accepts no connections. Crashed servers restart within seconds.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 1500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
)

// probeUntilReachable probes a server that accepts no connections until it accepts one
// or has ended. Meanwhile it gets requests only if no other server is left: a request
// that finds it still down would lose a large part of its latency objective.
func (g *Gateway) probeUntilReachable(e *fleet.Entry, connectionLimit int) {
	key := selector.KeyOf(e)
	if _, watched := g.probedServers.LoadOrStore(key, true); watched {
		return
	}
	g.opts.Log.Warn("server_unreachable", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
		zap.String("address", e.Address), zap.Stringer("server_revision", e.Revision))
	go func() {
		defer g.probedServers.Delete(key)
		since := g.opts.Now()
		for pause := minProbeInterval; ; pause = min(2*pause, maxProbeInterval) {
			time.Sleep(pause)
			if g.opts.Servers.Gone(key) {
				return
			}
			if !g.opts.Servers.Down(key) {
				break // It has responded to a request.
			}
			known := g.opts.Directory.View().Server(e.ID)
			if known == nil || known.Started != e.Started || g.refusesCalls.Load() {
				return
			}
			if g.probe(known, connectionLimit) {
				if g.replaced(known) {
					g.recordGone(known, "directory")
					return
				}
				g.opts.Servers.MarkReachable(key)
				g.opts.NotifyPeers() // Until then, this VM's report keeps others from using the server.
				break
			}
		}
		g.opts.Log.Info("server_reachable", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Duration("outage", g.opts.Now().Sub(since)))
	}()
}

// replaced reports whether the directory shows a server that has started later at the same address:
// the open port is that one's.
func (g *Gateway) replaced(e *fleet.Entry) bool {
	for _, other := range g.opts.Directory.View().All() {
		if other.Address == e.Address && other.ID != e.ID && other.Started > e.Started {
			return true
		}
	}
	return false
}

// codeServerGone is the code of an attempt at a server whose address another one has.
const codeServerGone = "server_gone"

// recordGone records that another server has the address of a server run, which gets no further
// request from any VM. Source is how it is known.
func (g *Gateway) recordGone(e *fleet.Entry, source string) {
	key := selector.KeyOf(e)
	if !g.opts.Servers.Gone(key) {
		g.meters.gone.Inc(1)
		g.opts.Log.Warn("server_gone", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.String("address", e.Address), zap.Stringer("server_revision", e.Revision), zap.String("source", source))
	}
	g.opts.Servers.MarkGone(key)
	g.opts.NotifyPeers()
}

// endInFlight records the outcome of the attempt, and reports a failed server to the other VMs at once.
func (a *attempt) endInFlight() {
	g, e := a.t.g, a.candidate.Entry
	switch a.result {
	case selector.Misdirected:
		g.recordGone(e, "answer")
		a.inFlight.End(a.result)
	case selector.Unreachable:
		a.inFlight.End(a.result)
		g.probeUntilReachable(e, a.connectionLimit())
		g.opts.NotifyPeers()
	default:
		a.inFlight.End(a.result)
	}
}

// probe opens a connection to a server for the next request to use and reports whether
// the server accepts connections. At its connection limit one more is opened for a moment: the
// server may have fallen over while all were in use. A server that another VM may send no requests
// counts as accepting.
func (g *Gateway) probe(e *fleet.Entry, connectionLimit int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.opts.Pool.Open(ctx, string(e.ID), e.Address, connectionLimit)
	if errors.Is(err, hop.ErrConnectionLimit) {
		err = g.opts.Pool.Check(ctx, string(e.ID), e.Address)
	}
	var withheld *hop.WithheldError
	return err == nil || errors.As(err, &withheld)
}
