package gossip

import (
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

// maxClockDrift bounds how much faster one VM's clock runs than another's, as a share.
const maxClockDrift = 1e-3

// transit measures how long the messages of a process take to arrive. A VM that stood still reads
// messages late that had been waiting for it, and must not take their content for recent.
type transit struct {
	incarnation vm.Incarnation
	// started is when the process started, by the receiver's clock, as the fastest message shows
	// it; measuredAt is when the last message arrived.
	started, measuredAt time.Time
}

// delay returns how much longer a message took than the fastest one, which is the first of an
// incarnation until another one is faster. uptime is that of the sender at the time of sending; a
// message without it has no delay.
func (t *transit) delay(incarnation vm.Incarnation, uptime time.Duration, now time.Time) time.Duration {
	if uptime <= 0 {
		return 0
	}
	started := now.Add(-uptime)
	if t.incarnation != incarnation || t.started.IsZero() {
		*t = transit{incarnation: incarnation, started: started, measuredAt: now}
		return 0
	}
	t.started = t.started.Add(time.Duration(maxClockDrift * float64(now.Sub(t.measuredAt))))
	t.measuredAt = now
	if started.Before(t.started) {
		t.started = started
	}
	return started.Sub(t.started)
}
