package dispatch

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/verdict"
)

// RetryPolicy bounds the attempts of one request.
type RetryPolicy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
	// BaseBackoff is the upper bound of the second retry's delay. The bound
	// doubles with each further retry, up to MaxBackoff. The first retry is
	// made without delay.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// DefaultRetryPolicy is used if Config.Retry is not set.
var DefaultRetryPolicy = RetryPolicy{
	MaxAttempts: 4,
	BaseBackoff: 50 * time.Millisecond,
	MaxBackoff:  1 * time.Second,
}

// allows reports whether another attempt may follow attempt number n, which
// ended with failure f and verdict v.
func (p RetryPolicy) allows(n int, f Failure, v verdict.Verdict, idempotent bool) bool {
	switch f {
	case BadRequest, CallerCanceled, CallerFailed:
		return false
	}
	if n >= p.MaxAttempts {
		return false
	}
	return v == verdict.NotRun || idempotent
}

// backoff returns the delay after attempt number n. It has full jitter: random
// is in [0, 1).
func (p RetryPolicy) backoff(n int, random float64) time.Duration {
	if n <= 1 {
		return 0
	}
	bound := p.BaseBackoff
	for i := 2; i < n && bound < p.MaxBackoff; i++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, p.MaxBackoff)))
}

// RetryBudget bounds retries to a ratio of the requests. Each VM has its own.
// Since each VM earns retries only from its own requests, the retries of all VMs
// together are bounded by the same ratio of all requests, plus the reserves.
type RetryBudget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	balance float64
}

// Default retry budget of a VM.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 50
)

// NewRetryBudget returns a budget that earns ratio retries per request. It holds
// at most reserve retries, which is also its initial balance.
func NewRetryBudget(ratio, reserve float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, balance: reserve}
}

// NewEmptyRetryBudget returns a budget with an initial balance of 0.
func NewEmptyRetryBudget(ratio, reserve float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve}
}

// SetReserve changes the maximum balance. A balance above it is reduced to it.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
	b.balance = min(b.balance, reserve)
}

// Earn adds the share of a retry that one request earns.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.reserve, b.balance+b.ratio)
}

// Spend takes one retry from the balance and reports whether one was available.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// SpendSpare takes one retry from the balance for a request that has not failed, and reports
// whether one was available. It leaves half of the reserve to retries after failures.
func (b *RetryBudget) SpendSpare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance-1 < b.reserve/2 {
		return false
	}
	b.balance--
	return true
}
