package roster

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/vm"
)

var t0 = time.Unix(1_000_000, 0)

func rosterOf(ids ...vm.ID) *Roster {
	r := &Roster{Version: 1}
	for _, id := range ids {
		r.Members = append(r.Members, vm.VM{ID: id})
	}
	return r
}

func presenceRow(id vm.ID, age time.Duration) Presence {
	return Presence{VM: vm.VM{ID: id}, RenewedAt: t0.Add(-age)}
}

func TestPlan(t *testing.T) {
	left := presenceRow("a", 0)
	left.Left = true
	leaving := presenceRow("a", 0)
	leaving.VM.Leaving = true
	restarted := presenceRow("a", 0)
	restarted.VM.Incarnation = 7
	moved := presenceRow("a", 0)
	moved.VM.PeerAddress = "127.0.0.1:1"
	tests := []struct {
		desc    string
		roster  *Roster
		rows    []Presence
		watched time.Duration
		want    Change
	}{
		{"first VM", rosterOf(), []Presence{presenceRow("a", 0)}, 0, Change{Admit: []vm.VM{{ID: "a"}}}},
		{"old row of an unknown VM", rosterOf(), []Presence{presenceRow("a", minExpiry)}, 0, Change{}},
		{"left", rosterOf("a"), []Presence{left}, 0, Change{Remove: []vm.ID{"a"}}},
		{"left and not a member", rosterOf(), []Presence{left}, 0, Change{}},
		{"leaving", rosterOf("a"), []Presence{leaving}, 0, Change{Admit: []vm.VM{leaving.VM}}},
		{"leaving and not a member", rosterOf(), []Presence{leaving}, 0, Change{}},
		{"restarted", rosterOf("a"), []Presence{restarted}, 0, Change{}},
		{"moved", rosterOf("a"), []Presence{moved}, 0, Change{Admit: []vm.VM{moved.VM}}},
		{"not renewed", rosterOf("a"), []Presence{presenceRow("a", minExpiry)}, minObservation, Change{Remove: []vm.ID{"a"}, Expel: []vm.ID{"a"}}},
		{"not renewed, watched for a short time", rosterOf("a"), []Presence{presenceRow("a", minExpiry)}, minObservation / 2, Change{}},
		{"wrong wall clock at the VM", rosterOf("a"), []Presence{presenceRow("a", -time.Hour)}, minObservation, Change{}},
		{"first scan after an outage", rosterOf("a"), []Presence{presenceRow("a", time.Minute)}, time.Minute, Change{}},
		{"without a row", rosterOf("a"), nil, 0, Change{Remove: []vm.ID{"a"}}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var w Watch
			w.Observe(tt.rows, t0.Add(-tt.watched))
			w.Observe(tt.rows, t0)
			if got := Plan(tt.roster, tt.rows, &w, t0); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestWrongWallClock checks that a VM whose wall clock is behind is admitted once
// its presence row has changed between two scans.
func TestWrongWallClock(t *testing.T) {
	var w Watch
	for i, want := range []int{0, 1} {
		now := t0.Add(time.Duration(i) * time.Second)
		rows := []Presence{{VM: vm.VM{ID: "b"}, RenewedAt: now.Add(-time.Hour)}}
		w.Observe(rows, now)
		if got := Plan(rosterOf("a"), rows, &w, now); len(got.Admit) != want {
			t.Errorf("scan %d admits %v", i, got.Admit)
		}
	}
}

func TestExcludeReachable(t *testing.T) {
	c := Change{Remove: []vm.ID{"a", "b", "left"}, Expel: []vm.ID{"a", "b"}}
	got := c.ExcludeReachable(map[vm.ID]bool{"a": true, "left": true})
	want := Change{Remove: []vm.ID{"b", "left"}, Expel: []vm.ID{"b"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestInForce(t *testing.T) {
	acked := func(id vm.ID, n uint64) Presence {
		return Presence{VM: vm.VM{ID: id}, Head: head.Head{Number: config.Number(n)}}
	}
	long := freshness.Bound
	tests := []struct {
		desc      string
		rows      []Presence
		committed time.Duration
		roster    time.Duration
		want      Rule
	}{
		{"all acknowledged", []Presence{acked("a", 5), acked("b", 6)}, 0, long, Acknowledged},
		{"one is behind", []Presence{acked("a", 5), acked("b", 4)}, 0, long, NotYet},
		{"one has no row", []Presence{acked("a", 5)}, 0, long, NotYet},
		{"the roster is young", []Presence{acked("a", 5), acked("b", 5)}, 0, long - 1, NotYet},
		{"the bound has passed", []Presence{acked("a", 5)}, long, 0, BoundPassed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := InForce(5, rosterOf("a", "b"), tt.rows, tt.committed, tt.roster); got.Rule != tt.want {
				t.Errorf("got %+v, want %q", got, tt.want)
			}
		})
	}
}

// TestElectorate checks that a member stays in the electorate until it has been
// missing from the platform's list without interruption for goneAfter and does
// not renew its presence.
func TestElectorate(t *testing.T) {
	r := rosterOf("a", "b")
	var a Absence
	a.Observe(r, []vm.ID{"a"}, t0)
	a.Observe(r, []vm.ID{"a"}, t0.Add(goneAfter))
	gone := a.Gone(t0.Add(goneAfter))
	if got := Electorate(r, gone, []Presence{presenceRow("b", goneAfter)}, t0); len(got) != 1 {
		t.Errorf("gone: %v", got)
	}
	if got := Electorate(r, gone, []Presence{presenceRow("b", time.Second)}, t0); len(got) != 2 {
		t.Errorf("not listed, but renews its presence: %v", got)
	}
	a.Observe(r, []vm.ID{"a", "b"}, t0.Add(goneAfter))
	a.Observe(r, []vm.ID{"a"}, t0.Add(goneAfter+1))
	if got := a.Gone(t0.Add(2 * goneAfter)); len(got) != 0 {
		t.Errorf("after it was listed again: %v", got)
	}
}

// TestSweeperCount checks that each slot has the right number of sweepers, and
// that the role rotates over the members of large and small rosters.
func TestSweeperCount(t *testing.T) {
	for _, n := range []int{1, 3, 350} {
		var ids []vm.ID
		for i := range n {
			ids = append(ids, vm.ID(fmt.Sprintf("%03d", i)))
		}
		r := rosterOf(ids...)
		sweptSlots := map[vm.ID]int{}
		const slots = 40
		for slot := range slots {
			now := t0.Add(time.Duration(slot) * sweepSlot)
			sweeping := 0
			for _, id := range ids {
				if IsSweeper(r, id, now) {
					sweeping++
					sweptSlots[id]++
				}
			}
			if sweeping != min(n, sweeperCount) {
				t.Fatalf("%d VMs: %d sweepers", n, sweeping)
			}
		}
		if len(sweptSlots) < min(n, slots) {
			t.Errorf("%d VMs: only %d ever swept", n, len(sweptSlots))
		}
	}
}
