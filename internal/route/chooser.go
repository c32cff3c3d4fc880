package route

import (
	"math/rand"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/prefix"
)

// ErrNoEngine means that no engine can currently take the request: none serves
// its pool or the filters drop all that do.
var ErrNoEngine = errors.New("no engine serves the model now")

const (
	// randomCandidates is the number of engines drawn at random for each
	// request. Random candidates keep routers that see the same load reports
	// from all picking the same engine.
	randomCandidates = 4
	// affinityDepth is the number of leading blocks whose hash is the key of
	// rendezvous hashing: requests that share these blocks get the same
	// rendezvous choices.
	affinityDepth = 3
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Scope prefix.Scope
	Pool  PoolKey
	// Chain holds the hashes of the prompt's full blocks.
	Chain []prefix.Hash
	// ComputedBlocks is the number of leading blocks that some engine has
	// computed, so that the KV cache store may have them. Choose sets
	// ComputedBlocks and ImportRate.
	ComputedBlocks int
	// ImportRate is the expected rate of imports from the KV cache store in
	// tokens per second, or 0 without a store.
	ImportRate float64
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Background marks a request without a latency objective.
	Background bool
	// Excluded lists engines that must not get the request.
	Excluded []backend.ID
}

// Reason says why an engine was chosen.
type Reason string

const (
	// Hit means that the engine holds, by the index, at least as much of the
	// prefix as any other candidate.
	Hit Reason = "hit"
	// Affinity means that no candidate holds any of the prefix and that the
	// engine is its first rendezvous choice.
	Affinity Reason = "affinity"
	// Spread means that another candidate holds more of the prefix but has a
	// higher cost, usually because of its backlog.
	Spread Reason = "spread"
	// LeastLoad means that neither a cache hit nor affinity decided the choice.
	LeastLoad Reason = "least-load"
)

// Decision is the chosen engine with the estimates behind the choice.
type Decision struct {
	Candidate
	Reason Reason
	// HitTokens, ImportTokens and MissTokens split the prompt into the parts
	// that are expected to be cached by the engine, to be imported from the KV
	// cache store, and to be computed.
	HitTokens, ImportTokens, MissTokens int
	// Considered is the number of candidates.
	Considered int
}

// Chooser chooses engines for requests. It is safe for concurrent use.
type Chooser struct {
	Index       *prefix.Index
	BlockTokens int
	Filters     []Filter
	Scorer      Scorer
	Picker      Picker
	// Imports estimates the import rate; it is nil without a KV cache store.
	Imports *ImportEstimator
	scratch sync.Pool // of *selection
}

// NewChooser returns a chooser with the default policy that uses index to
// predict cache hits.
func NewChooser(index *prefix.Index, blockTokens int, filters ...Filter) *Chooser {
	return &Chooser{
		Index:       index,
		BlockTokens: blockTokens,
		Filters:     append([]Filter{NotLeaving, NotExcluded}, filters...),
		Scorer:      DefaultScorer(blockTokens),
		Picker:      LowestScore{},
	}
}

// Choose returns the engine for a request. Its cost does not depend on the
// number of engines unless the filters drop every ranked, holding and random
// candidate; then all engines of the pool are considered.
func (c *Chooser) Choose(f *Fleet, r *Request, now time.Time, rng *rand.Rand) (Decision, error) {
	p := f.pools[r.Pool]
	if p == nil {
		return Decision{}, ErrNoEngine
	}
	s := c.selection()
	defer c.scratch.Put(s)
	s.fleet, s.request, s.now = f, r, now
	c.prepareImport(r, now)
	s.addRanked(p)
	s.addHolders(p)
	s.addSampled(p, rng)
	if len(s.list) == 0 {
		s.addAll(p)
	}
	if len(s.list) == 0 {
		return Decision{}, ErrNoEngine
	}
	for i := range s.list {
		c.Scorer.Score(r, &s.list[i])
	}
	return c.decide(r, s.list), nil
}

// prepareImport sets the fields of r from which the scorer estimates imports.
func (c *Chooser) prepareImport(r *Request, now time.Time) {
	if c.Imports == nil {
		return
	}
	r.ComputedBlocks = c.Index.Computed(r.Scope, r.Chain)
	r.ImportRate = c.Imports.Rate(now)
}

// selection returns an empty selection. The caller puts it back into c.scratch.
func (c *Chooser) selection() *selection {
	s, ok := c.scratch.Get().(*selection)
	if !ok {
		s = &selection{chooser: c}
	}
	s.list, s.matches = s.list[:0], s.matches[:0]
	return s
}

func (c *Chooser) decide(r *Request, list []Candidate) Decision {
	d := Decision{Candidate: list[c.Picker.Pick(list)], Considered: len(list)}
	d.HitTokens = d.HitBlocks * c.BlockTokens
	d.ImportTokens = d.ImportBlocks * c.BlockTokens
	d.MissTokens = r.PromptTokens - d.HitTokens - d.ImportTokens
	d.Reason = reason(r, &d.Candidate, list)
	return d
}

func reason(r *Request, picked *Candidate, list []Candidate) Reason {
	best := 0
	for i := range list {
		best = max(best, list[i].HitBlocks)
	}
	switch {
	case picked.HitBlocks < best:
		return Spread
	case picked.HitBlocks > 0:
		return Hit
	case picked.Rank == 0 && len(r.Chain) > 0:
		return Affinity
	}
	return LeastLoad
}

// RecordDispatch records that the request is sent to the chosen engine. The engine
// is expected to hold the prompt's remaining blocks after the estimated TTFT.
func (c *Chooser) RecordDispatch(r *Request, d *Decision, now time.Time) {
	c.Index.Record(r.Scope, r.Chain, d.Engine.Slot, d.ReadyBlocks, now, now.Add(d.TTFT))
	d.Engine.Load.RecordDispatch(d.Level, float64(d.MissTokens), float64(d.MissTokens/c.BlockTokens+1), now)
}

// RecordFirstToken records that the first token arrived at time now, took after the
// dispatch, and updates the estimate of the engine's prefill rate or, if the
// decision contains an import, of the import rate.
func (c *Chooser) RecordFirstToken(r *Request, d *Decision, now time.Time, took time.Duration) {
	c.Index.Record(r.Scope, r.Chain, d.Engine.Slot, len(r.Chain), now, now)
	tokens := d.Load.TokensAhead(d.Level) + float64(d.MissTokens)
	if d.ImportTokens == 0 {
		d.Engine.Load.RecordFirstToken(tokens, took)
		return
	}
	computing := seconds(tokens / d.Load.Rate)
	c.Imports.Record(d.ImportTokens, max(took-computing, 0), now)
}

// RecordCompletion records the number of prompt tokens that the engine reported as
// cached.
func (c *Chooser) RecordCompletion(d *Decision, cachedTokens int) {
	m := prefix.Match{Slot: d.Engine.Slot, Blocks: d.HitBlocks, Ready: d.ReadyBlocks, Age: d.Age}
	c.Index.Observe(m, cachedTokens/c.BlockTokens)
}
