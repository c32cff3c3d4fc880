package route

import "time"

// Candidate is an engine under consideration for a request.
type Candidate struct {
	Engine *Engine
	// Rank is the engine's position among the rendezvous choices of the prefix,
	// or Unranked.
	Rank int
	// HitBlocks is the number of leading blocks that the engine likely holds.
	HitBlocks int
	// ReadyBlocks is the number of HitBlocks that are already computed.
	ReadyBlocks int
	// Age is the time since the engine used the last of the HitBlocks.
	Age time.Duration
	// Level is the request's priority in the engine's queue.
	Level Level
	// Load is the engine's estimated state.
	Load Estimate
	// Import instructs the engine to import the blocks after the HitBlocks from
	// the KV cache store, as far as the store has them.
	Import bool
	// ImportBlocks is the number of blocks that the engine is expected to import.
	ImportBlocks int
	// Queue is the estimated wait before the prefill starts.
	Queue time.Duration
	// TTFT is the estimated time to first token.
	TTFT time.Duration
	// Score is the cost that the picker compares; lower is better.
	Score time.Duration
}

// Unranked is the rank of engines that are not among the rendezvous choices.
const Unranked = choicesPerBucket

// Weights of the default policy; see CostScorer.
const (
	DefaultMissWeight     = 1.0
	DefaultAffinityWeight = 0.25
	DefaultRunningDelay   = 2 * time.Millisecond
)

// meanBlockUse is the mean time for which a running request uses its cache
// blocks.
const meanBlockUse = 6 * time.Second

// Scorer fills in the estimates and the score of a candidate.
type Scorer interface {
	Score(r *Request, c *Candidate)
}

// CostScorer scores by the estimated time to first token plus the delay that the
// request's cache misses cause for later requests.
type CostScorer struct {
	// BlockTokens is the size of a block in tokens.
	BlockTokens int
	// MissWeight is the cost to other requests of each second that the engine
	// spends on the request's misses, in seconds.
	MissWeight float64
	// AffinityWeight is the share of the prefill time of blocks not known to be
	// cached that is deducted from the score of the first rendezvous choice:
	// another router may have sent the prefix there.
	AffinityWeight float64
	// RunningDelay is the cost of each request that generates tokens on the
	// engine.
	RunningDelay time.Duration
}

// DefaultScorer returns the scorer of the default policy.
func DefaultScorer(blockTokens int) CostScorer {
	return CostScorer{
		BlockTokens:    blockTokens,
		MissWeight:     DefaultMissWeight,
		AffinityWeight: DefaultAffinityWeight,
		RunningDelay:   DefaultRunningDelay,
	}
}

// Score implements Scorer.
func (s CostScorer) Score(r *Request, c *Candidate) {
	miss := r.PromptTokens - c.HitBlocks*s.BlockTokens
	importTokens, importTime := s.planImport(r, c)
	miss -= importTokens
	compute := seconds(float64(miss)/c.Load.Rate) + importTime
	// Blocks that are not ready count as misses for the level: a request must
	// not overtake the one that computes its prefix.
	c.Level = levelOf(r.Background, miss+(c.HitBlocks-c.ReadyBlocks)*s.BlockTokens)
	c.Queue = seconds(c.Load.TokensAhead(c.Level) / c.Load.Rate)
	c.Queue += s.blockWait(miss, &c.Load)
	c.TTFT = c.Queue + compute
	c.Score = c.TTFT + time.Duration(s.MissWeight*float64(compute))
	c.Score += time.Duration(c.Load.Running) * s.RunningDelay
	if c.Rank == 0 {
		unknown := float64((len(r.Chain) - c.HitBlocks - c.ImportBlocks) * s.BlockTokens)
		c.Score -= seconds(s.AffinityWeight * unknown / c.Load.Rate)
	}
}

// planImport decides whether the engine imports blocks that it doesn't hold,
// which it does if importing is faster than computing them. It returns the
// number of tokens that the store is expected to have and the duration of their
// import.
func (s CostScorer) planImport(r *Request, c *Candidate) (tokens int, took time.Duration) {
	if r.ImportRate <= c.Load.Rate {
		return 0, 0
	}
	c.Import = true
	c.ImportBlocks = max(0, r.ComputedBlocks-c.HitBlocks)
	tokens = c.ImportBlocks * s.BlockTokens
	return tokens, seconds(float64(tokens) / r.ImportRate)
}

// blockWait estimates how long the request waits until running requests have
// freed the cache blocks that it needs.
func (s CostScorer) blockWait(miss int, l *Estimate) time.Duration {
	if l.FreeBlocks+l.UsedBlocks == 0 {
		return 0
	}
	shortfall := float64(miss/s.BlockTokens+1) - l.FreeBlocks
	if shortfall <= 0 {
		return 0
	}
	return time.Duration(shortfall / max(l.UsedBlocks, 1) * float64(meanBlockUse))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
