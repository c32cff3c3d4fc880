package fleet

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/platform"
)

// at returns a revision of the first era.
func at(version int) platform.Revision { return platform.Revision{Version: platform.Version(version)} }

func ready(id backend.ID, started int64, revision int) Entry {
	return Entry{ID: id, Service: "s", Address: "127.0.0.1:1", State: Ready, Started: started, Weights: map[string]uint64{"m": 1}, Revision: at(revision)}
}

const testRowTTL = 6 * time.Second

// apply merges entries of the store's feed, up to the newest of their revisions.
func apply(d *Directory, now time.Time, entries ...Entry) {
	u := Update{After: d.Known(), UpTo: d.Known(), Entries: entries}
	for _, e := range entries {
		u.UpTo = platform.Later(u.UpTo, e.Revision)
	}
	d.Apply(u, now)
}

func TestNewerRevisionWins(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 10))
	draining := ready("x", 5, 12)
	draining.State = Draining
	apply(d, now, draining)
	apply(d, now, ready("x", 5, 11)) // From a lagging VM.
	if len(d.View().Service("s")) != 0 || d.View().Server("x") == nil {
		t.Error("a draining server is used or was removed")
	}
	apply(d, now, Entry{ID: "x", Revision: at(14), Gone: true})
	apply(d, now, ready("x", 5, 13))
	if d.View().Server("x") != nil {
		t.Error("a removed server reappeared with an older row")
	}
	apply(d, now, ready("x", 9, 20))
	apply(d, now, ready("x", 5, 21)) // A late announcement of the previous run.
	if e := d.View().Server("x"); e == nil || e.Started != 9 {
		t.Errorf("entry %+v, want the run that started at 9", e)
	}
	if d.Known() != at(21) || d.Newest() != at(21) {
		t.Errorf("known up to %v, newest change %v", d.Known(), d.Newest())
	}
}

// After a store outage, servers missing from the listing stay present for the grace period,
// in which they may announce themselves again.
func TestUnlistedServersStayForTheHoldTime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 1, 1), ready("y", 1, 2), ready("z", 1, 3))
	d.Apply(Update{UpTo: at(3), Whole: true, Entries: []Entry{ready("x", 1, 1)}, Hold: 2 * time.Second}, now)
	if n := len(d.View().Service("s")); n != 3 {
		t.Fatalf("%d servers right after the listing", n)
	}
	apply(d, now.Add(time.Second), ready("y", 1, 5))
	if ended := d.Expire(now.Add(1900 * time.Millisecond)); len(ended) != 0 {
		t.Errorf("removed before the end of the grace period: %v", ended)
	}
	if ended := d.Expire(now.Add(2 * time.Second)); len(ended) != 1 || ended[0].ID != "z" {
		t.Errorf("removed %v, want only z", ended)
	}
	apply(d, now, Entry{ID: "x", Revision: at(9), Gone: true, Hold: 5 * time.Second})
	d.Expire(now.Add(6 * time.Second))
	if d.View().Server("x") != nil {
		t.Error("a server whose row expired is still present")
	}
}

// Newest must not advance with a listing that changes nothing: other VMs would fetch from a
// VM that has just started, although it has no change that they lack.
func TestNewestIsTheNewestChangeNotTheListing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	d.Apply(Update{UpTo: at(50), Whole: true, Entries: []Entry{ready("x", 1, 7), ready("y", 1, 9)}}, now)
	if d.Known() != at(50) || d.Newest() != at(9) {
		t.Errorf("known up to %v, newest change %v, want 50 and 9", d.Known(), d.Newest())
	}
	d.Apply(Update{UpTo: at(60), Whole: true, Entries: []Entry{ready("x", 1, 7)}}, now)
	if d.Newest() != at(60) {
		t.Errorf("newest change %v after a listing without a known server, want 60", d.Newest())
	}
}

func TestLateAnnouncementKeepsNewerSeenWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 1, 1))
	if !d.SetWeights("x", 1, "m", 3, now) || d.SetWeights("x", 1, "m", 2, now) || d.SetWeights("x", 2, "m", 9, now) {
		t.Error("newer weights were refused, or older ones or those of another run accepted")
	}
	apply(d, now, ready("x", 1, 2)) // Announced before the new weights were loaded.
	if e := d.View().Server("x"); e.Weights["m"] != 3 || e.WeightsText() != "m=3" {
		t.Errorf("weights %v", e.Weights)
	}
	apply(d, now, ready("x", 2, 3))
	if e := d.View().Server("x"); e.Weights["m"] != 1 {
		t.Errorf("weights of a new run: %v", e.Weights)
	}
}

// A delayed order can make an engine load older weights again.
func TestAnnouncementReplacesExpiredSeenWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 1, 1))
	d.SetWeights("x", 1, "m", 3, now)
	apply(d, now.Add(10*time.Second), ready("x", 1, 2))
	if got := d.View().Server("x").Weights["m"]; got != 1 {
		t.Errorf("version %d, want the announced version 1", got)
	}
}

// When versions are named faster than engines load, dropping the oldest versions must not
// reduce the staleness of an engine that lacks them.
func TestStalenessSurvivesTheGoalLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGoals()
	for v := range uint64(12) {
		g.Add("m", Goal{Version: v + 2, Since: now.Add(time.Duration(v) * time.Second)})
	}
	at := now.Add(11 * time.Second)
	if got := g.Behind("m", 1, at); got < 11*time.Second {
		t.Errorf("version 1 is behind by %v after 12 versions in 11 s", got)
	}
	if got := g.Behind("m", 12, at); got > time.Second {
		t.Errorf("version 12 is behind by %v", got)
	}
}

func TestBehindCountsFromFirstMissedVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGoals()
	g.Add("m", Goal{Version: 2, Since: now})
	g.Add("m", Goal{Version: 5, Since: now.Add(6 * time.Second)})
	if g.Add("m", Goal{Version: 7, Since: now.Add(9 * time.Second)}) != Newest || g.Add("m", Goal{Version: 5, Since: now.Add(8 * time.Second)}) != Known {
		t.Error("Add doesn't distinguish a newest version from a known one")
	}
	at := now.Add(10 * time.Second)
	for held, want := range map[uint64]time.Duration{1: 10 * time.Second, 2: 4 * time.Second, 5: time.Second, 7: 0, 8: 0} {
		if got := g.Behind("m", held, at); got != want {
			t.Errorf("version %d is behind by %v, want %v", held, got, want)
		}
	}
	if g.Wanted("m") != 7 || g.Wanted("other") != 0 {
		t.Errorf("wanted %d", g.Wanted("m"))
	}
	// Another VM that learned of the version earlier corrects the time.
	if g.Add("m", Goal{Version: 7, Since: now.Add(7 * time.Second)}) != Corrected {
		t.Error("Add doesn't report an earlier time as a correction")
	}
	if got := g.Behind("m", 5, at); got != 3*time.Second {
		t.Errorf("behind by %v after the correction", got)
	}
}

func TestRunThatSaidItLeavesStaysDrained(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, started := range []int64{0, 5} {
		d := NewDirectory(testRowTTL)
		apply(d, now, ready("x", started, 1))
		if d.MarkDrained("x", started, now) == nil || d.MarkDrained("x", started, now) != nil {
			t.Error("only the first statement changes the state")
		}
		apply(d, now, ready("x", started, 2))
		d.Apply(Update{UpTo: at(3), Whole: true, Entries: []Entry{ready("x", started, 3)}}, now)
		if len(d.View().Service("s")) != 0 {
			t.Errorf("a row made the leaving run %d usable", started)
		}
		other := NewDirectory(testRowTTL)
		apply(other, now, ready("x", started, 3))
		for _, run := range d.UnusableRuns(now) {
			other.ApplyUnusableRun(run, now)
		}
		if len(other.View().Service("s")) != 0 {
			t.Errorf("another VM uses the leaving run %d", started)
		}
		apply(d, now, ready("x", 9, 4))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("the run after the leaving run %d is used before it showed that it doesn't leave", started)
		}
		d.DecideRun(d.UndecidedRuns()[0], false)
		if len(d.View().Service("s")) != 1 {
			t.Errorf("the run after the leaving run %d isn't used", started)
		}
	}
}

