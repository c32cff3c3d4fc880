// Package serverspeed estimates how fast engines read prompts, each relative to the others, and how
// fast the load of a new or returned engine may grow.
package serverspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// keptSamples is the number of samples that an estimate is the median of, and minSamples the least
	// number for an estimate.
	keptSamples = 32
	minSamples  = 4
	// priorSamples is the number of samples of the mean speed that an estimate starts from.
	priorSamples = 6
	// unevenFactor is the factor between the fastest and the slowest engine from which estimates take
	// effect: speeds that differ by 1.5 are estimated to differ by 1.4 because of the prior, and
	// samples of equal engines that scatter by 20 % differ by less.
	unevenFactor = 1.4
	// minSpeed and maxSpeed bound an estimate: a prefill behind an unknown queue looks slow, and one
	// of cached tokens fast.
	minSpeed = 0.4
	maxSpeed = 2.5
	// startTime is the time in which the load of a new or returned engine grows to its full share, and
	// startShare the share that it starts with.
	startTime  = 4 * time.Second
	startShare = 0.2
)

// Estimate holds the last samples of one engine. The zero value has none.
type Estimate struct {
	samples [keptSamples]float32
	count   int
	median  float64
}

// Add adds the time that the engine took to read a token of a prompt with next to no queue ahead.
func (e *Estimate) Add(perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	e.samples[e.count%keptSamples] = float32(perToken)
	e.count++
	sorted := e.samples
	n := min(e.count, keptSamples)
	slices.Sort(sorted[:n])
	e.median = float64(sorted[n/2]+sorted[(n-1)/2]) / 2
}

// Known reports whether the estimate has enough samples.
func (e *Estimate) Known() bool { return e.count >= minSamples }

// Speed returns the engine's speed relative to one that takes mean for a token; 1 if it isn't known.
func (e *Estimate) Speed(mean time.Duration) float64 {
	if !e.Known() || mean <= 0 {
		return 1
	}
	n := float64(min(e.count, keptSamples))
	return min(maxSpeed, max(minSpeed, math.Pow(float64(mean)/e.median, n/(n+priorSamples))))
}

// Uneven reports whether the slowest and the fastest engine differ so much that their speeds count.
func Uneven(slowest, fastest float64) bool { return slowest > 0 && fastest >= unevenFactor*slowest }

// Share returns the share of its slots that a new or returned engine may use after a time.
func Share(since time.Duration) float64 {
	return min(1, startShare+(1-startShare)*float64(max(0, since))/float64(startTime))
}
