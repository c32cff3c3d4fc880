package ratelimit

import (
	"maps"
	"time"

	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// maxBackoff bounds the time for which this VM sends nothing to a server that asks for it.
	maxBackoff = 10 * time.Minute
	// trialRequests is the number of requests that a server may have from this VM at once after a
	// back-off, until it has accepted one: all VMs return to it at about the same time.
	trialRequests = 1
)

// Backoff is what a server that has turned requests of this VM away asks of it. It concerns this VM
// only: others may have room at the server.
type Backoff struct {
	// Left is the time until the server may get requests again.
	Left time.Duration
	// Trial is set after that until the server has accepted a request.
	Trial bool
}

// Allows reports whether this VM may send a server another request while it has running ones there.
func (b Backoff) Allows(running int) bool {
	return b.Left <= 0 && (!b.Trial || running < trialRequests)
}

// RecordBackoff records that a server asks this VM for no requests for a time, and returns the time
// until the end. Of several responses, the latest end counts.
func (t *Table) RecordBackoff(key selector.ServerKey, wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	until := now.Add(min(wait, maxBackoff))
	if known, ok := (*t.backoffs.Load())[key]; ok && known.After(until) {
		until = known
	}
	next := maps.Clone(*t.backoffs.Load())
	next[key] = until
	t.backoffs.Store(&next)
	return until.Sub(now)
}

// RecordAccepted records that a server has accepted a request that was sent at the time sent.
func (t *Table) RecordAccepted(key selector.ServerKey, sent time.Time) {
	if until, ok := (*t.backoffs.Load())[key]; !ok || sent.Before(until) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deleteBackoffs(func(k selector.ServerKey, until time.Time) bool { return k == key && !sent.Before(until) })
}

// Backoff returns what a server asks of this VM.
func (t *Table) Backoff(key selector.ServerKey) Backoff {
	until, ok := (*t.backoffs.Load())[key]
	if !ok {
		return Backoff{}
	}
	left := until.Sub(t.now())
	return Backoff{Left: max(0, left), Trial: left <= 0}
}

// BackoffCount returns the number of servers that ask this VM for no requests now.
func (t *Table) BackoffCount() int {
	n := 0
	for _, until := range *t.backoffs.Load() {
		if t.now().Before(until) {
			n++
		}
	}
	return n
}

// deleteBackoffs removes back-offs. The caller holds the mutex.
func (t *Table) deleteBackoffs(remove func(selector.ServerKey, time.Time) bool) {
	next := maps.Clone(*t.backoffs.Load())
	maps.DeleteFunc(next, remove)
	t.backoffs.Store(&next)
}
