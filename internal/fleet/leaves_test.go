package fleet

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
)

func TestRunThatSaidThatItLeavesIsUsedOnceItsRowIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, lateRow := range map[string]func(*Directory){
		"a row after that of the earlier run": func(d *Directory) { apply(d, now, ready("x", 9, 2)) },
		"a row after the earlier run's removal": func(d *Directory) {
			apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true})
			apply(d, now, ready("x", 9, 3))
		},
		"a listing": func(d *Directory) {
			d.Apply(Update{UpTo: at(4), Whole: true, Entries: []Entry{ready("x", 9, 4)}}, now)
		},
	} {
		d := NewDirectory(testRowTTL)
		apply(d, now, ready("x", 5, 1))
		d.MarkDrained("x", 5, now)
		lateRow(d)
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the run that said that it leaves is used", name)
		}
		apply(d, now, ready("x", 9, 5)) // A heartbeat.
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the run is used after another row", name)
		}
	}
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 9, 1))
	d.MarkDrained("x", 5, now) // The row came between the request and its response.
	if len(d.View().Service("s")) != 0 {
		t.Error("a row before the response: the run that may have said that it leaves is used")
	}
}

// The first row came from another writer, or an earlier build of the server.
func TestRunWithoutStartThatSaidThatItLeavesIsUsedWithNextRow(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 0, 1))
	d.MarkDrained("x", 0, now)
	apply(d, now, ready("x", 9, 2))
	if len(d.View().Service("s")) != 0 {
		t.Error("the run is used with a row that states its start")
	}
}

func TestRunDecidedToStayIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 1))
	d.MarkDrained("x", 5, now)
	apply(d, now, ready("x", 9, 2))
	undecided := d.UndecidedRuns()
	if len(undecided) != 1 || undecided[0].Started != 9 {
		t.Fatalf("undecided runs %v", undecided)
	}
	if u := d.Export(at(0), now); u.Entries[0].State != Ready {
		t.Error("other VMs learn of this VM's doubt as of the run's drain")
	}
	d.DecideRun(undecided[0], false)
	apply(d, now, ready("x", 9, 3), ready("x", 12, 4))
	if len(d.View().Service("s")) != 1 || len(d.UndecidedRuns()) != 0 {
		t.Error("runs after the one that leaves aren't used")
	}
	d.MarkDrained("x", 12, now)
	apply(d, now, ready("x", 15, 5))
	d.DecideRun(d.UndecidedRuns()[0], true)
	apply(d, now, ready("x", 15, 6))
	if len(d.View().Service("s")) != 0 || len(d.UndecidedRuns()) != 0 {
		t.Error("a run that said that it leaves is used or still undecided")
	}
	apply(d, now, ready("x", 20, 7))
	if len(d.UndecidedRuns()) != 1 {
		t.Error("the run after one that leaves isn't undecided")
	}
}

func TestRunThatLeavesIsUsedAgainAfterItsRowWasGoneForLong(t *testing.T) {
	for name, leave := range map[string]func(*Directory, time.Time){
		"it said so in a response": func(d *Directory, now time.Time) { d.MarkDrained("x", 5, now) },
		"its row said so": func(d *Directory, now time.Time) {
			draining := ready("x", 5, 2)
			draining.State = Draining
			apply(d, now, draining)
		},
		"another VM said so": func(d *Directory, now time.Time) {
			d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5}, now)
		},
	} {
		now := time.Unix(1000, 0)
		d := NewDirectory(testRowTTL)
		apply(d, now, ready("x", 5, 1))
		leave(d, now)
		apply(d, now, Entry{ID: "x", Revision: at(3), Gone: true})
		now = now.Add(2 * tombstoneAge)
		apply(d, now, ready("y", 5, 4))
		apply(d, now, ready("x", 5, 5))
		if e := d.View().Server("x"); e == nil || e.Usable() {
			t.Errorf("%s: it is used again, or not known: %v", name, e)
		}
	}
}

func TestNextRunAfterItsServerWasGoneForLongIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	draining := ready("x", 5, 1)
	draining.State = Draining
	apply(d, now, draining)
	apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true})
	apply(d, now.Add(2*tombstoneAge), ready("x", 9, 3))
	if len(d.View().Service("s")) != 1 {
		t.Error("the run after one that left isn't used")
	}
	apply(d, now.Add(2*tombstoneAge), Entry{ID: "x", Revision: at(4), Gone: true})
	apply(d, now.Add(2*tombstoneAge+2*drainedRunAge), ready("y", 5, 5))
	if len(d.records) != 1 || len(d.drainedRuns) > 0 || len(d.endedRuns) > 0 {
		t.Errorf("%d servers, %d drained and %d ended runs are remembered, want only the present server", len(d.records), len(d.drainedRuns), len(d.endedRuns))
	}
}

