package node

import (
	"maps"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/vm"
)

// callTakerShare is the share of the busiest VM's calls from which a VM counts as one that
// takes calls when servers' rates are shared. Others get next to nothing but the platform's
// own checks, about one a second.
const callTakerShare = 0.1

// callTakers returns the VMs that share the rates of servers, by what all VMs are told of the
// calls that each gets: those heard of within a time, and this one. While no calls come, all
// are.
func callTakers(self vm.ID, calls float64, peers []gossip.Peer, now time.Time, within time.Duration) []vm.ID {
	rates := map[vm.ID]float64{self: calls}
	for _, p := range peers {
		if !p.At.IsZero() && now.Sub(p.At) <= within {
			rates[p.ID] = p.Calls
		}
	}
	least := callTakerShare * slices.Max(slices.Collect(maps.Values(rates)))
	var out []vm.ID
	for id, rate := range rates {
		if rate >= least {
			out = append(out, id)
		}
	}
	return out
}

// hearOfLimits takes over what another VM tells of servers' rates. One that has just started
// hears all of them with the next digest.
func (n *Node) hearOfLimits(from string, notices []ratelimit.Notice, uptime time.Duration) {
	for _, notice := range notices {
		if c, changed := n.limits.Heard(notice); changed {
			n.Gateway.LogRateLimit(c, from)
		}
	}
	if uptime < startUptime {
		n.limits.TellAgain()
	}
}
