package gossip

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/vm"
)

// Peer is the last known state of another VM.
type Peer struct {
	Digest
	// At is when the VM last sent a digest or appeared in a summary; zero if it has
	// done neither.
	At time.Time
	// Delay is how much longer the last digest took to arrive than the fastest ones.
	Delay   time.Duration
	transit transit
	// Listed is when the store last listed the VM.
	Listed time.Time
	// address is the parsed address for digests; not valid if that is not an IP address.
	address netip.AddrPort
}

// Alive reports whether a digest or summary that covers the peer arrived within
// SilenceLimit.
func (p *Peer) Alive(now time.Time) bool { return !p.At.IsZero() && now.Sub(p.At) < SilenceLimit }

// BusyRate returns the rate of calls from which a VM counts as one that receives client
// requests, given the rate of the busiest VM, in calls per second.
func BusyRate(busiest float64) float64 { return max(minBusyCalls, minBusyShare*busiest) }

// compareCapacity orders VMs by their capacity for duties of the domain: those with more cores
// first, then by ID.
func compareCapacity(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID))
}

// peer returns the entry of a VM, which it adds if there is none.
func (n *Node) peer(id vm.ID) *Peer {
	p := n.peers[id]
	if p == nil {
		p = &Peer{}
		n.peers[id] = p
		n.ranked = nil
	}
	return p
}

// setMember records the identity and the addresses of a VM.
func (n *Node) setMember(p *Peer, m Member) {
	if p.ID != m.ID || p.FailureDomain != m.FailureDomain || p.Cores != m.Cores {
		n.ranked = nil
	}
	if p.Peer != m.Peer {
		p.address = netip.AddrPort{}
		if address, err := netip.ParseAddrPort(m.Peer); err == nil {
			p.address = unmapped(address)
		} // Otherwise the name is resolved for each message.
	}
	p.Member = m
}

// domain returns the peers of a failure domain in the order of compareCapacity. Changes of the
// members are rare, so that the order hardly ever has to be determined again.
func (n *Node) domain(name string) []*Peer {
	if n.ranked == nil {
		n.ranked = map[string][]*Peer{}
		for _, p := range n.peers {
			n.ranked[p.FailureDomain] = append(n.ranked[p.FailureDomain], p)
		}
		for _, list := range n.ranked {
			slices.SortFunc(list, func(a, b *Peer) int { return compareCapacity(&a.Member, &b.Member) })
		}
	}
	return n.ranked[name]
}

// RecordListed records the members that the store lists.
func (n *Node) RecordListed(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	for _, m := range members {
		if m.ID == n.opts.Self.ID {
			continue
		}
		p := n.peer(m.ID)
		if p.At.IsZero() || p.Peer != m.Peer && !p.Alive(now) {
			n.setMember(p, m)
		}
		p.Listed = now
	}
}

// Forget removes the VMs that have neither sent a digest nor been listed for longer than
// forgetAfter.
func (n *Node) Forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(n.opts.Now())
}

func (n *Node) forget(now time.Time) {
	for id, p := range n.peers {
		if now.Sub(p.At) > forgetAfter && now.Sub(p.Listed) > forgetAfter {
			delete(n.peers, id)
			n.ranked = nil
		}
	}
}

// Peers returns copies of the states of the other VMs. Each is cheaper.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(n.opts.Now())
	out := make([]Peer, 0, len(n.peers))
	for _, p := range n.peers {
		out = append(out, *p)
	}
	return out
}

// Each calls f for the other VMs until it returns false. f must not keep the peer nor call
// methods of the node.
func (n *Node) Each(f func(*Peer) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if !f(p) {
			return
		}
	}
}

// Any reports whether a live VM has a property.
func (n *Node) Any(has func(*Peer) bool) bool {
	now, found := n.opts.Now(), false
	n.Each(func(p *Peer) bool {
		found = p.Alive(now) && has(p)
		return !found
	})
	return found
}

// EachInDomain calls f for the other live VMs of the own domain, the fittest first, until it
// returns false. f is bound as for Each.
func (n *Node) EachInDomain(f func(*Peer) bool) {
	now := n.opts.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.domain(n.opts.Self.FailureDomain) {
		if p.Alive(now) && !f(p) {
			return
		}
	}
}

