package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/order"
	"papayaspan.dev/papayaspan/internal/rollout"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// planInterval is the time between two plans of the order giver.
	planInterval = 100 * time.Millisecond
	// reportFrom is how long after an accepted order the engine is first asked
	// whether it has loaded, as a share of what loads take; firstReport is the same before
	// one was seen.
	reportFrom  = 0.9
	firstReport = 200 * time.Millisecond
	// reportInterval is the time between such questions, at least; reportShare is the same
	// as a share of the time since the order.
	reportInterval = 150 * time.Millisecond
	reportShare    = 0.25
	// planLogInterval is the least time between two lines on a roll-out.
	planLogInterval = 1 * time.Second
	// reportTimeout bounds one question.
	reportTimeout = 400 * time.Millisecond
)

// giveOrders competes for the lease and brings engines to the named weights
// while it holds it.
func (n *Node) giveOrders(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	g := &giver{n: n, watched: map[backend.ID]watch{}}
	var nextStep time.Time
	for {
		select {
		case <-ctx.Done():
			n.releaseLease()
			return
		case <-ticker.C:
		}
		now := n.now()
		if !now.Before(nextStep) {
			nextStep = now.Add(n.leaseStep(ctx))
		}
		term := n.keeper.Term()
		if !term.Valid(n.now(), order.MaxSend) {
			g.stop()
			continue
		}
		g.step(ctx, term)
	}
}

// leaseStep takes or renews the lease if that is due, and returns when to look
// again.
func (n *Node) leaseStep(ctx context.Context) time.Duration {
	held := n.keeper.Term().Fencing
	if held != 0 && n.Leaving() {
		n.resign("leaving")
		return n.opts.Bounds.Lease
	}
	if held == 0 && (n.Leaving() || !n.Following() || n.peerGivesOrders() || !n.hasEngines()) {
		return n.opts.Bounds.Lease / 6
	}
	if c := n.claim.Load(); c != nil && !c.own {
		n.keeper.Heard(c.lease)
	}
	if err := n.keeper.Step(ctx); err != nil {
		n.log.Info("order_lease_step_failed", zap.Uint64("fencing", uint64(held)), logging.Error(err))
		if n.peerFollows() {
			n.resign("store lost")
		}
		return n.opts.Bounds.Lease / 6
	}
	n.sawEra(n.keeper.Era(), "store")
	term := n.keeper.Term()
	if term.Fencing != 0 {
		n.ownClaim(n.keeper.Claim(), term)
	}
	if term.Fencing != held {
		n.log.Info("order_lease", zap.Uint64("fencing", uint64(term.Fencing)), zap.Uint64("before", uint64(held)),
			zap.Duration("valid_for", max(0, term.Until.Sub(n.now()))))
		n.wake()
	}
	return n.opts.Bounds.Lease / 3
}

// hasEngines reports whether any server loads weights. The lease is taken before any are
// named, as the first orders of a term may have to wait.
func (n *Node) hasEngines() bool {
	return slices.ContainsFunc(n.directory.View().All(), func(e *fleet.Entry) bool { return len(e.Weights) > 0 })
}

// releaseLease gives the lease up, unless an order was sent so lately that the
// next holder must wait anyway.
func (n *Node) releaseLease() {
	if n.now().Sub(n.lastOrderGiven()) > n.opts.Bounds.Lease {
		n.keeper.Release()
	}
}

// giver is the state of the order giver.
type giver struct {
	n *Node
	// watched are the engines that load.
	watched map[backend.ID]watch
	active  bool
	// logged is when a line on the roll-out was last written.
	logged time.Time
}

// watch is since when an engine loads, and when it is asked next.
type watch struct{ since, due time.Time }

func (g *giver) stop() {
	if !g.active {
		return
	}
	g.active = false
	g.n.planner.Reset()
	clear(g.watched)
	g.n.setReserved(nil)
}

func (g *giver) step(ctx context.Context, term lease.Term) {
	n := g.n
	if n.now().Before(n.ordersFrom(term.Since)) {
		return
	}
	g.active = true
	view := n.directory.View()
	plan := n.planner.Plan(n.rolloutEngines(view), n.now())
	n.setReserved(plan.Reserved)
	g.logPlan(&plan)
	for _, o := range plan.Orders {
		if e := view.Server(o.Engine); e != nil && e.Started == o.Started {
			n.planner.Sent(o, n.now())
			g.send(ctx, e, o, term)
		}
	}
	maps.DeleteFunc(g.watched, func(id backend.ID, _ watch) bool { return !slices.Contains(plan.Watch, id) })
	for _, id := range plan.Watch {
		g.ask(ctx, view.Server(id))
	}
}

