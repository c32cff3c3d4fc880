package steer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/vm"
)

// makeVMs returns strong and weak VMs of a domain that share the calls equally.
func makeVMs(strong, weak int, calls float64) []VM {
	var out []VM
	for i := range strong + weak {
		v := VM{ID: vm.ID(fmt.Sprintf("vm-%03d", i)), Cores: 0.2, Calls: calls / float64(strong+weak)}
		if i < strong {
			v.Cores = 0.8
		}
		out = append(out, v)
	}
	return out
}

// Weak VMs stay on standby while two strong ones suffice: calls take four times as long on weak ones.
func TestStrongVMsTakeTheLoad(t *testing.T) {
	for _, calls := range []float64{0, 50, 250, 450} {
		if got := Pick(makeVMs(2, 20, calls)); len(got) != 2 || got[1].Cores != 0.8 {
			t.Errorf("%v calls per second go to %d VMs, the last with %v cores", calls, len(got), got[len(got)-1].Cores)
		}
	}
	if got := Pick(makeVMs(1, 20, 50)); len(got) < 2 {
		t.Error("a single VM receives all calls")
	}
}

func TestComparableVMsShareTheLoad(t *testing.T) {
	for n := range comparableVMs + 1 {
		if got := Pick(makeVMs(0, n, 100)); len(got) != n {
			t.Errorf("%d of %d VMs receive calls", len(got), n)
		}
	}
	if got := Pick(makeVMs(20, 0, 200)); len(got) != comparableVMs {
		t.Errorf("%d of 20 VMs receive a light load", len(got))
	}
}

// No picked VM receives more calls than its processor can handle, as long as all VMs
// together have enough capacity.
func TestPickedVMsHaveCapacity(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("covered", prop.ForAll(func(strong, weak int, calls float64) bool {
		ready := makeVMs(strong, weak, calls)
		if calls*callCPUTime.Seconds() > maxUtilization*0.2*float64(len(ready)) {
			return true // The load may exceed the capacity of all VMs.
		}
		for _, v := range Pick(ready) {
			if calls/float64(len(Pick(ready)))*callCPUTime.Seconds() > v.Cores {
				return false
			}
		}
		return true
	}, gen.IntRange(0, 6), gen.IntRange(0, 40), gen.Float64Range(0, 8000)))
	properties.TestingRun(t)
}

// Weak VMs are used as well under a load that exceeds the capacity of the strong ones.
func TestHeavyLoadIsSpread(t *testing.T) {
	if got := Pick(makeVMs(2, 30, 2500)); len(got) < 15 {
		t.Errorf("2500 calls per second go to %d VMs", len(got))
	}
	if got := Pick(makeVMs(30, 0, 6000)); len(got) < 10 {
		t.Errorf("6000 calls per second go to %d VMs", len(got))
	}
}

// The result doesn't depend on the order in which a VM learned of the others.
func TestPickIgnoresInputOrder(t *testing.T) {
	a := makeVMs(2, 20, 200)
	b := slices.Clone(a)
	slices.Reverse(b)
	if !slices.Equal(Pick(a), Pick(b)) {
		t.Error("two VMs pick differently")
	}
}