func TestLateDrainOfEarlierRunKeepsLaterRunDrained(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 9, 1))
	d.MarkDrained("x", 9, now)
	late := ready("x", 5, 2)
	late.State = Draining
	apply(d, now, late)
	apply(d, now, ready("x", 9, 3))
	if len(d.View().Service("s")) != 0 {
		t.Error("the later run is used again")
	}
}

// eraDirectory returns a directory that knows a ready run, of which an earlier copy of the store
// showed the end, from a listing of an era.
func eraDirectory(era platform.Era, now time.Time) *Directory {
	d := NewDirectory(testRowTTL)
	e := ready("x", 5, 1)
	e.Revision.Era = era
	d.Apply(Update{UpTo: platform.Revision{Era: era, Version: 1}, Whole: true, Entries: []Entry{e}}, now)
	return d
}

func TestDoubtOfAnotherVMOutlastsOwnKnowledge(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(2 * testRowTTL)
	doubt := UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 2}
	for _, c := range []struct {
		name   string
		era    platform.Era
		change func(*UnusableRun)
		used   bool
	}{
		{name: "the era is known here for longer than a row lasts", era: 2, used: true},
		{name: "a later era is known here for as long", era: 3, used: true},
		{name: "the era isn't known here", era: 1},
		{name: "an earlier build states no era", era: 2, change: func(r *UnusableRun) { r.Era = 0 }},
		{name: "the run ended for good", era: 2, change: func(r *UnusableRun) { r.Wait = 0 }},
	} {
		d, run := eraDirectory(c.era, start), doubt
		if c.change != nil {
			c.change(&run)
		}
		d.ApplyUnusableRun(run, later)
		if used := len(d.View().Service("s")) == 1; used != c.used {
			t.Errorf("%s: in use %v", c.name, used)
		}
	}
	d := eraDirectory(2, start)
	d.ApplyUnusableRun(doubt, start.Add(testRowTTL/2))
	if len(d.View().Service("s")) != 0 {
		t.Error("a doubted run is used although its row may still be that of the copy")
	}
	d.Expire(start.Add(testRowTTL))
	if len(d.View().Service("s")) != 1 {
		t.Error("a run whose row outlived the copy isn't used")
	}
}

func TestDoubtIsJudgedByRowsAfterTheEnd(t *testing.T) {
	start := time.Unix(1000, 0)
	row := func(era platform.Era, version platform.Version) Entry {
		e := ready("x", 5, 1)
		e.Revision = platform.Revision{Era: era, Version: version}
		return e
	}
	for _, c := range []struct {
		name string
		// rows are known here, each from a listing of its era; ended is the revision of the end that
		// another VM saw, which doubts a row of the era after the last one.
		rows  []Entry
		ended platform.Revision
		// after is how long this VM has known the last of its eras, and wait for how long it doubts the
		// run then; 0 if it goes on to use it.
		after, wait time.Duration
	}{
		{name: "a row after the end", rows: []Entry{row(1, 8)}, ended: platform.Revision{Era: 1, Version: 7}},
		{name: "a row before the end", rows: []Entry{row(1, 8)}, ended: platform.Revision{Era: 1, Version: 9}, after: time.Hour, wait: testRowTTL},
		{name: "the end is of a later era", rows: []Entry{row(1, 8)}, ended: platform.Revision{Era: 2, Version: 1}, after: time.Hour, wait: testRowTTL},
		{name: "a build that states no end", rows: []Entry{row(1, 8)}, after: time.Hour, wait: testRowTTL},
		{name: "a row after the end in the era before", rows: []Entry{row(1, 8), row(2, 3)}, ended: platform.Revision{Era: 1, Version: 7}},
		{name: "only rows before the end, which an era outlived", rows: []Entry{row(1, 8), row(2, 3)}, ended: platform.Revision{Era: 1, Version: 9}, after: testRowTTL},
		{name: "only rows before the end, which an era may outlive", rows: []Entry{row(1, 8), row(2, 3)}, ended: platform.Revision{Era: 1, Version: 9}, after: time.Second, wait: testRowTTL - time.Second},
		{name: "rows of two eras after that of the end", rows: []Entry{row(2, 3), row(3, 3)}, ended: platform.Revision{Era: 1, Version: 7}, after: time.Second, wait: testRowTTL - time.Second},
	} {
		d, now := NewDirectory(testRowTTL), start
		var last platform.Revision
		for _, e := range c.rows {
			last = e.Revision
			d.Apply(Update{UpTo: last, Whole: true, Entries: []Entry{e}}, now)
		}
		now = now.Add(c.after)
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: last.Era + 1, Ended: c.ended}, now)
		passedOn := d.UnusableRuns(now)
		if used := len(d.View().Service("s")) == 1; used != (c.wait == 0) || used != (len(passedOn) == 0) {
			t.Errorf("%s: in use %v, passed on %v", c.name, used, passedOn)
		}
		if c.wait > 0 && (len(passedOn) != 1 || passedOn[0].Wait != c.wait || passedOn[0].Ended != c.ended) {
			t.Errorf("%s: passes on %v, want a wait of %v", c.name, passedOn, c.wait)
		}
		if c.wait == testRowTTL && passedOn[0].Era != last.Era+1 {
			t.Errorf("%s: passes the doubt on as one of era %d", c.name, passedOn[0].Era)
		}
	}
}

