package route

import (
	"sync"
	"time"
)

const (
	// maxRecent bounds the dispatches kept to correct lagging reports.
	maxRecent = 128
	// rateWeight is the weight of one reply in the learnt prefill rate.
	rateWeight = 0.05
	// rateRange bounds the learnt rate relative to the configured one.
	rateRange = 4
	// minRateTokens is the least work that a rate is learnt from.
	minRateTokens = 2048
	// mixWeight is the weight of one dispatch in the mix of levels.
	mixWeight = 0.05
)

// Report is an engine's own account of its load at a past time.
type Report struct {
	// Sampled is when the state was taken.
	Sampled time.Time
	// QueuedTokens are prompt tokens not yet computed.
	QueuedTokens int
	// Running is the number of requests that generate tokens.
	Running int
	// FreeBlocks is the number of cache blocks that running requests don't use.
	// It counts if TotalBlocks is not 0.
	FreeBlocks, TotalBlocks int
}

// send is one dispatch by this router.
type send struct {
	at     time.Time
	level  Level
	tokens float64
	blocks float64
}

// Load estimates the prefill backlog of one engine: the last report, corrected
// by what this router has sent since and by what the engine has computed since.
// It is safe for concurrent use.
type Load struct {
	mu      sync.Mutex
	nominal float64
	rate    float64
	backlog [Levels]float64
	// mix is the mean of dispatched tokens by level. Reports don't tell levels
	// apart; their tokens are split by the mix.
	mix      [Levels]float64
	at       time.Time
	running  int
	free     float64 // blocks
	total    int
	recent   []send
	reported time.Time
}

// NewLoad returns the load of an idle engine that computes nominal prompt
// tokens a second.
func NewLoad(nominal float64) *Load { return &Load{nominal: nominal, rate: nominal} }

// Estimate is the state of an engine at one moment.
type Estimate struct {
	// Backlog are the prompt tokens not yet computed, by level.
	Backlog [Levels]float64
	// Rate is the prefill rate in tokens a second.
	Rate float64
	// Running is the number of requests that generate tokens.
	Running int
	// FreeBlocks and UsedBlocks are the cache blocks that running requests
	// leave and use.
	FreeBlocks, UsedBlocks float64
}

// Ahead returns the tokens that are computed before a new request of a level.
// Of later levels it is what has waited for longer than they give way.
func (e *Estimate) Ahead(level Level) float64 {
	sum := 0.0
	for l, tokens := range e.Backlog {
		gives := max(0, allowance[l]-allowance[level])
		sum += max(0, tokens-e.Rate*gives.Seconds())
	}
	return sum
}

// Estimate returns the engine's state.
func (l *Load) Estimate(now time.Time) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return Estimate{
		Backlog: l.backlog, Rate: l.rate, Running: l.running,
		FreeBlocks: l.free, UsedBlocks: float64(l.total) - l.free,
	}
}

// Sent notes a dispatch with tokens that the engine has to compute and blocks
// that it has to find room for.
func (l *Load) Sent(level Level, tokens, blocks float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.backlog[level] += tokens
	l.free -= blocks
	for i := range l.mix {
		l.mix[i] *= 1 - mixWeight
	}
	l.mix[level] += mixWeight * tokens
	if len(l.recent) == maxRecent {
		l.recent = append(l.recent[:0], l.recent[1:]...)
	}
	l.recent = append(l.recent, send{at: now, level: level, tokens: tokens, blocks: blocks})
}

// Reported takes in an engine's report. Reports that are older than the last
// one are ignored.
func (l *Load) Reported(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sampled.Before(l.reported) {
		return
	}
	l.reported = r.Sampled
	l.running = r.Running
	l.free, l.total = float64(r.FreeBlocks), r.TotalBlocks
	l.at = r.Sampled
	l.split(float64(r.QueuedTokens))
	kept := l.recent[:0]
	for _, s := range l.recent {
		if s.at.Before(r.Sampled) {
			continue
		}
		l.advance(s.at)
		l.backlog[s.level] += s.tokens
		l.free -= s.blocks
		kept = append(kept, s)
	}
	l.recent = kept
	l.advance(now)
}

// Answered learns the prefill rate from a first token: tokens were computed in
// the time between the dispatch and the token.
func (l *Load) Answered(tokens float64, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate += rateWeight * (tokens/took.Seconds() - l.rate)
	l.rate = min(max(l.rate, l.nominal/rateRange), l.nominal*rateRange)
}

// Reset forgets all work, for an engine that came back with a new incarnation.
func (l *Load) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = l.nominal
	l.backlog = [Levels]float64{}
	l.running, l.free, l.total = 0, 0, 0
	l.recent = l.recent[:0]
}

// split sets the backlog to tokens by the mix of levels. The caller holds l.mu.
func (l *Load) split(tokens float64) {
	sum := 0.0
	for _, t := range l.mix {
		sum += t
	}
	l.backlog = [Levels]float64{}
	if sum == 0 {
		l.backlog[LevelLong] = tokens
		return
	}
	for i, t := range l.mix {
		l.backlog[i] = tokens * t / sum
	}
}

// advance drains the backlog up to now, the lowest level first. The caller
// holds l.mu.
func (l *Load) advance(now time.Time) {
	if !now.After(l.at) {
		return
	}
	budget := l.rate * now.Sub(l.at).Seconds()
	l.at = now
	for i := range l.backlog {
		done := min(budget, l.backlog[i])
		l.backlog[i] -= done
		budget -= done
	}
}
