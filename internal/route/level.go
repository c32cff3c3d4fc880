package route

import "time"

// Level is the place of a request in an engine's queue by the work that it
// brings. Requests that find their prefix in the cache don't wait for long
// computations; requests that nobody waits for come last. Every level ages.
type Level int

const (
	// LevelHit has little to compute.
	LevelHit Level = iota
	// LevelShort has a few blocks to compute.
	LevelShort
	// LevelLong has much to compute.
	LevelLong
	// LevelBackground has nobody waiting at a counter.
	LevelBackground
	// Levels is the number of levels.
	Levels
)

const (
	hitTokens   = 2048
	shortTokens = 8192
)

// allowance is how long a level gives way to level 0.
var allowance = [Levels]time.Duration{
	LevelHit:        0,
	LevelShort:      300 * time.Millisecond,
	LevelLong:       time.Second,
	LevelBackground: 20 * time.Second,
}

// levelOf returns the level of a request with missTokens to compute.
func levelOf(background bool, missTokens int) Level {
	switch {
	case background:
		return LevelBackground
	case missTokens <= hitTokens:
		return LevelHit
	case missTokens <= shortTokens:
		return LevelShort
	}
	return LevelLong
}

// Deadline is the order in which engines should serve requests: the arrival
// plus the level's allowance. As an engine's priority it is sent in
// milliseconds, so that waiting requests of all levels age alike.
func (l Level) Deadline(arrived time.Time) time.Time { return arrived.Add(allowance[l]) }
