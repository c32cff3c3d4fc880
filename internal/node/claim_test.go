package node

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/lease"
)

// Where engines don't check fencing tokens, the orders of two holders must not come within the
// time of a lease. A holder that is cut off from the store and gave no order is followed at
// once.
func TestHolderThatGaveNoOrderIsFollowedAtOnce(t *testing.T) {
	const term = 10 * time.Second
	store := newServerStore()
	for _, c := range []struct {
		name    string
		ordered time.Duration // Before now; 0 for no order.
		wait    time.Duration
	}{
		{"no order", 0, 0},
		{"an order long ago", 5 * time.Second, 0},
		{"an order lately", time.Second, 2 * time.Second},
	} {
		holder, next := newTestVM(t, store), newTestVM(t, store)
		if c.ordered > 0 {
			at := holder.at.Add(-c.ordered)
			holder.lastOrder.Store(&at)
		}
		holder.ownClaim(lease.Claim{Fencing: 3, Until: holder.at}, lease.Term{Fencing: 3, Since: holder.at.Add(-term)})
		next.heardClaim(holder.lastClaim())
		if got := max(0, next.ordersFrom(next.at).Sub(next.at)); got != c.wait {
			t.Errorf("%s: the next holder gives orders after %v, want %v", c.name, got, c.wait)
		}
	}
}
