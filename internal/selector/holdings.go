package selector

import (
	"math"
	"time"
)

const (
	// usableMemory is the share of an engine's memory that keeps parts which no
	// request uses at the moment. The rest is for the answers of running requests
	// and the ends of blocks.
	usableMemory = 0.85
	// churnHalfLife is the averaging time of the tokens that an engine gets.
	churnHalfLife = 3 * time.Second
	// maxHoldings bounds the parts remembered of one engine.
	maxHoldings = 4096
)

// holding is a part in an engine's memory, with all parts before it.
type holding struct {
	used time.Time
	// tokens is the length of the part alone, or of all shared parts if another
	// VM told of it.
	tokens int
	// ready is when the engine is expected to have read the part.
	ready time.Time
}

// holdings is what this VM believes of an engine's memory since the engine's
// weights last changed. Engines drop what was used least recently, so a part is
// there as long as what was used after it fits into the memory beside it.
type holdings struct {
	weights uint64
	parts   map[uint64]holding
	// churn is the rate of unshared tokens that this VM sends, in tokens a
	// second, as of churnAt; peers is that of all other VMs.
	churn   float64
	churnAt time.Time
	peers   float64
	// running are the tokens of this VM's running requests, peersRunning those
	// of all other VMs. Parts in use are not dropped.
	running, peersRunning float64
}

func (h *holdings) sync(weights uint64) {
	if h.parts == nil || weights != h.weights || len(h.parts) > maxHoldings {
		h.weights, h.parts = weights, map[uint64]holding{}
	}
}

// churnRate returns the rate of unshared tokens that this VM sends.
func (h *holdings) churnRate(now time.Time) float64 {
	return h.churn * math.Exp2(-float64(now.Sub(h.churnAt))/float64(churnHalfLife))
}

// usedSince returns the tokens that the engine has used since a time.
func (h *holdings) usedSince(t, now time.Time) float64 {
	sum := (h.churnRate(now) + h.peers) * now.Sub(t).Seconds()
	for _, x := range h.parts {
		if x.used.After(t) && x.tokens >= keepFrom {
			sum += float64(x.tokens)
		}
	}
	return sum
}

// expect returns how many leading tokens of the prompt an engine with these
// weights holds, and in what time it will have read them.
func (h *holdings) expect(p *Prompt, weights uint64, now time.Time) (int, time.Duration) {
	if h.weights != weights {
		return 0, 0
	}
	// A link implies those before it, which other VMs don't name.
	for i := len(p.chain) - 1; i >= 0; i-- {
		x, ok := h.parts[p.chain[i].hash]
		if !ok {
			continue
		}
		sum := 0
		for _, l := range p.chain[:i+1] {
			sum += l.tokens
		}
		if float64(sum)+max(h.usedSince(x.used, now), h.running+h.peersRunning) <= usableMemory*float64(p.EngineTokens) {
			return sum, max(0, x.ready.Sub(now))
		}
	}
	return 0, 0
}

// read notes that the engine has read the prompt.
func (h *holdings) read(p *Prompt, now time.Time) {
	for _, l := range p.chain {
		if x, ok := h.parts[l.hash]; ok && x.ready.After(now) {
			x.ready = now
			h.parts[l.hash] = x
		}
	}
}

// drop forgets the parts of a prompt that the engine has not read.
func (h *holdings) drop(p *Prompt, now time.Time) {
	for _, l := range p.chain {
		if x, ok := h.parts[l.hash]; ok && x.ready.After(now) {
			delete(h.parts, l.hash)
		}
	}
}

// pressure returns the tokens that the engine used within a time, as a share of
// its memory. Above 1 a further part drives out one that is still in use.
func (h *holdings) pressure(p *Prompt, within time.Duration, now time.Time) float64 {
	return h.usedSince(now.Add(-within), now) / (usableMemory * float64(p.EngineTokens))
}

// add notes that an engine gets the prompt, of which it is expected to hold the
// first tokens, and will have read the rest at a time. It reports whether it held
// the shared parts and others were told lately.
func (h *holdings) add(p *Prompt, cached float64, weights uint64, now, ready time.Time, tellAgain time.Duration) bool {
	h.sync(weights)
	told, sum := false, 0
	for i, l := range p.chain {
		x := h.parts[l.hash]
		sum += l.tokens
		held := float64(sum) <= cached
		if i == len(p.chain)-2 {
			told = held && now.Sub(x.used) < tellAgain
		}
		if !held || x.ready.IsZero() {
			x.ready = ready
		}
		h.parts[l.hash] = holding{used: now, tokens: l.tokens, ready: x.ready}
	}
	rate := float64(p.ownTokens()) * math.Ln2 / churnHalfLife.Seconds()
	h.churn, h.churnAt = h.churnRate(now)+rate, now
	return told
}
