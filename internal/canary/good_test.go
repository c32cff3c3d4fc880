package canary

import (
	"testing"
	"time"
)

// A good version must complete within the duration, also while faults meet both versions: a verdict
// that compared the new version with calm times would roll it back.
func TestGoodVersionCompletes(t *testing.T) {
	for name, set := range map[string]func(s *sim){
		"calm": func(*sim) {},
		"1 % failures and a long tail of both": func(s *sim) {
			s.answers = func(int, bool, time.Duration, float64) answer {
				if s.rng.Float64() < 0.05 {
					return answer{latency: 800 * time.Millisecond}
				}
				return answer{failed: s.rng.Float64() < 0.01}
			}
		},
		"a gray server of each version": func(s *sim) {
			s.answers = func(int, bool, time.Duration, float64) answer {
				if s.rng.IntN(4) == 0 {
					return answer{latency: 400*time.Millisecond + s.healthyLatency()}
				}
				return answer{}
			}
		},
		// At a time of its own, a server of each version fails all that it gets for a moment.
		"crashes": func(s *sim) {
			s.answers = func(_ int, n bool, at time.Duration, _ float64) answer {
				begin := 4 * time.Second
				if n {
					begin = part(s.order.Duration, 0.68)
				}
				return answer{failed: at > begin && at < begin+120*time.Millisecond && s.rng.IntN(4) == 0}
			}
		},
		"a burst at half of the load": func(s *sim) {
			calm, begin := s.rate(0), part(s.order.Duration, 0.6)
			s.rate = func(at time.Duration) float64 {
				if at > begin {
					return 2 * calm
				}
				return calm
			}
			s.answers = func(_ int, _ bool, at time.Duration, _ float64) answer {
				if at > begin {
					return answer{failed: s.rng.Float64() < 0.1, latency: 5 * s.healthyLatency()}
				}
				return answer{}
			}
		},
		"weights loaded by all servers": func(s *sim) {
			s.answers = func(_ int, _ bool, at time.Duration, _ float64) answer {
				if at.Milliseconds()%3000 < 1000 {
					return answer{latency: 4 * s.healthyLatency()}
				}
				return answer{}
			}
		},
		"lost messages":         func(s *sim) { s.lossy = 0.2 },
		"a VM that starts late": func(s *sim) { s.vms[0].from = part(s.order.Duration, 0.8) },
		"a VM that is cut off":  func(s *sim) { s.vms[0].cutFrom, s.vms[0].cut = 3*time.Second, time.Hour },
		"a new holder":          func(s *sim) { s.restartAt, s.holderless = part(s.order.Duration, 0.4), 2*time.Second },
		"next to no traffic":    func(s *sim) { s.rate = func(time.Duration) float64 { return 0.5 } },
	} {
		for _, load := range loads {
			t.Run(name, func(t *testing.T) {
				s := newSim(1, load.vms, load.rate, load.duration)
				set(s)
				s.run().expect(t, Completed)
			})
		}
	}
}
