package selector

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
)

// The share of an account that is over or under its fair share must bound the queue instead of the usual one,
// except for a prompt whose caller already has a part of the response.
func TestQueueShareBoundsTheQueue(t *testing.T) {
	m := CostModel{PrefillRate: 1000}
	c := []Candidate{{Entry: &fleet.Entry{}, KnownBacklog: 450}}
	for _, tc := range []struct {
		share   float64
		resumed bool
		want    bool
	}{{0, false, false}, {0.5, false, true}, {0.2, false, false}, {0.2, true, true}} {
		q := Query{PromptTokens: 17000, Objective: time.Second, QueueShare: tc.share, Resumed: tc.resumed}
		if _, ok := m.Admit(q, c, 0); ok != tc.want {
			t.Errorf("%+v: admitted %v", tc, ok)
		}
	}
}
