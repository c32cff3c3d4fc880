package node

import (
	"slices"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/lease"
)

// Where engines don't check fencing tokens, at least one lease duration must separate the
// orders of two holders to an engine. The next holder orders all other engines immediately, and
// these, too, if a holder that has resigned sent no order.
func TestLeaseHolderWithoutOrdersIsSucceededImmediately(t *testing.T) {
	store := newServerStore()
	for _, c := range []struct {
		name     string
		note     string
		resigned bool
		term     time.Duration // Age of the term.
		ordered  time.Duration // Age of the last order; 0 for no order.
		// listed and other are the waits for an engine that the row lists and for one that it doesn't.
		listed, other time.Duration
	}{
		{"no order", `{"open":["e"]}`, true, 10 * time.Second, 0, 0, 0},
		{"no order in a new term", `{"open":["e"]}`, true, 3 * time.Second, 0, 500 * time.Millisecond, 0},
		{"old order", `{"open":["e"]}`, true, 10 * time.Second, 5 * time.Second, 0, 0},
		{"recent order", `{"open":["e"]}`, true, 10 * time.Second, time.Second, 2500 * time.Millisecond, 0},
		{"killed", `{"open":["e"]}`, false, 10 * time.Second, 5 * time.Second, 3 * time.Second, 0},
		{"killed after an order", `{"open":[],"ordered":{"e":1700}}`, false, 10 * time.Second, 5 * time.Second, 1300 * time.Millisecond, 0},
		{"killed after an old order", `{"open":[],"ordered":{"e":3100}}`, false, 10 * time.Second, 5 * time.Second, 0, 0},
		{"earlier build", "", false, 10 * time.Second, 5 * time.Second, 3 * time.Second, 3 * time.Second},
		{"holder after an earlier build", `{"open":["e"],"all":true}`, false, 10 * time.Second, 5 * time.Second, 3 * time.Second, 3 * time.Second},
	} {
		holder, next := newTestVM(t, store), newTestVM(t, store)
		if c.ordered > 0 {
			at := holder.clock.Add(-c.ordered)
			holder.lastOrder.Store(&at)
		}
		holder.rowWritten = holder.clock.Add(-500 * time.Millisecond)
		holder.publishClaim(lease.Claim{Fencing: 3, Until: holder.clock}, lease.Term{Fencing: 3, Since: holder.clock.Add(-c.term)}, c.resigned)
		next.receiveClaim(holder.recentClaim())
		row := lease.Row{Record: lease.Record{Fencing: 3, Note: c.note}}
		now := next.clock
		written := next.writtenBy(row, now) // The holder said that it wrote the row half a second ago.
		next.handover.begin(row, 4, written, next.earlierOrdersEnd(row, lease.Term{Fencing: 4, Since: now, From: now}))
		for id, want := range map[backend.ID]time.Duration{"e": c.listed, "other": c.other} {
			wait := time.Duration(0)
			for next.handover.blocked(id, now.Add(wait)) {
				wait += 100 * time.Millisecond
			}
			if wait != want {
				t.Errorf("%s: the next holder orders %s after %v, want %v", c.name, id, wait, want)
			}
		}
	}
}

