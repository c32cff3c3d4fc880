package ratelimit

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/selector"
)

// The VMs' parts of each server add up to its slots, and their parts of a service differ by one.
func TestPartsOfBrittleServersAddUp(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("parts add up", prop.ForAll(func(vms int, servers []int) bool {
		sums, totals := make([]int, len(servers)), make([]int, vms)
		slots := 0
		for rank := range vms {
			offset, part := 0, 0
			for i, n := range servers {
				part, offset = Division{count: vms, rank: rank}.Part(n, offset)
				sums[i] += part
				totals[rank] += part
			}
		}
		for i, n := range servers {
			slots += n
			if sums[i] != n {
				return false
			}
		}
		for _, total := range totals {
			if total != slots/vms && total != (slots+vms-1)/vms {
				return false
			}
		}
		return true
	}, gen.IntRange(1, 40), gen.SliceOfN(7, gen.IntRange(0, 70))))
	properties.TestingRun(t)
}

func TestVMWithoutCallersMayUseOneSlot(t *testing.T) {
	if part, _ := (Division{count: 3, rank: -1}).Part(8, 0); part != 1 {
		t.Errorf("part %d", part)
	}
}

func TestBrittleServerGetsNothingAfterARefusal(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable("vm", func() time.Time { return now })
	key := selector.ServerKey{ID: "s"}
	table.RecordRefusal(key)
	if _, brittle := table.Room(key, 4); brittle {
		t.Error("a server that states nothing is brittle")
	}
	table.RecordStatement(key, Statement{Brittle: true, MaxRefusals: 2}, now)
	if room, brittle := table.Room(key, 4); !brittle || room != 4 {
		t.Errorf("room %d, brittle %v", room, brittle)
	}
	table.RecordRefusal(key)
	if room, _ := table.Room(key, 4); room != 0 {
		t.Errorf("room %d after a refusal", room)
	}
	now = now.Add(refusalPause)
	if room, _ := table.Room(key, 4); room != 4 {
		t.Errorf("room %d after the pause", room)
	}
}

func TestBrittlenessEndsWithALaterResponseOnly(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable("vm", func() time.Time { return now })
	key := selector.ServerKey{ID: "s"}
	brittle := func() bool { _, b := table.Room(key, 1); return b }
	sentBefore := now
	now = now.Add(time.Second)
	table.RecordStatement(key, Statement{Brittle: true, Limited: true, Rate: 5}, now)
	table.RecordStatement(key, Statement{Limited: true, Rate: 5}, sentBefore)
	if !brittle() {
		t.Error("a response to an earlier request ends it")
	}
	now = now.Add(time.Second)
	table.RecordStatement(key, Statement{Limited: true, Rate: 5}, now)
	if s, _ := table.LatestStatement(key); brittle() || !s.Limited {
		t.Errorf("after a later response: %+v", s)
	}
}

func TestBrittlenessReachesOtherVMs(t *testing.T) {
	now := time.Unix(1e9, 0)
	clock := func() time.Time { return now }
	a, b := NewTable("a", clock), NewTable("b", clock)
	key := selector.ServerKey{ID: "s", Started: 3}
	a.RecordStatement(key, Statement{Brittle: true, MaxRefusals: 2}, now)
	for _, n := range a.Notices() {
		b.RecordNotice(n)
	}
	s, _ := b.LatestStatement(key)
	if room, brittle := b.Room(key, 2); !brittle || room != 2 || s.Limited {
		t.Errorf("room %d, brittle %v, %+v", room, brittle, s)
	}
}
