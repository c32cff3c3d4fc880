// Package membudget bounds the memory that a process holds for its clients.
package membudget

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reclaimInterval is the time between two calls of Reclaim by a reservation that waits.
const reclaimInterval = 100 * time.Millisecond

// ErrExhausted means that a reservation doesn't fit into the budget.
var ErrExhausted = errors.New("memory budget exhausted")

// Kind says what memory is held for.
type Kind uint8

// The kinds of memory.
const (
	Head Kind = iota
	Body
	Response
	kinds
)

// String returns the name of a kind in metrics.
func (k Kind) String() string { return [kinds]string{"head", "body", "response"}[k] }

// Options sets the size of a Budget.
type Options struct {
	// Total is the number of bytes that may be held.
	Total int64
	// Small is the size up to which a reservation may use the whole budget. Larger ones leave
	// KeptForSmall bytes free, so that they don't block the small ones.
	Small, KeptForSmall int64
}

// Budget counts the bytes that are held. It is safe for concurrent use.
type Budget struct {
	opts Options
	// reclaims are called without a lock when bytes are missing.
	reclaims []func()

	mu   sync.Mutex
	held [kinds]int64
	sum  int64
	// freed is closed when bytes are released; nil while nobody waits.
	freed chan struct{}
}

// New returns a budget of which nothing is held.
func New(opts Options) *Budget { return &Budget{opts: opts} }

// AddReclaim adds a function that makes holders give up bytes soon. It must be added before the first
// reservation, and must not wait for other reservations.
func (b *Budget) AddReclaim(f func()) { b.reclaims = append(b.reclaims, f) }

// Reclaim makes holders give up bytes soon.
func (b *Budget) Reclaim() {
	for _, f := range b.reclaims {
		f()
	}
}

// Held returns the bytes that are held for a kind.
func (b *Budget) Held(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// Reservation is the memory held for one purpose. It isn't safe for concurrent use.
type Reservation struct {
	budget *Budget
	kind   Kind
	size   int64
}

// Open returns an empty reservation.
func (b *Budget) Open(k Kind) *Reservation { return &Reservation{budget: b, kind: k} }

// Size returns the bytes that are reserved.
func (r *Reservation) Size() int64 { return r.size }

// TryGrow adds n bytes if they fit.
func (r *Reservation) TryGrow(n int64) bool {
	ok, _ := r.grow(n, false)
	return ok
}

// grow adds n bytes if they fit. Otherwise it returns a channel that is closed when bytes are
// released, if wait is set.
func (r *Reservation) grow(n int64, wait bool) (bool, <-chan struct{}) {
	b := r.budget
	limit := b.opts.Total
	if r.size+n > b.opts.Small {
		limit -= b.opts.KeptForSmall
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sum+n <= limit {
		b.sum += n
		b.held[r.kind] += n
		r.size += n
		return true, nil
	}
	if wait && b.freed == nil {
		b.freed = make(chan struct{})
	}
	return false, b.freed
}

// Grow adds n bytes. It waits at most for the given time for others to release theirs.
func (r *Reservation) Grow(ctx context.Context, n int64, wait time.Duration) error {
	if r.TryGrow(n) {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	again := time.NewTicker(reclaimInterval)
	defer again.Stop()
	for {
		r.budget.Reclaim() // Repeated, as holders may stop making progress meanwhile.
		ok, freed := r.grow(n, true)
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-again.C:
		case <-timer.C:
			return errors.WithStack(ErrExhausted)
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// Shrink releases n bytes, at most those that are reserved.
func (r *Reservation) Shrink(n int64) {
	n = min(n, r.size)
	if n <= 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.size -= n
	b.sum -= n
	b.held[r.kind] -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Close releases all bytes. It may be called more than once.
func (r *Reservation) Close() { r.Shrink(r.size) }
