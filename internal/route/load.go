package route

import (
	"sync"
	"time"
)

const (
	// maxRecentDispatches bounds the dispatches kept to correct reports that
	// were sampled before them.
	maxRecentDispatches = 128
	// rateWeight is the weight of one first token in the moving average of the
	// prefill rate.
	rateWeight = 0.05
	// maxRateFactor bounds the ratio of the estimated to the nominal prefill
	// rate, in both directions.
	maxRateFactor = 4
	// minRateTokens is the least number of computed tokens from which the
	// prefill rate is estimated.
	minRateTokens = 2048
	// levelMixWeight is the weight of one dispatch in the moving average of
	// tokens by level.
	levelMixWeight = 0.05
)

// Report is an engine's report of its load at a past time.
type Report struct {
	// Sampled is the time at which the engine sampled its load.
	Sampled time.Time
	// QueuedTokens is the number of prompt tokens not yet computed.
	QueuedTokens int
	// Running is the number of requests that generate tokens.
	Running int
	// FreeBlocks is the number of cache blocks that running requests don't use,
	// of TotalBlocks. Both are ignored if TotalBlocks is 0.
	FreeBlocks, TotalBlocks int
}

// dispatch is one request sent to the engine by this router.
type dispatch struct {
	at     time.Time
	level  Level
	tokens float64
	blocks float64
}

// Load estimates the prefill backlog of one engine: the last report, plus the
// tokens that this router has dispatched since, minus those that the engine is
// expected to have computed since. It is safe for concurrent use.
type Load struct {
	mu      sync.Mutex
	nominal float64
	rate    float64
	backlog [Levels]float64
	// levelMix is the moving average of dispatched tokens by level. Reports give
	// no levels; their queued tokens are distributed in these proportions.
	levelMix    [Levels]float64
	updated     time.Time
	running     int
	freeBlocks  float64
	totalBlocks int
	recent      []dispatch
	lastSampled time.Time
}

// NewLoad returns the load of an idle engine with a prefill rate of nominal
// tokens per second.
func NewLoad(nominal float64) *Load { return &Load{nominal: nominal, rate: nominal} }

// Estimate is the estimated state of an engine at one time.
type Estimate struct {
	// Backlog is the number of prompt tokens not yet computed, by level.
	Backlog [Levels]float64
	// Rate is the prefill rate in tokens per second.
	Rate float64
	// Running is the number of requests that generate tokens.
	Running int
	// FreeBlocks and UsedBlocks are the numbers of cache blocks that running
	// requests don't use and use.
	FreeBlocks, UsedBlocks float64
}

// TokensAhead returns the number of tokens that the engine computes before a new
// request of a level. Of a level with a larger deadline offset it includes only
// the backlog beyond the difference of the offsets, whose deadlines are earlier.
func (e *Estimate) TokensAhead(level Level) float64 {
	sum := 0.0
	for l, tokens := range e.Backlog {
		delay := max(0, deadlineOffset[l]-deadlineOffset[level])
		sum += max(0, tokens-e.Rate*delay.Seconds())
	}
	return sum
}

// Estimate returns the engine's estimated state.
func (l *Load) Estimate(now time.Time) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return Estimate{
		Backlog: l.backlog, Rate: l.rate, Running: l.running,
		FreeBlocks: l.freeBlocks, UsedBlocks: float64(l.totalBlocks) - l.freeBlocks,
	}
}

// RecordDispatch adds a dispatch with the number of tokens that the engine has
// to compute and the number of cache blocks that it has to allocate.
func (l *Load) RecordDispatch(level Level, tokens, blocks float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.backlog[level] += tokens
	l.freeBlocks -= blocks
	for i := range l.levelMix {
		l.levelMix[i] *= 1 - levelMixWeight
	}
	l.levelMix[level] += levelMixWeight * tokens
	if len(l.recent) == maxRecentDispatches {
		l.recent = append(l.recent[:0], l.recent[1:]...)
	}
	l.recent = append(l.recent, dispatch{at: now, level: level, tokens: tokens, blocks: blocks})
}

// ApplyReport applies an engine's report and adds the dispatches that it doesn't
// cover. A report that was sampled before the last applied one is ignored.
func (l *Load) ApplyReport(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sampled.Before(l.lastSampled) {
		return
	}
	l.lastSampled = r.Sampled
	l.running = r.Running
	l.freeBlocks, l.totalBlocks = float64(r.FreeBlocks), r.TotalBlocks
	l.updated = r.Sampled
	l.distribute(float64(r.QueuedTokens))
	kept := l.recent[:0]
	for _, s := range l.recent {
		if s.at.Before(r.Sampled) {
			continue
		}
		l.advance(s.at)
		l.backlog[s.level] += s.tokens
		l.freeBlocks -= s.blocks
		kept = append(kept, s)
	}
	l.recent = kept
	l.advance(now)
}

// RecordFirstToken updates the estimated prefill rate from a first token that
// arrived took after the dispatch; the engine computed tokens in this time.
func (l *Load) RecordFirstToken(tokens float64, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate += rateWeight * (tokens/took.Seconds() - l.rate)
	l.rate = min(max(l.rate, l.nominal/maxRateFactor), l.nominal*maxRateFactor)
}

// Reset clears the backlog and the estimated rate, for a new incarnation of the
// engine.
func (l *Load) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = l.nominal
	l.backlog = [Levels]float64{}
	l.running, l.freeBlocks, l.totalBlocks = 0, 0, 0
	l.recent = l.recent[:0]
}

// distribute sets the backlog to tokens, distributed over the levels in the
// proportions of levelMix, or assigned to LevelLong before the first dispatch.
// The caller holds l.mu.
func (l *Load) distribute(tokens float64) {
	sum := 0.0
	for _, t := range l.levelMix {
		sum += t
	}
	l.backlog = [Levels]float64{}
	if sum == 0 {
		l.backlog[LevelLong] = tokens
		return
	}
	for i, t := range l.levelMix {
		l.backlog[i] = tokens * t / sum
	}
}

// advance subtracts from the backlog the tokens that the engine has computed up
// to now at its estimated rate, lowest level first. The caller holds l.mu.
func (l *Load) advance(now time.Time) {
	if !now.After(l.updated) {
		return
	}
	budget := l.rate * now.Sub(l.updated).Seconds()
	l.updated = now
	for i := range l.backlog {
		done := min(budget, l.backlog[i])
		l.backlog[i] -= done
		budget -= done
	}
}
