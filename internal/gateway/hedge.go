package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/hedge"
	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// hedger holds what is known for hedging. A nil hedger hedges nothing.
type hedger struct {
	share float64
	// log is sampled: a slow server may cause many lines.
	log       *zap.Logger
	routes    sync.Map // of *hedge.Latencies by route
	services  sync.Map // of *hedgedService by service
	registry  metrics.Registry
	sent, won metrics.Counter
	saved     metrics.Histogram
}

// hedgedService is the state of a service.
type hedgedService struct {
	budget *hedge.Budget
	load   hedge.LoadSigns
}

// Each second, hedgeLogFirst lines of a kind are logged, and then one of hedgeLogEach.
const (
	hedgeLogFirst = 5
	hedgeLogEach  = 100
)

func newHedger(opts *Options) *hedger {
	if opts.HedgeShare <= 0 {
		return nil
	}
	sampled := func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, hedgeLogFirst, hedgeLogEach)
	}
	return &hedger{
		share: opts.HedgeShare, log: opts.Log.WithOptions(zap.WrapCore(sampled)), registry: opts.Metrics,
		sent:  metrics.GetOrRegisterCounter("hedges_sent", opts.Metrics),
		won:   metrics.GetOrRegisterCounter("hedges_won", opts.Metrics),
		saved: metrics.GetOrRegisterHistogram("hedge_saved_ms", opts.Metrics, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
	}
}

func (h *hedger) service(name string) *hedgedService {
	if s, ok := h.services.Load(name); ok {
		return s.(*hedgedService)
	}
	s, _ := h.services.LoadOrStore(name, &hedgedService{budget: hedge.NewBudget(h.share)})
	return s.(*hedgedService)
}

func (h *hedger) route(name string) *hedge.Latencies {
	if l, ok := h.routes.Load(name); ok {
		return l.(*hedge.Latencies)
	}
	l, _ := h.routes.LoadOrStore(name, &hedge.Latencies{})
	return l.(*hedge.Latencies)
}

// countRequest adds a request for a service to its budget.
func (h *hedger) countRequest(service string) {
	if h != nil {
		h.service(service).budget.Earn()
	}
}

// recordLoad records that the service has refused a request or let it wait.
func (h *hedger) recordLoad(service string, now time.Time) {
	if h != nil {
		h.service(service).load.Record(now)
	}
}

// tryHedged makes an attempt, with a hedge if the request qualifies for one.
func (t *task) tryHedged(ctx context.Context, service *catalog.Service, c selector.Candidate) *failure {
	h := t.g.hedges
	if h == nil {
		return t.try(ctx, service, c)
	}
	if t.place.In > 0 {
		h.recordLoad(service.Name, t.g.opts.Now())
	}
	var f *failure
	if t.mayHedge() {
		f = t.race(ctx, service, c)
	} else {
		f = t.try(ctx, service, c)
	}
	if f.showsLoad() {
		h.recordLoad(service.Name, t.g.opts.Now())
	}
	return f
}

// mayHedge reports whether the request may run at two servers at a time. Only the first attempt of a
// request is hedged, and none that has a prompt: reading the prompt twice costs more than a late
// response. During a roll-out, a hedge could exceed what the new version may get.
func (t *task) mayHedge() bool {
	return t.route.Kind == catalog.Idempotent && t.route.MaxAttempts >= 2 && t.prompt == nil && !t.resumes() &&
		t.sends == 0 && len(t.tried) == 1 && t.versions.Unrestricted()
}

// showsLoad reports whether the failure is that of a server without room.
func (f *failure) showsLoad() bool {
	if f == nil {
		return false
	}
	switch f.code {
	case "declined", "rate_limited", codeServersFull, codeServersRejecting, codeServersBackOff, "connections_used_up":
		return true
	}
	return false
}

// chooseHedge chooses the server for a hedge.
func (t *task) chooseHedge(service *catalog.Service, r hedge.Request) (selector.Candidate, hedge.Reason) {
	g, model := t.g, t.g.model()
	q := t.query(g)
	var servers []hedge.Server
	var candidates []selector.Candidate
	all := choicesPool.Get().(*choices)
	defer func() {
		all.reset()
		choicesPool.Put(all)
	}()
	all.classify(t, service, model, q)
	if len(all.full)+len(all.backedOff)+len(all.limited)+len(all.rejecting) > len(all.available) {
		return selector.Candidate{}, hedge.Loaded
	}
	for _, c := range all.available {
		if c.RateLimitWait > 0 || c.RunEnded || g.opts.Servers.Down(selector.KeyOf(c.Entry)) {
			continue
		}
		candidates = append(candidates, c)
		servers = append(servers, hedge.Server{
			Domain: c.Entry.FailureDomain, Running: c.Running, Slots: c.Entry.Slots,
			Expected: model.TimeToFirstByte(q, &c), FailureRate: c.FailureRate, Silent: c.Silent,
		})
	}
	i, reason := hedge.Choose(r, servers, rand.Float64())
	if reason != "" {
		return selector.Candidate{}, reason
	}
	return candidates[i], ""
}

// spendHedge takes a hedge from the budgets, and a place within the rate limit of its server.
func (t *task) spendHedge(service *catalog.Service, c *selector.Candidate) hedge.Reason {
	budget := t.g.hedges.service(service.Name).budget
	if !budget.Spend() {
		return hedge.BudgetSpent
	}
	if !t.g.retryBudget(service.Name).SpendSpare() {
		budget.Return()
		return hedge.RetriesFirst
	}
	if !t.reservePlace(c, 0) {
		return hedge.NoServer
	}
	return ""
}

