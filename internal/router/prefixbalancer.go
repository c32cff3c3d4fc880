package router

import (
	"math/rand"
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
)

const (
	// nominalPrefillRate is the prefill rate that is assumed of an engine
	// before its replies show it, in tokens a second.
	nominalPrefillRate = 8000
	// maxIndexBlocks bounds the prefix index, in blocks.
	maxIndexBlocks = 320_000
)

// PrefixBalancer chooses engines by the estimated time to first token. It
// learns from its own dispatches, which its pickers observe, and from the
// engines' reports, as enginewatch.Sink.
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

func (b *PrefixBalancer) choose(view *config.View, r *route.Request) (route.Decision, error) {
	rng := b.random.Get().(*rand.Rand)
	defer b.random.Put(rng)
	return b.chooser.Choose(b.table.current(view), r, time.Now(), rng)
}

// Loaded implements enginewatch.Sink.
func (b *PrefixBalancer) Loaded(id backend.ID, l openai.Load, asked, now time.Time) {
	if b.table.loaded(id, l, asked, now) {
		b.rebuild()
	}
}

// Lost implements enginewatch.Sink.
func (b *PrefixBalancer) Lost(id backend.ID) { b.table.setLost(id) }

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
