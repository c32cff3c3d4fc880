package router

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/fairshare"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// nominalPrefillRate is the prefill rate that is assumed of an engine
	// before its replies show it, in tokens a second.
	nominalPrefillRate = 8000
	// statusCallerLeft is the conventional status for a closed connection.
	statusCallerLeft = 499
	// maxIndexBlocks bounds the prefix index, in blocks.
	maxIndexBlocks = 320_000
)

// PrefixBalancer chooses engines by the estimated time to first token. It
// learns from its own dispatches (as dispatch.Observer) and from the engines'
// reports (as enginewatch.Sink).
type PrefixBalancer struct {
	services RoundRobin
	log      *zap.Logger
	block    int
	index    *prefix.Index
	chooser  *route.Chooser
	clocks   *fairshare.Clocks
	table    *engineTable
	view     atomic.Pointer[config.View]
	random   sync.Pool
	// flights are the attempts under way, *flight by request ID.
	flights sync.Map
}

// flight is an attempt under way.
type flight struct {
	request  *route.Request
	decision route.Decision
}

// NewPrefixBalancer returns a balancer that knows no engine yet.
func NewPrefixBalancer(s settings.Routing, log *zap.Logger) *PrefixBalancer {
	index := prefix.NewIndex(maxIndexBlocks, time.Now())
	b := &PrefixBalancer{log: log, block: s.PieceTokens, index: index, table: newEngineTable(index), clocks: fairshare.New()}
	healthy := route.Healthy(func(id backend.ID) bool { return !b.table.allows(id) })
	b.chooser = route.NewChooser(index, s.PieceTokens, healthy)
	if s.ImportTokensPerSecond > 0 {
		b.chooser.Imports = route.NewImports(s.ImportTokensPerSecond)
	}
	b.random.New = func() any { return rand.New(rand.NewSource(rand.Int63())) }
	return b
}

// Index is what the balancer knows of the engines' caches.
func (b *PrefixBalancer) Index() *prefix.Index { return b.index }

// Ready reports whether the engines of a configuration are known.
func (b *PrefixBalancer) Ready() bool {
	f := b.table.fleet.Load()
	return f != nil && f.fleet.Len() > 0
}

// CacheSalt is the cache_salt of a client account's requests for a model.
func CacheSalt(id account.ID, m config.Model) string {
	return prefix.NewScope(id, m.Name, m.WeightsVersion).Salt()
}

// Service implements Balancer.
func (b *PrefixBalancer) Service(view *config.View, route config.Route) dispatch.Picker {
	return b.services.Service(view, route)
}

// Engine implements Balancer.
func (b *PrefixBalancer) Engine(p Prompt) dispatch.Picker {
	b.note(p.View)
	scope := prefix.NewScope(p.Account, p.Model, p.WeightsVersion)
	tokens := len(p.Text)/prefix.BytesPerToken + 1
	now := time.Now()
	rate := p.View.Accounts[p.Account].Contract.Rate
	delays := b.clocks.Delays(p.Account, rate, float64(tokens+p.MaxTokens), now)
	return &enginePicker{
		b:       b,
		prompt:  p,
		hold:    delays.Hold,
		ordered: now.Add(delays.Order),
		request: route.Request{
			Scope:        scope,
			Pool:         route.PoolKey{Model: p.Model, WeightsVersion: p.WeightsVersion},
			Chain:        prefix.Chain(scope.Root(), p.Text, b.block, nil),
			PromptTokens: tokens,
			Background:   p.Class == config.Review,
		},
	}
}

// enginePicker picks the engines for one request.
type enginePicker struct {
	b       *PrefixBalancer
	prompt  Prompt
	request route.Request
	// hold is the time to wait before the first attempt.
	hold time.Duration
	// ordered is the arrival, put back if the account runs ahead of its rate.
	ordered time.Time
	// decision is the last choice.
	decision route.Decision
}

// Hints implements dispatch.Hinter. The priority is the time, in milliseconds,
// by which engines order their queues, so that all levels age alike.
func (p *enginePicker) Hints() dispatch.Hints {
	deadline := p.decision.Level.Deadline(p.ordered)
	return dispatch.Hints{Priority: int(deadline.UnixMilli()), ImportKV: p.decision.Import}
}

