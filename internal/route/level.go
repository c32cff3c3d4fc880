package route

import "time"

// Level is the priority of a request in an engine's queue. It depends on the
// number of tokens to compute, so that cache hits don't wait for long prefills;
// background requests come last. Requests of every level gain priority as they
// wait, so no level starves.
type Level int

const (
	// LevelHit is for requests with little to compute, such as cache hits.
	LevelHit Level = iota
	// LevelShort is for requests with a short prefill.
	LevelShort
	// LevelLong is for requests with a long prefill.
	LevelLong
	// LevelBackground is for requests without a latency objective.
	LevelBackground
	// Levels is the number of levels.
	Levels
)

// Upper bounds of the tokens to compute, by level.
const (
	maxHitTokens   = 2048
	maxShortTokens = 8192
)

// deadlineOffset is the time between the arrival and the deadline of a request.
// A request of a higher level is served after LevelHit requests that arrive
// within this time after it.
var deadlineOffset = [Levels]time.Duration{
	LevelHit:        0,
	LevelShort:      300 * time.Millisecond,
	LevelLong:       time.Second,
	LevelBackground: 20 * time.Second,
}

// levelOf returns the level of a request with missTokens tokens to compute.
func levelOf(background bool, missTokens int) Level {
	switch {
	case background:
		return LevelBackground
	case missTokens <= maxHitTokens:
		return LevelHit
	case missTokens <= maxShortTokens:
		return LevelShort
	}
	return LevelLong
}

// Deadline returns the time by which engines order requests, earliest first: the
// arrival plus the level's deadline offset. It is sent to engines as the
// request's priority, in milliseconds, so that waiting requests of all levels
// gain priority at the same rate.
func (l Level) Deadline(arrived time.Time) time.Time { return arrived.Add(deadlineOffset[l]) }
