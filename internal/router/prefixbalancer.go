package router

import (
	"math/rand"
	"slices"
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
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/route"
	"papayaspan.dev/papayaspan/internal/settings"
)

const (
	// nominalPrefillRate is the assumed prefill rate of an engine before it can be
	// estimated from responses, in tokens per second.
	nominalPrefillRate = 8000
	// maxIndexBlocks is the capacity of the prefix index, in blocks.
	maxIndexBlocks = 320_000
)

// PrefixBalancer chooses engines by the estimated time to first token. It bases
// the estimate on its own dispatches, which its pickers observe, and on the
// engines' reports, which it receives as an enginewatch.Sink.
type PrefixBalancer struct {
	services    RoundRobin
	log         *zap.Logger
	blockTokens int
	index       *prefix.Index
	chooser     *route.Chooser
	clocks      *fairshare.Clocks
	table       *engineTable
	backoffs    *ratelimit.Backoffs
	view        atomic.Pointer[config.View]
	rngs        sync.Pool
}

// NewPrefixBalancer returns a balancer without engines.
func NewPrefixBalancer(s settings.Routing, log *zap.Logger) *PrefixBalancer {
	index := prefix.NewIndex(maxIndexBlocks, time.Now())
	b := &PrefixBalancer{log: log, blockTokens: s.PieceTokens, index: index, table: newEngineTable(index), clocks: fairshare.New()}
	b.backoffs = ratelimit.NewBackoffs(time.Now)
	healthy := route.Healthy(func(id backend.ID) bool {
		return !b.table.reachable(id) || !b.backoffs.Backoff(b.table.key(id)).Allows(0)
	})
	b.chooser = route.NewChooser(index, s.PieceTokens, healthy)
	if s.ImportTokensPerSecond > 0 {
		b.chooser.Imports = route.NewImportEstimator(s.ImportTokensPerSecond)
	}
	b.rngs.New = func() any { return rand.New(rand.NewSource(rand.Int63())) }
	return b
}

// Index returns the index of the prompt prefixes in the engines' caches.
func (b *PrefixBalancer) Index() *prefix.Index { return b.index }

// Ready reports whether the engines of a configuration are known.
func (b *PrefixBalancer) Ready() bool {
	f := b.table.fleet.Load()
	return f != nil && f.fleet.Len() > 0
}

// CacheSalt returns the cache_salt of a client account's requests for a model.
func CacheSalt(id account.ID, m config.Model) string {
	return prefix.NewScope(id, m.Name, m.WeightsVersion).Salt()
}

// Service implements Balancer.
func (b *PrefixBalancer) Service(view func() *config.View, route config.Route) dispatch.Picker {
	return b.services.Service(view, route)
}

// Engine implements Balancer.
func (b *PrefixBalancer) Engine(p Prompt) dispatch.Picker {
	b.setView(p.View)
	scope := prefix.NewScope(p.Account, p.Model, p.WeightsVersion)
	tokens := len(p.Text)/prefix.BytesPerToken + 1
	now := time.Now()
	rate := p.View.Accounts[p.Account].Contract.Rate
	delays := b.clocks.Charge(p.Account, rate, float64(tokens+p.MaxTokens), now)
	return &enginePicker{
		balancer:     b,
		prompt:       p,
		pacingDelay:  delays.Pacing,
		priorityTime: now.Add(delays.Priority),
		request: route.Request{
			Scope:        scope,
			Pool:         route.PoolKey{Model: p.Model, WeightsVersion: p.WeightsVersion},
			Chain:        prefix.Chain(scope.Root(), p.Text, b.blockTokens, nil),
			PromptTokens: tokens,
			Background:   p.Class == config.Review,
		},
	}
}

func (b *PrefixBalancer) choose(view *config.View, r *route.Request) (route.Decision, error) {
	rng := b.rngs.Get().(*rand.Rand)
	defer b.rngs.Put(rng)
	return b.chooser.Choose(b.table.fleetFor(view), r, time.Now(), rng)
}

// soonestReturn returns the time until the first of a pool's servers that ask for a back-off takes
// requests again, and false if none asks for one.
func (b *PrefixBalancer) soonestReturn(view *config.View, r *route.Request) (left time.Duration, waits bool) {
	for id, s := range view.Servers {
		if !slices.Contains(s.Models, r.Pool.Model) {
			continue
		}
		if l := b.backoffs.Backoff(b.table.key(id)).Left; l > 0 && (!waits || l < left) {
			left, waits = l, true
		}
	}
	return left, waits
}

// Loaded implements enginewatch.Sink.
func (b *PrefixBalancer) Loaded(id backend.ID, l openai.Load, asked, now time.Time) {
	if b.table.recordLoad(id, l, asked, now) {
		b.rebuildFleet()
	}
}

// Lost implements enginewatch.Sink.
func (b *PrefixBalancer) Lost(id backend.ID) { b.table.markUnreachable(id) }

// InUse implements enginewatch.Sink.
func (b *PrefixBalancer) InUse(id backend.ID, now time.Time) bool { return b.table.inUse(id, now) }

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
	if e.Type == string(prefix.Cleared) && b.table.setSlot(id, slot) {
		b.rebuildFleet()
	}
}

// Watched returns the engines of the view, whose reports are to be followed.
func (b *PrefixBalancer) Watched(view *config.View) []backend.Server {
	b.setView(view)
	b.table.fleetFor(view)
	var list []backend.Server
	for _, s := range view.Servers {
		if s.Kind == backend.Engine {
			list = append(list, s)
		}
	}
	return list
}

// setView stores the view of the configuration unless a newer one is stored.
func (b *PrefixBalancer) setView(view *config.View) {
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

// rebuildFleet rebuilds the fleet from the latest view.
func (b *PrefixBalancer) rebuildFleet() {
	if b.view.Load() == nil {
		return
	}
	b.table.mu.Lock()
	defer b.table.mu.Unlock()
	b.table.build(b.view.Load())
}
