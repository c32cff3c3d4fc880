package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

func (n *Node) followOperator(ctx context.Context) {
	n.operatorFeed.pollWait = operatorPollWait.within(n.opts.Bounds.Stable)
	n.followTable(ctx, &n.operatorFeed, n.opts.OperatorTable, n.applyOperatorListing, n.applyOperatorChanges)
}

func (n *Node) applyOperatorListing(rows []platform.Row, upTo platform.Revision) {
	n.noteRolloutRows(nil)
	n.awaitFirstPeer(n.opts.Decoder.Operator(rows).Catalog)
	o := n.applyOperatorRows(rows)
	n.updateRecovery(upTo.Era, func(r *recovery) {
		r.operatorRead = true
		if o.Catalog != nil {
			r.storeCatalog = o.Catalog.Version
		}
		for model, version := range o.Goals {
			if version < n.goals.Wanted(model) {
				r.olderWeights++
			}
		}
	})
}

// firstPeerWait is how long a VM that starts waits for a digest of another VM, which may know
// newer keys than a store that was just restored from an older copy. Digests are sent more
// often than that.
const firstPeerWait = 400 * time.Millisecond

const (
	// newerCatalogWait is how long a VM that starts tries to fetch a configuration that is newer than
	// the store's, and newerCatalogPause the time between two attempts. VMs that have it may be busy.
	newerCatalogWait  = 800 * time.Millisecond
	newerCatalogPause = 100 * time.Millisecond
)

// awaitFirstPeer waits for another VM before the first configuration is put in force, and
// fetches that VM's configuration if it is newer than the store's.
func (n *Node) awaitFirstPeer(stored *catalog.Snapshot) {
	if stored == nil || n.Gateway.Catalog() != nil {
		return
	}
	select {
	case <-n.firstPeerSeen:
	case <-time.After(firstPeerWait):
		return
	}
	for began := n.now(); n.catalogVersion() <= stored.Version; {
		from, ok := n.vmWithNewerCatalog(stored.Version)
		if !ok {
			return
		}
		n.fetchCatalog(from)
		if left := newerCatalogWait - n.now().Sub(began); left <= 0 {
			return
		}
		time.Sleep(newerCatalogPause)
	}
}

// newerCatalogKnown reports whether another VM has a newer configuration in force than the given version.
func (n *Node) newerCatalogKnown(than catalog.Version) bool {
	_, known := n.vmWithNewerCatalog(than)
	return known
}

// vmWithNewerCatalog returns a VM that has a newer configuration in force.
func (n *Node) vmWithNewerCatalog(than catalog.Version) (gossip.Member, bool) {
	now := n.now()
	for p := range n.gossip.Each {
		if p.Alive(now) && p.Catalog > than {
			return p.Member, true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if now.Sub(d.receivedAt) < gossip.SilenceLimit && d.summary.Catalog > than {
			return d.summary.From, true
		}
	}
	return gossip.Member{}, false
}

// endFirstPeerWait ends the wait for a first peer.
func (n *Node) endFirstPeerWait() { n.firstPeerOnce.Do(func() { close(n.firstPeerSeen) }) }

func (n *Node) applyOperatorChanges(changes []platform.Change, _, _ platform.Revision) {
	n.noteRolloutRows(changes)
	rows := make([]platform.Row, 0, len(changes))
	for _, c := range changes {
		if !c.Deleted {
			rows = append(rows, c.Row)
		}
	}
	n.applyOperatorRows(rows)
}

// applyOperatorRows applies rows of the feed's last answer, and returns their decoded content.
func (n *Node) applyOperatorRows(rows []platform.Row) Operator {
	o := n.opts.Decoder.Operator(rows)
	for _, err := range o.Malformed {
		n.log.Warn("operator_row_malformed", logging.Error(err))
	}
	if o.Catalog != nil {
		n.publish(*o.Catalog, "store")
	}
	for model, version := range o.Goals {
		if n.operatorFeed.afterGap && n.goals.Dated(model, version) {
			continue // Dated by other VMs, which learned of the naming in time.
		}
		n.setGoal(model, fleet.Goal{Version: version, Since: n.operatorFeed.changesSince}, "store")
	}
	if n.goals.HasUndated() {
		n.signal(n.rereadMembers)
	}
	return o
}

// publish puts a configuration in force, unless it is outdated.
func (n *Node) publish(s catalog.Snapshot, source string) {
	if !n.Gateway.Publish(s) {
		return
	}
	n.log.Info("catalog_in_force",
		zap.Uint64("version", uint64(s.Version)),
		zap.String("source", source),
		zap.Duration("behind", n.catalogBehind(s.Version)),
		zap.Int("routes", len(s.Routes)),
		zap.Int("services", len(s.Services)),
		zap.Int("accounts", len(s.Accounts)))
	n.digestUrgent.Store(true)
	n.notifyAll()
}

// noteCatalog records that a version of the configuration exists.
func (n *Node) noteCatalog(version catalog.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version > n.newestCatalog.version {
		n.newestCatalog = knownCatalog{version: version, since: n.now()}
	}
}

// catalogBehind returns how long ago another VM first reported the given or a newer version of the
// configuration; 0 if none has.
func (n *Node) catalogBehind(version catalog.Version) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newestCatalog.version < version {
		return 0
	}
	return n.now().Sub(n.newestCatalog.since)
}

// knownCatalog is a version of the configuration that another VM has in force.
type knownCatalog struct {
	version catalog.Version
	since   time.Time
}

func (n *Node) setGoal(model string, goal fleet.Goal, source string) {
	change := n.goals.Add(model, goal)
	if change == fleet.Known {
		return
	}
	n.log.Info("weights_named", zap.String("model", model), zap.Uint64("version", goal.Version),
		zap.String("source", source), zap.Duration("age", n.now().Sub(goal.Since)),
		zap.Bool("newest", change == fleet.Newest), zap.Bool("corrected", change == fleet.Corrected))
	if change == fleet.Newest {
		n.notifyAll()
	}
	n.signal(n.goalsChanged)
}
