package selector

import "time"

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

func (s *prefillSpeed) addSample(took time.Duration, r *InFlight) {
	if r.tokensAhead > shortPromptTokens || r.fetches {
		return
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
