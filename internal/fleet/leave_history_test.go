package fleet

import (
	"strings"
	"testing"

	"papayaspan.dev/papayaspan/internal/backend"
)

// leaveHistory is a server whose runs leave, and a VM that learns it from the server's responses.
type leaveHistory struct {
	*fleetModel
	vm *modelVM
	id backend.ID
	// run is the run that is alive, and leaving holds those that said that they leave in a response
	// to the VM.
	run     int64
	leaving map[int64]bool
	// pending is the entry on which a request in progress is based, which reached sentTo; nil if
	// there is none.
	pending *Entry
	sentTo  int64
}

func newLeaveHistory() *leaveHistory {
	h := &leaveHistory{fleetModel: newFleetModel(), id: modelID(0), leaving: map[int64]bool{}}
	h.vm = h.vms[0]
	h.startAgain()
	h.announce()
	h.readFeed(h.vm)
	return h
}

func (h *leaveHistory) startAgain() {
	h.lastStarted++
	h.run = h.lastStarted
}

func (h *leaveHistory) announce() { h.write(Entry{ID: h.id, State: Ready, Started: h.run}) }

// usable returns the server's entry if the VM sends requests to it, else nil.
func (h *leaveHistory) usable() *Entry {
	if e := h.vm.View().Server(h.id); e != nil && e.Usable() {
		return e
	}
	return nil
}

// respond lets the request in progress get a response that says that the server leaves.
func (h *leaveHistory) respond() {
	if h.pending == nil {
		return
	}
	if h.sentTo == h.run {
		h.leaving[h.run] = true
		h.vm.MarkDrained(h.id, h.pending.Started, h.now)
	}
	h.pending = nil
}

// decide lets the server answer health checks.
func (h *leaveHistory) decide() {
	for _, e := range h.vm.UndecidedRuns() {
		h.vm.DecideRun(e, h.leaving[h.run])
	}
}

// Checks all sequences of some events with one server, whose rows may be late, and one VM.
func TestEveryShortHistoryOfLeavesSaidInResponses(t *testing.T) {
	events := []struct {
		name string
		do   func(*leaveHistory)
	}{
		{"a new run", (*leaveHistory).startAgain},
		{"a row", (*leaveHistory).announce},
		{"the row is deleted", func(h *leaveHistory) {
			if _, present := h.last(h.id, h.revision()); present {
				h.write(Entry{ID: h.id, Gone: true})
			}
		}},
		{"the VM reads the feed", func(h *leaveHistory) { h.readFeed(h.vm) }},
		{"a request is sent", func(h *leaveHistory) { h.pending, h.sentTo = h.usable(), h.run }},
		{"its response says that the server leaves", (*leaveHistory).respond},
		{"health checks are answered", (*leaveHistory).decide},
		{"a restored copy lacks 1 write", func(h *leaveHistory) { h.restoreFromCopy(1) }},
	}
	const length = 5
	total := 1
	for range length {
		total *= len(events)
	}
	for n := range total {
		h := newLeaveHistory()
		var trace []string
		for i, rest := 0, n; i < length; i, rest = i+1, rest/len(events) {
			e := events[rest%len(events)]
			e.do(h)
			trace = append(trace, e.name)
			if e := h.usable(); e != nil && h.leaving[h.run] {
				t.Fatalf("%s: the VM uses run %d, and its requests reach run %d, which said that it leaves", strings.Join(trace, ", "), e.Started, h.run)
			}
		}
		h.startAgain()
		h.announce()
		h.readFeed(h.vm)
		h.decide()
		if h.now = h.now.Add(testRowTTL); h.usable() == nil {
			h.vm.Expire(h.now)
			h.decide()
		}
		if e := h.usable(); e == nil || e.Started != h.run {
			t.Fatalf("%s: the VM doesn't use the next run", strings.Join(trace, ", "))
		}
	}
}
