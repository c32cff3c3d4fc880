package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/order"
	"papayaspan.dev/papayaspan/internal/placement"
)

const (
	// placementLease is the lease under which one VM orders the engines.
	placementLease = "placement"
	placementTTL   = 6 * time.Second
	placementTick  = 250 * time.Millisecond
	// reportMaxAge is when an engine that doesn't report is left out of the
	// plan.
	reportMaxAge = 10 * time.Second
	// maxEngineCalls bounds the concurrent reads and orders.
	maxEngineCalls = 64
	// requestsPerEngine is the number of requests that keep one engine busy.
	requestsPerEngine = 16
	// modelsPerEngine is the number of models that one engine holds.
	modelsPerEngine = 1
)

// placer plans the placement of weights and orders it while it holds the lease.
type placer struct {
	keeper *lease.Keeper
	client *order.Client
	view   func() *config.View
	log    *zap.Logger
	calls  chan struct{}

	mu      sync.Mutex
	term    lease.Fencing
	planner *placement.Planner
	engines map[backend.ID]*placedEngine
}

// placedEngine is what the placer knows of one engine.
type placedEngine struct {
	tracker order.Tracker
	load    openai.Load
	readAt  time.Time
	busy    bool
}

func (d *Daemon) runPlacement(ctx context.Context) {
	p := &placer{
		keeper:  lease.NewKeeper(d.platform.Table, placementLease, d.holder(), placementTTL),
		client:  order.NewClient(),
		view:    d.router.View,
		log:     d.log,
		calls:   make(chan struct{}, maxEngineCalls),
		engines: map[backend.ID]*placedEngine{},
	}
	d.goLoop(func() { p.keeper.Run(ctx) })
	d.goLoop(func() { p.run(ctx) })
}

func (p *placer) run(ctx context.Context) {
	tick := time.NewTicker(placementTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.step(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// step plans and starts the calls that are due. Without the lease it forgets
// everything, so that a new term starts from fresh reports.
func (p *placer) step(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	term := p.keeper.Term()
	if !term.Valid(now, order.MaxSend) {
		return
	}
	if term.Fencing != p.term {
		p.term = term.Fencing
		p.planner = placement.NewPlanner(placement.DefaultSettings())
		p.engines = map[backend.ID]*placedEngine{}
	}
	servers := engines(p.view())
	p.plan(servers, now)
	for _, s := range servers {
		p.stepEngine(ctx, s, term, now)
	}
}

// engines returns the engines of a configuration in the order of their ids.
func engines(view *config.View) []backend.Server {
	var out []backend.Server
	for _, s := range view.Servers {
		if s.Kind == backend.Engine {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b backend.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (p *placer) plan(servers []backend.Server, now time.Time) {
	snap := placement.Snapshot{Now: now}
	requests := map[string]int{}
	for _, s := range servers {
		e, ok := p.engines[s.ID]
		if !ok || now.Sub(e.readAt) > reportMaxAge {
			continue
		}
		snap.Engines = append(snap.Engines, placement.Engine{
			ID: s.ID, Models: s.Models, Slots: modelsPerEngine, Holds: e.load.Weights, Leaving: s.Leaving,
		})
		for model := range e.load.Weights {
			requests[model] += e.load.Running + e.load.Waiting
		}
	}
	for _, m := range p.view().Models {
		snap.Models = append(snap.Models, placement.Model{
			Name: m.Name, Version: m.WeightsVersion, Replicas: m.Replicas,
			Demand: float64(requests[m.Name]) / requestsPerEngine,
		})
	}
	slices.SortFunc(snap.Models, func(a, b placement.Model) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range p.planner.Plan(snap) {
		p.log.Info("placement_planned",
			zap.String("server", string(c.Engine)), zap.String("model", c.Model),
			zap.String("weights", c.Desired.String()), zap.String("reason", string(c.Reason)),
			zap.Uint64("fencing", uint64(p.term)))
	}
}

// stepEngine starts the read or order that is due for an engine.
func (p *placer) stepEngine(ctx context.Context, s backend.Server, term lease.Term, now time.Time) {
	e := p.engines[s.ID]
	if e == nil {
		e = &placedEngine{}
		p.engines[s.ID] = e
	}
	if e.busy || s.Leaving {
		return
	}
	desired, known := p.planner.Desired(s.ID)
	action := e.tracker.Next(now, term, s.ChecksFencing, desired)
	if action.Kind == order.Send && !known {
		return
	}
	if action.Kind != order.Read && action.Kind != order.Send {
		return
	}
	select {
	case p.calls <- struct{}{}:
	default:
		return
	}
	e.busy = true
	go func() {
		defer func() { <-p.calls }()
		if action.Kind == order.Read {
			p.read(ctx, s, e)
		} else {
			p.send(ctx, s, e, action, desired)
		}
	}()
}

func (p *placer) read(ctx context.Context, s backend.Server, e *placedEngine) {
	sent := time.Now()
	l, err := p.client.Read(ctx, s.URL)
	p.mu.Lock()
	defer p.mu.Unlock()
	e.busy = false
	if err != nil {
		return
	}
	e.load, e.readAt = l, sent
	e.tracker.Reported(order.Weights(l.Weights), sent)
}

// send checks the lease once more, since the goroutine may have been held up,
// and sends the order.
func (p *placer) send(ctx context.Context, s backend.Server, e *placedEngine, a order.Action, desired order.Weights) {
	decided := time.Now()
	term := p.keeper.Term()
	if term.Fencing != a.Fencing || !term.Valid(decided, order.MaxSend) {
		p.mu.Lock()
		defer p.mu.Unlock()
		e.busy = false
		return
	}
	err := p.client.Send(ctx, s.URL, a.Fencing, desired, decided.Add(order.MaxSend))
	p.log.Info("order_sent",
		zap.String("server", string(s.ID)), zap.String("weights", desired.String()),
		zap.Uint64("fencing", uint64(a.Fencing)), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	e.busy = false
	e.tracker.Sent(desired, decided)
	if err == nil {
		e.tracker.Accepted(a.Fencing)
	}
}
