// Package steer decides which VMs of a failure domain callers are sent to.
//
// It answers fleets with far more VMs than the calls need. There each VM knows
// little of what the others send, engines get too much at once, connections and
// cached state are spread thin, and weak VMs are as busy as strong ones. Callers
// go to as many VMs as the calls need, strongest first; the others stand by and
// take over as soon as one of those is lost.
package steer

import (
	"cmp"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

// VM is a VM that may take callers.
type VM struct {
	ID vm.ID
	// Cores is the processor that the VM has, in cores; 0 if unknown.
	Cores float64
	// Calls is the rate of calls that it gets, in calls a second.
	Calls float64
	// Address is where callers connect, host:port.
	Address string
}

const (
	// minVMs is the least number of VMs that the callers of a domain are spread
	// over: while the loss of one or two is not noticed yet, most calls still
	// reach another.
	minVMs = 4
	// callTime is the processor time of a call. Source: docs/CAPACITY.md.
	callTime = 800 * time.Microsecond
	// maxUse is the share of a VM's processor up to which calls are planned for.
	// The rest is for bursts until more VMs take callers, and for gossip.
	maxUse = 0.4
)

// Pick returns the VMs that callers are sent to, of those that can take them. The
// result depends only on what all VMs of a domain are told, so that they give
// nearly the same answers.
func Pick(ready []VM) []VM {
	ordered := slices.SortedFunc(slices.Values(ready), func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID))
	})
	calls := 0.0
	for _, v := range ordered {
		calls += v.Calls
	}
	for n := min(minVMs, len(ordered)); n < len(ordered); n++ {
		if suffices(ordered[:n], calls) {
			return ordered[:n]
		}
	}
	return ordered
}

// suffices reports whether the VMs can take calls at a rate. Callers choose among
// them at random, so the weakest decides.
func suffices(ordered []VM, calls float64) bool {
	weakest := ordered[len(ordered)-1].Cores
	return calls/float64(len(ordered))*callTime.Seconds() <= maxUse*weakest
}
