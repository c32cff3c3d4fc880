package node

import (
	"math/rand/v2"

	"papayaspan.dev/papayaspan/internal/steer"
)

// minAddresses is the least number of VMs offered to callers, so that one remains if another is
// lost.
const minAddresses = 2

// Addresses returns the addresses to which callers of a failure domain should connect: VMs of
// that domain, and of other domains if it has too few or if those are saturated. VMs without a path of their own to the
// servers are offered only if there are no others.
func (n *Node) Addresses(domain string) []string {
	picked, far := n.pick(domain)
	if missing := minAddresses - len(picked); missing > 0 {
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		picked = append(picked, far[:min(len(far), missing)]...)
	}
	addresses := make([]string, 0, len(picked))
	for _, v := range picked {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

// readyVM is a VM that serves callers.
type readyVM struct {
	steer.VM
	domain string
	// stranded is set if the VM reaches the servers only through other VMs.
	stranded bool
}

// readyVMs returns the VMs that serve callers.
func (n *Node) readyVMs() []readyVM {
	var out []readyVM
	if n.Ready() {
		self := n.opts.VM
		out = append(out, readyVM{
			VM:     steer.VM{ID: self.ID, Cores: self.Cores, Calls: n.calls.Last(), Load: n.steering.meter.Report(), Address: self.CallerAddress},
			domain: self.FailureDomain, stranded: n.path.Cut(),
		})
	}
	now := n.now()
	for p := range n.gossip.Each {
		if p.Alive(now) && p.Ready && !p.Leaving {
			out = append(out, readyVM{
				VM:     steer.VM{ID: p.ID, Cores: p.Cores, Calls: p.Calls, Load: p.Load, Address: p.Caller},
				domain: p.FailureDomain, stranded: p.Stranded,
			})
		}
	}
	return out
}