// Rows of another run, and removals, aren't rows of the doubted run, at this VM and at those that
// fetch from it.
func TestDoubtOutweighsLaterRowsOfOtherRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	doubt := UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(2)}
	for name, later := range map[string]Entry{
		"a late row of an earlier run": ready("x", 3, 4),
		"a removal in an outage":       {ID: "x", Revision: at(4), Gone: true, Hold: time.Minute},
	} {
		d, other, removedElsewhere := NewDirectory(testRowTTL), NewDirectory(testRowTTL), NewDirectory(testRowTTL)
		apply(d, now, ready("x", 5, 1))
		apply(d, now, later)
		other.Apply(d.Export(platform.Revision{}, now), now)
		directories := []*Directory{d, other}
		if u := d.Export(platform.Revision{}, now); u.Entries[0].Hold > 0 {
			u.Entries[0].Row = platform.Revision{} // Earlier builds don't state it.
			removedElsewhere.Apply(u, now)
			directories = append(directories, removedElsewhere)
		}
		for _, d := range directories {
			if len(d.View().Service("s")) != 1 {
				t.Fatalf("%s: not in use", name)
			}
			d.ApplyUnusableRun(doubt, now)
			if len(d.View().Service("s")) != 0 {
				t.Errorf("%s: the doubted run is used", name)
			}
		}
	}
}

// A server may be used without a row of its run: in an outage, or while a copy shows an earlier run.
func TestDoubtOutweighsEraWithoutRowOfRun(t *testing.T) {
	now := time.Unix(1000, 0)
	rev := func(era platform.Era, version platform.Version) platform.Revision {
		return platform.Revision{Era: era, Version: version}
	}
	earlier := ready("x", 3, 1)
	earlier.Revision = rev(2, 1)
	for name, u := range map[string]Update{
		"an earlier run is listed": {UpTo: rev(2, 1), Whole: true, Entries: []Entry{earlier}},
		"its row is removed":       {After: rev(1, 1), UpTo: rev(1, 2), Entries: []Entry{{ID: "x", Revision: rev(1, 2), Gone: true, Hold: time.Hour}}},
	} {
		d := eraDirectory(1, now)
		d.Apply(u, now)
		if len(d.View().Service("s")) != 1 {
			t.Fatalf("%s: not in use", name)
		}
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 3, Ended: at(9)}, now.Add(2*testRowTTL))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the doubted run is used", name)
		}
	}
}

func TestOtherVMsEarlierRowDoesNotReplaceOwnKnowledge(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 9))
	fetched := ready("x", 5, 12)
	fetched.Row = at(7)
	apply(d, now, fetched)
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(8)}, now)
	if len(d.View().Service("s")) != 1 {
		t.Error("a run whose row was written after its end isn't used")
	}
}

