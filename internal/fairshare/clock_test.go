package fairshare

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/account"
)

var epoch = time.Unix(1_000_000, 0)

// TestOnlyAccountsOverTheirRateAreDelayed checks with random traffic that an
// account within priorityRateShare of its rate is never delayed, whatever another
// account sends, and that an account far over its rate is delayed, but by no more
// than maxDelay.
func TestOnlyAccountsOverTheirRateAreDelayed(t *testing.T) {
	const rate = 1000
	onlyFloodDelayed := func(gaps []int) bool {
		c := New()
		now := epoch
		var last Delays
		for _, ms := range gaps {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			tokens := rate * priorityRateShare * float64(ms) / 1000
			if c.Charge("steady", rate, tokens, now) != (Delays{}) {
				return false
			}
			last = c.Charge("flood", rate, 10*tokens+1000, now)
			if last.Priority > maxDelay || last.Pacing > last.Priority {
				return false
			}
		}
		return len(gaps) < 10 || last.Pacing > 0
	}
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("only the account over its rate is delayed", prop.ForAll(onlyFloodDelayed, gen.SliceOf(gen.IntRange(1, 900))))
	properties.TestingRun(t)
}

func TestIdleAccountsAreDropped(t *testing.T) {
	c := New()
	for i := range 10 * minSweepAccounts {
		c.Charge(account.ID(rune(i)), 1000, 1, epoch.Add(time.Duration(i)*time.Second))
	}
	if n := len(c.accounts); n > minSweepAccounts {
		t.Errorf("%d accounts kept, want at most %d", n, minSweepAccounts)
	}
}
