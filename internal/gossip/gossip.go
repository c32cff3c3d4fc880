// Package gossip exchanges small digests between the routers of a deployment, a
// few times a second over UDP: who lives, what each knows of the configuration
// and of backend servers, and what each admits and sends. What a digest shows to
// be newer elsewhere is fetched over HTTP from that VM.
//
// Digests go to the VMs of the sender's failure domain; news of placed prompts go
// at once to those that take calls, and to the others a few times a second. Two
// relays of each domain
// sum them up for the other domains, whose relays pass the summary on within
// theirs, so that little crosses domains and the traffic of a VM grows with the
// size of its domain only.
package gossip

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// SilenceLimit is the silence after which a VM is no longer offered to
	// callers: several digests in a row are missing.
	SilenceLimit = 1500 * time.Millisecond
	// forgetAfter is the silence after which a VM is no longer a member, unless
	// the store still lists it.
	forgetAfter = 10 * time.Second
	// maxDatagram bounds a digest, in bytes.
	maxDatagram = 60 << 10
	// everyoneInterval is the least time between two summaries of a domain that
	// are passed on to all VMs; those that take calls get every one.
	everyoneInterval = 400 * time.Millisecond
	// busyCalls and busyShare are the rate of calls, in calls a second and as a share
	// of the busiest VM's, from which callers are sent to a VM. The platform's own
	// checks come to all of them, about once a second.
	busyCalls = 2
	busyShare = 0.1
)

// relayCount is the number of relays of a domain: one may be lost.
const relayCount = 2

// Peer is another VM as last heard of.
type Peer struct {
	Digest
	// At is when the last digest came; zero if none did.
	At time.Time
	// Listed is when the store last listed the VM.
	Listed time.Time
}

// Alive reports whether the peer was heard of lately.
func (p *Peer) Alive(now time.Time) bool { return !p.At.IsZero() && now.Sub(p.At) < SilenceLimit }

// TakeCalls returns those of the peers to which callers are sent, as far as heard.
func TakeCalls(peers []Peer) []Peer {
	least := float64(busyCalls)
	for _, p := range peers {
		least = max(least, busyShare*p.Calls)
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Calls < least })
}

// Options configure a Node.
type Options struct {
	Self Member
	// Listen is the local address, host:port.
	Listen string
	Log    *zap.Logger
	Now    func() time.Time
	// Received is called with each newer digest, and Summarized with each newer
	// summary of another domain, from one goroutine.
	Received   func(p *Peer)
	Summarized func(s *Summary)
}

// Node sends and receives digests.
type Node struct {
	opts Options
	conn *net.UDPConn

	mu    sync.Mutex
	peers map[vm.ID]*Peer
	// relays holds the last summary of each relay of other domains.
	relays map[vm.ID]*Summary
	// forwarded is when a summary of a domain was last passed on to all.
	forwarded map[string]time.Time
}

// Audience says which VMs of the domain a message is for.
type Audience uint8

const (
	// Everyone are all VMs of the domain.
	Everyone Audience = iota
	// Busy are those that take calls, and the relays.
	Busy
)

// New opens the socket.
func New(opts Options) (*Node, error) {
	addr, err := net.ResolveUDPAddr("udp4", opts.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q", opts.Listen)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s/udp", opts.Listen)
	}
	return &Node{opts: opts, conn: conn, peers: map[vm.ID]*Peer{}, relays: map[vm.ID]*Summary{}, forwarded: map[string]time.Time{}}, nil
}

// Run receives digests until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			n.opts.Log.Warn("gossip_receive_failed", logging.Error(err))
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m, err := decode(buf[:size])
		if err != nil {
			n.opts.Log.Warn("gossip_malformed", zap.Stringer("from", from), logging.Error(err))
			continue
		}
		n.receive(m)
	}
}

func (n *Node) receive(m *message) {
	if m.Digest != nil && m.Digest.ID != "" {
		if p := n.accept(*m.Digest); p != nil {
			n.opts.Received(p)
		}
	}
	if s := m.Summary; s != nil && s.From.ID != "" && n.acceptSummary(s) {
		if !s.Forwarded {
			n.forward(*s)
		}
		n.opts.Summarized(s)
	}
}

