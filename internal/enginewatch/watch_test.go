package enginewatch

import (
	"testing"
	"time"
)

func TestPollInterval(t *testing.T) {
	tests := []struct {
		desc      string
		used, all int
		inUse     bool
		want      time.Duration
	}{
		{"few engines, all in use", 3, 3, true, minPollInterval},
		{"today's size, all in use", 20, 20, true, 1250 * time.Millisecond},
		{"many engines, in use", 48, 600, true, 3 * time.Second},
		{"many engines, not in use", 48, 600, false, 138 * time.Second},
		{"all idle at today's size", 0, 20, false, 1250 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			if got := pollInterval(tc.used, tc.all, tc.inUse); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPollBudget checks the reports a second for every number of engines in use.
func TestPollBudget(t *testing.T) {
	const most = maxPollsPerSecond + minIdlePollsPerSecond
	for _, all := range []int{3, 20, 600} {
		for used := range all + 1 {
			busy := float64(used) / pollInterval(used, all, true).Seconds()
			idle := float64(all-used) / pollInterval(used, all, false).Seconds()
			if busy+idle > most+0.1 {
				t.Errorf("%d of %d in use: %.1f reports a second, want at most %d", used, all, busy+idle, most)
			}
		}
	}
}