// The server's clock was set back.
func TestRunWithEarlierStartThanDrainedOneIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	draining := ready("x", 9, 1)
	draining.State = Draining
	apply(d, now, draining)
	apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true})
	now = now.Add(2 * tombstoneAge)
	apply(d, now, ready("y", 5, 3))
	if u := d.Export(at(0), now); len(u.Entries) != 1 {
		t.Errorf("a VM that lags gets %d entries, want that of the present server", len(u.Entries))
	}
	apply(d, now, ready("x", 5, 4))
	if len(d.View().Service("s")) != 2 {
		t.Error("the run isn't used")
	}
	d.MarkDrained("x", 5, now)
	if len(d.View().Service("s")) != 1 {
		t.Error("the run is used although it said that it leaves")
	}
}

// An outage may have removed the row; the server counts as present for a time.
func TestLeaveSaidWithoutRowIsUndoneByRow(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, next := range map[string]int64{"the same run": 5, "a later run": 9} {
		d := NewDirectory(testRowTTL)
		apply(d, now, ready("x", 5, 1))
		apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true, Hold: 2 * time.Second})
		if len(d.View().Service("s")) != 1 {
			t.Fatal("the server isn't used without a row")
		}
		d.MarkDrained("x", 5, now)
		if len(d.View().Service("s")) != 0 {
			t.Error("the server is used although it said that it leaves")
		}
		apply(d, now, ready("x", next, 3))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("the server is used again with a row of %s", name)
		}
	}
}

func TestLeaveSaidAfterRemovalIsUndoneByRow(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 1))
	apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true})
	d.MarkDrained("x", 5, now) // The response to a request that was sent before.
	apply(d, now, ready("x", 5, 3))
	if len(d.View().Service("s")) != 0 {
		t.Error("the server is used again")
	}
	d.MarkDrained("y", 5, now) // Its row isn't known any more.
	apply(d, now, ready("y", 5, 4), ready("y", 9, 5))
	if len(d.View().Service("s")) != 0 {
		t.Error("a server whose row wasn't known is used")
	}
}

// A VM may hear of the drains of two runs in any order, and before their rows.
func TestEarlierRunThatDrainsIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	draining := ready("x", 5, 2)
	draining.State = Draining
	tell := func(started int64) func(*Directory) {
		return func(d *Directory) { d.ApplyUnusableRun(UnusableRun{ID: "x", Started: started}, now) }
	}
	for name, steps := range map[string][]func(*Directory){
		"told before the later run's":       {tell(5), tell(9)},
		"told after the later run's":        {tell(9), tell(5)},
		"told while the run is in use":      {tell(9), func(d *Directory) { apply(d, now, ready("x", 5, 1)) }, tell(5)},
		"read after the later run's":        {tell(9), func(d *Directory) { apply(d, now, draining) }},
		"told before many of later runs":    {tell(5), tell(7), tell(8), tell(9), tell(10), tell(11)},
		"told twice before the later one's": {tell(5), tell(5), tell(9), tell(9)},
	} {
		d := NewDirectory(testRowTTL)
		for _, step := range steps {
			step(d)
		}
		apply(d, now, ready("x", 5, 3))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the run is used", name)
		}
		if runs := d.UnusableRuns(now); len(runs) != 1 || runs[0] != (UnusableRun{ID: "x", Started: 5}) {
			t.Errorf("%s: tells %v", name, runs)
		}
		if r := d.records["x"]; len(r.formerDrainedRuns) > maxFormerDrainedRuns {
			t.Errorf("%s: %d drained runs are remembered", name, len(r.formerDrainedRuns))
		}
	}
	inUse := NewDirectory(testRowTTL)
	tell(9)(inUse)
	apply(inUse, now, ready("x", 5, 1))
	tell(5)(inUse)
	if runs := inUse.UnusableRuns(now); len(runs) != 1 || runs[0].Started != 5 {
		t.Errorf("tells %v of a run that was in use", runs)
	}
	for _, started := range []int64{5, 9} {
		d := NewDirectory(testRowTTL)
		tell(9)(d)
		tell(5)(d)
		apply(d, now, ready("x", 3, 1), Entry{ID: "x", Revision: at(2), Gone: true})
		later := now.Add(2 * tombstoneAge)
		apply(d, later, ready("y", 5, 3))
		if apply(d, later, ready("x", started, 4)); len(d.View().Service("s")) != 1 {
			t.Errorf("run %d is used after its record was forgotten", started)
		}
	}
	d := NewDirectory(testRowTTL)
	for run := range int64(100) {
		tell(run + 1)(d)
	}
	if n := len(d.records["x"].formerDrainedRuns); n != maxFormerDrainedRuns {
		t.Errorf("%d drained runs are remembered, want %d", n, maxFormerDrainedRuns)
	}
}

