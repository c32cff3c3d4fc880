// Package steer decides which VMs of a failure domain callers are sent to.
//
// It answers fleets with far more VMs than the calls need. There each VM knows
// little of what the others send, engines get too much at once, connections and
// cached state are spread thin, and weak VMs are as busy as strong ones. Callers
// go to few VMs, the strongest; the others stand by and take over as soon as one
// of those is lost.
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
	// over, so that most calls reach another while the loss of one is not noticed
	// yet. Of VMs that are about as strong, equalVMs are taken.
	minVMs   = 2
	equalVMs = 4
	// equalShare is the share of the strongest VM's processor from which a VM is
	// about as strong.
	equalShare = 0.5
	// callTime is the processor time of a call. Source: docs/CAPACITY.md.
	callTime = 1200 * time.Microsecond
	// minGain is the factor by which more VMs must shorten the calls to be taken:
	// each makes the others' knowledge of what is sent poorer.
	minGain = 0.8
	// maxUse is the use of a VM's processor from which calls count as never done.
	maxUse = 0.9
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
	best := fewest(ordered)
	shortest := responseTime(ordered[:best], calls)
	for n := best + 1; n <= len(ordered); n++ {
		if r := responseTime(ordered[:n], calls); r < minGain*shortest {
			best, shortest = n, r
		}
	}
	return ordered[:best]
}

// fewest returns the number of VMs that take calls at a low rate.
func fewest(ordered []VM) int {
	n := min(minVMs, len(ordered))
	for n < min(equalVMs, len(ordered)) && ordered[n].Cores >= equalShare*ordered[0].Cores {
		n++
	}
	return n
}

// responseTime estimates the mean time that calls at a rate spend on the VMs'
// processors, in seconds, as in an M/M/1 queue. Callers choose among the VMs at
// random. If that is more than a VM can do, the worst VM decides alone.
func responseTime(vms []VM, calls float64) float64 {
	sum, worst := 0.0, 0.0
	for _, v := range vms {
		service := callTime.Seconds() / v.cores()
		use := calls / float64(len(vms)) * service
		worst = max(worst, use)
		sum += service / (1 - min(use, maxUse))
	}
	if worst >= maxUse {
		return overloadTime * worst
	}
	return sum / float64(len(vms))
}

// cores returns the VM's processor; one whose processor is not known counts as a
// whole core.
func (v *VM) cores() float64 {
	if v.Cores <= 0 {
		return 1
	}
	return v.Cores
}

// overloadTime is above all response times of VMs that are not overloaded, in
// seconds.
const overloadTime = 1000
