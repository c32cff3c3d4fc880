package route

import (
	"math"
	"sync"
	"time"
)

const (
	// importPrior is how many tokens at the nominal rate the learnt rate starts
	// with, and how many it returns to without imports.
	importPrior = 60_000
	// importMemory is the time constant with which past imports fade.
	importMemory = 10 * time.Second
)

// Imports estimates how fast the KV cache store answers. The store is shared,
// so its rate is learnt from this router's own imports, weighted by their
// tokens. It is safe for concurrent use.
type Imports struct {
	mu      sync.Mutex
	nominal float64
	tokens  float64
	seconds float64
	at      time.Time
}

// NewImports returns the estimate for a store that one engine reads at nominal
// prompt tokens a second.
func NewImports(nominal float64) *Imports { return &Imports{nominal: nominal} }

// Rate returns the tokens a second at which an import is expected to run.
func (i *Imports) Rate(now time.Time) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fade(now)
	rate := (importPrior + i.tokens) / (importPrior/i.nominal + i.seconds)
	return min(rate, i.nominal)
}

// Ended notes an import and the time that it took.
func (i *Imports) Ended(tokens int, took time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fade(now)
	i.tokens += float64(tokens)
	i.seconds += took.Seconds()
}

// fade weighs past imports less. The caller holds i.mu.
func (i *Imports) fade(now time.Time) {
	if !i.at.IsZero() && now.After(i.at) {
		left := math.Exp(-now.Sub(i.at).Seconds() / importMemory.Seconds())
		i.tokens *= left
		i.seconds *= left
	}
	i.at = now
}
