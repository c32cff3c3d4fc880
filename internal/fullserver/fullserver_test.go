package fullserver

import (
	"math/rand/v2"
	"testing"
	"time"
)

// result is what the simulated callers and servers get.
type result struct{ accepted, rejected, refused int }

// simulate replays bookings at a multiple of the capacity of 4 servers of 6 slots through VMs. Each
// request tries up to 3 servers within a retry budget of a fifth of the requests. Reports take 100 ms.
func simulate(vms int, load float64, held bool) result {
	const servers, slots, attempts = 4, 6, 3
	const step, runTime, reportTime = time.Millisecond, 170 * time.Millisecond, 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	type run struct {
		vm  int
		end time.Time
	}
	var running [servers][]run
	holds := make([][servers]Hold, vms)
	others := make([][servers]int, vms) // The requests of other VMs as reported.
	budget := make([]float64, vms)
	own := func(vm, s int) (n int) {
		for _, x := range running[s] {
			if x.vm == vm {
				n++
			}
		}
		return n
	}
	var r result
	perStep := load * servers * slots * step.Seconds() / runTime.Seconds()
	for tick := range 20_000 {
		now = now.Add(step)
		for s := range running {
			kept := running[s][:0]
			for _, x := range running[s] {
				if x.end.After(now) {
					kept = append(kept, x)
				} else {
					holds[x.vm][s].Room()
				}
			}
			running[s] = kept
		}
		if tick%int(reportTime/step) == 0 {
			for s := range servers {
				for vm := range vms {
					var until time.Time
					others[vm][s] = len(running[s]) - own(vm, s)
					for other := range vms {
						if left := holds[other][s].OwnLeft(now); other != vm && left > 0 && now.Add(left).After(until) {
							until = now.Add(left)
						}
					}
					holds[vm][s].Report(until)
				}
			}
		}
		if rng.Float64() >= perStep {
			continue
		}
		vm, tried := rng.IntN(vms), 0
		budget[vm] += 0.2
		for _, s := range rng.Perm(servers) {
			h := &holds[vm][s]
			if held && h.Left(now, others[vm][s]+own(vm, s) < slots) > 0 || tried == attempts || tried > 0 && budget[vm] < 1 {
				continue
			}
			if tried++; tried > 1 {
				budget[vm]--
			}
			h.Send(now)
			sent := now
			if len(running[s]) < slots {
				running[s] = append(running[s], run{vm, now.Add(time.Duration((0.5 + rng.Float64()) * float64(runTime)))})
				h.Accept(sent)
				r.accepted++
				tried = -1
				break
			}
			h.Reject(now, sent.Add(-time.Microsecond), rng.Float64())
			r.rejected++
		}
		if tried == 0 {
			r.refused++
		}
	}
	return r
}

// Without a hold, each request learns again that the servers are full, which uses up the budget for
// repeated sends. A hold must not leave capacity unused either.
func TestFullServersAreLeftAlone(t *testing.T) {
	for _, c := range []struct {
		vms  int
		load float64
	}{{6, 0.5}, {6, 1.2}, {6, 2}, {24, 0.5}, {24, 1.2}, {24, 2}} {
		without, with := simulate(c.vms, c.load, false), simulate(c.vms, c.load, true)
		t.Logf("%+v: without %+v, with %+v", c, without, with)
		if c.load > 1 && with.rejected >= without.rejected || c.load >= 2 && c.vms == 6 && 3*with.rejected > 2*without.rejected {
			t.Errorf("%+v: %d rejections, %d without holds", c, with.rejected, without.rejected)
		}
		if float64(with.accepted) < 0.95*float64(without.accepted) {
			t.Errorf("%+v: %d accepted, %d without holds", c, with.accepted, without.accepted)
		}
	}
}

// A VM without a request at the server returns after a hold that grows, with one request at a time; a
// burst of rejections counts once.
func TestHoldGrowsAndEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Hold
	for i, want := range []time.Duration{50, 100, 200, 400, 800, 800} {
		want *= time.Millisecond
		sent := now
		h.Send(now)
		now = now.Add(10 * time.Millisecond)
		if first := h.Reject(now, sent, 0.5); first != (i == 0) {
			t.Errorf("rejection %d is the first: %v", i, first)
		}
		h.Reject(now, sent, 0.5)
		if got := h.Left(now, false); got != want {
			t.Errorf("rejection %d: held for %v, want %v", i, got, want)
		}
		now = now.Add(want)
		if h.Left(now, false) != 0 {
			t.Errorf("rejection %d: the hold does not end", i)
		}
	}
	h.Send(now)
	if h.Left(now, false) == 0 {
		t.Error("a second request is sent before the first is accepted")
	}
	h.Accept(now)
	if h.Left(now, false) != 0 {
		t.Error("held after an accepted request")
	}
}

// A report holds a server for the others, but not past its end, nor after an own sign of room, also
// if the same hold is reported again.
func TestReportedHold(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Hold
	h.Report(now.Add(300 * time.Millisecond))
	if h.Left(now, false) != 300*time.Millisecond || h.OwnLeft(now) != 0 {
		t.Error("the reported hold doesn't apply, or is reported on")
	}
	if h.Left(now, true) != 0 {
		t.Error("the reported hold applies although the known requests leave a slot")
	}
	h.Room()
	h.Report(now.Add(310 * time.Millisecond))
	if h.Left(now, false) != 0 {
		t.Error("held by a report from before an own sign of room")
	}
	h.Report(now.Add(500 * time.Millisecond))
	if h.Left(now, false) == 0 || h.Left(now.Add(501*time.Millisecond), false) != 0 {
		t.Error("a later hold doesn't apply, or doesn't end")
	}
	h.Report(now.Add(time.Hour))
	if h.Left(now, false) > maxHold {
		t.Error("a malformed report holds for longer than any hold")
	}
}
