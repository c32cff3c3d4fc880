package canary

import "time"

// step is a step of the schedule. Steps follow each other and none is repeated.
type step int

const (
	// sampling takes the first samples with small shares, ramping more of them.
	sampling step = iota
	ramping
	// halfLoad gives the new version half of the load for a short time. waiting then returns to the
	// share that is left of the exposure until the answers have been reported, as waiting at half of
	// the load would use it up.
	halfLoad
	waiting
	// fullLoad moves all requests and lets those at the old servers end.
	fullLoad
)

const (
	// samplingBudget, rampingBudget and halfLoadBudget divide what the steps before the last may use
	// of the exposure.
	samplingBudget = 0.28
	rampingBudget  = 0.27
	halfLoadBudget = 0.45
	// reactionTime is how long the last step takes to be rolled back. All requests of this time are
	// kept of the exposure, but at most maxFullLoadReserve of it. With a short time limit and a high
	// rate the exposure is less than a second of requests.
	maxFullLoadReserve = 0.56
	reactionTime       = 1300 * time.Millisecond

	// samplingEnd and fullLoadStart are parts of the time limit.
	samplingEnd, fullLoadStart = 0.45, 0.84
	// earliestFullLoad bounds fullLoadStart where the time limit is short.
	earliestFullLoad = 0.6
	// confirmTime is left for the last step: announcements and reports take about a second together,
	// and the verdict on the full load another.
	confirmTime = 2400 * time.Millisecond

	// firstShare is the share until the rate of requests is known.
	firstShare = 0.01
	// minWait is the least time over which a part of the exposure is spread, as the effect of a
	// share is only seen a second later.
	minWait   = time.Second
	halfShare = 0.5
	// minHalfLoad is the least time at half of the load, which is more than VMs differ in when they
	// learn of it. maxHalfLoad is a part of the time limit.
	minHalfLoad = 600 * time.Millisecond
	maxHalfLoad = 0.15
	// halfLoadValidity is the validity of a stage at half of the load. With a longer one, the share
	// would have to be smaller for the exposure to hold if the rate grew.
	halfLoadValidity = time.Second
	// burstFactor is how much the rate of requests may grow beyond the recent peak within the validity
	// of a stage.
	burstFactor = 1.5
	// reportDelay is the age that counts in reports have.
	reportDelay = time.Second
)

// schedule derives the steps from the time limit.
type schedule struct {
	settings Settings
	duration time.Duration
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }

func clamp[T time.Duration | float64](v, low, high T) T { return max(low, min(v, high)) }

// fullLoadAt is when the last step begins, counted from the order.
func (s schedule) fullLoadAt() time.Duration {
	return max(part(s.duration, earliestFullLoad), min(part(s.duration, fullLoadStart), s.duration-confirmTime))
}

// decideBy is when the last step ends, whatever has not been confirmed by then. The status still has
// to be written within the time limit.
func (s schedule) decideBy() time.Duration {
	return s.duration - clamp(part(s.duration, 0.05), min(500*time.Millisecond, s.duration/10), 2*time.Second)
}

// fullLoadFor is the least time for which answers under the full load are observed.
func (s schedule) fullLoadFor() time.Duration {
	return clamp(part(s.duration, 0.06), 1600*time.Millisecond, 5*time.Second)
}

// waitFor is how long the answers at half of the load take to be reported.
func (s schedule) waitFor() time.Duration {
	return clamp(part(s.duration, 0.1), 1200*time.Millisecond, 3*time.Second)
}

// halfLoadTime is how long the new version gets half of the load, at a rate of requests.
func (s schedule) halfLoadTime(budget, rate float64) time.Duration {
	longest := max(minHalfLoad, part(s.duration, maxHalfLoad))
	if rate <= 0 {
		return minHalfLoad
	}
	return clamp(time.Duration(halfLoadBudget*beforeFullLoad(budget, rate)/(halfShare*rate)*float64(time.Second)), minHalfLoad, longest)
}

// next returns the step at a time since the order, and when it ends. began is when the current step
// began.
func (s schedule) next(current step, began, elapsed time.Duration, halfTime time.Duration) (step, time.Duration) {
	full := s.fullLoadAt()
	half := max(full-s.waitFor()-halfTime, 0)
	sampled := min(part(s.duration, samplingEnd), half)
	if elapsed >= full {
		return fullLoad, s.duration
	}
	if current == sampling && elapsed < sampled {
		return sampling, sampled
	}
	if current <= ramping && elapsed < half {
		return ramping, half
	}
	if current <= ramping {
		return halfLoad, elapsed + halfTime
	}
	if current == halfLoad && elapsed < began+halfTime {
		return halfLoad, began + halfTime
	}
	return max(waiting, current), full
}

// budget returns how many requests the new version may get by the time limit, if the rate of
// requests stays as it is.
func (s schedule) budget(total, rate float64, elapsed time.Duration) float64 {
	return s.settings.ExposureShare*(total+rate*max(0, (s.duration-elapsed).Seconds())) + s.settings.ExposureSlack
}

// beforeFullLoad returns what the steps before the last may use of the exposure.
func beforeFullLoad(budget, rate float64) float64 {
	return budget - min(maxFullLoadReserve*budget, rate*reactionTime.Seconds())
}

// share returns the share for a step.
func (s schedule) share(at step, end, elapsed time.Duration, total, rate, exposed float64) float64 {
	part := samplingBudget
	switch at {
	case halfLoad:
		return halfShare
	case fullLoad:
		return 1
	case ramping:
		part += rampingBudget
	case waiting:
		part = 1
	}
	if rate <= 0 {
		return firstShare
	}
	left := part*beforeFullLoad(s.budget(total, rate, elapsed), rate) - exposed
	return clamp(left/(rate*max(end-elapsed, minWait).Seconds()), 0, halfShare)
}

// affordable bounds a share such that the exposure stays within what the requests so far allow, for
// the time until the share can be lowered, also if the rate grows.
func (s schedule) affordable(share float64, hold time.Duration, total, rate, exposed float64) float64 {
	left := s.settings.ExposureShare*total + s.settings.ExposureSlack - exposed
	arriving := burstFactor * rate * hold.Seconds()
	if left <= 0 {
		return 0
	}
	if arriving <= 0 {
		return min(share, firstShare)
	}
	return min(share, left/arriving)
}
