package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/order"
	"papayaspan.dev/papayaspan/internal/rollout"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// planInterval is the time between two roll-out plans.
	planInterval = 100 * time.Millisecond
	// planLogInterval is the least time between two log lines about a roll-out.
	planLogInterval = 1 * time.Second
	// reportTimeout bounds one poll.
	reportTimeout = 400 * time.Millisecond
)

// issueOrders competes for the order lease and, while holding it, orders engines to load the
// named weights.
func (n *Node) issueOrders(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	issuer := &orderIssuer{n: n}
	for {
		select {
		case <-ctx.Done():
			n.releaseLease()
			return
		case <-n.leaseDue:
			issuer.nextStep = time.Time{}
			if n.keeper.Term().Fencing == 0 {
				continue // The ticks of the VMs differ, so that most read the row after one of them has taken it.
			}
		case <-ticker.C:
		}
		if !n.now().Before(issuer.nextStep) {
			issuer.renew(ctx)
		}
		term := n.keeper.Term()
		if !term.Valid(n.now(), order.MaxSend) {
			issuer.reset()
			issuer.releaseReserved()
			continue
		}
		issuer.step(ctx, term)
	}
}

// leaseStep acquires or renews the lease if that is due, and returns the delay before the next
// step.
func (n *Node) leaseStep(ctx context.Context) time.Duration {
	before := n.keeper.Term()
	held := before.Fencing
	stranded := n.path.Cut() && n.peerFollows()
	if held != 0 && (n.Leaving() || stranded) {
		reason := "leaving"
		if stranded {
			reason = "no path to the servers"
		}
		n.resign(reason)
		return n.opts.Bounds.Lease
	}
	if held == 0 && (stranded || n.Leaving() || !n.Following() || n.peerHoldsOrderLease() || !n.needsOrders()) {
		return n.takeoverPause()
	}
	if c := n.claim.Load(); c != nil && !c.own {
		n.keeper.RecordClaim(c.lease)
	}
	err := n.keeper.Step(ctx)
	n.handover.recordWrite(err == nil)
	if err != nil {
		n.log.Info("order_lease_step_failed", zap.Uint64("fencing", uint64(held)), logging.Error(err))
		if n.peerFollows() {
			n.resign("store lost")
		}
		return n.opts.Bounds.Lease / 6
	}
	n.observeEra(n.keeper.Era(), "store")
	term := n.keeper.Term()
	if term.Fencing == 0 {
		return n.takeoverPause()
	}
	if term.Fencing != held {
		n.beginTerm(before, term)
	}
	n.publishClaim(n.keeper.Claim(), term, false)
	if term.Fencing != held {
		n.notifyAll()
		n.log.Info("order_lease", zap.Uint64("fencing", uint64(term.Fencing)), zap.Uint64("before", uint64(held)),
			zap.Duration("valid_for", max(0, term.Until.Sub(n.now()))))
	}
	return n.opts.Bounds.Lease / 3
}

// takeoverPause returns the delay before the next attempt to take the lease over: not later than the
// end of the holder's term, if that is known.
func (n *Node) takeoverPause() time.Duration {
	pause := n.opts.Bounds.Lease / 6
	if c := n.claim.Load(); c != nil && !c.own {
		if left := c.lease.Until.Sub(n.now()); left > 0 {
			pause = min(pause, left)
		}
	}
	return pause
}

// needsOrders reports whether the holder of the lease may have anything to do.
func (n *Node) needsOrders() bool { return n.delivery != nil || n.hasEngines() }

// hasEngines reports whether any server has loadable weights. The lease is acquired even before
// weights are named, because the first orders of a term may have to wait.
func (n *Node) hasEngines() bool {
	return slices.ContainsFunc(n.serversOfServices(n.directory.View()), func(e *fleet.Entry) bool { return len(e.Weights) > 0 })
}

// releaseLease releases the lease, unless an order was sent so recently that the next holder
// must wait anyway.
func (n *Node) releaseLease() {
	if n.now().Sub(n.lastOrderTime()) > n.opts.Bounds.Lease {
		n.keeper.Release()
	}
}

