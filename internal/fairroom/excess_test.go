package fairroom

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

// The account that sends many times its usual load must stand behind the others, and a single one of them
// must not because it is the second largest.
func TestLargestAccountExceedsItsShare(t *testing.T) {
	rates := map[account.ID]float64{"large": 9000}
	for i := range 15 {
		rates[account.ID(fmt.Sprint(i))] = float64(200 + 100*i)
	}
	u := NewUsage(func() map[account.ID]float64 { return rates })
	now := time.Unix(1000, 0)
	for id := range rates {
		u.Charge(id, 1, 1, now)
	}
	for id := range rates {
		if got := u.Exceeds(id, now); got != (id == "large") {
			t.Errorf("account %s at %v exceeds its share: %v", id, rates[id], got)
		}
	}
	if u.Exceeds("unknown", now) || NewUsage(func() map[account.ID]float64 { return nil }).Exceeds("large", now) {
		t.Error("an account of unknown usage exceeds its share")
	}
}

// Max-min fairness divides all of the capacity: no account loses while a larger one loses nothing.
func TestFairLevelUsesTheCapacity(t *testing.T) {
	for n := range 40 {
		rates := map[account.ID]float64{}
		sum := 0.0
		for i := range n + 1 {
			r := float64((i*7919+n*104729)%1000 + 1)
			rates[account.ID(fmt.Sprint(i))], sum = r, sum+r
		}
		level, served := fairLevel(rates, contendedShare), 0.0
		for _, r := range rates {
			served += min(r, level)
		}
		if d := served - contendedShare*sum; d > 1e-6*sum || d < -1e-6*sum {
			t.Errorf("%d accounts: a level of %v serves %v of %v", n+1, level, served, contendedShare*sum)
		}
	}
}
