package gateway

import (
	"testing"
	"time"
)

// Plays callers of a second in which no engine takes requests, each of which comes back once:
// those that come back too early are lost.
func TestRefusedCallersComeBackWhenTheyAreServed(t *testing.T) {
	const (
		outage  = 1 * time.Second
		callers = 200
		budget  = 15 * time.Second // Of long prompts, on the deployments' sheets.
	)
	lost := 0
	for i := range callers {
		refused := outage * time.Duration(i) / callers
		left := float64(budget)
		after := min(comeBackAfter(0, float64(i*7%callers)/callers), time.Duration(left/patienceShare))
		if refused+after < outage {
			lost++
		}
		if after > budget/3 {
			t.Fatalf("a caller with %v left is asked to come back after %v, which it doesn't wait for", budget, after)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d callers were refused again", lost, callers)
	}
	if queue := 3 * time.Second; comeBackAfter(queue, 0) < queue {
		t.Error("a caller comes back before the queue has drained")
	}
}
