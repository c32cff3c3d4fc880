package health

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/backend"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestBreaker(t *testing.T) {
	fail := func(ms int) func(Breaker) Breaker {
		return func(b Breaker) Breaker { return b.Failed(at(ms), at(ms), false, 0.5) }
	}
	start := func(ms int) func(Breaker) Breaker {
		return func(b Breaker) Breaker { return b.Started(at(ms)) }
	}
	seen := func(ms int, inc backend.Incarnation) func(Breaker) Breaker {
		return func(b Breaker) Breaker { return b.Seen(at(ms), at(ms), inc) }
	}
	fatal := func(b Breaker) Breaker { return b.Failed(at(0), at(0), true, 0.5) }
	old := func(b Breaker) Breaker { return b.Failed(at(2000), at(10), true, 0.5) }
	tests := []struct {
		desc  string
		steps []func(Breaker) Breaker
		now   int
		allow bool
		share float64
	}{
		{"unknown server is allowed", nil, 0, true, 1},
		{"two failures leave it closed", []func(Breaker) Breaker{fail(0), fail(1)}, 2, true, 1},
		{"three failures open it", []func(Breaker) Breaker{fail(0), fail(1), fail(2)}, 3, false, 1},
		{"a refused connection opens it", []func(Breaker) Breaker{fatal}, 3, false, 1},
		{"a success between failures keeps it closed", []func(Breaker) Breaker{fail(0), fail(1), Breaker.Answered, fail(2)}, 3, true, 1},
		{"half open allows a probe", []func(Breaker) Breaker{fatal}, 300, true, 1},
		{"one probe at a time", []func(Breaker) Breaker{fatal, start(300)}, 301, false, 1},
		{"a probe without a result is abandoned", []func(Breaker) Breaker{fatal, start(300)}, 2301, true, 1},
		{"a failed probe opens it longer", []func(Breaker) Breaker{fatal, start(300), fail(310)}, 310 + 300, false, 1},
		{"a successful probe closes it", []func(Breaker) Breaker{fatal, start(300), Breaker.Answered}, 301, true, 1},
		{"a new incarnation closes it and starts slowly", []func(Breaker) Breaker{seen(0, "a"), fatal, seen(1000, "b")}, 1000, true, minSlowStartShare},
		{"half way through the slow start", []func(Breaker) Breaker{seen(0, "a"), seen(1000, "b")}, 6000, true, 0.55},
		{"after the slow start", []func(Breaker) Breaker{seen(0, "a"), seen(1000, "b")}, 11000, true, 1},
		{"failures of the old incarnation are ignored", []func(Breaker) Breaker{seen(0, "a"), seen(1000, "b"), old}, 2000, true, 0.19},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var b Breaker
			for _, step := range tt.steps {
				b = step(b)
			}
			share := b.Share(at(tt.now))
			if b.Allows(at(tt.now)) != tt.allow || share < tt.share-1e-9 || share > tt.share+1e-9 {
				t.Errorf("allows %v, share %v", b.Allows(at(tt.now)), share)
			}
		})
	}
}

// TestBreakerBounds checks over random histories that a server that always fails is
// tried at most once per open time, and that it is tried again within the longest open
// time.
func TestBreakerBounds(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("attempts at a failing server are bounded", prop.ForAll(
		func(gaps []int, jitter float64) bool {
			var b Breaker
			now, tried, last := 0, 0, 0
			for _, gap := range gaps {
				now += gap
				if b.Allows(at(now)) {
					b = b.Started(at(now)).Failed(at(now), at(now), false, jitter)
					tried++
					last = now
				} else if now-last > int(maxOpenTime/time.Millisecond) {
					return false
				}
			}
			// Open times are at least 125, 250, 500, ... ms, then 4 s.
			return tried <= failureThreshold+6+now/int(maxOpenTime/2/time.Millisecond)
		},
		gen.SliceOfN(400, gen.IntRange(0, 100)), gen.Float64Range(0, 0.999),
	))
	properties.TestingRun(t)
}

func TestGrade(t *testing.T) {
	table := NewTable()
	table.Update("dead", func(b Breaker) Breaker { return b.Failed(at(0), at(0), true, 0.5) })
	table.Update("back", func(b Breaker) Breaker { return b.Seen(at(0), at(0), "a").Seen(at(1), at(1), "b") })
	tests := []struct {
		desc string
		id   backend.ID
		draw float64
		want Grade
	}{
		{"unknown server", "new", 0.99, Ready},
		{"open breaker", "dead", 0, BreakerOpen},
		{"slow start, low draw", "back", 0.05, Ready},
		{"slow start, high draw", "back", 0.5, SlowStarting},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := table.Get(tt.id).Grade(at(2), tt.draw); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
