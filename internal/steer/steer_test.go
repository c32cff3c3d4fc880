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

func TestFewStrongVMsTakeLightLoad(t *testing.T) {
	got := Pick(fleet(2, 20, 50))
	if len(got) != minVMs || got[0].Cores != 0.8 || got[1].Cores != 0.8 {
		t.Errorf("callers go to %+v", got)
	}
}

func TestSmallDomainsUseAllVMs(t *testing.T) {
	for n := range minVMs + 1 {
		if got := Pick(fleet(0, n, 1000)); len(got) != n {
			t.Errorf("%d of %d VMs take callers", len(got), n)
		}
	}
}

// No planned VM gets more calls than it has processor for, while there are
// others, and more calls never lead to fewer VMs.
func TestLoadIsCovered(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("covered", prop.ForAll(func(strong, weak int, calls, more float64) bool {
		ready := fleet(strong, weak, calls)
		got := Pick(ready)
		if len(got) < len(ready) && calls/float64(len(got))*callTime.Seconds() > maxUse*got[len(got)-1].Cores+1e-9 {
			return false
		}
		return len(Pick(fleet(strong, weak, calls+more))) >= len(got)
	}, gen.IntRange(0, 6), gen.IntRange(0, 40), gen.Float64Range(0, 5000), gen.Float64Range(0, 1000)))
	properties.TestingRun(t)
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
