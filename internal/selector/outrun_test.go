package selector

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
)

// A slow server whose requests are canceled because others answer sooner must not keep the latency of its
// fast responses, and a request that was canceled early must not make it look faster.
func TestOutrunRequestRaisesLatency(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Second, func() time.Time { return now })
	c := Candidate{Entry: &fleet.Entry{ID: "s"}}
	outrun := func(after time.Duration) time.Duration {
		r := table.Begin(&c, nil, 1)
		now = now.Add(after)
		r.Outrun()
		r.End(Neutral)
		table.Fill(&c, nil)
		return c.Latency
	}
	if got := outrun(defaultLatency / 3); got != defaultLatency {
		t.Errorf("latency %v after a request that was canceled early, want %v", got, defaultLatency)
	}
	for range 20 {
		outrun(300 * time.Millisecond)
	}
	if got := outrun(300 * time.Millisecond); got < 200*time.Millisecond || got > 300*time.Millisecond {
		t.Errorf("latency %v after requests that took more than 300 ms", got)
	}
}
