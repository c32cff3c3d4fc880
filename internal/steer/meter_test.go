package steer

import (
	"math"
	"testing"
	"time"
)

func TestMeterFollowsTheRate(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	count := int64(0)
	for range 40 {
		m.Rate(count, now)
		count += 25
		now = now.Add(250 * time.Millisecond)
	}
	if got := m.Rate(count, now); math.Abs(got-100) > 5 || m.Last() != got {
		t.Errorf("rate %.1f and %.1f, want 100", got, m.Last())
	}
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		m.Rate(count, now)
	}
	if m.Last() > 5 {
		t.Errorf("rate %.1f ten seconds after the last call", m.Last())
	}
}