// orderIssuer plans and sends the orders of a lease holder.
type orderIssuer struct {
	n      *Node
	active bool
	// nextStep is when the lease is next acquired or renewed.
	nextStep time.Time
	// listFrom is when the row may be written again to list engines, after that has failed.
	listFrom time.Time
	// releaseFrom is when the engines are released that this VM has reserved and left to the next holder.
	releaseFrom time.Time
	// lastLogged is when a line about the roll-out was last logged.
	lastLogged time.Time
}

// renew acquires or renews the lease.
func (issuer *orderIssuer) renew(ctx context.Context) {
	issuer.nextStep = issuer.n.now().Add(issuer.n.leaseStep(ctx))
}

func (issuer *orderIssuer) reset() {
	if !issuer.active {
		return
	}
	n := issuer.n
	issuer.active = false
	n.planner.Reset()
	issuer.releaseFrom = n.now()
	if c := n.claim.Load(); c != nil && c.own && c.resigned {
		issuer.releaseFrom = n.now().Add(n.opts.Bounds.Lease / 3)
	}
}

// releaseReserved returns the reserved engines to service, after a resignation once another VM has
// taken over or had time to: the engines that drained would otherwise have to drain again.
func (issuer *orderIssuer) releaseReserved() {
	n := issuer.n
	if !issuer.releaseFrom.IsZero() && (!n.now().Before(issuer.releaseFrom) || n.peerHoldsOrderLease()) {
		issuer.releaseFrom = time.Time{}
		n.setReserved(nil)
	}
}

func (issuer *orderIssuer) step(ctx context.Context, term lease.Term) {
	n := issuer.n
	view := n.directory.View()
	engines := n.rolloutEngines(view)
	if !issuer.active {
		issuer.active, issuer.releaseFrom = true, time.Time{}
		n.planner.Adopt(engines, n.inherited, n.now())
		n.planner.AdoptReserved(engines, n.reservedByPeers())
		n.inherited = nil
	}
	plan := n.planner.Plan(engines, n.now())
	n.setReserved(plan.Reserved)
	issuer.logPlan(&plan)
	if ids := plan.Ordered(); !n.handover.announce(ids, n.now()) && !n.now().Before(issuer.listFrom) {
		issuer.renew(ctx)
		if term = n.keeper.Term(); !term.Valid(n.now(), order.MaxSend) {
			return
		}
		if !n.handover.announce(ids, n.now()) {
			issuer.listFrom = issuer.nextStep
		}
	}
	for _, o := range plan.Orders {
		if e := view.Server(o.Engine); e != nil && e.Started == o.Started && n.handover.lists(o.Engine) {
			n.planner.Sent(o, n.now())
			issuer.sendOrder(ctx, e, o, term)
		}
	}
	for _, id := range plan.Polls {
		if e := view.Server(id); e != nil {
			go n.pollEngine(ctx, e)
		}
	}
}

// logPlan logs the progress of a roll-out, at most once per planLogInterval.
func (issuer *orderIssuer) logPlan(plan *rollout.Plan) {
	now := issuer.n.now()
	if plan.Lacking == 0 || now.Sub(issuer.lastLogged) < planLogInterval {
		return
	}
	issuer.lastLogged = now
	issuer.n.log.Info("rollout", zap.Int("lacking", plan.Lacking), zap.Int("unanswered", plan.Unanswered), zap.Int("blocked", plan.Blocked), zap.Int("most", plan.MaxLoading),
		zap.Int("reserved", len(plan.Reserved)), zap.Int("loading", len(plan.Loading)),
		zap.Duration("left", plan.TimeToBound), zap.Duration("load_time", plan.LoadTime))
}

// rolloutEngines lists the engines for the planner.
func (n *Node) rolloutEngines(view *fleet.View) []rollout.Engine {
	var out []rollout.Engine
	for _, e := range n.serversOfServices(view) {
		if !e.Usable() {
			continue
		}
		for model, held := range e.Weights {
			out = append(out, rollout.Engine{
				ID: e.ID, Started: e.Started, FailureDomain: e.FailureDomain,
				Model: model, Held: held, Wanted: max(held, n.goals.Wanted(model)), Behind: n.goals.Behind(model, held, n.now()),
				Running: n.servers.RequestCount(selector.KeyOf(e)), Blocked: n.handover.blocked(e.ID, n.now()),
			})
		}
	}
	return out
}

