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
	n.operatorFeed.wait = operatorWait
	n.follow(ctx, &n.operatorFeed, n.opts.OperatorTable, n.listOperator, n.changeOperator)
}

func (n *Node) listOperator(rows []platform.Row, upTo platform.Revision) {
	n.awaitPeers(n.opts.Decoder.Operator(rows).Catalog)
	o := n.applyOperator(rows)
	n.recovered(upTo.Era, func(r *recovery) {
		r.operator = true
		if o.Catalog != nil {
			r.shown = o.Catalog.Version
		}
		for model, version := range o.Goals {
			if version < n.goals.Wanted(model) {
				r.olderWeights++
			}
		}
	})
}

// peerWait is for how long a VM that starts waits for another VM, which may know of newer
// keys than a store that has just come back from an older copy. Digests come more often.
const peerWait = 400 * time.Millisecond

// awaitPeers waits, before the first configuration is in force, until another VM was heard
// of, and takes over a newer configuration than the store's from it.
func (n *Node) awaitPeers(shown *catalog.Snapshot) {
	if shown == nil || n.Gateway.Catalog() != nil {
		return
	}
	select {
	case <-n.heardPeer:
	case <-time.After(peerWait):
		return
	}
	if from, ok := n.newerCatalog(shown.Version); ok {
		n.fetch(from)
	}
}

// newerCatalog returns a VM that has a newer configuration in force.
func (n *Node) newerCatalog(than catalog.Version) (gossip.Member, bool) {
	now := n.now()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Catalog > than {
			return p.Member, true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if now.Sub(d.at) < gossip.SilenceLimit && d.summary.Catalog > than {
			return d.summary.From, true
		}
	}
	return gossip.Member{}, false
}

// peerHeard ends the wait for other VMs.
func (n *Node) peerHeard() { n.heardPeerOnce.Do(func() { close(n.heardPeer) }) }

func (n *Node) changeOperator(changes []platform.Change, _, _ platform.Revision) {
	rows := make([]platform.Row, 0, len(changes))
	for _, c := range changes {
		if !c.Deleted {
			rows = append(rows, c.Row)
		}
	}
	n.applyOperator(rows)
}

// applyOperator takes rows of the feed's last answer, and returns what they say.
func (n *Node) applyOperator(rows []platform.Row) Operator {
	o := n.opts.Decoder.Operator(rows)
	for _, err := range o.Malformed {
		n.log.Warn("operator_row_malformed", logging.Error(err))
	}
	if o.Catalog != nil {
		n.publish(*o.Catalog, "store")
	}
	for model, version := range o.Goals {
		if n.operatorFeed.late && n.goals.Dated(model, version) {
			continue // By others that have heard of it in time.
		}
		n.setGoal(model, fleet.Goal{Version: version, Since: n.operatorFeed.since}, "store")
	}
	if n.goals.Unknown() {
		n.signal(n.reread)
	}
	return o
}

// publish puts a configuration in force.
func (n *Node) publish(s catalog.Snapshot, source string) {
	if !n.Gateway.Publish(s) {
		return
	}
	n.log.Info("catalog_in_force",
		zap.Uint64("version", uint64(s.Version)),
		zap.String("source", source),
		zap.Int("routes", len(s.Routes)),
		zap.Int("services", len(s.Services)),
		zap.Int("accounts", len(s.Accounts)))
	n.wake()
}

func (n *Node) setGoal(model string, goal fleet.Goal, source string) {
	learnt := n.goals.Add(model, goal)
	if learnt == fleet.Known {
		return
	}
	n.log.Info("weights_named", zap.String("model", model), zap.Uint64("version", goal.Version),
		zap.String("source", source), zap.Duration("age", n.now().Sub(goal.Since)),
		zap.Bool("newest", learnt == fleet.Newest), zap.Bool("corrected", learnt == fleet.Corrected))
	if learnt == fleet.Newest {
		n.wake()
	}
	n.signal(n.named)
}