// A holder orders only engines that its row lists, whichever of its writes were applied.
func TestOrdersAreListedBeforeTheyAreSent(t *testing.T) {
	h := newHandover(3 * time.Second)
	now := time.Unix(1000, 0)
	var row lease.Row
	write := func(applied bool, ids ...backend.ID) {
		h.announce(ids, now)
		note := h.note(row, now, now)
		h.recordWrite(applied)
		if applied {
			row.Record.Note = note
		}
	}
	wantAdmitted := func(ids ...backend.ID) {
		t.Helper()
		for _, id := range []backend.ID{"a", "b", "c"} {
			if got := h.admit(id, now); got != slices.Contains(ids, id) {
				t.Errorf("order to %s admitted: %v", id, got)
			}
		}
	}
	h.begin(row, 1, now, now)
	row.Record.Fencing = 1
	wantAdmitted()
	write(true, "a", "b")
	wantAdmitted("a", "b")
	now = now.Add(100 * time.Millisecond)
	write(true, "c")
	wantAdmitted("c") // a and b must be listed again: the row says when they were ordered.
	if got := readNote(row).Ordered; got["a"] != 100 || got["b"] != 100 {
		t.Errorf("the row says that a and b were ordered %v ms before", got)
	}
	now = now.Add(10 * time.Second)
	write(true, "b", "c")
	now = now.Add(2 * announcementAge)
	write(false, "c", "a") // Its outcome isn't known.
	wantAdmitted("c")
}

// If it isn't known which engines an earlier holder has ordered, the next holders learn that, too.
func TestUnknownOrdersAreHandedOn(t *testing.T) {
	h := newHandover(3 * time.Second)
	now := time.Unix(1000, 0)
	row := lease.Row{Record: lease.Record{Fencing: 7}} // Of an earlier build.
	wantAll := func(want bool) {
		t.Helper()
		row.Record.Note = h.note(row, now, now)
		if got := readNote(row).All; got != want {
			t.Errorf("%v after the start: the note is %s", now.Sub(time.Unix(1000, 0)), row.Record.Note)
		}
	}
	wantAll(true)
	h.begin(lease.Row{Record: lease.Record{Fencing: 7}}, 8, now, now.Add(3*time.Second))
	row.Record.Fencing = 8
	now = now.Add(2 * time.Second)
	wantAll(true)
	now = now.Add(time.Second)
	wantAll(false)
}

// The time of a write that a claim reports holds for the rows of that write and of earlier ones.
func TestLaterWriteThanClaimedIsDatedByItsRead(t *testing.T) {
	store := newServerStore()
	holder, next := newTestVM(t, store), newTestVM(t, store)
	holder.rowWritten = holder.clock.Add(-2 * time.Second)
	holder.publishClaim(lease.Claim{Fencing: 3, Renewals: 5}, lease.Term{Fencing: 3}, false)
	next.receiveClaim(holder.recentClaim())
	for renewals, want := range map[uint64]time.Duration{4: 2 * time.Second, 5: 2 * time.Second, 6: time.Second} {
		row := lease.Row{Record: lease.Record{Fencing: 3, Renewals: renewals}}
		if got := next.clock.Sub(next.writtenBy(row, next.clock.Add(-time.Second))); got != want {
			t.Errorf("renewal %d: written up to %v ago, want %v", renewals, got, want)
		}
	}
}

// A resignation may arrive sooner after it was made than the claim before it did.
func TestResignationAfterDelayedClaimIsIgnored(t *testing.T) {
	store := newServerStore()
	holder, next := newTestVM(t, store), newTestVM(t, store)
	term := lease.Term{Fencing: 3}
	holder.publishClaim(lease.Claim{Fencing: 3, Renewals: 5, Until: holder.clock.Add(3 * time.Second)}, term, false)
	delayed := holder.recentClaim()
	holder.clock = holder.clock.Add(5 * time.Millisecond)
	next.clock = next.clock.Add(30 * time.Millisecond)
	next.receiveClaim(delayed)
	holder.publishClaim(lease.Claim{Fencing: 3, Renewals: 5, Until: holder.clock}, term, true)
	for range 4 {
		holder.clock = holder.clock.Add(250 * time.Millisecond)
		next.clock = holder.clock
		next.receiveClaim(holder.recentClaim())
	}
	if c := next.claim.Load(); !c.resigned || c.lease.Until.After(next.clock) {
		t.Errorf("the resignation is ignored: %+v", c)
	}
	next.receiveClaim(delayed)
	if !next.claim.Load().resigned {
		t.Error("an earlier claim replaces the resignation")
	}
}
