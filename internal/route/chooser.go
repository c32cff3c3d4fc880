package route

import (
	"math/rand"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/prefix"
)

// ErrNoEngine means that no engine may get the request now.
var ErrNoEngine = errors.New("no engine serves the model now")

const (
	// samples is how many engines are drawn at random for each request. Drawing
	// keeps routers with the same reports from all picking the same engine.
	samples = 4
	// affinityBlocks is the depth of the block that selects the rendezvous
	// choices: requests that share this many blocks share their choices.
	affinityBlocks = 3
)

// Request is what the choice depends on.
type Request struct {
	Scope prefix.Scope
	Pool  PoolKey
	// Chain are the hashes of the prompt's full blocks.
	Chain []prefix.Hash
	// ComputedBlocks is the number of leading blocks that were computed before,
	// so that the KV cache store may have them. Choose sets it and
	// ImportRate.
	ComputedBlocks int
	// ImportRate is the rate of imports in tokens a second, 0 without a store.
	ImportRate float64
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Background is set if nobody waits for the first token.
	Background bool
	// Excluded are engines that the request must avoid.
	Excluded []backend.ID
}

// Reason says why an engine was chosen.
type Reason string

const (
	// Hit means that the engine likely holds the most of the prefix.
	Hit Reason = "hit"
	// Affinity means the prefix's rendezvous choice.
	Affinity Reason = "affinity"
	// Spread means that engines that hold more of the prefix are too busy.
	Spread Reason = "spread"
	// LeastLoad means that no prefix mattered.
	LeastLoad Reason = "least-load"
)

// Decision is the choice of an engine and what it was based on.
type Decision struct {
	Candidate
	Reason Reason
	// HitTokens, ImportTokens and MissTokens are the expected parts of the
	// prompt: cached by the engine, in the KV cache store, and to be computed.
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
	// Imports is nil without a KV cache store.
	Imports *Imports
	scratch sync.Pool // of *selection
}

// NewChooser returns the default policy over index.
func NewChooser(index *prefix.Index, blockTokens int, filters ...Filter) *Chooser {
	return &Chooser{
		Index:       index,
		BlockTokens: blockTokens,
		Filters:     append([]Filter{NotLeaving, NotExcluded}, filters...),
		Scorer:      DefaultScorer(blockTokens),
		Picker:      LowestScore{},
	}
}

// Choose returns the engine for a request. The work does not grow with the
// number of engines unless all usual candidates are filtered out.
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

// prepareImport fills in what the scorer needs to weigh imports.
func (c *Chooser) prepareImport(r *Request, now time.Time) {
	if c.Imports == nil {
		return
	}
	r.ComputedBlocks = c.Index.Computed(r.Scope, r.Chain)
	r.ImportRate = c.Imports.Rate(now)
}

// selection returns an empty selection to be put back into c.scratch.
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

// Dispatched notes that the request is sent to the chosen engine.
func (c *Chooser) Dispatched(r *Request, d *Decision, now time.Time) {
	c.Index.Record(r.Scope, r.Chain, d.Engine.Slot, d.ReadyBlocks, now, now.Add(d.TTFT))
	d.Engine.Load.Sent(d.Level, float64(d.MissTokens), float64(d.MissTokens/c.BlockTokens+1), now)
}

// FirstToken notes the first token at the time now, after took.
func (c *Chooser) FirstToken(r *Request, d *Decision, now time.Time, took time.Duration) {
	c.Index.Record(r.Scope, r.Chain, d.Engine.Slot, len(r.Chain), now, now)
	tokens := d.Load.Ahead(d.Level) + float64(d.MissTokens)
	if d.ImportTokens == 0 {
		d.Engine.Load.Answered(tokens, took)
		return
	}
	computing := seconds(tokens / d.Load.Rate)
	c.Imports.Ended(d.ImportTokens, max(took-computing, 0), now)
}

// Finished notes the number of prompt tokens that the engine had cached.
func (c *Chooser) Finished(d *Decision, cachedTokens int) {
	m := prefix.Match{Slot: d.Engine.Slot, Blocks: d.HitBlocks, Ready: d.ReadyBlocks, Age: d.Age}
	c.Index.Observe(m, cachedTokens/c.BlockTokens)
}
