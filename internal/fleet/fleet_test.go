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
