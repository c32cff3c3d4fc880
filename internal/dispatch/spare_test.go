package dispatch

import "testing"

// Sends for requests that have not failed must leave half of the reserve to retries after failures.
func TestSpareRetriesLeaveHalfOfReserve(t *testing.T) {
	b := NewRetryBudget(0.2, 10)
	spare := 0
	for b.SpendSpare() {
		spare++
	}
	retries := 0
	for b.Spend() {
		retries++
	}
	if spare != 5 || retries != 5 {
		t.Errorf("%d spare sends and %d retries of a reserve of 10, want 5 each", spare, retries)
	}
	b.SetReserve(1)
	b.Earn()
	if b.SpendSpare() {
		t.Error("a spare send although the reserve is one retry")
	}
}
