package steer

import (
	"math"
	"sync/atomic"
	"time"
)

// rateHalfLife is the averaging time of the rate of calls: short against a burst,
// long against the time between two calls.
const rateHalfLife = 2 * time.Second

// Meter averages the rate of calls that a VM gets. Rate must be called from one
// goroutine; Last may be called from any.
type Meter struct {
	at    time.Time
	count int64
	rate  float64
	last  atomic.Uint64
}

// Rate returns the rate, in calls a second, after so many calls in all.
func (m *Meter) Rate(count int64, now time.Time) float64 {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() || elapsed <= 0 {
		m.at, m.count = now, count
		return m.rate
	}
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	m.rate = keep*m.rate + (1-keep)*float64(count-m.count)/elapsed.Seconds()
	m.at, m.count = now, count
	m.last.Store(math.Float64bits(m.rate))
	return m.rate
}

// Last returns the rate that Rate returned last.
func (m *Meter) Last() float64 { return math.Float64frombits(m.last.Load()) }
