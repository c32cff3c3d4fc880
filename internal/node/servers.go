package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

// defaultHeartbeat is the time between a server's announcements if the settings don't contain
// it. It is the value of the example in the platform's documentation.
const defaultHeartbeat = 1200 * time.Millisecond

// rowTTL returns the time within which the row of a server that no longer announces itself
// expires. It includes an outage of the store just before that.
func rowTTL(heartbeat time.Duration) time.Duration {
	if heartbeat == 0 {
		heartbeat = defaultHeartbeat
	}
	return rowTTLHeartbeats*heartbeat + missingRowHold
}

func (n *Node) followServers(ctx context.Context) {
	n.serverFeed.batchPause = serverBatchPause.within(n.opts.Bounds.Drain)
	n.serverFeed.pollWait = serverPollWait.within(n.opts.Bounds.Drain)
	n.serverFeed.peerRevision = n.directory.Known
	n.serverFeed.onStateChange = func() {
		if interrupt := n.operatorFeed.interrupt.Load(); interrupt != nil {
			(*interrupt)()
		}
	}
	n.serverFeed.onApplied = n.noteServersCurrent
	n.followTable(ctx, &n.serverFeed, n.opts.ServerTable, n.applyServerListing, n.applyServerChanges)
}

// applyServerListing applies a complete listing. The rows of servers that it lacks may have
// expired in an outage.
func (n *Node) applyServerListing(rows []platform.Row, upTo platform.Revision) {
	// A process that has just started doesn't know of earlier outages.
	returned := n.storeReturnedAt()
	if n.started.After(returned) {
		returned = n.started
	}
	u := fleet.Update{UpTo: upTo, Whole: true, Entries: make([]fleet.Entry, 0, len(rows)), Hold: n.remainingHold(returned)}
	for _, r := range rows {
		u.Entries = append(u.Entries, n.decodeServer(platform.Change{Row: r}))
	}
	before := n.directory.Known().Era
	n.applyServers(u, "store")
	if before < upTo.Era {
		n.notifyAll()
	}
}

// storeReturnedAt returns when the store was last restored from an older copy, or returned after
// an outage long enough for rows to expire; zero if neither has happened.
func (n *Node) storeReturnedAt() time.Time {
	returned := n.serverFeed.returnedAt
	if _, since := n.era(); since.After(returned) {
		return since
	}
	return returned
}

func (n *Node) applyServerChanges(changes []platform.Change, after, upTo platform.Revision) {
	u := fleet.Update{After: after, UpTo: upTo, Entries: make([]fleet.Entry, 0, len(changes))}
	hold := n.remainingHold(n.storeReturnedAt())
	for _, c := range changes {
		e := n.decodeServer(c)
		if c.Deleted {
			e.Hold = hold
		}
		u.Entries = append(u.Entries, e)
	}
	n.applyServers(u, "store")
	if slices.ContainsFunc(u.Entries, func(e fleet.Entry) bool { return e.Gone || e.State == fleet.Draining }) {
		n.digestUrgent.Store(true)
	}
	if len(changes) > 0 {
		n.notifyAll()
	}
}

// remainingHold returns how long a server whose row is gone may still announce itself again
// after an outage that ended at the given time; zero if there was no outage.
func (n *Node) remainingHold(returned time.Time) time.Duration {
	if returned.IsZero() || n.storeStayedUp() {
		return 0
	}
	return max(0, missingRowHold-n.now().Sub(returned))
}

// storeStayedUp reports whether another VM has received answers from the store, in its current
// era, for so long that no row can be missing because of an outage.
func (n *Node) storeStayedUp() bool {
	era, _ := n.era()
	if n.gossip.Any(func(p *gossip.Peer) bool { return p.Servers.Era >= era && p.FollowingFor >= missingRowHold }) {
		return true
	}
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if now.Sub(d.receivedAt) < gossip.SilenceLimit && d.summary.Servers.Era >= era && d.summary.FollowingFor >= missingRowHold {
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
	n.updateRecovery(u.UpTo.Era, func(r *recovery) {
		r.serversRead = r.serversRead || u.Whole
		r.serversMissing, r.serversWithheld = r.serversMissing+missing, r.serversWithheld+withheld
	})
	n.signalUndecidedRuns()
	n.observeVersions()
	n.servers.RemoveAbsent(n.directory.View())
	n.limits.Prune(n.directory.View())
	if !n.directory.Known().IsZero() {
		n.serversKnown.Store(true)
	}
}

// serversOfServices returns the servers of a view that belong to services of the configuration,
// or all while there is none. An entry that names another service names no server to use.
func (n *Node) serversOfServices(view *fleet.View) []*fleet.Entry {
	c := n.Gateway.Catalog()
	if c == nil {
		return view.All()
	}
	return slices.DeleteFunc(view.All(), func(e *fleet.Entry) bool { return c.Service(e.Service) == nil })
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
		zap.Int64("server_started", e.Started), zap.String("software", e.Software), zap.String("weights", e.WeightsText()),
		zap.Stringer("revision", e.Revision), zap.String("source", source))
}