// fork returns a task for a hedge of the call. It may be called while the first attempt runs: it reads
// only what that doesn't change.
func (t *task) fork(r *race) *task {
	f := &task{
		g: t.g, call: t.call, catalog: t.catalog, route: t.route, account: t.account, deadline: t.deadline, units: t.units,
		tried: []selector.ServerKey{selector.KeyOf(r.server)}, chosenAt: t.g.opts.Now(), ran: verdict.NotRun, keepOnStop: t.keepOnStop, lastEvent: t.call.LastEvent,
		sends: 1, // The first attempt counts towards the route's limit.
	}
	f.sink = &raceSink{race: r, task: f, sink: r.sink, side: second}
	traits := t.traits()
	f.traitsOnce.Do(func() { f.callTraits = traits })
	return f
}

// launch sends the hedge unless the first attempt has ended or the conditions for a hedge aren't met.
func (r *race) launch() {
	t, g := r.task, r.task.g
	h, now := g.hedges, g.opts.Now()
	if peek.CallerGone(r.ctx) {
		return
	}
	request := hedge.Request{
		Waited: now.Sub(r.sentAt), Left: t.timeLeft(), Domain: r.server.FailureDomain,
		RecentlyLoaded: h.service(r.service.Name).load.Recent(now),
	}
	f := t.fork(r)
	c, reason := f.chooseHedge(r.service, request)
	if reason == "" && g.opts.CrashCauses.Suspected(f.callTraits) {
		reason = hedge.Suspected
	}
	r.mu.Lock()
	if r.over || r.winner != nobody {
		r.mu.Unlock()
		return
	}
	if reason == "" {
		reason = f.spendHedge(r.service, &c)
	}
	fields := []zap.Field{
		zap.String("request_id", t.call.ID), zap.String("route", t.route.Name), zap.String("service", r.service.Name),
		zap.String("first_server", string(r.server.ID)), zap.Duration("delay", r.delay), zap.Duration("waited", request.Waited), zap.Duration("left", request.Left),
	}
	if reason != "" {
		if again := reason.CheckAgainIn(request.Waited); again > 0 {
			r.timer.Reset(again)
		}
		r.mu.Unlock()
		metrics.GetOrRegisterCounter("hedges_not_sent."+string(reason), h.registry).Inc(1)
		h.log.Info("hedge_not_sent", append(fields, zap.String("reason", string(reason)))...)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	f.tried = append(f.tried, selector.KeyOf(c.Entry))
	r.hedge, r.hedgedAt, r.cancel[second], r.done = f, now, cancel, make(chan struct{})
	defer close(r.done)
	r.mu.Unlock()
	h.sent.Inc(1)
	h.log.Info("hedge_sent", append(fields, zap.String("server", string(c.Entry.ID)), zap.Duration("expected", g.model().TimeToFirstByte(f.query(g), &c)))...)
	r.failure = f.sink.(*raceSink).held(f.try(ctx, r.service, c))
	if r.failure != nil && r.won() != first && ctx.Err() == nil {
		f.logAttempt(c, r.failure)
	}
	if r.failure.showsLoad() {
		h.recordLoad(r.service.Name, g.opts.Now())
	}
}

// merge takes over what the ended hedge has found out, and what it has answered if it has won.
func (t *task) merge(f *task, won bool) {
	t.sends += f.sends - 1
	t.tried = f.tried
	if won {
		t.outcome, t.place, t.firstByte, t.begun, t.ran = f.outcome, f.place, f.firstByte, f.begun, f.ran
	} else if t.fallback == nil {
		t.fallback = f.fallback
		return
	}
	if f.fallback != nil {
		f.fallback.release()
	}
}

// raceSink passes on the response of the attempt that wins.
type raceSink struct {
	race *race
	task *task
	sink Sink
	side side
	// failed is set once a complete server error was kept as the task's fallback.
	failed bool
}

// Answer implements Sink.
func (s *raceSink) Answer(status int, header http.Header, body []byte) error {
	if status >= http.StatusInternalServerError {
		s.task.fallback, s.failed = &fallbackResponse{status: status, header: header, body: body, release: func() {}}, true
		return nil
	}
	if err := s.race.claim(s.side); err != nil {
		return err
	}
	return s.sink.Answer(status, header, body)
}

// Begin implements Sink. A response that is too long to be buffered wins with its first part.
func (s *raceSink) Begin(status int, header http.Header) error {
	if err := s.race.claim(s.side); err != nil {
		return err
	}
	return s.sink.Begin(status, header)
}

// WriteBody implements Sink.
func (s *raceSink) WriteBody(p []byte) error { return s.sink.WriteBody(p) }

// Refuse implements Sink. Attempts refuse nothing.
func (s *raceSink) Refuse(e *verdict.Error) { s.sink.Refuse(e) }

// Abort implements Sink. Attempts abort nothing.
func (s *raceSink) Abort() { s.sink.Abort() }

// held returns the failure of an attempt that ended with f. A server error that was kept is one.
func (s *raceSink) held(f *failure) *failure {
	if f != nil || !s.failed {
		return f
	}
	s.task.firstByte = 0
	return &failure{code: "server_error", err: errors.Errorf("status %d", s.task.fallback.status), sent: true, mayHaveRun: true}
}
