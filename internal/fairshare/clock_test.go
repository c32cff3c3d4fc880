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

// TestDelay checks for random traffic that an account that keeps to its share
// is never delayed, whatever another account sends, and that the other one is
// delayed once it has sent much more, but not beyond the bound.
func TestDelay(t *testing.T) {
	const rate = 1000
	holds := func(gaps []int) bool {
		c := New()
		now := epoch
		var last Delays
		for _, ms := range gaps {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			tokens := rate * orderShare * float64(ms) / 1000
			if c.Delays("steady", rate, tokens, now) != (Delays{}) {
				return false
			}
			last = c.Delays("flood", rate, 10*tokens+1000, now)
			if last.Order > maxDelay || last.Hold > last.Order {
				return false
			}
		}
		return len(gaps) < 10 || last.Hold > 0
	}
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("only the sender is delayed", prop.ForAll(holds, gen.SliceOf(gen.IntRange(1, 900))))
	properties.TestingRun(t)
}

func TestSweep(t *testing.T) {
	c := New()
	for i := range 10 * minSweep {
		c.Delays(account.ID(rune(i)), 1000, 1, epoch.Add(time.Duration(i)*time.Second))
	}
	if n := len(c.accounts); n > minSweep {
		t.Errorf("%d clocks are kept, want at most %d", n, minSweep)
	}
}
