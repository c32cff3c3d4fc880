package route

import (
	"math"
	"sync"
	"time"
)

const (
	// importPriorTokens is the weight of the nominal rate in the estimate, as a
	// number of tokens imported at that rate. Without imports the estimate
	// returns to the nominal rate.
	importPriorTokens = 60_000
	// importTimeConstant is the time constant of the exponential decay of past
	// imports.
	importTimeConstant = 10 * time.Second
)

// ImportEstimator estimates the rate of imports from the KV cache store. Because the
// store is shared, its rate varies with the load of others; the estimate follows
// this router's own imports, weighted by their tokens. It is safe for concurrent
// use.
type ImportEstimator struct {
	mu      sync.Mutex
	nominal float64
	tokens  float64
	seconds float64
	updated time.Time
}

// NewImportEstimator returns an estimate for a store from which a single engine reads
// nominal prompt tokens per second.
func NewImportEstimator(nominal float64) *ImportEstimator { return &ImportEstimator{nominal: nominal} }

// Rate returns the expected rate of an import in tokens per second.
func (i *ImportEstimator) Rate(now time.Time) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.decay(now)
	rate := (importPriorTokens + i.tokens) / (importPriorTokens/i.nominal + i.seconds)
	return min(rate, i.nominal)
}

// Record adds an import that ended at time now and lasted took.
func (i *ImportEstimator) Record(tokens int, took time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.decay(now)
	i.tokens += float64(tokens)
	i.seconds += took.Seconds()
}

// decay reduces the weight of past imports by the time since the last update.
// The caller holds i.mu.
func (i *ImportEstimator) decay(now time.Time) {
	if !i.updated.IsZero() && now.After(i.updated) {
		weight := math.Exp(-now.Sub(i.updated).Seconds() / importTimeConstant.Seconds())
		i.tokens *= weight
		i.seconds *= weight
	}
	i.updated = now
}
