// Package fairshare delays the requests of client accounts that exceed their
// rate, so that they don't slow down the requests of other accounts.
package fairshare

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// priorityRateShare is the share of its rate that an account may use
	// continuously before its requests lose priority on the engines.
	priorityRateShare = 0.7
	// pacingRateFactor is the multiple of an account's rate at which its bursts are
	// sent to the engines.
	pacingRateFactor = 1.2
	// tolerance is how far a clock may be ahead of the present without a delay.
	tolerance = 2 * time.Second
	// maxDelay limits each delay, so that no request waits forever.
	maxDelay = 60 * time.Second
	// minSweepAccounts is the lowest number of accounts at which idle ones are
	// dropped.
	minSweepAccounts = 1024
)

// Delays are the delays imposed on one request.
type Delays struct {
	// Pacing is the time to wait before the request is sent to an engine.
	Pacing time.Duration
	// Priority is added to the request's arrival time when engines order their
	// queues, so that accounts within their rate are served first.
	Priority time.Duration
}

// Clocks keeps two virtual clocks for each client account: each request
// advances them by the time that its tokens take at priorityRateShare and at
// pacingRateFactor of the account's rate (L. Zhang, "Virtual Clock", SIGCOMM
// 1990). It is safe for concurrent use.
type Clocks struct {
	mu             sync.Mutex
	accounts       map[account.ID]accountClocks
	sweepThreshold int
}

// accountClocks are the virtual times of one account.
type accountClocks struct{ priority, pacing time.Time }

// New returns Clocks without any accounts.
func New() *Clocks {
	return &Clocks{accounts: map[account.ID]accountClocks{}, sweepThreshold: minSweepAccounts}
}

// Charge advances the account's clocks for a request and returns the request's
// delays. The rate is in tokens per second; a request without one isn't delayed.
func (c *Clocks) Charge(id account.ID, rate, tokens float64, now time.Time) Delays {
	if rate <= 0 {
		return Delays{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.accounts[id]
	d := Delays{
		Pacing:   advance(&at.pacing, tokens/(rate*pacingRateFactor), now),
		Priority: advance(&at.priority, tokens/(rate*priorityRateShare), now),
	}
	c.accounts[id] = at
	c.sweep(now)
	return d
}

// advance moves a clock forward, first to now if it is behind and then by
// seconds. It returns how far the clock was ahead of now, less tolerance and at
// most maxDelay.
func advance(clock *time.Time, seconds float64, now time.Time) time.Duration {
	if clock.Before(now) {
		*clock = now
	}
	ahead := clock.Sub(now)
	*clock = clock.Add(time.Duration(seconds * float64(time.Second)))
	return min(max(ahead-tolerance, 0), maxDelay)
}

// sweep drops the accounts whose clocks are behind now. The caller holds c.mu.
func (c *Clocks) sweep(now time.Time) {
	if len(c.accounts) < c.sweepThreshold {
		return
	}
	for id, at := range c.accounts {
		if at.priority.Before(now) && at.pacing.Before(now) {
			delete(c.accounts, id)
		}
	}
	c.sweepThreshold = max(minSweepAccounts, 2*len(c.accounts))
}