// logPlan says how a roll-out goes, while one does.
func (g *giver) logPlan(plan *rollout.Plan) {
	now := g.n.now()
	if plan.Lacking == 0 || now.Sub(g.logged) < planLogInterval {
		return
	}
	g.logged = now
	g.n.log.Info("rollout", zap.Int("lacking", plan.Lacking), zap.Int("unanswered", plan.Unanswered), zap.Int("most", plan.Most),
		zap.Int("reserved", len(plan.Reserved)), zap.Int("loading", len(plan.Watch)),
		zap.Duration("left", plan.Left), zap.Duration("load_time", plan.LoadTime))
}

// rolloutEngines lists the engines for the planner.
func (n *Node) rolloutEngines(view *fleet.View) []rollout.Engine {
	var out []rollout.Engine
	for _, e := range view.All() {
		if !e.Usable() {
			continue
		}
		for model, held := range e.Weights {
			out = append(out, rollout.Engine{
				ID: e.ID, Started: e.Started, FailureDomain: e.FailureDomain,
				Model: model, Held: held, Wanted: max(held, n.goals.Wanted(model)), Behind: n.goals.Behind(model, held, n.now()),
				Running: n.servers.Busy(selector.KeyOf(e)),
			})
		}
	}
	return out
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
		n.housekeep()
		n.wake()
	}
}

// send gives one order, if the engine still needs it. The lease was valid for the
// time of a send when the caller looked; it is checked again right before.
func (g *giver) send(ctx context.Context, e *fleet.Entry, o rollout.Order, term lease.Term) {
	n := g.n
	n.gaveOrder()
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
			n.planner.Accepted(o) // By this or an earlier giver's order.
			return
		}
		now := n.now()
		if !n.keeper.Term().Valid(now, order.MaxSend) {
			return
		}
		n.gaveOrder()
		// The deadline is of the monotonic clock, which a socket needs.
		result, err := n.opts.Engines.Load(ctx, e, o, report.Orders, n.holder(), term.Fencing, time.Now().Add(order.MaxSend/2))
		n.log.Info("order_sent",
			zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started), zap.String("model", o.Model),
			zap.Uint64("version", o.Version), zap.Uint64("orders", report.Orders), zap.Uint64("fencing", uint64(term.Fencing)),
			zap.Stringer("result", result), zap.Duration("took", n.now().Sub(now)), logging.Error(err))
		switch result {
		case OrderAccepted:
			n.planner.Accepted(o)
		case OrderHolds:
			n.seeWeights(e, o.Model, o.Version)
		}
	}()
}

// ask reads an engine that loads, once that is due.
func (g *giver) ask(ctx context.Context, e *fleet.Entry) {
	if e == nil {
		return
	}
	now := g.n.now()
	w, known := g.watched[e.ID]
	if takes, learnt := g.n.planner.LoadTime(); !known {
		w = watch{since: now, due: now.Add(firstReport)}
		if learnt {
			w.due = now.Add(time.Duration(reportFrom * float64(takes)))
		}
	}
	if !now.Before(w.due) {
		w.due = now.Add(max(reportInterval, time.Duration(reportShare*float64(now.Sub(w.since)))))
		go g.n.readEngine(ctx, e)
	}
	g.watched[e.ID] = w
}

// readEngine asks an engine for its state and takes note of its weights. It
// returns false if that run of the engine does not answer.
func (n *Node) readEngine(ctx context.Context, e *fleet.Entry) (EngineReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := n.opts.Engines.Report(ctx, e)
	if err != nil || report.Started != e.Started {
		n.log.Info("engine_report_failed", zap.String("server", string(e.ID)),
			zap.Int64("server_started", e.Started), zap.Int64("reported_start", report.Started), logging.Error(err))
		return report, false
	}
	for model, version := range report.Weights {
		n.seeWeights(e, model, version)
	}
	return report, true
}

// seeWeights notes what an engine holds ahead of its announcement, and tells the
// peers.
func (n *Node) seeWeights(e *fleet.Entry, model string, version uint64) {
	if !n.directory.SetWeights(e.ID, e.Started, model, version, n.now()) {
		return
	}
	n.tell(e.ID, heldWeights{started: e.Started, model: model, version: version, at: n.now()})
	n.log.Info("engine_loaded", zap.String("server", string(e.ID)), zap.String("model", model), zap.Uint64("version", version))
	n.wake()
}
