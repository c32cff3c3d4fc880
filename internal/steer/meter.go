package steer

import (
	"math"
	"sync/atomic"
	"time"
)

// rateHalfLife is the half-life of the average: short compared to a burst, long compared
// to the time between two calls.
const rateHalfLife = 2 * time.Second

// Meter averages the rate of calls that a VM receives. Rate must be called from one
// goroutine; Last may be called from any.
type Meter struct {
	updatedAt time.Time
	count     int64
	rate      float64
	last      atomic.Uint64
}

// Rate updates the average with the total number of calls so far and returns it, in
// calls per second.
func (m *Meter) Rate(count int64, now time.Time) float64 {
	elapsed := now.Sub(m.updatedAt)
	if m.updatedAt.IsZero() || elapsed <= 0 {
		m.updatedAt, m.count = now, count
		return m.rate
	}
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	m.rate = keep*m.rate + (1-keep)*float64(count-m.count)/elapsed.Seconds()
	m.updatedAt, m.count = now, count
	m.last.Store(math.Float64bits(m.rate))
	return m.rate
}

// Last returns the latest result of Rate.
func (m *Meter) Last() float64 { return math.Float64frombits(m.last.Load()) }
