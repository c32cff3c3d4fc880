package canary

import (
	"testing"
	"time"
)

var loads = []struct {
	vms      int
	rate     float64
	duration time.Duration
}{{8, 130, 12 * time.Second}, {78, 600, 12 * time.Second}, {20, 60, 30 * time.Second}}

// Each of these versions must be rolled back within the exposure and the delay. The faults are those
// that the requirements name.
func TestBadVersionIsRolledBack(t *testing.T) {
	slow := 3 * 50 * time.Millisecond
	for name, bad := range map[string]func(s *sim) func(int, bool, time.Duration, float64) answer{
		"5 % failures": func(s *sim) func(int, bool, time.Duration, float64) answer {
			return func(_ int, n bool, _ time.Duration, _ float64) answer {
				return answer{failed: n && s.rng.Float64() < 0.05}
			}
		},
		"3x latency": func(s *sim) func(int, bool, time.Duration, float64) answer {
			return func(_ int, n bool, _ time.Duration, _ float64) answer {
				if n {
					return answer{latency: 3 * s.healthyLatency()}
				}
				return answer{}
			}
		},
		"a third slow": func(s *sim) func(int, bool, time.Duration, float64) answer {
			return func(_ int, n bool, _ time.Duration, _ float64) answer {
				if n && s.rng.Float64() < 0.33 {
					return answer{latency: 2*slow + s.healthyLatency()}
				}
				return answer{}
			}
		},
		"10 % failures from half of the load on": func(s *sim) func(int, bool, time.Duration, float64) answer {
			return func(_ int, n bool, _ time.Duration, share float64) answer {
				return answer{failed: n && share > 0.35 && s.rng.Float64() < 0.1}
			}
		},
		"20 % failures on one route": func(s *sim) func(int, bool, time.Duration, float64) answer {
			return func(route int, n bool, _ time.Duration, _ float64) answer {
				return answer{failed: n && route == 2 && s.rng.Float64() < 0.2}
			}
		},
	} {
		for _, load := range loads {
			t.Run(name, func(t *testing.T) {
				s := newSim(1, load.vms, load.rate, load.duration)
				s.answers = bad(s)
				s.run().expect(t, RolledBack)
			})
		}
	}
}
