package ratelimit

import (
	"maps"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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

// ParseBackoff returns the time that the values of a Retry-After header state, in seconds; of several,
// the longest that can be parsed. Dates aren't accepted, as they depend on the server's clock.
func ParseBackoff(values []string) (longest time.Duration, err error) {
	for _, value := range values {
		s, parseErr := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if parseErr != nil || math.IsNaN(s) || s < 0 {
			err = errors.Errorf("the delay %.40q is not a number of seconds", value)
			continue
		}
		longest = max(longest, time.Duration(min(s, maxBackoff.Seconds())*float64(time.Second)))
	}
	if longest > 0 {
		err = nil
	}
	return longest, err
}

// Backoffs holds which servers ask this VM for no requests. It is safe for concurrent use.
type Backoffs struct {
	now func() time.Time
	mu  sync.Mutex
	// ends holds the end of each back-off. Updates replace the whole map.
	ends atomic.Pointer[map[selector.ServerKey]time.Time]
}

// NewBackoffs returns a Backoffs without entries.
func NewBackoffs(now func() time.Time) *Backoffs {
	b := &Backoffs{now: now}
	b.ends.Store(&map[selector.ServerKey]time.Time{})
	return b
}

// RecordBackoff records that a server asks this VM for no requests for a time, and returns the time
// until the end. Of several responses, the latest end counts.
func (b *Backoffs) RecordBackoff(key selector.ServerKey, wait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	end := now.Add(min(wait, maxBackoff))
	if known, ok := (*b.ends.Load())[key]; ok && known.After(end) {
		end = known
	}
	next := maps.Clone(*b.ends.Load())
	next[key] = end
	b.ends.Store(&next)
	return end.Sub(now)
}

// RecordAccepted records that a server has accepted a request that was sent at the time sent.
func (b *Backoffs) RecordAccepted(key selector.ServerKey, sent time.Time) {
	if end, ok := (*b.ends.Load())[key]; ok && !sent.Before(end) {
		b.remove(func(k selector.ServerKey, end time.Time) bool { return k == key && !sent.Before(end) })
	}
}

// Backoff returns what a server asks of this VM.
func (b *Backoffs) Backoff(key selector.ServerKey) Backoff {
	end, ok := (*b.ends.Load())[key]
	if !ok {
		return Backoff{}
	}
	left := end.Sub(b.now())
	return Backoff{Left: max(0, left), Trial: left <= 0}
}

// BackoffCount returns the number of servers that ask this VM for no requests now.
func (b *Backoffs) BackoffCount() int {
	n := 0
	for _, end := range *b.ends.Load() {
		if b.now().Before(end) {
			n++
		}
	}
	return n
}

// RemoveEnded removes the server runs for which ended returns true.
func (b *Backoffs) RemoveEnded(ended func(selector.ServerKey) bool) {
	if len(*b.ends.Load()) > 0 {
		b.remove(func(key selector.ServerKey, _ time.Time) bool { return ended(key) })
	}
}

func (b *Backoffs) remove(remove func(selector.ServerKey, time.Time) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.ends.Load())
	maps.DeleteFunc(next, remove)
	b.ends.Store(&next)
}
