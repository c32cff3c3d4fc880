package prefix

import (
	"sync/atomic"
	"time"
)

const (
	initialRetention = time.Minute
	minRetention     = 2 * time.Second
	maxRetention     = 10 * time.Minute
	// missWeight is how far one contradicted entry moves the estimate.
	missWeight = 0.1
	// hitGrowth is the factor by which one confirmed old entry raises it.
	hitGrowth = 1.1
)

// retention estimates how long an engine keeps an unused block.
type retention struct{ nanos atomic.Int64 }

func newRetention() *retention {
	r := &retention{}
	r.nanos.Store(int64(initialRetention))
	return r
}

func (r *retention) get() time.Duration { return time.Duration(r.nanos.Load()) }

// missed learns that a block unused for age was no longer held.
func (r *retention) missed(age time.Duration) {
	now := r.get()
	if age >= now {
		return
	}
	next := now - time.Duration(missWeight*float64(now-age))
	r.nanos.Store(int64(max(next, minRetention)))
}

// held learns that a block unused for age was still held.
func (r *retention) held(age time.Duration) {
	now := r.get()
	if age <= now/2 {
		return
	}
	next := time.Duration(hitGrowth * float64(now))
	r.nanos.Store(int64(min(max(next, age), maxRetention)))
}
