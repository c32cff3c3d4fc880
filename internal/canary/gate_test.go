package canary

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
)

func running(stage uint32, share float64) Announcement {
	return Announcement{Service: "s", To: "v2", Order: platform.Revision{Version: 7}, Phase: Running, Fencing: 2, Stage: stage,
		Share: share, For: time.Second}
}

// A VM that sent more than the share of its own requests would break the exposure of all.
func TestGateCountsTheShare(t *testing.T) {
	g := NewGate()
	allowed, got := 1.0, 0.0
	for stage := uint32(1); stage < 200; stage++ {
		share := rand.Float64()
		g.Apply(running(stage, share), epoch)
		for range rand.IntN(30) {
			if c := g.Route("s", epoch); c.UseNew == c.UseOld || !c.Active || c.To != "v2" {
				t.Fatalf("choice %+v", c)
			} else if c.UseNew {
				got++
			}
			if allowed += share; got > allowed+1e-6 {
				t.Fatalf("%v requests of %v allowed", got, allowed)
			}
		}
	}
	if got < allowed-2 {
		t.Errorf("%v requests of %v allowed", got, allowed)
	}
}

// Late, repeated and conflicting messages must not bring a version back or prolong a stage.
func TestGateOrdersAnnouncements(t *testing.T) {
	g := NewGate()
	apply := func(a Announcement, at time.Duration, want bool) {
		t.Helper()
		if got := g.Apply(a, epoch.Add(at)); got != want {
			t.Errorf("Apply(%+v) = %v", a, got)
		}
	}
	route := func(at time.Duration, useNew bool) {
		t.Helper()
		if c := g.Route("s", epoch.Add(at)); c.UseNew != useNew || c.UseOld == useNew {
			t.Errorf("at %v: %+v", at, c)
		}
	}
	if c := g.Route("s", epoch); c.Active {
		t.Errorf("without an announcement: %+v", c)
	}
	apply(running(5, 1), 0, true)
	route(999*time.Millisecond, true)
	apply(running(5, 1), 900*time.Millisecond, false)
	if a := g.Announcements(epoch.Add(400 * time.Millisecond)); len(a) != 1 || a[0].For != 600*time.Millisecond {
		t.Errorf("passed on: %+v", a)
	}
	route(time.Second, false)
	if a := g.Announcements(epoch.Add(time.Second)); len(a) != 0 {
		t.Errorf("passed on after the end: %+v", a)
	}
	apply(running(4, 1), time.Second, false)
	later := running(1, 1)
	later.Fencing, later.OldStopping = 3, true
	apply(later, time.Second, true)
	route(1500*time.Millisecond, true)
	end := running(1, 0)
	end.Phase, end.Fencing = RolledBack, 1
	apply(end, 1500*time.Millisecond, true)
	apply(running(9, 1), 1500*time.Millisecond, false)
	completed := running(9, 1)
	completed.Phase, completed.Fencing = Completed, 9
	apply(completed, 1500*time.Millisecond, false)
	route(time.Hour, false)
	if a := g.Announcements(epoch.Add(2 * time.Second)); len(a) != 1 || a[0].Phase != RolledBack {
		t.Errorf("passed on: %+v", a)
	}
	completed.Order.Version = 8
	apply(completed, 2*time.Second, true)
	route(time.Hour, true)
	if a := g.Announcements(epoch.Add(time.Hour)); len(a) != 0 {
		t.Errorf("passed on after an hour: %+v", a)
	}
}

// A VM's counts must belong to the order, show requests from before it that still run at old servers,
// and call for a report when bad answers of the new version come.
func TestTally(t *testing.T) {
	y := NewTally()
	end := y.Begin("s", false)
	y.Record("s", "r", false, true, 0)
	if r := y.Reports(epoch); len(r) != 0 {
		t.Errorf("reports without an order: %+v", r)
	}
	a := running(3, 0.5)
	y.Track(a)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			y.Begin("s", true)()
			y.Record("s", "r", false, true, 0)
			y.Record("s", "r", true, false, 3*time.Millisecond)
		})
	}
	wg.Wait()
	if y.Urgent() {
		t.Error("urgent without bad answers of the new version")
	}
	for range urgentFailures {
		y.Record("s", "r", true, true, time.Hour)
	}
	if !y.Urgent() {
		t.Error("not urgent after bad answers of the new version")
	}
	r := y.Reports(epoch)[0]
	if r.Sent != 8 || r.SentNew != 8 || r.OldRunning != 1 || r.Stage != 3 || r.Order != a.Order || len(r.Routes) != 1 ||
		r.Routes[0].New.Requests != 8+urgentFailures || r.Routes[0].New.Latency[4] != 8 || r.Routes[0].Old.Failures != 8 {
		t.Errorf("report %+v", r)
	}
	end()
	end()
	a.Order.Version++
	y.Track(a)
	if r := y.Reports(epoch)[0]; y.Urgent() || r.OldRunning != 0 || r.Sent != 0 || len(r.Routes) != 0 {
		t.Errorf("report of the next order %+v", r)
	}
}