// A VM that took a doubt over may read a row from after the end, or learn of a later end.
func TestTakenOverDoubtFollowsLaterKnowledge(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 1))
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(3)}, now)
	apply(d, now, ready("x", 5, 2))
	if len(d.View().Service("s")) != 0 {
		t.Error("the run is used with a row from before its end")
	}
	apply(d, now, ready("x", 5, 4))
	if len(d.View().Service("s")) != 1 {
		t.Error("the run isn't used with a row from after its end")
	}
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(6)}, now)
	now = now.Add(testRowTTL)
	d.Expire(now)
	if len(d.View().Service("s")) != 1 {
		t.Error("the run isn't used after the wait")
	}
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(6)}, now)
	if len(d.View().Service("s")) != 1 {
		t.Error("one end is waited for twice")
	}
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(8)}, now)
	if len(d.View().Service("s")) != 0 {
		t.Error("a later end isn't waited for")
	}
	apply(d, now, ready("x", 5, 7))
	if len(d.View().Service("s")) != 0 {
		t.Error("the run is used with a row from before its later end")
	}
}

// The same for a VM that didn't know the run, by which rows it reads before the wait is over.
func TestDoubtOfUnknownRunIsJudgedByItsRow(t *testing.T) {
	for _, c := range []struct {
		name  string
		row   platform.Revision
		ended platform.Revision
		used  bool
	}{
		{"before the end", platform.Revision{Era: 1, Version: 4}, platform.Revision{Era: 1, Version: 9}, false},
		{"after the end", platform.Revision{Era: 1, Version: 4}, platform.Revision{Era: 1, Version: 3}, true},
		{"in an era after that of the end, known for longer than a row lasts", platform.Revision{Era: 1, Version: 4}, at(3), true},
		{"the end isn't stated", platform.Revision{Era: 1, Version: 4}, platform.Revision{}, false},
	} {
		now := time.Unix(1000, 0)
		d := NewDirectory(testRowTTL)
		d.Apply(restore(1, 1), now)
		now = now.Add(testRowTTL)
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 2, Ended: c.ended}, now)
		e := ready("x", 5, 1)
		e.Revision = c.row
		apply(d, now, e)
		if used := len(d.View().Service("s")) == 1; used != c.used {
			t.Errorf("%s: in use %v", c.name, used)
		}
		if runs := d.UnusableRuns(now); !c.used && (len(runs) != 1 || runs[0].Era != 2 || runs[0].Ended != c.ended) {
			t.Errorf("%s: passes on %v", c.name, runs)
		}
	}
}

// A VM may hear of a doubt before it knows the run's row.
func TestDoubtIsKeptUntilRowOfRun(t *testing.T) {
	row := func(started int64, version platform.Version) Entry {
		e := ready("x", started, 1)
		e.Revision = platform.Revision{Era: 1, Version: version}
		return e
	}
	removed := Entry{ID: "x", Revision: platform.Revision{Era: 1, Version: 4}, Gone: true}
	for name, known := range map[string][]Entry{
		"an earlier run is in use": {row(3, 3)},
		"an earlier run has ended": {row(3, 3), removed},
		"the run itself has ended": {row(5, 3), removed},
		"the run was never known":  {},
	} {
		now := time.Unix(1000, 0)
		d := NewDirectory(testRowTTL)
		d.Apply(restore(1, 2), now)
		apply(d, now, known...)
		for _, wait := range []time.Duration{testRowTTL, testRowTTL - time.Second} {
			d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: wait, Era: 1, Ended: at(9)}, now)
		}
		now = now.Add(time.Second)
		apply(d, now, row(5, 6))
		if len(d.View().Service("s")) != 0 {
			t.Errorf("%s: the doubted run is used", name)
		}
		if runs := d.UnusableRuns(now); len(runs) != 1 || runs[0].Wait != testRowTTL-time.Second || runs[0].Ended != at(9) {
			t.Errorf("%s: passes on %v", name, runs)
		}
		apply(d, now, row(7, 7))
		if len(d.View().Service("s")) != 1 {
			t.Errorf("%s: the run after it isn't used", name)
		}
	}
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 3, 3))
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 1, Ended: at(5)}, now)
	apply(d, now, ready("x", 5, 6))
	if len(d.View().Service("s")) != 1 {
		t.Error("the run isn't used with a row from after its end")
	}
}

