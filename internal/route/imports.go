package route

import (
	"math"
	"sync"
	"time"
)

const (
	// importWeight is the weight of one import in the learnt rate.
	importWeight = 0.3
	// importRange bounds how far the learnt rate falls below the nominal one.
	importRange = 20
	// importRecovery is the time constant of the way back to the nominal rate.
	importRecovery = 10 * time.Second
)

// Imports estimates how long imports from the KV cache store take. The store
// is shared, so its rate is learnt from this router's own imports. It is safe
// for concurrent use.
type Imports struct {
	mu      sync.Mutex
	nominal float64
	rate    float64
	pending float64
	at      time.Time
}

// NewImports returns the estimate for a store that one engine reads at nominal
// prompt tokens a second. A rate of 0 means that there is no store.
func NewImports(nominal float64) *Imports { return &Imports{nominal: nominal, rate: nominal} }

// Rate returns the tokens a second and the tokens that are being imported now
// for this router.
func (i *Imports) Rate(now time.Time) (rate, pending float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recover(now)
	return i.rate, i.pending
}

// Started notes the start of an import.
func (i *Imports) Started(tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending += float64(tokens)
}

// Ended notes the end of an import. The time that it took is 0 if unknown.
func (i *Imports) Ended(tokens int, took time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = max(0, i.pending-float64(tokens))
	if tokens == 0 || took <= 0 {
		return
	}
	i.recover(now)
	i.rate += importWeight * (float64(tokens)/took.Seconds() - i.rate)
	i.rate = min(max(i.rate, i.nominal/importRange), i.nominal)
}

// recover moves the rate towards the nominal one. The caller holds i.mu.
func (i *Imports) recover(now time.Time) {
	if !i.at.IsZero() && now.After(i.at) {
		left := math.Exp(-now.Sub(i.at).Seconds() / importRecovery.Seconds())
		i.rate = i.nominal - (i.nominal-i.rate)*left
	}
	i.at = now
}
