package steer

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/saturation"
	"papayaspan.dev/papayaspan/internal/vm"
)

// A burst of 2.6 times the cost of calls for 8 s must not saturate the VMs that take calls while others
// are on standby, and must not bring VMs in and out afterwards.
func TestBurstBringsStandbyVMsIn(t *testing.T) {
	pick, _ := pickers(1)
	replay := func(pick func(int, []VM, []VM, time.Time) []VM) (time.Duration, *simulation) {
		s := newSimulation(1, 2, 17, pick)
		s.run(20*time.Second, constant(300), 0.0022)
		s.changes[0] = 0
		s.run(8*time.Second, constant(300), 2.6*0.0022)
		longest := s.worst()
		return longest, s
	}
	longest, s := replay(pick)
	if longest > simSaturated {
		t.Errorf("a VM was saturated for %v, want at most %v", longest, simSaturated)
	}
	s.run(30*time.Second, constant(300), 0.0022)
	if s.changes[0] > 4 || s.last[0] != 2 {
		t.Errorf("%d changes of the VMs in use, %d at the end", s.changes[0], s.last[0])
	}
	if longest, _ := replay(today); longest <= simSaturated {
		t.Errorf("the replay saturates no VM with the choice by rate (%v)", longest)
	}
}

// A wave that crosses four domains exceeds the VMs of each in turn: the others must take the excess, and
// must not be saturated by it.
func TestWaveSpillsOver(t *testing.T) {
	wave := func(pick func(int, []VM, []VM, time.Time) []VM) (time.Duration, *simulation) {
		s := newSimulation(4, 2, 12, pick)
		s.run(10*time.Second, constant(250), 0.0027)
		clear(s.changes)
		s.worst()
		var longest time.Duration
		for at := range 4 {
			for _, factor := range []float64{1.5, 2, 2.5, 3, 3.5, 4, 4.5, 4.5, 4.5, 4.5, 4, 3.5, 3, 2.5, 2, 1.5} {
				s.run(time.Second, func(d int) float64 {
					if d == at {
						return 250 * factor
					}
					return 250
				}, 0.0027)
			}
			longest = max(longest, s.worst())
		}
		return longest, s
	}
	pick, list := pickers(4)
	longest, s := wave(pick)
	if longest > simSaturated {
		t.Errorf("a VM was saturated for %v, want at most %v", longest, simSaturated)
	}
	s.run(25*time.Second, constant(250), 0.0027)
	clear(s.changes)
	s.run(30*time.Second, constant(250), 0.0027)
	for d, n := range s.changes {
		if n > 0 || s.last[d] != 2 {
			t.Errorf("domain %d: %d changes at rest after the wave, %+v", d, n, list[d].Decision())
		}
	}
	if longest, _ := wave(today); longest <= simSaturated {
		t.Errorf("the replay saturates no VM with the choice by rate (%v)", longest)
	}
}

// While no VM is saturated, the result must be that of Pick, also with VMs that report nothing (old builds).
func TestPickerAtRestIsPick(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("unchanged", prop.ForAll(func(strong, weak int, rates []float64) bool {
		p, now := NewPicker("a"), time.Unix(0, 0)
		for i, calls := range rates {
			near, far := makeVMs(strong, weak, calls), makeVMs(1, 3, 10)
			want := Pick(near)
			per := calls * callCPUTime.Seconds() / float64(max(1, len(near)))
			for j := range near {
				if i%2 == 1 && j%3 > 0 {
					near[j].Load = &saturation.Load{Utilization: min(0.8, 4*per/near[j].cores())}
				}
			}
			now = now.Add(time.Second / 4)
			if !reflect.DeepEqual(ids(p.Pick(near, far, now)), ids(want)) {
				return false
			}
		}
		return true
	}, gen.IntRange(0, 6), gen.IntRange(1, 40), gen.SliceOf(gen.Float64Range(0, 4000))))
	properties.TestingRun(t)
}

func ids(vms []VM) (out []string) {
	for _, v := range vms {
		out = append(out, string(v.ID))
	}
	return out
}

// A few weak VMs beside strong ones would get more calls than they can serve, so that they must not be
// added: the strong ones keep the load.
func TestFewWeakVMsAreNotAdded(t *testing.T) {
	near := makeVMs(2, 3, 0)
	for i := range 2 {
		near[i].Calls, near[i].Load = 200, &saturation.Load{Utilization: 0.8}
	}
	if got := NewPicker("a").Pick(near, nil, time.Unix(0, 0)); len(got) != 2 {
		t.Errorf("%d VMs, want the 2 strong ones", len(got))
	}
}

// VMs of other domains that are saturated themselves must not get more.
func TestSaturatedDomainsTakeNoOthersCalls(t *testing.T) {
	full := func(list []VM) []VM {
		for i := range list {
			list[i].Calls, list[i].Load = 200, &saturation.Load{Utilization: 0.95}
		}
		return list
	}
	far := full(makeVMs(2, 4, 0))
	for i := range far {
		far[i].ID += "-far"
	}
	got := NewPicker("a").Pick(full(makeVMs(2, 4, 0)), far, time.Unix(0, 0))
	if slices.ContainsFunc(got, func(v VM) bool { return slices.Contains(ids(far), string(v.ID)) }) {
		t.Errorf("the calls go to %v", ids(got))
	}
}

// A VM of another domain that fails while it takes calls must not be offered any more, and the failure of a VM
// of the domain must not leave the callers without addresses.
func TestLostVMsAreNotOffered(t *testing.T) {
	p, now := NewPicker("a"), time.Unix(0, 0)
	near, far := makeVMs(2, 0, 0), makeVMs(3, 0, 0)
	for i := range near {
		near[i].Calls, near[i].Load = 200, &saturation.Load{Utilization: 1}
	}
	for i := range far {
		far[i].ID += "-far"
	}
	got := p.Pick(near, far, now)
	if len(got) <= 2 {
		t.Fatalf("the calls of saturated VMs go to %v", ids(got))
	}
	got = p.Pick(near[:1], nil, now.Add(time.Millisecond))
	if len(got) != 1 || got[0].ID != near[0].ID {
		t.Errorf("after the loss of VMs the calls go to %v", ids(got))
	}
}

// VMs on standby that are busy with digests must not be given as much as idle ones, and none if digests alone
// would keep them busy: they run out of processor time and learn of a new configuration too late.
func TestBackgroundOfStandbyVMsCounts(t *testing.T) {
	used := func(background float64) int {
		var near []VM
		for i := range 26 {
			v := VM{ID: vm.ID(fmt.Sprintf("vm-%02d", i)), Cores: 0.192, Calls: 1}
			if background > 0 {
				v.Load = &saturation.Load{Utilization: background}
			}
			if i < 2 {
				v.Cores, v.Calls, v.Load = 0.8, 200, &saturation.Load{Utilization: 0.95}
			}
			near = append(near, v)
		}
		return len(NewPicker("a").Pick(near, nil, time.Unix(1000, 0)))
	}
	idle, busy, full := used(0), used(0.1), used(0.3)
	if idle <= 2 || busy <= idle || full != 2 {
		t.Errorf("%d VMs are used while those on standby are idle, %d while they use 0.1 of their capacity, %d while they use 0.3", idle, busy, full)
	}
}