// Another VM may have read a row between the end that a VM saw and the last revision that it read.
func TestDoubtNamesNewestRevisionWithoutRow(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 1))
	apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true})
	apply(d, now, ready("y", 5, 9))
	for era := range platform.Era(2) {
		copied := ready("x", 5, 1)
		copied.Revision.Era = era + 1
		d.Apply(Update{UpTo: copied.Revision, Whole: true, Entries: []Entry{copied}}, now)
		if runs := d.UnusableRuns(now); len(runs) != 1 || runs[0].Ended != at(9) || runs[0].Era != era+1 {
			t.Errorf("era %d: tells %v, want an end at %v and this era", era+1, runs, at(9))
		}
	}
	unlisted := platform.Revision{Era: 3, Version: 4}
	d.Apply(restore(3, 4), now)
	late := ready("x", 5, 6)
	late.Revision.Era = 3
	apply(d, now, late)
	if runs := d.UnusableRuns(now); len(runs) != 1 || runs[0].Ended != unlisted {
		t.Errorf("tells %v, want an end at %v", runs, unlisted)
	}
}

// restore returns the first listing of an era, which shows some entries.
func restore(era platform.Era, upTo platform.Version, entries ...Entry) Update {
	for i := range entries {
		entries[i].Revision.Era = era
	}
	return Update{UpTo: platform.Revision{Era: era, Version: upTo}, Whole: true, Entries: entries}
}

func TestEndedRunIsWithheldInEveryLaterEra(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, play := range map[string]func(d *Directory, now time.Time) time.Time{
		"a copy shows the run before it": func(d *Directory, now time.Time) time.Time {
			d.Apply(restore(1, 1, ready("x", 3, 1)), now)
			late := ready("x", 5, 2)
			late.Revision.Era = 1
			apply(d, now, late)
			return now
		},
		"the row of the run before it is removed": func(d *Directory, now time.Time) time.Time {
			d.Apply(restore(1, 1, ready("x", 3, 1)), now)
			late := ready("x", 5, 3)
			late.Revision.Era = 1
			apply(d, now, Entry{ID: "x", Revision: platform.Revision{Era: 1, Version: 2}, Gone: true}, late)
			return now
		},
		"its record was forgotten": func(d *Directory, now time.Time) time.Time {
			now = now.Add(2 * tombstoneAge)
			apply(d, now, ready("y", 5, 3))
			if len(d.records) != 1 {
				t.Fatal("the record isn't forgotten")
			}
			d.Apply(restore(1, 1, ready("x", 5, 1)), now)
			return now
		},
		"it ended again after it was confirmed": func(d *Directory, now time.Time) time.Time {
			d.Apply(restore(1, 1, ready("x", 5, 1)), now)
			now = now.Add(testRowTTL)
			if d.Expire(now); len(d.View().Service("s")) != 1 {
				t.Fatal("a run whose row outlived the copy isn't used")
			}
			apply(d, now, Entry{ID: "x", Revision: platform.Revision{Era: 1, Version: 2}, Gone: true})
			now = now.Add(time.Second)
			d.Apply(restore(2, 1, ready("x", 5, 1)), now)
			return now
		},
		"another era begins during the wait": func(d *Directory, now time.Time) time.Time {
			d.Apply(restore(1, 1, ready("x", 5, 1)), now)
			now = now.Add(testRowTTL - time.Second)
			d.Apply(restore(2, 1, ready("x", 5, 1)), now)
			return now
		},
		"another era begins during the wait of a doubt of an earlier one": func(d *Directory, now time.Time) time.Time {
			delete(d.records, "x") // This VM doesn't know of the end.
			d.Apply(restore(1, 1), now)
			d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: time.Second, Era: 1, Ended: at(2)}, now)
			now = now.Add(time.Second / 2)
			d.Apply(restore(2, 1, ready("x", 5, 1)), now)
			return now
		},
		"another VM tells of a confirmed run's end": func(d *Directory, now time.Time) time.Time {
			d.Apply(restore(1, 1, ready("x", 5, 1)), now)
			now = now.Add(testRowTTL)
			d.Expire(now)
			d.Apply(restore(2, 1, ready("x", 5, 1)), now)
			d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5, Wait: testRowTTL, Era: 2, Ended: platform.Revision{Era: 1, Version: 2}}, now)
			return now
		},
	} {
		d := NewDirectory(testRowTTL)
		apply(d, start, ready("x", 5, 1))
		apply(d, start, Entry{ID: "x", Revision: at(2), Gone: true})
		now := play(d, start)
		for _, after := range []time.Duration{0, testRowTTL - time.Millisecond} {
			d.Expire(now.Add(after))
			if e := d.View().Server("x"); e != nil && e.Usable() {
				t.Errorf("%s: the run is used %v after the era began", name, after)
			}
		}
		d.Expire(now.Add(testRowTTL))
		if e := d.View().Server("x"); e == nil || !e.Usable() {
			t.Errorf("%s: the run isn't used once its row outlived the copy", name)
		}
	}
}