// reservedByPeers returns since when other VMs have reserved engines.
func (n *Node) reservedByPeers() map[backend.ID]time.Time {
	n.peerLoadsMu.Lock()
	defer n.peerLoadsMu.Unlock()
	return n.peerLoads.reservedSince()
}

func (n *Node) setReserved(ids []backend.ID) {
	n.mu.Lock()
	same := len(ids) == len(n.reserved)
	for i := 0; same && i < len(ids); i++ {
		same = ids[i] == n.reserved[i]
	}
	n.reserved = ids
	n.mu.Unlock()
	if !same {
		n.withholdReserved()
		n.notifyAll()
	}
}

// sendOrder sends an order if the engine still needs it. The caller has checked that the lease
// stays valid for the duration of a send; it is checked again right before the send.
func (issuer *orderIssuer) sendOrder(ctx context.Context, e *fleet.Entry, o rollout.Order, term lease.Term) {
	n := issuer.n
	go func() {
		report, ok := n.readEngine(ctx, e)
		if !ok {
			n.planner.Unanswered(o, n.now())
			return
		}
		if report.Weights[o.Model] >= o.Version {
			return
		}
		if report.Busy {
			n.planner.Busy(o) // It carries out this order or one of an earlier lease holder.
			return
		}
		now := n.now()
		if !n.admitOrder(o.Engine, now) {
			return
		}
		// The deadline uses the monotonic clock, which sockets require.
		result, err := n.opts.Engines.Load(ctx, e, o, report.AcceptedOrders, n.holder(), term.Fencing, time.Now().Add(order.MaxSend/2))
		n.log.Info("order_sent",
			zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started), zap.String("model", o.Model),
			zap.Uint64("version", o.Version), zap.Uint64("orders", report.AcceptedOrders), zap.Uint64("fencing", uint64(term.Fencing)),
			zap.Stringer("result", result), zap.Duration("took", n.now().Sub(now)), logging.Error(err))
		switch result {
		case OrderAccepted:
			n.planner.Accepted(o)
		case OrderAlreadyHeld:
			n.observeWeights(e, o.Model, o.Version)
		}
	}()
}

// admitOrder reports whether this VM may send an order to an engine now, and records it.
func (n *Node) admitOrder(id backend.ID, now time.Time) bool {
	n.orderMu.Lock()
	defer n.orderMu.Unlock()
	if !n.keeper.Term().Valid(now, order.MaxSend) || !n.handover.admit(id, now) {
		return false
	}
	n.recordOrder()
	return true
}

// pollEngine reads the state of an engine that loads.
func (n *Node) pollEngine(ctx context.Context, e *fleet.Entry) {
	sent := n.now()
	if report, ok := n.readEngine(ctx, e); ok {
		n.planner.Polled(e.ID, e.Started, report.Busy, sent)
	}
}

// readEngine requests an engine's state and records its weights. It returns false if this run
// of the engine doesn't answer.
func (n *Node) readEngine(ctx context.Context, e *fleet.Entry) (EngineReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := n.opts.Engines.Report(ctx, e, hop.Dial)
	if err != nil || report.Started != e.Started {
		n.log.Info("engine_report_failed", zap.String("server", string(e.ID)),
			zap.Int64("server_started", e.Started), zap.Int64("reported_start", report.Started), logging.Error(err))
		return report, false
	}
	for model, version := range report.Weights {
		n.observeWeights(e, model, version)
	}
	return report, true
}

// observeWeights records weights that an engine holds before its announcement shows them, and
// notifies the peers.
func (n *Node) observeWeights(e *fleet.Entry, model string, version uint64) {
	if !n.directory.SetWeights(e.ID, e.Started, model, version, n.now()) {
		return
	}
	n.publishObserved(e.ID, observedWeights{started: e.Started, model: model, version: version, at: n.now()})
	n.log.Info("engine_loaded", zap.String("server", string(e.ID)), zap.String("model", model), zap.Uint64("version", version))
	n.notifyAll()
}
