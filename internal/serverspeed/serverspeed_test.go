package serverspeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const mean = 20 * time.Microsecond

// spread returns the speeds of the slowest and the fastest of n engines after so many samples each.
// The time of a sample scatters by 20 %, and every tenth one waited behind an unknown queue.
func spread(rng *rand.Rand, n, samples int, speed func(i int) float64) (slowest, fastest float64) {
	slowest = math.Inf(1)
	for i := range n {
		var e Estimate
		for range samples {
			took := float64(mean) / speed(i) * math.Exp(0.2*rng.NormFloat64())
			if rng.IntN(10) == 0 {
				took *= 3
			}
			e.Add(time.Duration(took))
		}
		s := e.Speed(mean)
		slowest, fastest = min(slowest, s), max(fastest, s)
	}
	return slowest, fastest
}

// Estimates of equal engines must not take effect: their error would send prompts to other engines
// than those that hold their parts. Engines of 0.6 to 1.6, and one that turned slow, must be found.
func TestOnlyUnevenEnginesCount(t *testing.T) {
	for _, c := range []struct {
		name  string
		speed func(i int) float64
		want  bool
	}{
		{"equal", func(int) float64 { return 1 }, false},
		{"1.1 apart", func(i int) float64 { return 1 + 0.1*float64(i%2) }, false},
		{"three kinds", func(i int) float64 { return []float64{0.6, 1, 1.6}[i%3] }, true},
		{"one turned slow", func(i int) float64 { return map[bool]float64{true: 0.5, false: 1}[i == 7] }, true},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		wrong := 0
		for range 100 {
			if Uneven(spread(rng, 60, keptSamples, c.speed)) != c.want {
				wrong++
			}
		}
		if wrong > 5 {
			t.Errorf("%s: wrong in %d of 100 cases", c.name, wrong)
		}
	}
}

// A few samples must not move an estimate far: the first ones of an engine may be of cached prompts.
func TestFewSamplesCountLittle(t *testing.T) {
	var e Estimate
	for i := range minSamples {
		if e.Known() || e.Speed(mean) != 1 {
			t.Errorf("speed %v after %d samples", e.Speed(mean), i)
		}
		e.Add(mean / 2)
	}
	if s := e.Speed(mean); s < 1.2 || s > 1.6 {
		t.Errorf("speed %v after %d samples of twice the speed", s, minSamples)
	}
	if Share(0) >= 0.5 || Share(startTime) != 1 || Share(startTime/2) <= Share(0) {
		t.Error("the share of a new engine doesn't grow")
	}
}