// A VM may fetch its state from one that saw a run end, before it hears of any doubt.
func TestFetchedWithheldRowIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 5, 1))
	apply(d, now, Entry{ID: "x", Revision: at(2), Gone: true})
	d.Apply(restore(1, 1, ready("x", 5, 1)), now)
	now = now.Add(time.Second)
	for name, known := range map[string][]Entry{
		"nothing is known":                      nil,
		"an earlier run is known":               {ready("x", 3, 1)},
		"an earlier run is known to have ended": {ready("x", 3, 1), {ID: "x", Revision: at(2), Gone: true}},
		"the end is known":                      {ready("x", 5, 1), {ID: "x", Revision: at(2), Gone: true}},
	} {
		other := NewDirectory(testRowTTL)
		apply(other, now, known...)
		other.Apply(d.Export(other.Known(), now), now)
		if e := other.View().Server("x"); e != nil && e.Started == 5 && e.Usable() {
			t.Errorf("%s: the run is used", name)
		}
		if runs := other.UnusableRuns(now); len(runs) != 1 || runs[0] != d.UnusableRuns(now)[0] {
			t.Errorf("%s: tells %v, want what the other VM tells", name, runs)
		}
		other.Expire(now.Add(testRowTTL - time.Second))
		if e := other.View().Server("x"); e == nil || e.Started != 5 || !e.Usable() {
			t.Errorf("%s: the run isn't used once its row outlived the copy", name)
		}
		if e := other.Export(platform.Revision{}, now).Entries[0]; e.Wait != 0 || !e.Ended.IsZero() || e.DoubtedEra != 0 {
			t.Errorf("%s: tells a wait that is over: %+v", name, e)
		}
	}
}

func TestFetchedWaitIsJudgedByRowsAfterTheEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	fetched := ready("x", 5, 1)
	fetched.Wait, fetched.DoubtedEra, fetched.Ended = testRowTTL, 1, at(7)
	for version, used := range map[int]bool{6: false, 8: true} {
		d := NewDirectory(testRowTTL)
		apply(d, now, ready("x", 5, version))
		d.Apply(restore(1, 9, fetched), now)
		if (len(d.View().Service("s")) == 1) != used {
			t.Errorf("a row of version %d before: in use %v", version, !used)
		}
		if e := d.Export(platform.Revision{}, now).Entries[0]; used && e.Wait != 0 {
			t.Errorf("tells the wait of a run that is in use: %+v", e)
		}
	}
	d := NewDirectory(testRowTTL)
	d.Apply(restore(1, 9), now)
	late := fetched
	late.DoubtedEra, late.Ended = 0, platform.Revision{} // Earlier builds don't state them.
	late.Revision = platform.Revision{Era: 1, Version: 10}
	now = now.Add(testRowTTL - time.Second)
	apply(d, now, late)
	if runs := d.UnusableRuns(now); len(runs) != 1 || runs[0].Wait != time.Second {
		t.Errorf("an earlier build's wait: %v, want the rest of a row's lifetime in this era", runs)
	}
}

