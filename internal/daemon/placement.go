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
	// placementLease is the lease under which one VM sends orders to the engines.
	placementLease    = "placement"
	placementTTL      = 6 * time.Second
	placementInterval = 250 * time.Millisecond
	// reportMaxAge is the age of the last report beyond which the plan excludes
	// an engine.
	reportMaxAge = 10 * time.Second
	// maxConcurrentCalls bounds the concurrent load reads and orders.
	maxConcurrentCalls = 64
	// requestsPerEngine is the number of requests that fully load one engine.
	requestsPerEngine = 16
	// modelsPerEngine is the number of models that one engine holds.
	modelsPerEngine = 1
)

// placer plans the placement of weights and sends the orders for it while it
// holds the lease.
type placer struct {
	keeper    *lease.Keeper
	client    *order.Client
	view      func() *config.View
	log       *zap.Logger
	callSlots chan struct{}

	mu      sync.Mutex
	term    lease.Fencing
	planner *placement.Planner
	engines map[backend.ID]*engineState
}

// engineState holds the placer's state for one engine.
type engineState struct {
	tracker      order.Tracker
	load         openai.Load
	readAt       time.Time
	callInFlight bool
}

func (d *Daemon) runPlacement(ctx context.Context) {
	p := &placer{
		keeper:    lease.NewKeeper(d.platform.Table, placementLease, d.holder(), placementTTL),
		client:    order.NewClient(),
		view:      d.router.View,
		log:       d.log,
		callSlots: make(chan struct{}, maxConcurrentCalls),
		engines:   map[backend.ID]*engineState{},
	}
	d.runInBackground(func() { p.keeper.Run(ctx) })
	d.runInBackground(func() { p.run(ctx) })
}

func (p *placer) run(ctx context.Context) {
	tick := time.NewTicker(placementInterval)
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

// step plans and starts the calls that are due while this VM holds the lease.
// A new term resets the state, so that it starts from fresh reports.
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
		p.engines = map[backend.ID]*engineState{}
	}
	servers := engines(p.view())
	p.plan(servers, now)
	for _, s := range servers {
		p.stepEngine(ctx, s, term, now)
	}
}

// engines returns the engines of a configuration, sorted by ID.
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
		e = &engineState{}
		p.engines[s.ID] = e
	}
	if e.callInFlight || s.Leaving {
		return
	}
	desired, planned := p.planner.Desired(s.ID)
	action := e.tracker.Next(now, term, s.ChecksFencing, desired)
	if action.Kind == order.Send && !planned {
		return
	}
	if action.Kind != order.Read && action.Kind != order.Send {
		return
	}
	select {
	case p.callSlots <- struct{}{}:
	default:
		return
	}
	e.callInFlight = true
	go func() {
		defer func() { <-p.callSlots }()
		if action.Kind == order.Read {
			p.read(ctx, s, e)
		} else {
			p.send(ctx, s, e, action, desired)
		}
	}()
}

func (p *placer) read(ctx context.Context, s backend.Server, e *engineState) {
	sent := time.Now()
	l, err := p.client.Read(ctx, s.URL)
	p.mu.Lock()
	defer p.mu.Unlock()
	e.callInFlight = false
	if err != nil {
		return
	}
	e.load, e.readAt = l, sent
	e.tracker.Reported(order.Weights(l.Weights), sent)
}

// send rechecks the lease, since the goroutine may have been delayed, and sends
// the order.
func (p *placer) send(ctx context.Context, s backend.Server, e *engineState, a order.Action, desired order.Weights) {
	decided := time.Now()
	term := p.keeper.Term()
	if term.Fencing != a.Fencing || !term.Valid(decided, order.MaxSend) {
		p.mu.Lock()
		defer p.mu.Unlock()
		e.callInFlight = false
		return
	}
	err := p.client.Send(ctx, s.URL, a.Fencing, desired, decided.Add(order.MaxSend))
	p.log.Info("order_sent",
		zap.String("server", string(s.ID)), zap.String("weights", desired.String()),
		zap.Uint64("fencing", uint64(a.Fencing)), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	e.callInFlight = false
	e.tracker.Sent(desired, decided)
	if err == nil {
		e.tracker.Accepted(a.Fencing)
	}
}