// eachFitter calls f for the live VMs of the own domain that are fitter than this one.
func (n *Node) eachFitter(f func(*Peer) bool) {
	n.EachInDomain(func(p *Peer) bool { return compareCapacity(&p.Member, &n.opts.Self) < 0 && f(p) })
}

// Rank returns the number of live VMs of the own domain that are fitter for duties of the domain
// than this one. The fittest VM has rank 0.
func (n *Node) Rank() int {
	rank := 0
	n.eachFitter(func(*Peer) bool { rank++; return true })
	return rank
}

// RanksBelow reports whether Rank is less than a limit.
func (n *Node) RanksBelow(limit int) bool {
	rank := 0
	n.eachFitter(func(*Peer) bool { rank++; return rank < limit })
	return rank < limit
}

// AnyFitter reports whether a live VM of the own domain that is fitter than this one has a
// property.
func (n *Node) AnyFitter(has func(*Peer) bool) bool {
	found := false
	n.eachFitter(func(p *Peer) bool { found = has(p); return !found })
	return found
}

// ListedFitter returns the number of VMs of the own domain that are fitter than this one and that the
// store has listed recently or that are live.
func (n *Node) ListedFitter() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, count := n.opts.Now(), 0
	for _, p := range n.domain(n.opts.Self.FailureDomain) {
		if compareCapacity(&p.Member, &n.opts.Self) < 0 && (p.Alive(now) || now.Sub(p.Listed) <= forgetAfter) {
			count++
		}
	}
	return count
}

// IsRelay reports whether this VM is a relay of its domain.
func (n *Node) IsRelay() bool { return n.RanksBelow(relayCount) }

// target is a VM that gets a message.
type target struct {
	ID      vm.ID
	peer    string
	address netip.AddrPort
}

func (p *Peer) target() target { return target{ID: p.ID, peer: p.Peer, address: p.address} }

func (t target) resolve() (netip.AddrPort, error) {
	if t.address.IsValid() {
		return t.address, nil
	}
	addr, err := net.ResolveUDPAddr("udp4", t.peer)
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "peer address %q", t.peer)
	}
	return unmapped(addr.AddrPort()), nil
}

// unmapped returns an IPv4 address in the form that a socket for IPv4 accepts.
func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// fittest returns the first VMs of a domain by fitness and the others: live ones come before
// those that have fallen silent.
func fittest(list []*Peer, count int, now time.Time) (first, others []*Peer) {
	first = make([]*Peer, 0, count)
	for _, alive := range []bool{true, false} {
		for _, p := range list {
			switch {
			case p.Alive(now) != alive:
			case len(first) < count:
				first = append(first, p)
			default:
				others = append(others, p)
			}
		}
	}
	return first, others
}

// recipients returns the other VMs of the own domain that belong to an audience.
func (n *Node) recipients(a Audience) []target {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.domain(n.opts.Self.FailureDomain)
	out := make([]target, 0, len(list))
	if a == Everyone {
		for _, p := range list {
			out = append(out, p.target())
		}
		return out
	}
	relays, others := fittest(list, relayCount, n.opts.Now())
	for _, p := range relays {
		out = append(out, p.target())
	}
	busiest := 0.0
	for _, p := range others {
		busiest = max(busiest, p.Calls)
	}
	for _, p := range others {
		if p.Calls >= BusyRate(busiest) {
			out = append(out, p.target())
		}
	}
	return out
}

// remoteRelays returns relays of the other domains: in each those from a rank on, or the last one
// if the domain has too few VMs.
func (n *Node) remoteRelays(rank, count int) []target {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	n.domain("") // Sorts the domains if that is due.
	var out []target
	for name, list := range n.ranked {
		if name == n.opts.Self.FailureDomain {
			continue
		}
		relays, _ := fittest(list, rank+count, now)
		for _, p := range relays[min(rank, len(relays)-1):] {
			out = append(out, p.target())
		}
	}
	return out
}
