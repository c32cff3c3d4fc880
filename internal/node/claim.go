package node

import (
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/lease"
)

// claim is the latest report about the term of the order lease's holder. Its times are by this
// VM's clock.
type claim struct {
	lease lease.Claim
	// reportedAt is when the holder made the report.
	reportedAt time.Time
	// lastOrder is when the holder last sent an order. If it has sent none, it is the latest
	// time at which an earlier holder may have sent one; zero if the report doesn't contain
	// it.
	lastOrder time.Time
	// resigned is set if the holder gave the term up: it has sent no order after lastOrder.
	resigned bool
	// written is when the holder last wrote the row, or tried to; zero if it isn't known.
	written time.Time
	// own is set if this VM is the holder that made the report.
	own bool
}

// claimMaxAge is the age up to which a claim is included in digests.
const claimMaxAge = 10 * time.Second

// publishClaim stores a report about this VM's own term. No other VM has sent orders since the
// term began.
func (n *Node) publishClaim(c lease.Claim, term lease.Term, resigned bool) {
	last := laterOf(n.lastOrderTime(), laterOf(term.Since, term.From))
	n.claim.Store(&claim{lease: c, reportedAt: n.now(), lastOrder: last, resigned: resigned, written: n.rowWritten, own: true})
}

// claimSendWait bounds the wait for the digest that tells of a renewal before the renewal is sent.
const claimSendWait = 20 * time.Millisecond

// announceRenewal tells the other VMs of a renewal before it is sent: if this VM is killed, they need
// a claim that covers the row to take the lease over when its term ends.
func (n *Node) announceRenewal(c lease.Claim) {
	n.publishClaim(c, n.keeper.Term(), false)
	select {
	case <-n.claimSent:
	default:
	}
	n.digestUrgent.Store(true)
	n.notifyAll()
	select {
	case <-n.claimSent:
	case <-time.After(claimSendWait):
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// lastOrderTime returns when this VM last sent an order, or zero if it has sent none.
func (n *Node) lastOrderTime() time.Time {
	if at := n.lastOrder.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (n *Node) recordOrder() {
	now := n.now()
	n.lastOrder.Store(&now)
}

// recentClaim returns the latest claim for a digest, or nil if there is none younger than
// claimMaxAge.
func (n *Node) recentClaim() *gossip.LeaseClaim {
	c := n.claim.Load()
	now := n.now()
	if c == nil || now.Sub(c.reportedAt) > claimMaxAge {
		return nil
	}
	out := &gossip.LeaseClaim{
		Fencing:   uint64(c.lease.Fencing),
		Renewals:  c.lease.Renewals,
		Remaining: max(0, c.lease.Until.Sub(now)),
		OrderAge:  -1,
		Age:       now.Sub(c.reportedAt),
		Resigned:  c.resigned,
	}
	if !c.written.IsZero() {
		out.WriteAge = max(1, now.Sub(c.written))
	}
	if !c.lastOrder.IsZero() {
		out.OrderAge = now.Sub(c.lastOrder)
	}
	return out
}

// receiveClaim stores a claim received from another VM unless a newer one is known. A resignation ends
// its term, whatever the delays of the claims before.
func (n *Node) receiveClaim(g *gossip.LeaseClaim) {
	if g == nil {
		return
	}
	now := n.now()
	next := &claim{
		lease:      lease.Claim{Fencing: lease.Fencing(g.Fencing), Renewals: g.Renewals, Until: now.Add(g.Remaining)},
		reportedAt: now.Add(-g.Age),
		resigned:   g.Resigned,
	}
	if g.WriteAge > 0 {
		next.written = now.Add(-g.WriteAge)
	}
	if g.OrderAge >= 0 {
		next.lastOrder = now.Add(-g.OrderAge)
	}
	old := n.claim.Load()
	if old != nil && (old.own && old.lease.Fencing >= next.lease.Fencing || old.lease.Fencing > next.lease.Fencing ||
		old.lease.Fencing == next.lease.Fencing && (old.resigned || !next.resigned && !next.reportedAt.After(old.reportedAt))) {
		return
	}
	// If another claim was stored concurrently, the next digest repeats this one.
	if n.claim.CompareAndSwap(old, next) && next.resigned {
		n.signal(n.leaseDue)
	}
}

// earlierOrdersEnd returns from when this VM, whose term has replaced a row, may order the engines that
// earlier holders may have ordered.
func (n *Node) earlierOrdersEnd(replaced lease.Row, term lease.Term) time.Time {
	c := n.claim.Load()
	if c != nil && c.resigned && c.lease.Fencing == replaced.Record.Fencing && replaced.Current() {
		return c.lastOrder.Add(n.handover.orderSpacing())
	}
	if n.opts.FirstStart && replaced.Version == 0 && !n.storeHasReturned() {
		return laterOf(term.Since, term.From) // Nobody has held the lease since the deployment started.
	}
	// The holder may have sent an order right before its term ended.
	return laterOf(term.Since, term.From).Add(n.opts.Bounds.Lease)
}

// writtenBy returns a time by which a row was written that was first read at the given time.
func (n *Node) writtenBy(r lease.Row, read time.Time) time.Time {
	c := n.claim.Load()
	covered := c != nil && !c.own && !c.written.IsZero() && c.lease.Fencing == r.Record.Fencing && r.Record.Renewals <= c.lease.Renewals
	if covered && c.written.Before(read) {
		return c.written
	}
	return read
}

// orderNote returns the note for a write of the lease's row.
func (n *Node) orderNote(replaced lease.Row, read time.Time) string {
	n.rowWritten = n.now()
	return n.handover.note(replaced, n.writtenBy(replaced, read), n.rowWritten)
}

// beginTerm begins a term, right after it was acquired. The term before may continue in it, in a
// later era of the store.
func (n *Node) beginTerm(before, term lease.Term) {
	if n.handover == nil {
		return
	}
	if before.Fencing != 0 && term.Since.Equal(before.Since) {
		n.handover.extend(term.Fencing)
		return
	}
	replaced, read := n.keeper.Replaced()
	n.inherited = n.handover.begin(replaced, term.Fencing, n.writtenBy(replaced, read), n.earlierOrdersEnd(replaced, term))
}

// resign gives up the lease so that another VM can acquire it immediately.
func (n *Node) resign(reason string) {
	term := n.keeper.Term()
	if term.Fencing == 0 {
		return
	}
	n.orderMu.Lock()
	c := n.keeper.Resign()
	n.publishClaim(c, term, true)
	n.orderMu.Unlock()
	n.log.Info("order_lease_resigned", zap.String("reason", reason), zap.Uint64("fencing", uint64(c.Fencing)), zap.Uint64("renewals", c.Renewals))
	n.notifyAll()
}

// peerFollows reports whether another VM is receiving answers from the store.
func (n *Node) peerFollows() bool {
	return n.gossip.Any(isFollower)
}
