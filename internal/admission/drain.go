package admission

import (
	"math"
	"time"
)

const (
	drainWindow   = 10 * time.Second
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 60 * time.Second
)

// drainRate is an exponentially weighted average of the rate at which released
// requests used tokens.
type drainRate struct {
	// tokens is the decayed sum of the released tokens at updatedAt.
	tokens    float64
	updatedAt time.Time
}

func (d *drainRate) add(tokens float64, now time.Time) {
	d.tokens = d.decayed(now) + tokens
	d.updatedAt = now
}

func (d *drainRate) decayed(now time.Time) float64 {
	return d.tokens * math.Exp(-now.Sub(d.updatedAt).Seconds()/drainWindow.Seconds())
}

// drainTime estimates how long the engines need for this many tokens, bounded
// by minRetryAfter and maxRetryAfter. Without a recent release it returns
// maxRetryAfter.
func (d *drainRate) drainTime(tokens float64, now time.Time) time.Duration {
	perSecond := d.decayed(now) / drainWindow.Seconds()
	seconds := tokens / perSecond
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