// An entry's revision may be that of a row of an earlier run. The row of its own run may be from
// before the end that another VM told of.
func TestFetchedRowFromBeforeToldEndIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	// This VM missed the removal of run 2 at 38, and lists a late write of run 1.
	lagging := NewDirectory(testRowTTL)
	apply(lagging, now, ready("x", 2, 30))
	lagging.Apply(Update{UpTo: at(46), Whole: true, Entries: []Entry{ready("x", 1, 46)}}, now)
	for _, withOwnRow := range []bool{false, true} {
		d := NewDirectory(testRowTTL)
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 2, Wait: testRowTTL, Era: 2, Ended: at(38)}, now)
		u := lagging.Export(d.Known(), now)
		if len(u.Entries) != 1 || u.Entries[0].Revision != at(46) || u.Entries[0].Row != at(30) {
			t.Fatalf("exported %+v", u.Entries)
		}
		if withOwnRow {
			u.Entries[0].Row, u.Entries[0].Revision = platform.Revision{}, u.Entries[0].Row
		}
		d.Apply(u, now)
		if len(d.View().Service("s")) != 0 {
			t.Errorf("own row stated as revision: %v: the run is used, whose only row (30) is from before its end (38)", withOwnRow)
		}
	}
}

// The era of an entry's revision may be later than that of its own run's row.
func TestFetchedRowOfEarlierEraThanItsRevisionIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, row := range map[string]platform.Revision{
		"before the end":             at(30),
		"copied from before the end": {Era: 1, Version: 30},
	} {
		d := NewDirectory(testRowTTL)
		d.Apply(restore(2, 39), now.Add(-2*testRowTTL))
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 2, Wait: testRowTTL, Era: 3, Ended: at(38)}, now)
		e := ready("x", 2, 46)
		e.Revision.Era, e.Row = 2, row
		apply(d, now, e)
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the run is used at once", name)
		}
	}
}

func TestDoubtOfLaterEndDuringWaitProlongsIt(t *testing.T) {
	start := time.Unix(1000, 0)
	first := UnusableRun{ID: "x", Started: 2, Wait: time.Second, Era: 1, Ended: at(38)}
	second := UnusableRun{ID: "x", Started: 2, Wait: testRowTTL, Era: 2, Ended: platform.Revision{Era: 1, Version: 40}}
	other := second
	other.Started = 1
	shorter, earlier := second, second
	shorter.Wait, earlier.Ended = time.Second/2, at(37)
	fetched := ready("x", 2, 30)
	fetched.Wait, fetched.DoubtedEra, fetched.Ended = second.Wait, second.Era, second.Ended
	tell := func(d *Directory, run UnusableRun) { d.ApplyUnusableRun(run, start) }
	for name, c := range map[string]struct {
		play func(d *Directory)
		wait time.Duration
	}{
		"told twice": {func(d *Directory) { tell(d, first); tell(d, second) }, testRowTTL},
		"fetched":    {func(d *Directory) { tell(d, first); apply(d, start, fetched) }, testRowTTL},
		"kept while the run had no row": {func(d *Directory) {
			apply(d, start, Entry{ID: "x", Revision: at(35), Gone: true})
			d.Apply(restore(1, 29), start.Add(time.Second-testRowTTL))
			tell(d, second)
			copied := ready("x", 2, 30)
			copied.Revision.Era = 1
			apply(d, start, copied)
		}, testRowTTL},
		"of a shorter wait":  {func(d *Directory) { tell(d, first); tell(d, shorter) }, time.Second},
		"of an earlier end":  {func(d *Directory) { tell(d, first); tell(d, earlier) }, time.Second},
		"of an earlier run":  {func(d *Directory) { tell(d, first); tell(d, other) }, time.Second},
		"no doubt but first": {func(d *Directory) { tell(d, first) }, time.Second},
	} {
		d := NewDirectory(testRowTTL)
		apply(d, start, ready("x", 2, 30))
		c.play(d)
		d.Expire(start.Add(c.wait - time.Millisecond))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the run is used before the end of its wait of %v", name, c.wait)
		}
		d.Expire(start.Add(c.wait))
		if len(d.View().Service("s")) != 1 {
			t.Errorf("%s: the run isn't used after its wait of %v", name, c.wait)
		}
	}
	d := NewDirectory(testRowTTL)
	apply(d, start, ready("x", 2, 30))
	tell(d, first)
	tell(d, second)
	if runs := d.UnusableRuns(start); len(runs) != 1 || runs[0] != second {
		t.Errorf("tells %v, want %v", runs, second)
	}
}