// acceptSummary keeps a summary of another domain unless a newer one of the
// relay is known, and notes its members.
func (n *Node) acceptSummary(s *Summary) bool {
	if s.From.FailureDomain == n.opts.Self.FailureDomain {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.relays[s.From.ID]; old != nil && old.Incarnation == s.Incarnation && s.Sequence <= old.Sequence {
		return false
	}
	n.relays[s.From.ID] = s
	now := n.opts.Now()
	for _, m := range s.Members {
		p := n.peers[m.ID]
		if p == nil {
			p = &Peer{}
			n.peers[m.ID] = p
		}
		p.Member, p.Ready, p.Leaving, p.Calls, p.At = m.Member, m.Ready, m.Leaving, m.Calls, now
	}
	return true
}

// forward passes a summary on within the own domain.
func (n *Node) forward(s Summary) {
	s.Forwarded = true
	n.send(message{Summary: &s}, n.listeners(n.forwardTo(s.From.FailureDomain)))
}

// forwardTo returns who gets the next summary of a domain.
func (n *Node) forwardTo(domain string) Audience {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	if now.Sub(n.forwarded[domain]) < everyoneInterval {
		return Busy
	}
	n.forwarded[domain] = now
	return Everyone
}

// accept keeps a digest unless a newer one of the VM is known.
func (n *Node) accept(d Digest) *Peer {
	if d.ID == n.opts.Self.ID {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[d.ID]
	if p == nil {
		p = &Peer{}
		n.peers[d.ID] = p
	}
	now := n.opts.Now()
	old := p.Incarnation == d.Incarnation && d.Sequence <= p.Sequence
	// A younger process replaces an older one; its start is now less uptime.
	replaced := p.Incarnation != d.Incarnation && !p.At.IsZero() && now.Add(-d.Uptime).Before(p.At.Add(-p.Uptime))
	if old || replaced {
		return nil
	}
	if p.At.IsZero() || !p.Alive(now) || p.Incarnation != d.Incarnation {
		n.opts.Log.Info("peer_heard", zap.String("peer", string(d.ID)), zap.Uint64("incarnation", uint64(d.Incarnation)),
			zap.Duration("uptime", d.Uptime), zap.Duration("silence", silence(p, now)))
	}
	p.Digest, p.At = d, now
	out := *p
	return &out
}

func silence(p *Peer, now time.Time) time.Duration {
	if p.At.IsZero() {
		return 0
	}
	return now.Sub(p.At)
}

// Listed notes the members that the store lists.
func (n *Node) Listed(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	for _, m := range members {
		if m.ID == n.opts.Self.ID {
			continue
		}
		p := n.peers[m.ID]
		if p == nil {
			p = &Peer{}
			n.peers[m.ID] = p
		}
		if p.At.IsZero() || p.Peer != m.Peer && !p.Alive(now) {
			p.Member = m
		}
		p.Listed = now
	}
}

// Peers returns the other VMs. One that was silent for long is dropped.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	out := make([]Peer, 0, len(n.peers))
	for id, p := range n.peers {
		if now.Sub(p.At) > forgetAfter && now.Sub(p.Listed) > forgetAfter {
			delete(n.peers, id)
			continue
		}
		out = append(out, *p)
	}
	return out
}

// domainPeers lists the other VMs of the own domain.
func (n *Node) domainPeers() []Peer {
	return slices.DeleteFunc(n.Peers(), func(p Peer) bool { return p.FailureDomain != n.opts.Self.FailureDomain })
}

// listeners lists the other VMs of the own domain that a message is for.
func (n *Node) listeners(a Audience) []Peer {
	peers := n.domainPeers()
	if a == Everyone {
		return peers
	}
	now := n.opts.Now()
	slices.SortFunc(peers, func(a, b Peer) int { return stronger(&a, &b, now) })
	relays := min(relayCount, len(peers))
	return append(TakeCalls(peers[relays:]), peers[:relays]...)
}

// stronger orders VMs by their fitness for duties: live ones first, then by
// processor, then by ID.
func stronger(a, b *Peer, now time.Time) int {
	if x, y := a.Alive(now), b.Alive(now); x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID))
}

// Rank returns the place of this VM among the live ones of its domain, from 0,
// the strongest.
func (n *Node) Rank() int {
	now := n.opts.Now()
	self := Peer{Digest: Digest{Member: n.opts.Self}, At: now}
	rank := 0
	for _, p := range n.domainPeers() {
		if p.Alive(now) && stronger(&p, &self, now) < 0 {
			rank++
		}
	}
	return rank
}

// IsRelay reports whether this VM sums its domain up for the others.
func (n *Node) IsRelay() bool { return n.Rank() < relayCount }

// Send sends a digest to VMs of the own domain.
func (n *Node) Send(d Digest, to Audience) { n.send(message{Digest: &d}, n.listeners(to)) }

// SendSummary sends a summary to the relays of the other domains: this VM's rank
// says to which, so that two relays make two paths.
func (n *Node) SendSummary(s Summary) {
	now := n.opts.Now()
	domains := map[string][]Peer{}
	for _, p := range n.Peers() {
		if p.FailureDomain != n.opts.Self.FailureDomain {
			domains[p.FailureDomain] = append(domains[p.FailureDomain], p)
		}
	}
	rank := n.Rank()
	alone := len(s.Members) == 1
	var targets []Peer
	for _, list := range domains {
		slices.SortFunc(list, func(a, b Peer) int { return stronger(&a, &b, now) })
		targets = append(targets, list[min(rank, len(list)-1)])
		if alone && len(list) > 1 {
			targets = append(targets, list[1])
		}
	}
	n.send(message{Summary: &s}, targets)
}

func (n *Node) send(m message, to []Peer) {
	data, err := encode(m)
	if err != nil {
		n.opts.Log.Error("gossip_encode_failed", logging.Error(err))
		return
	}
	for _, p := range to {
		addr, err := net.ResolveUDPAddr("udp4", p.Peer)
		if err != nil {
			n.opts.Log.Warn("peer_address_invalid", zap.String("peer", string(p.ID)), logging.Error(err))
			continue
		}
		// A datagram that can't be sent is like one that is lost.
		_, _ = n.conn.WriteToUDP(data, addr)
	}
}
