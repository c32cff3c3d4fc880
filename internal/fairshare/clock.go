// Package fairshare orders the requests of client accounts on the engines, so
// that an account that sends more than its rate delays itself and not others.
package fairshare

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// rateShare is the part of its rate that an account may use for long
	// without giving way to others.
	rateShare = 0.7
	// slack is how far an account may run ahead of its rate unnoticed.
	slack = 2 * time.Second
	// maxDelay bounds the delay, so that nothing waits forever.
	maxDelay = 60 * time.Second
	// minSweep is the least number of clocks at which idle ones are dropped.
	minSweep = 1024
)

// Clocks keeps one virtual clock for each client account: each request advances
// the clock by the time that its tokens take at a part of its rate (L. Zhang,
// "Virtual Clock", SIGCOMM 1990). It is safe for concurrent use.
type Clocks struct {
	mu      sync.Mutex
	clocks  map[account.ID]time.Time
	sweepAt int
}

// New returns clocks that all stand at the present.
func New() *Clocks {
	return &Clocks{clocks: map[account.ID]time.Time{}, sweepAt: minSweep}
}

// Delay notes a request and returns by how much it is to be ordered after the
// requests of accounts that keep to their rates. The rate is in tokens a
// second.
func (c *Clocks) Delay(id account.ID, rate, tokens float64, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.clocks[id]
	if at.Before(now) {
		at = now
	}
	delay := min(max(at.Sub(now)-slack, 0), maxDelay)
	at = at.Add(time.Duration(tokens / (rate * rateShare) * float64(time.Second)))
	c.clocks[id] = at
	c.sweep(now)
	return delay
}

// sweep drops the clocks that stand in the past. The caller holds c.mu.
func (c *Clocks) sweep(now time.Time) {
	if len(c.clocks) < c.sweepAt {
		return
	}
	for id, at := range c.clocks {
		if at.Before(now) {
			delete(c.clocks, id)
		}
	}
	c.sweepAt = max(minSweep, 2*len(c.clocks))
}