// The record of a server is forgotten, and another VM doubts another run.
func TestForgottenEndOfRunHoldsAfterDoubtOfOtherRun(t *testing.T) {
	for _, other := range []int64{4, 6} {
		now := time.Unix(1000, 0)
		d := NewDirectory(testRowTTL)
		apply(d, now, ready("x", 5, 30))
		apply(d, now, Entry{ID: "x", Revision: at(31), Gone: true})
		now = now.Add(2 * tombstoneAge)
		apply(d, now, ready("y", 1, 32))
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: other, Wait: testRowTTL / 2, Era: 1, Ended: at(40)}, now)
		d.Apply(restore(1, 33, ready("x", 5, 33)), now)
		d.Expire(now.Add(testRowTTL - time.Millisecond))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("doubt of run %d: run 5, seen to end, is used in a later era", other)
		}
		if d.Expire(now.Add(testRowTTL)); other < 5 && len(d.View().Service("s")) != 1 {
			t.Errorf("doubt of run %d: run 5 isn't used once its row outlived the copy", other)
		}
	}
}

// A server's row lapses within a new era, and the server announces itself again.
func TestWaitOfEarlierRunDoesNotDelayLaterOne(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 1, 30))
	apply(d, now, Entry{ID: "x", Revision: at(31), Gone: true})
	if d.Apply(restore(1, 30, ready("x", 1, 30)), now); len(d.View().Service("s")) != 0 {
		t.Fatal("the ended run is used")
	}
	later := func(v int) Entry {
		e := ready("x", 2, v)
		e.Revision.Era = 1
		return e
	}
	removed := func(v int) Entry {
		return Entry{ID: "x", Revision: platform.Revision{Era: 1, Version: platform.Version(v)}, Gone: true}
	}
	apply(d, now, removed(31))
	if apply(d, now, later(32)); len(d.View().Service("s")) != 1 {
		t.Fatal("the later run isn't used")
	}
	apply(d, now, removed(33))
	if apply(d, now, later(34)); len(d.View().Service("s")) != 1 {
		t.Error("the later run waits for the end of the earlier one's wait")
	}
	apply(d, now, removed(35))
	d.Apply(restore(2, 34, later(34)), now)
	d.Expire(now.Add(testRowTTL - time.Millisecond))
	if len(d.View().Service("s")) != 0 {
		t.Error("the later run is used in an era that began after its end")
	}
}

// A VM that missed a run's end passes the run on with the revision of another run's row.
func TestFetchedRowFromBeforeSeenEndIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, listing := range map[string]Update{
		"of the same era": {UpTo: at(46), Whole: true, Entries: []Entry{ready("x", 1, 46)}},
		"of a later era":  restore(1, 46, ready("x", 1, 46)),
	} {
		lagging, d := NewDirectory(testRowTTL), NewDirectory(testRowTTL)
		apply(lagging, now, ready("x", 2, 30))
		lagging.Apply(listing, now)
		apply(d, now, ready("x", 2, 30), Entry{ID: "x", Revision: at(38), Gone: true})
		d.Apply(lagging.Export(d.Known(), now), now)
		for _, after := range []time.Duration{0, testRowTTL} {
			d.Expire(now.Add(after))
			if len(d.View().Service("s")) != 0 {
				t.Errorf("a listing %s: the run is used %v after the fetch", name, after)
			}
		}
		if d.Known() != listing.UpTo {
			t.Errorf("a listing %s: the known revision is %v", name, d.Known())
		}
		again := ready("x", 2, 47)
		again.Revision.Era = listing.UpTo.Era
		apply(d, now.Add(testRowTTL), again)
		if len(d.View().Service("s")) != 1 {
			t.Errorf("a listing %s: the run isn't used when it announces itself again", name)
		}
	}
}
