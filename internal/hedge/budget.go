package hedge

import "sync"

// MaxShare is the largest share of requests that may be hedged.
const MaxShare = 0.1

const (
	// unit is one hedge in the budget's integer arithmetic, in which sums are exact.
	unit = 1_000_000
	// maxSaved is the number of hedges that a VM may save for requests that are late together.
	// In any period, all VMs together send at most the share of its requests plus what was saved
	// before, and never more than the share of all requests since the start.
	maxSaved = 2
)

// Budget bounds the hedges for a service to a share of the requests for it. Each VM has its own,
// which begins empty and earns only from the VM's own requests. The hedges of all VMs together are
// therefore at most the share of all requests, however the requests are distributed and however
// often VMs start. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	earns   int64
	balance int64
}

// NewBudget returns an empty budget that earns a share of a hedge per request.
func NewBudget(share float64) *Budget {
	return &Budget{earns: int64(share * unit)}
}

// Earn adds the share that one request earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxSaved*unit, b.balance+b.earns)
}

// Spend takes one hedge from the budget and reports whether one was left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unit {
		return false
	}
	b.balance -= unit
	return true
}

// Return gives back a hedge that was not sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxSaved*unit, b.balance+unit)
}