// What another VM knows of a run beyond its row holds for a VM that knows the row already, or rows
// from after it.
func TestFetchedReportHoldsForKnownRow(t *testing.T) {
	now := time.Unix(1000, 0)
	drained := ready("x", 5, 1)
	drained.State, drained.DrainOverwritten = Draining, true
	doubted := ready("x", 5, 1)
	doubted.Wait, doubted.DoubtedEra, doubted.Ended = testRowTTL, 2, at(9)
	list := func(upTo int, e Entry) Update { return Update{UpTo: at(upTo), Whole: true, Entries: []Entry{e}} }
	for _, c := range []struct {
		name    string
		known   []Update
		fetched Update
	}{
		{"a drain, of the same revision", []Update{list(1, ready("x", 5, 1))}, list(1, drained)},
		{"a drain, before the known revision", []Update{list(4, ready("x", 5, 3))}, list(1, drained)},
		{"a drain, before the last revision known of the era before", []Update{list(4, ready("x", 5, 3)), restore(2, 1, ready("x", 5, 1))}, list(1, drained)},
		{"a drain, after the last revision known of the era before", []Update{list(4, ready("x", 5, 3)), restore(2, 1, ready("x", 5, 1))}, list(6, drained)},
		{"a doubt, of the same revision", []Update{list(1, ready("x", 5, 1))}, list(1, doubted)},
		{"a doubt, before the known revision", []Update{list(4, ready("x", 5, 3))}, list(1, doubted)},
	} {
		d := NewDirectory(testRowTTL)
		for _, u := range c.known {
			d.Apply(u, now)
		}
		known := d.Known()
		changed := d.Apply(c.fetched, now)
		if len(changed) != 1 || changed[0].Usable() || len(d.View().Service("s")) != 0 {
			t.Errorf("%s: changes %v, and %d servers are used", c.name, changed, len(d.View().Service("s")))
		}
		if d.Known() != known {
			t.Errorf("%s: the known revision changed to %v", c.name, d.Known())
		}
		if runs := d.UnusableRuns(now); len(runs) != 1 || runs[0].Started != 5 {
			t.Errorf("%s: tells %v", c.name, runs)
		}
	}
	d := NewDirectory(testRowTTL)
	d.Apply(list(4, ready("x", 9, 3)), now)
	if d.Apply(list(1, drained), now); len(d.View().Service("s")) != 1 {
		t.Error("a later run isn't used")
	}
}

// A late drain of an earlier run stops the use of a later one until its next row.
func TestOverwrittenDrainIsThatOfItsOwnRun(t *testing.T) {
	now := time.Unix(1000, 0)
	late := ready("x", 3, 3)
	late.State = Draining
	d, lagging := NewDirectory(testRowTTL), NewDirectory(testRowTTL)
	for _, d := range []*Directory{d, lagging} {
		apply(d, now, ready("x", 5, 1))
		d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 5}, now)
		apply(d, now, ready("x", 9, 2), late)
	}
	apply(d, now, ready("x", 9, 4))
	if len(d.View().Service("s")) != 1 {
		t.Fatal("the later run isn't used with its next row")
	}
	d.Apply(lagging.Export(platform.Revision{}, now), now)
	if len(d.View().Service("s")) != 1 {
		t.Error("the drain of another run is taken for that of the later one")
	}
}

// A server's row lapses within a new era, and the server announces itself again.
func TestRunAnnouncedAgainWithinNewEraIsUsedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	d.Apply(restore(1, 30, ready("x", 1, 30)), now)
	apply(d, now, Entry{ID: "x", Revision: platform.Revision{Era: 1, Version: 31}, Gone: true})
	again := ready("x", 1, 32)
	again.Revision.Era = 1
	apply(d, now.Add(time.Second), again)
	if len(d.View().Service("s")) != 1 {
		t.Error("the run isn't used")
	}
}

func TestRowOfOtherRunDoesNotContradictDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(testRowTTL)
	apply(d, now, ready("x", 1, 40))
	d.Apply(restore(1, 41, ready("x", 2, 41)), now)
	d.ApplyUnusableRun(UnusableRun{ID: "x", Started: 2, Wait: testRowTTL, Era: 2, Ended: at(38)}, now)
	if len(d.View().Service("s")) != 0 {
		t.Error("the run is used")
	}
}
