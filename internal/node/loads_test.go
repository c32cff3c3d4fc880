package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/selector"
)

// After any reports, the sums are what adding up the last report of each VM that isn't silent gives.
func TestLoadSumsEqualReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	l := newPeerLoads()
	last := map[string]loadReport{}
	applied := map[selector.ServerKey]selector.Report{}
	for step := range 3000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		from := fmt.Sprint("vm-", rng.IntN(9))
		r := loadReport{at: now}
		for i := range rng.IntN(4) {
			r.loads = append(r.loads, gossip.ServerLoad{
				ID: backend.ID(fmt.Sprint("s", i)), Started: int64(rng.IntN(2)),
				Running: rng.IntN(3), Backlog: rng.IntN(5000), Churn: rng.IntN(90), Memory: rng.IntN(9000), Silent: int64(rng.IntN(2) * rng.IntN(900)), Gone: rng.IntN(9) == 0,
			})
			if rng.IntN(3) == 0 {
				r.reserved = append(r.reserved, backend.ID(fmt.Sprint("s", i)))
			}
		}
		l.record(from, r.at, r.loads, r.reserved)
		last[from] = r
		l.expire(now)
		maps.DeleteFunc(last, func(_ string, r loadReport) bool { return now.Sub(r.at) >= gossip.SilenceLimit })

		want, reserved := map[selector.ServerKey]selector.Report{}, map[backend.ID]bool{}
		for _, r := range last {
			addLoads(want, r.loads)
			for _, id := range r.reserved {
				reserved[id] = true
			}
		}
		changed, _ := l.takeChanged()
		for key, load := range changed {
			if load == (selector.Report{}) {
				delete(applied, key)
			} else {
				applied[key] = load
			}
		}
		maps.DeleteFunc(want, func(_ selector.ServerKey, r selector.Report) bool { return r == (selector.Report{}) })
		if !maps.Equal(applied, want) {
			t.Fatalf("step %d: sums %v, want %v", step, applied, want)
		}
		for id := range l.reservedSince() {
			if !reserved[id] {
				t.Fatalf("step %d: %s is reserved, but no report lists it", step, id)
			}
		}
		if len(l.reservedSince()) != len(reserved) {
			t.Fatalf("step %d: %d engines are reserved, want %d", step, len(l.reservedSince()), len(reserved))
		}
	}
}

func TestReservationKeepsItsTimeAcrossReports(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newPeerLoads()
	for range 5 {
		l.record("vm", now, nil, []backend.ID{"e"})
		now = now.Add(200 * time.Millisecond)
	}
	if since := l.reservedSince()["e"]; !since.Equal(time.Unix(1000, 0)) {
		t.Errorf("reserved since %v", since)
	}
}

// A report that a relay passes on ages. Otherwise each summary would prolong the time for which a
// server counts as full.
func TestReportedFullServerAges(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []gossip.ServerLoad{{ID: "s", Running: 1, Full: 200}}
	loads := map[selector.ServerKey]selector.Report{}
	addFull(loads, list, 150*time.Millisecond)
	passed := sortedLoads(loads)
	if len(passed) != 1 || passed[0].Full != 50 {
		t.Errorf("passed on: %v, want 50 ms left", passed)
	}
	l := newPeerLoads()
	l.record("a", now, list, nil)
	l.record("b", now, []gossip.ServerLoad{{ID: "s", Full: 300}}, nil)
	if changed, _ := l.takeChanged(); !changed[selector.ServerKey{ID: "s"}].FullUntil.Equal(now.Add(300 * time.Millisecond)) {
		t.Errorf("the latest end doesn't count: %v", changed)
	}
	l.record("b", now, nil, nil)
	l.record("a", now, nil, nil)
	if changed, _ := l.takeChanged(); changed[selector.ServerKey{ID: "s"}] != (selector.Report{}) {
		t.Errorf("full without a report: %v", changed)
	}
}
