package gateway

import "time"

// mayRetry reports whether another attempt is allowed after a failure.
func (t *task) mayRetry(f *failure) bool {
	if f.callerGone || t.timeLeft() < minAttemptTime || len(t.tried) >= maxTriedServers {
		return false
	}
	if t.sends >= max(1, t.route.MaxAttempts) {
		return false
	}
	if t.sends == 0 && t.waited() > t.timeLeft() {
		return false // A refusal now leaves the caller time to retry.
	}
	if t.begun && t.lastEvent < 0 {
		return false // Nothing tells where the stream would go on.
	}
	return !f.mayHaveRun && !t.begun || t.route.Repeatable()
}

const (
	// minAttemptTime is the least time left for which another attempt is made.
	minAttemptTime = 15 * time.Millisecond
	// maxTriedServers bounds the servers tried for one call, unreachable ones included:
	// a third of the servers of a large deployment may crash at once.
	maxTriedServers = 20
	// minServerRetryAfter is the least retry delay of a caller for whose request there
	// was no server: crashed servers are back, and others have loaded new weights,
	// after a second or more.
	minServerRetryAfter = 1 * time.Second
)
