package node

import (
	"time"

	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/vm"
)

// activeShare is the fraction of the busiest VM's call rate from which a VM counts as active
// when servers' rate limits are divided. Other VMs receive little more than the platform's own
// checks, about one a second.
const activeShare = 0.1

// activeVMs returns the VMs that share the rate limits of servers, based on the call rates that
// all VMs report. It considers this VM and the peers whose state arrived within the given time.
// While there are no calls, all of these are active.
func activeVMs(self vm.ID, calls float64, peers peerSeq, now time.Time, within time.Duration) []vm.ID {
	busiest := calls
	for p := range peers {
		if heardWithin(p, now, within) {
			busiest = max(busiest, p.Calls)
		}
	}
	var out []vm.ID
	if calls >= activeShare*busiest {
		out = append(out, self)
	}
	for p := range peers {
		if heardWithin(p, now, within) && p.Calls >= activeShare*busiest {
			out = append(out, p.ID)
		}
	}
	return out
}

// applyRateLimits applies the rate limits of servers that another VM reports. If that VM has
// just started, all limits are sent again with the next digest.
func (n *Node) applyRateLimits(from string, notices []ratelimit.Notice, uptime time.Duration) {
	for _, notice := range notices {
		if c, changed := n.limits.RecordNotice(notice); changed {
			n.Gateway.LogRateLimit(c, from)
		}
	}
	if uptime < startUptime {
		n.limits.RepeatNotices()
	}
}
