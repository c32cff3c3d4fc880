package fairroom

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

// contendedShare is the share of what all accounts use lately that engines are assumed to serve in time
// once requests queue there. Max-min fairness takes what is missing from the largest accounts.
const contendedShare = 0.8

// Exceeds reports whether an account uses more than its max-min fair share of what engines whose slots are
// all in use can serve. It answers the load of one account that sends many times its usual short
// requests: they queue at the engines in front of everybody else's.
func (u *Usage) Exceeds(id account.ID, now time.Time) bool {
	rates := u.Rates(now)
	rate := rates[id]
	return rate > 0 && rate > fairLevel(rates, contendedShare)
}

// fairLevel returns the rate up to which accounts are served if a share of the sum of all rates is
// divided by max-min fairness.
func fairLevel(rates map[account.ID]float64, share float64) float64 {
	ordered := make([]float64, 0, len(rates))
	left := 0.0
	for _, r := range rates {
		ordered = append(ordered, r)
		left += share * r
	}
	slices.Sort(ordered)
	for i, r := range ordered {
		if level := left / float64(len(ordered)-i); r > level {
			return level
		}
		left -= r
	}
	return left
}
