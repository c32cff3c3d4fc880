package node

import (
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/lease"
)

// claim is what the holder of the lease for orders said of its term, by this VM's
// clock.
type claim struct {
	lease lease.Claim
	// said is when the holder said so.
	said time.Time
	// lastOrder is when it gave its last order or, if it gave none, when the last order of
	// a holder before may have been given; zero if it doesn't say.
	lastOrder time.Time
	// own is set if this VM said so.
	own bool
}

// claimAge is for how long a claim is passed on.
const claimAge = 10 * time.Second

// ownClaim publishes what this VM says of its term. Nobody else has given orders since the
// term began.
func (n *Node) ownClaim(c lease.Claim, term lease.Term) {
	last := latest(n.lastOrderGiven(), latest(term.Since, term.From))
	n.claim.Store(&claim{lease: c, said: n.now(), lastOrder: last, own: true})
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// lastOrderGiven returns when this VM gave its last order, zero if it gave none.
func (n *Node) lastOrderGiven() time.Time {
	if at := n.lastOrder.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (n *Node) gaveOrder() {
	now := n.now()
	n.lastOrder.Store(&now)
}

// lastClaim returns the newest claim for a digest, or nil.
func (n *Node) lastClaim() *gossip.LeaseClaim {
	c := n.claim.Load()
	now := n.now()
	if c == nil || now.Sub(c.said) > claimAge {
		return nil
	}
	out := &gossip.LeaseClaim{
		Fencing:  uint64(c.lease.Fencing),
		Renewals: c.lease.Renewals,
		Left:     max(0, c.lease.Until.Sub(now)),
		OrderAge: -1,
		Age:      now.Sub(c.said),
	}
	if !c.lastOrder.IsZero() {
		out.OrderAge = now.Sub(c.lastOrder)
	}
	return out
}

// heardClaim notes what another VM says of a holder's term.
func (n *Node) heardClaim(g *gossip.LeaseClaim) {
	if g == nil {
		return
	}
	now := n.now()
	next := &claim{
		lease: lease.Claim{Fencing: lease.Fencing(g.Fencing), Renewals: g.Renewals, Until: now.Add(g.Left)},
		said:  now.Add(-g.Age),
	}
	if g.OrderAge >= 0 {
		next.lastOrder = now.Add(-g.OrderAge)
	}
	old := n.claim.Load()
	if old != nil && (old.own && old.lease.Fencing >= next.lease.Fencing || old.lease.Fencing > next.lease.Fencing ||
		old.lease.Fencing == next.lease.Fencing && !next.said.After(old.said)) {
		return
	}
	n.claim.CompareAndSwap(old, next) // If another came meanwhile, the next digest brings it again.
}

// ordersFrom returns from when this VM may give orders in a term that began at a
// time. Where engines don't check fencing tokens, the orders of two holders must
// not come within the time of a lease; what isn't known of the holder before is
// taken at its latest.
func (n *Node) ordersFrom(since time.Time) time.Time {
	c := n.claim.Load()
	switch {
	case c != nil && !c.own && n.now().Sub(c.said) < claimAge && !c.lastOrder.IsZero():
		return c.lastOrder.Add(n.opts.Bounds.Lease)
	case n.opts.Bounds.FencingEnforced:
		return since
	default:
		return since.Add(n.opts.Bounds.Lease)
	}
}

// resign gives the lease up, so that another VM can take it at once.
func (n *Node) resign(reason string) {
	term := n.keeper.Term()
	if term.Fencing == 0 {
		return
	}
	c := n.keeper.Resign()
	n.ownClaim(c, term)
	n.log.Info("order_lease_resigned", zap.String("reason", reason), zap.Uint64("fencing", uint64(c.Fencing)), zap.Uint64("renewals", c.Renewals))
	n.wake()
}

// peerFollows reports whether another VM hears from the store.
func (n *Node) peerFollows() bool {
	now := n.now()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Following && !p.Leaving {
			return true
		}
	}
	return false
}
