package admission

import (
	"math"
	"time"
)

const (
	drainWindow = 10 * time.Second
	minRetry    = 1 * time.Second
	maxRetry    = 60 * time.Second
)

// drainRate is an exponentially weighted average of the tokens released.
type drainRate struct {
	tokens float64
	at     time.Time
}

func (d *drainRate) add(tokens float64, now time.Time) {
	d.tokens = d.decayed(now) + tokens
	d.at = now
}

func (d *drainRate) decayed(now time.Time) float64 {
	return d.tokens * math.Exp(-now.Sub(d.at).Seconds()/drainWindow.Seconds())
}

// timeFor returns how long the engines need for this many tokens, between
// minRetry and maxRetry.
func (d *drainRate) timeFor(tokens float64, now time.Time) time.Duration {
	perSecond := d.decayed(now) / drainWindow.Seconds()
	seconds := tokens / perSecond
	if !(seconds < maxRetry.Seconds()) {
		return maxRetry
	}
	return max(minRetry, time.Duration(seconds*float64(time.Second)))
}
