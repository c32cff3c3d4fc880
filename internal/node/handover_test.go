package node

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/platform"
)

// The write may take effect although its response is lost, and its row says nothing of the order then.
func TestNoOrderToEngineThatWriteInFlightDropsFromList(t *testing.T) {
	h := newHandover(3 * time.Second)
	now := time.Unix(1000, 0)
	var row lease.Row
	h.begin(row, 1, now, now)
	row.Record.Fencing = 1
	h.announce([]backend.ID{"e"}, now)
	row.Record.Note = h.note(row, now, now)
	h.recordWrite(true)
	now = now.Add(announcementAge + time.Millisecond) // The VM is slow to read the engine's state.
	row.Record.Note = h.note(row, now, now)
	admitted := h.admit("e", now.Add(5*time.Millisecond))
	h.recordWrite(false)
	next := newHandover(3 * time.Second)
	now = now.Add(100 * time.Millisecond)
	next.begin(row, 2, now, now.Add(3400*time.Millisecond))
	if admitted && !next.blocked("e", now) {
		t.Errorf("an order was admitted, and the next holder may order the engine 0.1 s later; the row says %s", row.Record.Note)
	}
}

func TestNoteInAnotherFormatListsAllEngines(t *testing.T) {
	for _, note := range []string{`{"engines":["e"]}`, `{}`, `{"open":null}`, "", "x"} {
		h := newHandover(3 * time.Second)
		now := time.Unix(1000, 0)
		h.begin(lease.Row{Record: lease.Record{Fencing: 7, Note: note}}, 8, now, now.Add(3*time.Second))
		if !h.blocked("e", now) {
			t.Errorf("after a row with the note %s an engine is ordered at once", note)
		}
	}
	h, now := newHandover(3*time.Second), time.Unix(1000, 0)
	empty := newHandover(3*time.Second).note(lease.Row{}, now, now)
	h.begin(lease.Row{Record: lease.Record{Fencing: 7, Note: empty}}, 8, now, now.Add(3*time.Second))
	if h.blocked("e", now) {
		t.Errorf("after a row with the note %s, of a holder without orders, an engine waits", empty)
	}
}

func TestRowThatOlderCopyLacksMayHaveBeenHeld(t *testing.T) {
	v := newTestVM(t, newServerStore())
	v.opts.FirstStart = true
	now := v.clock
	from := now.Add(lease.TakeoverWait(3 * time.Second))
	for era := platform.Era(1); era <= 2; era++ {
		v.observeEra(era, "store")
		term := lease.Term{Fencing: lease.Fencing(era<<32) + 1, Since: now, From: from}
		wait := v.earlierOrdersEnd(lease.Row{Era: era}, term).Sub(from)
		if era == 1 && wait > 0 {
			t.Errorf("in the era in which the deployment starts engines wait for %v", wait)
		}
		if era == 2 && wait < 3*time.Second {
			t.Errorf("after the store's return engines may be ordered %v after the term begins to be valid", wait)
		}
	}
}
