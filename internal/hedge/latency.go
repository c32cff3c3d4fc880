package hedge

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which a recorded response loses half of its weight. Loads of
	// servers change within some seconds.
	halfLife = 10 * time.Second
	// decayInterval is the least time between two reductions of the weights.
	decayInterval = 250 * time.Millisecond
	// minWeight is the weight of responses from which the delay is known: the 95th percentile
	// of fewer than 20 is their maximum.
	minWeight = 20
	// bucketsPerOctave is the resolution of the histogram: bounds are 19 % apart, and its
	// 64 buckets reach from 1 ms to 55 s, beyond the deadlines of requests.
	bucketsPerOctave = 4
	buckets          = 64
	firstBound       = time.Millisecond
	// highQuantile is the share of responses that arrive before a hedge is considered.
	highQuantile = 0.95
	// bodyQuantile and bodyFactor limit the delay where more than a twentieth of the responses
	// is slow, as with one slow server of ten: the high quantile is then the latency of that
	// server. The budget limits what the shorter delay costs.
	bodyQuantile = 0.75
	bodyFactor   = 3
	// minDelay is the shortest delay. Paths between failure domains alone differ by 1 to 3 ms.
	minDelay = 5 * time.Millisecond
)

// Latencies learns from the recent responses of a route after which time a request is late.
// It is safe for concurrent use.
type Latencies struct {
	mu        sync.Mutex
	weights   [buckets]float64
	total     float64
	decayedAt time.Time
}

// Record adds the latency of a response. For a request that was canceled because another server
// had answered, it is the time that it had taken until then.
func (l *Latencies) Record(latency time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.weights[bucket(latency)]++
	l.total++
}

// Delay returns the time after which a hedge is considered for a request without a response;
// ok is false while too few responses are known.
func (l *Latencies) Delay(now time.Time) (delay time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	if l.total < minWeight {
		return 0, false
	}
	return max(minDelay, min(l.quantile(highQuantile), bodyFactor*l.quantile(bodyQuantile))), true
}

func (l *Latencies) decay(now time.Time) {
	passed := now.Sub(l.decayedAt)
	if passed < decayInterval {
		return
	}
	l.decayedAt = now
	factor := math.Exp2(-float64(passed) / float64(halfLife))
	l.total = 0
	for i := range l.weights {
		l.weights[i] *= factor
		l.total += l.weights[i]
	}
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (l *Latencies) quantile(q float64) time.Duration {
	sum := 0.0
	for i, w := range l.weights {
		if sum += w; sum >= q*l.total {
			return bound(i)
		}
	}
	return bound(buckets - 1)
}

// bucket returns the index of the bucket of a latency.
func bucket(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := math.Ceil(bucketsPerOctave * math.Log2(float64(d)/float64(firstBound)))
	return min(buckets-1, int(i))
}

// bound returns the upper bound of a bucket.
func bound(i int) time.Duration {
	return time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerOctave))
}
