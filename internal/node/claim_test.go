package node

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/lease"
)

// Where engines don't check fencing tokens, at least one lease duration must separate the
// orders of two holders. A holder that has lost the store and sent no order is succeeded
// immediately.
func TestLeaseHolderWithoutOrdersIsSucceededImmediately(t *testing.T) {
	const term = 10 * time.Second
	store := newServerStore()
	for _, c := range []struct {
		name    string
		ordered time.Duration // Age of the last order; 0 for no order.
		wait    time.Duration
	}{
		{"no order", 0, 0},
		{"old order", 5 * time.Second, 0},
		{"recent order", time.Second, 2 * time.Second},
	} {
		holder, next := newTestVM(t, store), newTestVM(t, store)
		if c.ordered > 0 {
			at := holder.clock.Add(-c.ordered)
			holder.lastOrder.Store(&at)
		}
		holder.publishClaim(lease.Claim{Fencing: 3, Until: holder.clock}, lease.Term{Fencing: 3, Since: holder.clock.Add(-term)})
		next.receiveClaim(holder.recentClaim())
		if got := max(0, next.ordersAllowedFrom(next.clock).Sub(next.clock)); got != c.wait {
			t.Errorf("%s: the next holder sends orders after %v, want %v", c.name, got, c.wait)
		}
	}
}