// Pick implements dispatch.Picker. A server that was tried before is picked
// only if there is no other.
func (p *enginePicker) Pick(ctx context.Context, req dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	if a.Number == 1 && p.hold > 0 {
		if err := wait(ctx, p.hold); err != nil {
			return backend.Server{}, err
		}
	}
	r := p.request
	r.Excluded = a.Tried
	r.PromptTokens += a.Delivered
	d, err := p.b.choose(p.prompt.View, &r)
	if err != nil && len(a.Tried) > 0 {
		r.Excluded = nil
		d, err = p.b.choose(p.prompt.View, &r)
	}
	if err != nil {
		refusal := verdict.RefuseUntil(http.StatusServiceUnavailable, "no_backend_server", "no backend server can take the request now", noServerRetryAfter)
		refusal.Cause = err
		return backend.Server{}, refusal
	}
	p.decision = d
	p.b.logChoice(req, a, &d)
	now := time.Now()
	p.b.chooser.Dispatched(&r, &d, now)
	p.b.flights.Store(req.ID, &flight{request: &r, decision: d})
	return p.prompt.View.Servers[d.Engine.ID], nil
}

// wait waits for d unless the caller leaves.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(statusCallerLeft, "caller_left", "the caller left before the request ran")
	}
}

func (b *PrefixBalancer) choose(view *config.View, r *route.Request) (route.Decision, error) {
	rng := b.random.Get().(*rand.Rand)
	defer b.random.Put(rng)
	return b.chooser.Choose(b.table.current(view), r, time.Now(), rng)
}

func (b *PrefixBalancer) logChoice(req dispatch.Request, a dispatch.Attempt, d *route.Decision) {
	b.log.Info("engine_chosen",
		zap.String("request_id", req.ID),
		zap.String("account", string(req.Account)),
		zap.String("model", req.Model),
		zap.Int("attempt", a.Number),
		zap.String("engine", string(d.Engine.ID)),
		zap.String("reason", string(d.Reason)),
		zap.Int("hit_tokens", d.HitTokens),
		zap.Int("import_tokens", d.ImportTokens),
		zap.Int("miss_tokens", d.MissTokens),
		zap.Int("running", d.Load.Running),
		zap.Duration("queue", d.Queue),
		zap.Duration("ttft", d.TTFT),
		zap.Int("considered", d.Considered))
}

// Started implements dispatch.Observer.
func (b *PrefixBalancer) Started(dispatch.Request, dispatch.Attempt, backend.Server) {}

// Answered implements dispatch.Observer.
func (b *PrefixBalancer) Answered(dispatch.Request, dispatch.Result) {}

// Ended implements dispatch.Observer.
func (b *PrefixBalancer) Ended(req dispatch.Request, r dispatch.Result) {
	v, ok := b.flights.LoadAndDelete(req.ID)
	if !ok {
		return
	}
	f := v.(*flight)
	switch r.Failure {
	case dispatch.ConnectFailed, dispatch.ConnectionLost:
		b.table.setLost(r.Server.ID)
		return
	}
	if r.FirstByte > 0 && req.Stream {
		b.chooser.FirstToken(f.request, &f.decision, time.Now(), r.FirstByte)
	}
	if r.Err == nil && r.Usage.PromptTokens > 0 {
		b.chooser.Finished(&f.decision, r.Usage.CachedTokens)
	}
}

// Loaded implements enginewatch.Sink.
func (b *PrefixBalancer) Loaded(id backend.ID, l openai.Load, asked, now time.Time) {
	if b.table.loaded(id, l, asked, now) {
		b.rebuild()
	}
}

// Lost implements enginewatch.Sink.
func (b *PrefixBalancer) Lost(id backend.ID) { b.table.setLost(id) }

// CacheEvent implements enginewatch.Sink.
func (b *PrefixBalancer) CacheEvent(id backend.ID, e openai.CacheEvent, now time.Time) {
	hashes := make([]prefix.Hash, len(e.Hashes))
	for i, h := range e.Hashes {
		hashes[i] = prefix.Hash(h)
	}
	slot := b.index.Apply(id, prefix.Event{
		Seq:         e.Seq,
		Incarnation: backend.Incarnation(e.Incarnation),
		Type:        prefix.EventType(e.Type),
		Hashes:      hashes,
		Salt:        e.Salt,
	}, now)
	if e.Type == string(prefix.Cleared) && b.table.renewed(id, slot) {
		b.rebuild()
	}
}

// Watched lists the engines to follow.
func (b *PrefixBalancer) Watched(view *config.View) []backend.Server {
	b.note(view)
	b.table.current(view)
	var list []backend.Server
	for _, s := range view.Servers {
		if s.Kind == backend.Engine {
			list = append(list, s)
		}
	}
	return list
}

// note keeps the latest view of the configuration.
func (b *PrefixBalancer) note(view *config.View) {
	for {
		old := b.view.Load()
		if old != nil && old.Number >= view.Number {
			return
		}
		if b.view.CompareAndSwap(old, view) {
			return
		}
	}
}

// rebuild makes the fleet anew from the latest view.
func (b *PrefixBalancer) rebuild() {
	if b.view.Load() == nil {
		return
	}
	b.table.mu.Lock()
	defer b.table.mu.Unlock()
	b.table.build(b.view.Load())
}
