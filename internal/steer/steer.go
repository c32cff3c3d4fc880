// Package steer decides which VMs of a failure domain callers are sent to.
//
// It is for domains with far more VMs than the calls need. If calls were spread over all
// of them, each VM would know little of the load that the others send, engines would
// receive too much at once, connections and cached state would be spread thin, and weak
// VMs would be as busy as strong ones. Callers are therefore sent to a few of the
// strongest VMs. The others are on standby and take over as soon as one of those fails.
package steer

import (
	"cmp"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/saturation"
	"papayaspan.dev/papayaspan/internal/vm"
)

// VM is a VM to which callers may be sent.
type VM struct {
	ID vm.ID
	// Cores is the VM's processor capacity, in cores; 0 if unknown.
	Cores float64
	// Calls is the rate of calls that the VM receives, in calls per second.
	Calls float64
	// Load is the load of its processor; nil if it reports none.
	Load *saturation.Load
	// Address is where callers connect, host:port.
	Address string
}

const (
	// minVMs is the least number of VMs that the callers of a domain are spread over.
	// With more than one, most calls reach another VM until the failure of one is
	// detected. Up to comparableVMs are used while their processors are comparable.
	minVMs        = 2
	comparableVMs = 4
	// comparableCoreShare is the share of the strongest VM's cores from which a VM's
	// processor is comparable to it.
	comparableCoreShare = 0.5
	// callCPUTime is the processor time of a call. Source: docs/CAPACITY.md.
	callCPUTime = 1200 * time.Microsecond
	// maxTimeRatio is the ratio below which additional VMs must bring the response time to
	// be used: each of them makes the VMs' knowledge of the load that the others send less
	// complete.
	maxTimeRatio = 0.8
	// maxUtilization is the processor utilization from which a VM counts as overloaded.
	maxUtilization = 0.9
)

// Pick returns the VMs that callers are sent to, out of those that are ready, by the rate of calls
// alone. The result depends only on data that all VMs of a domain receive, so that their results
// are nearly the same.
func Pick(ready []VM) []VM {
	ordered := order(ready)
	return ordered[:count(ordered)]
}

// order returns the VMs with the strongest first.
func order(vms []VM) []VM {
	return slices.SortedFunc(slices.Values(vms), func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID))
	})
}

// count returns the number of VMs that are used at their rate of calls.
func count(ordered []VM) int {
	calls := 0.0
	for _, v := range ordered {
		calls += v.Calls
	}
	best := minCount(ordered)
	shortest := responseTime(ordered[:best], calls)
	for n := best + 1; n <= len(ordered); n++ {
		if r := responseTime(ordered[:n], calls); r < maxTimeRatio*shortest {
			best, shortest = n, r
		}
	}
	return best
}

// minCount returns the number of VMs that are used at a low rate of calls.
func minCount(ordered []VM) int {
	n := min(minVMs, len(ordered))
	for n < min(comparableVMs, len(ordered)) && ordered[n].Cores >= comparableCoreShare*ordered[0].Cores {
		n++
	}
	return n
}

// responseTime estimates the mean time that calls at a rate spend on the VMs'
// processors, in seconds, as in an M/M/1 queue. Callers choose among the VMs at random.
// If a VM is overloaded, the highest utilization alone determines the result.
func responseTime(vms []VM, calls float64) float64 {
	sum, worst := 0.0, 0.0
	for _, v := range vms {
		service := callCPUTime.Seconds() / v.cores()
		utilization := calls / float64(len(vms)) * service
		worst = max(worst, utilization)
		sum += service / (1 - min(utilization, maxUtilization))
	}
	if worst >= maxUtilization {
		return overloadSeconds * worst
	}
	return sum / float64(len(vms))
}

// cores returns the VM's processor capacity; an unknown one counts as one core.
func (v *VM) cores() float64 {
	if v.Cores <= 0 {
		return 1
	}
	return v.Cores
}

// overloadSeconds is longer than any response time of VMs that are not overloaded.
const overloadSeconds = 1000
