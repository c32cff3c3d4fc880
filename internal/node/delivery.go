package node

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/internal/delivery"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/platform"
)

// decisionMargin is how much of the term must be left to step the roll-outs: the announcement of a
// decision is on its way within this time.
const decisionMargin = 100 * time.Millisecond

// newDelivery returns the state of the roll-outs of server versions, or nil if the deployment
// doesn't ask for them.
func (n *Node) newDelivery() *delivery.Delivery {
	if !n.opts.Bounds.Rollouts.Enabled() || n.opts.Rollouts == nil {
		return nil
	}
	return delivery.New(delivery.Options{
		Log: n.log, Metrics: n.metrics, Settings: n.opts.Bounds.Rollouts, Table: n.opts.Table, Dialect: n.opts.Rollouts,
		VM: n.opts.VM.ID, Incarnation: n.opts.VM.Incarnation, Now: n.now,
		Servers: func() []*fleet.Entry { return n.directory.View().All() },
		HasService: func(name string) bool {
			c := n.Gateway.Catalog()
			return c == nil || c.Service(name) != nil
		},
		Term: func() (lease.Fencing, bool) {
			term := n.keeper.Term()
			return term.Fencing, term.Valid(n.now(), decisionMargin) && n.Gateway.Catalog() != nil
		},
		ObserveEra: func(era platform.Era) time.Time {
			n.observeEra(era, "store")
			n.eras.mu.Lock()
			defer n.eras.mu.Unlock()
			return n.eras.since
		},
		Members: n.membersToConfirm,
		Reads:   n.Following,
		Notify:  n.notifyAll,
		IsRelay: func() bool { return n.gossip.IsRelay() },
	})
}

// runDelivery runs the roll-outs of server versions until ctx ends.
func (n *Node) runDelivery(ctx context.Context) {
	if n.delivery == nil {
		return
	}
	n.delivery.Run(ctx)
}

// confirmWait is how long the last stage waits for a VM that no longer reports.
const confirmWait = 10 * time.Second

// membersToConfirm returns the number of VMs, including this one, that have to confirm the last stage.
// A VM that has been silent for long has ended or is cut off, unless most VMs are silent: a holder that
// is cut off from the others must not take its own confirmation for that of all.
func (n *Node) membersToConfirm() int {
	now, all, heard := n.now(), 1, 1
	for p := range n.gossip.Each {
		if p.Leaving {
			continue
		}
		all++
		if heardWithin(p, now, confirmWait) {
			heard++
		}
	}
	if 2*heard <= all {
		return all
	}
	return heard
}

// noteRolloutRows tells which rows of the operator have changed; nil stands for all.
func (n *Node) noteRolloutRows(changes []platform.Change) {
	if n.delivery == nil {
		return
	}
	keys := make([]string, 0, len(changes))
	for _, c := range changes {
		keys = append(keys, c.Key)
	}
	if changes == nil || len(keys) > 0 {
		n.delivery.NoteOperatorKeys(keys...)
	}
}

// rolloutNotices returns the notices for a digest. A digest for the VMs that receive calls doesn't
// reach all VMs, so that it contains none.
func (n *Node) rolloutNotices(to gossip.Audience) *delivery.Notices {
	if n.delivery == nil || to != gossip.Everyone {
		return nil
	}
	return n.delivery.Notices(n.keeper.Term().Valid(n.now(), 0))
}

func (n *Node) applyRollouts(notices *delivery.Notices, from string, sameDomain bool, delay time.Duration) {
	if n.delivery != nil {
		n.delivery.Receive(notices, from, sameDomain, delay)
	}
}
