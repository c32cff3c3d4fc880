package selector

import (
	"fmt"
	"testing"
	"time"
)

// A crashed server's address is open again when the next incarnation has started. Without a lasting
// mark, each probe that finds it open sends requests to the old incarnation again, on every VM.
func TestGoneServerStaysGoneOnAllVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := NewTable(time.Minute, clock), NewTable(time.Minute, clock)
	x := engine("x", "a", 1)
	r := a.Begin(&Candidate{Entry: x}, nil, 60_000)
	r.DataReceived() // The 421 is data.
	r.End(Misdirected)
	b.UpdatePeerLoads(a.Loads())
	now = now.Add(time.Minute)
	b.UpdatePeerLoads(map[ServerKey]Report{KeyOf(x): {}}) // The reports have ended.
	for name, table := range map[string]*Table{"own": a, "told": b} {
		table.MarkReachable(KeyOf(x))
		table.MarkAllReachable()
		c, next := Candidate{Entry: x}, Candidate{Entry: engine("x", "a", 1)}
		next.Entry.Started = 2
		table.Fill(&c, nil)
		table.Fill(&next, nil)
		if !c.Gone || !table.Gone(KeyOf(x)) || next.Gone {
			t.Errorf("%s: the ended incarnation is gone: %v, the next one: %v", name, c.Gone, next.Gone)
		}
	}
	if r := b.Loads()[KeyOf(x)]; r.Gone {
		t.Error("a VM that was only told reports it, so that the reports never end")
	}
}

// After a crash of a third of the servers, a VM with few requests sees more failed servers than
// servers with its requests. It must report them all the same, and a VM that is cut off none.
func TestCrashOfThirdIsReportedAndPartitionIsNot(t *testing.T) {
	for _, cut := range []bool{false, true} {
		now := time.Unix(1000, 0)
		table := NewTable(time.Minute, func() time.Time { return now })
		const servers, down = 72, 24
		for i := range servers {
			r := table.Begin(&Candidate{Entry: engine(fmt.Sprint(i), "a", 1)}, nil, 60_000)
			r.FirstByte(60_000)
			r.End(Succeeded)
		}
		now = now.Add(100 * time.Millisecond)
		if cut {
			now = now.Add(silenceRampStart)
		}
		for i := range down {
			table.Begin(&Candidate{Entry: engine(fmt.Sprint(i), "a", 1)}, nil, 60_000).End(Unreachable)
		}
		reported := 0
		for _, r := range table.Loads() {
			if r.Silent >= silenceRampEnd {
				reported++
			}
		}
		if want := map[bool]int{false: down, true: 0}[cut]; reported != want {
			t.Errorf("cut off %v: reported %d servers, want %d", cut, reported, want)
		}
	}
}

// VMs probe a crashed server up to 1.5 s apart. The one that finds it open first must not wait for the
// reports of the others to end.
func TestOwnProbeOverridesReports(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	unresponsive := func() bool {
		c := Candidate{Entry: x}
		table.Fill(&c, nil)
		return c.Unresponsive()
	}
	table.Begin(&Candidate{Entry: x}, nil, 60_000).End(Unreachable)
	table.UpdatePeerLoads(map[ServerKey]Report{KeyOf(x): {Silent: 2 * time.Second}})
	if !unresponsive() {
		t.Error("a server that accepts no connections is used")
	}
	table.MarkReachable(KeyOf(x))
	if unresponsive() {
		t.Error("not used although the own probe has just found it open")
	}
	now = now.Add(time.Second)
	if !unresponsive() {
		t.Error("without own data since the probe, the reports of others don't count")
	}
}
