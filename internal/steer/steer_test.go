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

// fleet returns a domain with some strong and some weak VMs that share calls.
func fleet(strong, weak int, calls float64) []VM {
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

// While two strong VMs do, weak ones stand by: calls take four times as long there.
func TestStrongVMsTakeTheLoad(t *testing.T) {
	for _, calls := range []float64{0, 50, 250, 450} {
		if got := Pick(fleet(2, 20, calls)); len(got) != 2 || got[1].Cores != 0.8 {
			t.Errorf("%v calls a second go to %d VMs, the last with %v cores", calls, len(got), got[len(got)-1].Cores)
		}
	}
	if got := Pick(fleet(1, 20, 50)); len(got) < 2 {
		t.Error("a single VM takes all calls")
	}
}

func TestEqualVMs(t *testing.T) {
	for n := range equalVMs + 1 {
		if got := Pick(fleet(0, n, 100)); len(got) != n {
			t.Errorf("%d of %d VMs take callers", len(got), n)
		}
	}
	if got := Pick(fleet(20, 0, 200)); len(got) != equalVMs {
		t.Errorf("%d of 20 VMs take a light load", len(got))
	}
}

// No VM that takes callers gets more than its processor can do, as long as all
// together have enough.
func TestLoadIsCovered(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("covered", prop.ForAll(func(strong, weak int, calls float64) bool {
		ready := fleet(strong, weak, calls)
		if calls*callTime.Seconds() > maxUse*0.2*float64(len(ready)) {
			return true // Too much even if all take callers.
		}
		for _, v := range Pick(ready) {
			if calls/float64(len(Pick(ready)))*callTime.Seconds() > v.Cores {
				return false
			}
		}
		return true
	}, gen.IntRange(0, 6), gen.IntRange(0, 40), gen.Float64Range(0, 8000)))
	properties.TestingRun(t)
}

// Under a load that strong VMs can't do alone, the others join.
func TestHeavyLoadIsSpread(t *testing.T) {
	if got := Pick(fleet(2, 30, 2500)); len(got) < 15 {
		t.Errorf("2500 calls a second go to %d VMs", len(got))
	}
	if got := Pick(fleet(30, 0, 6000)); len(got) < 10 {
		t.Errorf("6000 calls a second go to %d VMs", len(got))
	}
}

// The VMs answer alike whatever the order in which they heard of one another.
func TestAnswersAgree(t *testing.T) {
	a := fleet(2, 20, 200)
	b := slices.Clone(a)
	slices.Reverse(b)
	if !slices.Equal(Pick(a), Pick(b)) {
		t.Error("two VMs answer differently")
	}
}
