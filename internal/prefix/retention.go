package prefix

import (
	"sync/atomic"
	"time"
)

const (
	initialRetention = time.Minute
	minRetention     = 2 * time.Second
	maxRetention     = 10 * time.Minute
	// missWeight is the share of the difference by which an entry that was
	// evicted earlier than estimated lowers the estimate.
	missWeight = 0.1
	// hitGrowth is the factor by which a hit on an entry older than half the
	// estimate raises it.
	hitGrowth = 1.1
)

// retention is the estimated time for which an engine keeps an unused block.
type retention struct{ nanos atomic.Int64 }

func newRetention() *retention {
	r := &retention{}
	r.nanos.Store(int64(initialRetention))
	return r
}

func (r *retention) get() time.Duration { return time.Duration(r.nanos.Load()) }

// recordMiss lowers the estimate if it exceeds age: an engine no longer held a
// block unused for age.
func (r *retention) recordMiss(age time.Duration) {
	now := r.get()
	if age >= now {
		return
	}
	next := now - time.Duration(missWeight*float64(now-age))
	r.nanos.Store(int64(max(next, minRetention)))
}

// recordHit raises the estimate if age is more than half of it: an engine still
// held a block unused for age.
func (r *retention) recordHit(age time.Duration) {
	now := r.get()
	if age <= now/2 {
		return
	}
	next := time.Duration(hitGrowth * float64(now))
	r.nanos.Store(int64(min(max(next, age), maxRetention)))
}
