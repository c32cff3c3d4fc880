package crashcause

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/selector"
)

// With many servers down, every digest brings evidence. Deriving the convictions for each of them takes
// the processor time that requests need; they must still be derived soon.
func TestMuchEvidenceIsDerivedAtIntervals(t *testing.T) {
	now := time.Unix(1000, 0)
	var convicted int
	table := NewTable(func() time.Time { return now }, func(c Change) {
		if !c.Lifted {
			convicted++
		}
	})
	crash := func(n int) {
		runs := []Run{{Traits: Traits{Content: 1}, Sent: now}}
		for i := range 20 {
			runs = append(runs, Run{Traits: Traits{Content: Trait(1000*n + i + 2)}, Sent: now})
		}
		table.RecordCrash(selector.ServerKey{ID: backend.ID(fmt.Sprint(n))}, now, runs)
	}
	derived := map[time.Time]bool{}
	for n := range 60 {
		now = now.Add(10 * time.Millisecond)
		crash(n)
		derived[table.derivedAt] = true
	}
	if limit := 6 + 600/int(minDeriveInterval.Milliseconds()) + 1; len(derived) > limit {
		t.Errorf("convictions were derived %d times in 0.6 s, want at most %d", len(derived), limit)
	}
	now = now.Add(settleTime)
	table.Settle()
	now = now.Add(minDeriveInterval)
	table.Settle()
	if convicted == 0 {
		t.Error("a request that was on each of 60 crashed servers is not convicted")
	}
}
