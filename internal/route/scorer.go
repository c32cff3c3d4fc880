package route

import "time"

// Candidate is an engine under consideration for a request.
type Candidate struct {
	Engine *Engine
	// Rank is the position in the prefix's rendezvous order, or Unranked.
	Rank int
	// HitBlocks is the number of leading blocks that the engine likely holds.
	HitBlocks int
	// ReadyBlocks is the number of those that are computed already.
	ReadyBlocks int
	// Age is the time since the engine used the last of those blocks.
	Age time.Duration
	// Level is the request's place in the engine's queue.
	Level Level
	// Load is the engine's estimated state.
	Load Estimate
	// Import tells the engine to import the blocks after those from the KV
	// cache store as far as it has them.
	Import bool
	// ImportBlocks is the number of blocks that the store is expected to have.
	ImportBlocks int
	// Queue is the estimated wait before the prefill starts.
	Queue time.Duration
	// TTFT is the estimated time to first token.
	TTFT time.Duration
	// Score is the cost that the picker compares, lower is better.
	Score time.Duration
}

// Unranked is the rank of engines outside the rendezvous order.
const Unranked = choices

// Weights of the default policy; see CostScorer.
const (
	DefaultMissWeight     = 1.0
	DefaultAffinityWeight = 0.25
	DefaultRunningDelay   = 2 * time.Millisecond
)

// holdTime is the mean time for which a request uses its blocks.
const holdTime = 6 * time.Second

// Scorer fills in the estimates and the score of a candidate.
type Scorer interface {
	Score(r *Request, c *Candidate)
}

// CostScorer scores by the estimated time to first token, plus what the
// request's misses cost the requests after it.
type CostScorer struct {
	// BlockTokens is the size of a block in tokens.
	BlockTokens int
	// MissWeight is the cost to others of a second spent on recomputation.
	MissWeight float64
	// AffinityWeight is the part of a prefix's computation that the first
	// rendezvous choice is credited with when it isn't known to hold it:
	// another router may have sent the prefix there.
	AffinityWeight float64
	// RunningDelay is what each request that generates tokens adds.
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
	imported, importing := s.imports(r, c)
	miss -= imported
	compute := seconds(float64(miss)/c.Load.Rate) + importing
	// A request must not overtake the one that computes its prefix.
	c.Level = levelOf(r.Background, miss+(c.HitBlocks-c.ReadyBlocks)*s.BlockTokens)
	c.Queue = seconds(c.Load.Ahead(c.Level) / c.Load.Rate)
	c.Queue += s.memoryWait(miss, &c.Load)
	c.TTFT = c.Queue + compute
	c.Score = c.TTFT + time.Duration(s.MissWeight*float64(compute))
	c.Score += time.Duration(c.Load.Running) * s.RunningDelay
	if c.Rank == 0 {
		unknown := float64((len(r.Chain) - c.HitBlocks - c.ImportBlocks) * s.BlockTokens)
		c.Score -= seconds(s.AffinityWeight * unknown / c.Load.Rate)
	}
}

// imports decides whether the engine should import blocks that it doesn't hold,
// which is so if that is faster than computing them, and returns the tokens
// that the store is expected to have and the time that their import takes.
func (s CostScorer) imports(r *Request, c *Candidate) (tokens int, took time.Duration) {
	if r.ImportRate <= c.Load.Rate {
		return 0, 0
	}
	c.Import = true
	c.ImportBlocks = max(0, r.ComputedBlocks-c.HitBlocks)
	tokens = c.ImportBlocks * s.BlockTokens
	return tokens, seconds(float64(tokens) / r.ImportRate)
}

// memoryWait estimates how long running requests take to free the blocks that
// the request needs.
func (s CostScorer) memoryWait(miss int, l *Estimate) time.Duration {
	if l.FreeBlocks+l.UsedBlocks == 0 {
		return 0
	}
	lack := float64(miss/s.BlockTokens+1) - l.FreeBlocks
	if lack <= 0 {
		return 0
	}
	return time.Duration(lack / max(l.UsedBlocks, 1) * float64(holdTime))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
