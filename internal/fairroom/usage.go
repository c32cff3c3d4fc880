package fairroom

import (
	"math"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// ratioHalfLife is the half-life of the counts that convert quota units to prompt tokens.
	ratioHalfLife = 10 * time.Second
	// ratesMaxAge is the time for which the rates of all accounts are used again. Other VMs report
	// every 250 ms or less often.
	ratesMaxAge = 250 * time.Millisecond
)

// Usage knows how many prompt tokens the accounts use over all VMs. VMs report usage in units of
// quotas, which are tokens for some accounts and requests for others; the ratio of tokens to units
// in this VM's own calls converts them. It is safe for concurrent use.
type Usage struct {
	// units returns the rates of the accounts over all VMs, in units per second.
	units func() map[account.ID]float64

	mu       sync.Mutex
	counts   map[account.ID]counts
	rates    map[account.ID]float64
	computed time.Time
}

// counts are sums over a VM's own calls that decay with ratioHalfLife.
type counts struct {
	units, tokens float64
	at            time.Time
}

// NewUsage returns a Usage that reads the rates of the accounts, in units per second, from a function.
func NewUsage(units func() map[account.ID]float64) *Usage {
	return &Usage{units: units, counts: map[account.ID]counts{}}
}

// Charge counts a call that is charged to an account.
func (u *Usage) Charge(id account.ID, units, tokens float64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts[id]
	keep := math.Exp2(-float64(now.Sub(c.at)) / float64(ratioHalfLife))
	u.counts[id] = counts{units: keep*c.units + units, tokens: keep*c.tokens + tokens, at: now}
}

// Rates returns the accounts' rates over all VMs, in prompt tokens per second. The map must not be
// modified.
func (u *Usage) Rates(now time.Time) map[account.ID]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rates != nil && now.Sub(u.computed) < ratesMaxAge {
		return u.rates
	}
	u.computed, u.rates = now, map[account.ID]float64{}
	units := u.units()
	for id, c := range u.counts {
		if units[id] <= 0 && now.Sub(c.at) > 10*ratioHalfLife {
			delete(u.counts, id)
		}
		if units[id] > 0 && c.units > 0 && c.tokens > 0 {
			u.rates[id] = units[id] * c.tokens / c.units
		}
	}
	return u.rates
}
