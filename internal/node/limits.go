package node

import (
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/vm"
)

// callTakerShare is the share of the busiest VM's calls from which a VM counts as one that
// takes calls when servers' rates are shared. Others get next to nothing but the platform's
// own checks, about one a second.
const callTakerShare = 0.1

// callTakers returns the VMs that share the rates of servers, by what all VMs are told: those
// that were heard of within the window of quotas. While no calls come, all are.
func (n *Node) callTakers(peers []gossip.Peer, now time.Time) []vm.ID {
	calls := map[vm.ID]float64{n.opts.VM.ID: n.calls.Last()}
	for _, p := range peers {
		if !p.At.IsZero() && now.Sub(p.At) <= n.opts.Bounds.Quota.Window {
			calls[p.ID] = p.Calls
		}
	}
	least := 0.0
	for _, c := range calls {
		least = max(least, callTakerShare*c)
	}
	var out []vm.ID
	for id, c := range calls {
		if c >= least {
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
