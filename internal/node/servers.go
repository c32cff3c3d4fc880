package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

// defaultHeartbeat is assumed where the settings don't tell the time between a server's
// announcements. It is that of the example in the platform's documentation.
const defaultHeartbeat = 1200 * time.Millisecond

// lapseTime returns the time within which the row of a server that announces itself no
// more is gone: it lapses, and the store may have been away just before.
func lapseTime(heartbeat time.Duration) time.Duration {
	if heartbeat == 0 {
		heartbeat = defaultHeartbeat
	}
	return lapseHeartbeats*heartbeat + lapseHold
}

func (n *Node) followServers(ctx context.Context) {
	n.serverFeed.pause = serverPause
	n.serverFeed.wait = serverWait
	n.serverFeed.resume = n.directory.Known
	n.serverFeed.turned = func() {
		if interrupt := n.operatorFeed.interrupt.Load(); interrupt != nil {
			(*interrupt)()
		}
	}
	n.serverFeed.answered = func() { n.noteNews(n.now()) }
	n.follow(ctx, &n.serverFeed, n.opts.ServerTable, n.listServers, n.changeServers)
}

// listServers takes a whole listing. What it doesn't name may have lapsed in an
// outage.
func (n *Node) listServers(rows []platform.Row, upTo platform.Revision) {
	// A process that has just started doesn't know of outages before.
	returned := n.storeReturned()
	if n.started.After(returned) {
		returned = n.started
	}
	u := fleet.Update{UpTo: upTo, Whole: true, Entries: make([]fleet.Entry, 0, len(rows)), Hold: n.lapseLeft(returned)}
	for _, r := range rows {
		u.Entries = append(u.Entries, n.decodeServer(platform.Change{Row: r}))
	}
	before := n.directory.Known().Era
	n.applyServers(u, "store")
	if before < upTo.Era {
		n.wake()
	}
}

// storeReturned returns when the store last came back after rows may have lapsed, or from
// an older copy; zero if it hasn't.
func (n *Node) storeReturned() time.Time {
	returned := n.serverFeed.returned
	if _, since := n.era(); since.After(returned) {
		return since
	}
	return returned
}

func (n *Node) changeServers(changes []platform.Change, after, upTo platform.Revision) {
	u := fleet.Update{After: after, UpTo: upTo, Entries: make([]fleet.Entry, 0, len(changes))}
	hold := n.lapseLeft(n.storeReturned())
	for _, c := range changes {
		e := n.decodeServer(c)
		if c.Deleted {
			e.Hold = hold
		}
		u.Entries = append(u.Entries, e)
	}
	n.applyServers(u, "store")
	if len(changes) > 0 {
		n.wake()
	}
}

// lapseLeft returns for how long a server whose row is gone may still announce
// itself again after an outage that ended at a time; zero if there was none.
func (n *Node) lapseLeft(returned time.Time) time.Duration {
	if returned.IsZero() || n.storeWasUp() {
		return 0
	}
	return max(0, lapseHold-n.now().Sub(returned))
}

// storeWasUp reports whether another VM has heard from the store for so long, in its
// present era, that no row can be missing because of an outage.
func (n *Node) storeWasUp() bool {
	now := n.now()
	era, _ := n.era()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Servers.Era >= era && p.FollowingFor >= lapseHold {
			return true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if now.Sub(d.at) < gossip.SilenceLimit && d.summary.Servers.Era >= era && d.summary.FollowingFor >= lapseHold {
			return true
		}
	}
	return false
}

func (n *Node) decodeServer(c platform.Change) fleet.Entry {
	e, err := n.opts.Decoder.Server(c)
	if err != nil {
		n.log.Warn("server_entry_malformed", zap.String("server", string(e.ID)), zap.Stringer("revision", c.Revision()), logging.Error(err))
	}
	return e
}

func (n *Node) applyServers(u fleet.Update, source string) {
	missing, withheld := 0, 0
	for _, e := range n.directory.Apply(u, n.now()) {
		n.logServer(e, source)
		switch {
		case e.Hold > 0:
			missing++
		case e.Wait > 0:
			withheld++
		}
	}
	n.recovered(u.UpTo.Era, func(r *recovery) {
		r.servers = r.servers || u.Whole
		r.missing, r.withheld = r.missing+missing, r.withheld+withheld
	})
	n.servers.Keep(n.directory.View())
	n.limits.Keep(n.directory.View())
	if !n.directory.Known().IsZero() {
		n.serversKnown.Store(true)
	}
}

func (n *Node) logServer(e *fleet.Entry, source string) {
	switch {
	case e.Hold > 0:
		n.log.Info("server_vanished", zap.String("server", string(e.ID)), zap.Stringer("revision", e.Revision),
			zap.Duration("hold", e.Hold), zap.String("source", source))
		return
	case e.Wait > 0:
		n.log.Info("server_withheld", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Stringer("revision", e.Revision), zap.Duration("wait", e.Wait), zap.String("source", source))
		return
	}
	n.log.Info("server_known",
		zap.String("server", string(e.ID)), zap.String("service", e.Service), zap.String("address", e.Address),
		zap.String("failure_domain", e.FailureDomain), zap.String("state", string(e.State)), zap.Bool("gone", e.Gone),
		zap.Int64("server_started", e.Started), zap.String("weights", e.WeightsText()),
		zap.Stringer("revision", e.Revision), zap.String("source", source))
}
