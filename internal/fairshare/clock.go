// Package fairshare delays the requests of client accounts that send more than
// their rate, so that they don't delay others.
package fairshare

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// orderShare is the part of its rate that an account may use for long
	// without giving way to others on the engines.
	orderShare = 0.7
	// paceShare is the multiple of its rate at which an account's burst is
	// sent to the engines.
	paceShare = 1.2
	// slack is how far an account may run ahead unnoticed.
	slack = 2 * time.Second
	// maxDelay bounds a delay, so that nothing waits forever.
	maxDelay = 60 * time.Second
	// minSweep is the least number of accounts at which idle ones are dropped.
	minSweep = 1024
)

// Delays is how a request is held back.
type Delays struct {
	// Hold is the time to wait before the request is sent to an engine.
	Hold time.Duration
	// Order is the time by which it is then ordered after the requests of
	// accounts that keep to their rates.
	Order time.Duration
}

// Clocks keeps two virtual clocks for each client account: each request
// advances them by the time that its tokens take at a share of the account's
// rate (L. Zhang, "Virtual Clock", SIGCOMM 1990). It is safe for concurrent use.
type Clocks struct {
	mu       sync.Mutex
	accounts map[account.ID]clocks
	sweepAt  int
}

// clocks are the virtual times of one account.
type clocks struct{ order, pace time.Time }

// New returns clocks that all stand at the present.
func New() *Clocks {
	return &Clocks{accounts: map[account.ID]clocks{}, sweepAt: minSweep}
}

// Delays notes a request and returns its delays. The rate is in tokens a
// second.
func (c *Clocks) Delays(id account.ID, rate, tokens float64, now time.Time) Delays {
	if rate <= 0 {
		return Delays{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.accounts[id]
	d := Delays{
		Hold:  advance(&at.pace, tokens/(rate*paceShare), now),
		Order: advance(&at.order, tokens/(rate*orderShare), now),
	}
	c.accounts[id] = at
	c.sweep(now)
	return d
}

// advance moves a clock on by seconds and returns how far it was ahead.
func advance(clock *time.Time, seconds float64, now time.Time) time.Duration {
	if clock.Before(now) {
		*clock = now
	}
	ahead := clock.Sub(now)
	*clock = clock.Add(time.Duration(seconds * float64(time.Second)))
	return min(max(ahead-slack, 0), maxDelay)
}

// sweep drops the accounts whose clocks stand in the past. The caller holds
// c.mu.
func (c *Clocks) sweep(now time.Time) {
	if len(c.accounts) < c.sweepAt {
		return
	}
	for id, at := range c.accounts {
		if at.order.Before(now) && at.pace.Before(now) {
			delete(c.accounts, id)
		}
	}
	c.sweepAt = max(minSweep, 2*len(c.accounts))
}
