package selector

import (
	"math"
	"time"
)

const (
	// usableMemoryShare is the share of an engine's memory that retains cached parts
	// which no running request uses. The rest is taken by the output of running requests
	// and by partly filled blocks.
	usableMemoryShare = 0.85
	// churnHalfLife is the half-life of the average rate of unshared tokens sent to an engine.
	churnHalfLife = 3 * time.Second
	// maxCachedParts bounds the number of parts tracked for one engine.
	maxCachedParts = 4096
)

// cachedPart is a part in an engine's memory, together with all parts before it.
type cachedPart struct {
	lastUsed time.Time
	// tokens is the length of this part alone or, if another VM reported it, of all
	// shared parts.
	tokens int
	// readyAt is when the engine is expected to have finished the prefill of the part.
	readyAt time.Time
}

// engineCache is this VM's estimate of an engine's memory since the engine's weights
// last changed. Engines evict the least recently used parts first, so a part stays
// cached as long as everything used after it fits into the memory beside it.
type engineCache struct {
	weights uint64
	parts   map[uint64]cachedPart
	// churn is the rate of unshared tokens that this VM sends, in tokens per second,
	// as of churnAt; peerChurn is the rate of all other VMs together.
	churn     float64
	churnAt   time.Time
	peerChurn float64
	// runningTokens counts the tokens of this VM's running requests, peerRunningTokens
	// those of all other VMs. Parts in use are not evicted.
	runningTokens, peerRunningTokens float64
}

func (e *engineCache) syncWeights(weights uint64) {
	if e.parts == nil || weights != e.weights || len(e.parts) > maxCachedParts {
		e.weights, e.parts = weights, map[uint64]cachedPart{}
	}
}

// churnRate returns the current rate of unshared tokens that this VM sends.
func (e *engineCache) churnRate(now time.Time) float64 {
	return e.churn * math.Exp2(-float64(now.Sub(e.churnAt))/float64(churnHalfLife))
}

// tokensUsedSince returns the estimated number of tokens that the engine has used since t.
func (e *engineCache) tokensUsedSince(t, now time.Time) float64 {
	sum := (e.churnRate(now) + e.peerChurn) * now.Sub(t).Seconds()
	for _, x := range e.parts {
		if x.lastUsed.After(t) && x.tokens >= largePartTokens {
			sum += float64(x.tokens)
		}
	}
	return sum
}

// expectedHit returns how many leading tokens of the prompt an engine with these
// weights has cached, and the time until their prefill is complete.
func (e *engineCache) expectedHit(p *Prompt, weights uint64, now time.Time) (int, time.Duration) {
	if e.weights != weights {
		return 0, 0
	}
	// A cached link implies those before it, which other VMs don't report.
	for i := len(p.chain) - 1; i >= 0; i-- {
		x, ok := e.parts[p.chain[i].hash]
		if !ok {
			continue
		}
		sum := 0
		for _, l := range p.chain[:i+1] {
			sum += l.tokens
		}
		if float64(sum)+max(e.tokensUsedSince(x.lastUsed, now), e.runningTokens+e.peerRunningTokens) <= usableMemoryShare*float64(p.EngineTokens) {
			return sum, max(0, x.readyAt.Sub(now))
		}
	}
	return 0, 0
}

// markPrefilled records that the engine has finished the prefill of the prompt.
func (e *engineCache) markPrefilled(p *Prompt, now time.Time) {
	for _, l := range p.chain {
		if x, ok := e.parts[l.hash]; ok && x.readyAt.After(now) {
			x.readyAt = now
			e.parts[l.hash] = x
		}
	}
}

// dropUnfinished removes the parts of a prompt whose prefill the engine has not finished.
func (e *engineCache) dropUnfinished(p *Prompt, now time.Time) {
	for _, l := range p.chain {
		if x, ok := e.parts[l.hash]; ok && x.readyAt.After(now) {
			delete(e.parts, l.hash)
		}
	}
}

// pressure returns the tokens that the engine used within a time, as a share of its
// usable memory. Above 1, another part evicts one that is still in use.
func (e *engineCache) pressure(p *Prompt, within time.Duration, now time.Time) float64 {
	return e.tokensUsedSince(now.Add(-within), now) / (usableMemoryShare * float64(p.EngineTokens))
}

// recordSend records that the prompt is sent to an engine which is expected to have
// its first cached tokens in memory and to finish the prefill of the rest at ready.
// It reports whether the shared parts were cached and last used within
// announceInterval, so that other VMs need no new placement.
func (e *engineCache) recordSend(p *Prompt, cached float64, weights uint64, now, ready time.Time, announceInterval time.Duration) bool {
	e.syncWeights(weights)
	announced, sum := false, 0
	for i, l := range p.chain {
		x := e.parts[l.hash]
		sum += l.tokens
		held := float64(sum) <= cached
		if i == len(p.chain)-2 {
			announced = held && now.Sub(x.lastUsed) < announceInterval
		}
		if !held || x.readyAt.IsZero() {
			x.readyAt = ready
		}
		e.parts[l.hash] = cachedPart{lastUsed: now, tokens: l.tokens, readyAt: x.readyAt}
	}
	rate := float64(p.unsharedTokens()) * math.Ln2 / churnHalfLife.Seconds()
	e.churn, e.churnAt = e.churnRate(now)+rate, now
	return announced
}
