package gateway

import (
	"testing"
	"time"
)

// Callers refused during an outage of one second retry once each. A retry that comes
// before the outage ends would be refused again.
func TestRetryAfterOutlastsOutage(t *testing.T) {
	const (
		outage  = 1 * time.Second
		callers = 200
		budget  = 15 * time.Second // Time budget of requests with long prompts in the deployments.
	)
	lost := 0
	for i := range callers {
		refused := outage * time.Duration(i) / callers
		left := float64(budget)
		after := min(retryDelay(0, float64(i*7%callers)/callers), time.Duration(left/retryAfterDivisor))
		if refused+after < outage {
			lost++
		}
		if after > budget/3 {
			t.Fatalf("a caller with %v left is told to retry after %v, which is too long to wait", budget, after)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d callers retried before the outage had ended", lost, callers)
	}
	if queue := 3 * time.Second; retryDelay(queue, 0) < queue {
		t.Error("the retry delay is shorter than the time in which the queue drains")
	}
}
