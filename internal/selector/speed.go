package selector

import (
	"math"
	"time"

	"papayaspan.dev/papayaspan/internal/serverspeed"
)

const (
	// minRateSampleTokens is the prefill length from which a request is a sample of the
	// engines' prefill rate. maxOverheadSampleTokens is the length up to which it is a
	// sample of the time to the first token without the prefill.
	minRateSampleTokens     = 4096
	maxOverheadSampleTokens = 1024
	// speedSmoothing is the weight of a new sample in the moving averages.
	speedSmoothing = 0.05
	// minRateShare and maxRateShare bound the estimated rate, as shares of the nominal
	// one: a prefill behind an unknown queue looks slow.
	minRateShare = 0.4
	maxRateShare = 1.5
	// prefillMargin is the factor by which a prefill is assumed to exceed its expected
	// time until it is known to be complete. A request that counts on it too early repeats
	// the prefill.
	prefillMargin = 1.3
)

// prefillSpeed is the measured prefill speed of the engines. Its samples are the times
// to the first event of requests that had next to no queue ahead of them.
type prefillSpeed struct {
	// overhead is the mean time to the first token without the prefill.
	overhead time.Duration
	// perToken is the mean prefill time per token; 0 before the first sample.
	perToken time.Duration
}

// addSample adds a sample. It returns the time for each token if it is a sample of that, or else 0.
func (s *prefillSpeed) addSample(took time.Duration, r *InFlight) (perToken time.Duration) {
	if r.tokensAhead > shortPromptTokens || r.fetches {
		return 0
	}
	if r.prefillTokens <= maxOverheadSampleTokens {
		if s.overhead == 0 {
			s.overhead = took
		}
		s.overhead += time.Duration(speedSmoothing * float64(took-s.overhead))
	}
	if r.prefillTokens >= minRateSampleTokens && s.overhead > 0 && took > s.overhead {
		sample := time.Duration(float64(took-s.overhead) / r.prefillTokens)
		if s.perToken == 0 {
			s.perToken = sample
		}
		s.perToken += time.Duration(speedSmoothing * float64(sample-s.perToken))
		return sample
	}
	return 0
}

// addSpeedSample adds a sample of an engine's speed and applies what follows for all engines. Estimates
// are kept per incarnation and end with it.
func (t *Table) addSpeedSample(s *server, perToken time.Duration) {
	s.speed.Add(perToken)
	mean := t.speed.perToken
	if mean == 0 {
		return // Without an own sample the mean isn't known.
	}
	slowest, fastest := math.Inf(1), 0.0
	for _, x := range t.servers {
		if x.speed.Known() && !x.gone {
			speed := x.speed.Speed(mean)
			slowest, fastest = min(slowest, speed), max(fastest, speed)
		}
	}
	uneven := serverspeed.Uneven(slowest, fastest)
	if !uneven && !t.uneven {
		return
	}
	t.uneven = uneven
	for _, x := range t.servers {
		x.relativeSpeed = 0
		if uneven {
			x.relativeSpeed = x.speed.Speed(mean)
		}
	}
}

// Speeds returns the number of engines whose relative speed is known and counts, and the speeds of the
// slowest and the fastest of them.
func (t *Table) Speeds() (known int, slowest, fastest float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.uneven {
		return 0, 0, 0
	}
	for _, s := range t.servers {
		if !s.speed.Known() || s.relativeSpeed == 0 {
			continue
		}
		if known++; known == 1 {
			slowest = s.relativeSpeed
		}
		slowest, fastest = min(slowest, s.relativeSpeed), max(fastest, s.relativeSpeed)
	}
	return known, slowest, fastest
}

const (
	// crashMemory is the time after a crash in which new servers start with a small share of the
	// load: all VMs would choose them at once.
	crashMemory = 10 * time.Second
	// startGrace is the time after the creation of the table in which the servers are new only to
	// this VM.
	startGrace = 5 * time.Second
)

// startsSlowly reports whether the load of a server that is first seen now must grow slowly.
func (t *Table) startsSlowly(now time.Time) bool {
	return now.Sub(t.createdAt) > startGrace && (t.uneven || !t.crashedAt.IsZero() && now.Sub(t.crashedAt) < crashMemory)
}

// startShare returns the share of its slots that the server may use for now; 0 if it may use all.
func (s *server) startShare(now time.Time) float64 {
	if s.startedAt.IsZero() {
		return 0
	}
	share := serverspeed.Share(now.Sub(s.startedAt))
	if share >= 1 {
		s.startedAt = time.Time{}
		return 0
	}
	return share
}

// clearDown records that the server accepts connections. After an outage its load grows slowly.
func (s *server) clearDown(now time.Time) {
	if !s.downSince.IsZero() {
		s.downSince, s.startedAt = time.Time{}, now
	}
}

// PrefillRate returns the measured rate at which engines prefill long prompts, in tokens
// per second, or nominal before the first sample.
func (t *Table) PrefillRate(nominal float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed.perToken == 0 {
		return nominal
	}
	rate := float64(time.Second) / float64(t.speed.perToken)
	return min(maxRateShare*nominal, max(minRateShare*nominal, rate))
}

func withPrefillMargin(d time.Duration) time.Duration {
	return time.Duration(prefillMargin * float64(d))
}
