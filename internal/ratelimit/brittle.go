package ratelimit

import (
	"time"

	"papayaspan.dev/papayaspan/internal/selector"
)

// refusalPause is the time for which a brittle server that has turned a request of this VM away
// gets no other one: the server counts the refusals of a second.
const refusalPause = 1 * time.Second

// Division is how the VMs that receive client requests divide the slots of a service's brittle
// servers, so that none of their requests has to wait there or is turned away. Each VM computes
// its parts from the same lists of VMs and servers, without messages.
type Division struct {
	// count is the number of those VMs, and rank the position of this one; -1 if it isn't one.
	count, rank int
}

// Division returns the current division.
func (t *Table) Division() Division { return *t.division.Load() }

// Part returns the number of a server's slots that are this VM's. offset is the VM that the first
// odd slot falls to: 0 for the first server of a service, and the returned next one for the server
// after it. A VM that receives almost no requests may use one slot.
func (d Division) Part(slots, offset int) (part, next int) {
	odd := slots % d.count
	next = (offset + odd) % d.count
	if d.rank < 0 {
		return min(1, slots), next
	}
	part = slots / d.count
	if (d.rank-offset+d.count)%d.count < odd {
		part++
	}
	return part, next
}

// Room returns the number of requests that this VM may have at a server at once if the server is
// brittle. part is this VM's part of its slots.
func (t *Table) Room(key selector.ServerKey, part int) (room int, brittle bool) {
	if !(*t.brittle.Load())[key] {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.servers[key]; x != nil && t.now().Before(x.refusedUntil) {
		return 0, true
	}
	return part, true
}

// RecordRefusal records that a server has turned a request of this VM away.
func (t *Table) RecordRefusal(key selector.ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.servers[key]; x != nil && x.Brittle {
		x.refusedUntil = t.now().Add(refusalPause)
	}
}

// BrittleCount returns the number of brittle servers.
func (t *Table) BrittleCount() int { return len(*t.brittle.Load()) }
