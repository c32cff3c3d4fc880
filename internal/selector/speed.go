package selector

import "time"

const (
	// longRead is the number of tokens from which a prompt's reading teaches the
	// engines' speed, and shortRead up to which it teaches the time that a first
	// token takes anyway.
	longRead  = 4096
	shortRead = 1024
	// speedGain is the weight of a new reading in the means.
	speedGain = 0.05
	// minSpeedShare and maxSpeedShare bound what is learnt, as shares of the
	// nominal speed: a reading behind an unknown queue looks slow.
	minSpeedShare = 0.4
	maxSpeedShare = 1.5
	// readMargin is by how much longer than expected a reading is taken to last
	// until it is known to be over. What relies on it too early reads anew.
	readMargin = 1.3
)

// speed is how fast engines read prompts, learnt from the first events of
// requests that had next to no queue before them.
type speed struct {
	// overhead is the time to the first token beside the reading.
	overhead time.Duration
	// perToken is the reading time of a token; 0 before one was seen.
	perToken time.Duration
}

func (s *speed) learn(took time.Duration, r *Run) {
	if r.ahead > shortPrompt || r.fetches {
		return
	}
	if r.prefill <= shortRead {
		if s.overhead == 0 {
			s.overhead = took
		}
		s.overhead += time.Duration(speedGain * float64(took-s.overhead))
	}
	if r.prefill >= longRead && s.overhead > 0 && took > s.overhead {
		sample := time.Duration(float64(took-s.overhead) / r.prefill)
		if s.perToken == 0 {
			s.perToken = sample
		}
		s.perToken += time.Duration(speedGain * float64(sample-s.perToken))
	}
}

// PrefillRate returns the speed at which engines read long prompts, in tokens a
// second, from what was seen; nominal is the one to begin with.
func (t *Table) PrefillRate(nominal float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed.perToken == 0 {
		return nominal
	}
	rate := float64(time.Second) / float64(t.speed.perToken)
	return min(maxSpeedShare*nominal, max(minSpeedShare*nominal, rate))
}

func margin(d time.Duration) time.Duration { return time.Duration(readMargin * float64(d)) }
