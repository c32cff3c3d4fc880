// Package gossip exchanges small digests between the routers of a deployment, a
// few times a second over UDP. A digest covers the liveness of its sender, the
// versions of the configuration and of the backend servers that it knows, and the
// traffic that it admits and sends. A VM that learns from a digest that another VM
// has newer state fetches that state over HTTP.
//
// Digests go to the VMs of the sender's failure domain. Prompt placements are sent
// at once to the VMs that receive client requests, and to the others a few times a
// second. Two relays of each domain send summaries of its digests to the other
// domains, whose relays forward them within their own domain. This keeps the
// traffic between domains small, and the traffic of a VM grows only with the size
// of its domain.
package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/linkmeter"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// SilenceLimit is the time without a digest after which a VM counts as failed and
	// is no longer offered to callers. Several digests in a row are missing then.
	SilenceLimit = 1500 * time.Millisecond
	// forgetAfter is the time without a digest after which a VM is removed from the
	// members, unless the store still lists it.
	forgetAfter = 10 * time.Second
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 60 << 10
	// forwardAllInterval is the minimum time between two summaries of a domain that its
	// relays forward to all VMs. VMs that receive client requests get every summary.
	forwardAllInterval = 400 * time.Millisecond
	// A VM counts as one that receives client requests if it gets at least
	// minBusyCalls requests per second and at least minBusyShare of the rate of the
	// busiest VM. The platform's health checks reach every VM about once a second.
	minBusyCalls = 2
	minBusyShare = 0.1
)

// relayCount is the number of relays of a domain; one of them may fail.
const relayCount = 2

// Options configure a Node.
type Options struct {
	Self Member
	// Listen is the local UDP address, host:port.
	Listen string
	Log    *zap.Logger
	Now    func() time.Time
	// BitRate is the bandwidth that messages may take, in bits per second; 0 means no bound.
	BitRate float64
	// Traffic counts the bytes of messages; nil for no count.
	Traffic *linkmeter.Meter
	// Received is called with each accepted digest, and Summarized with each accepted
	// summary of another domain. Both are called from the same goroutine.
	Received   func(p *Peer)
	Summarized func(s *Summary)
}

// Node sends and receives digests.
type Node struct {
	opts  Options
	conn  *net.UDPConn
	pacer pacer

	mu    sync.Mutex
	peers map[vm.ID]*Peer
	// ranked holds the peers of each failure domain in the order of compareCapacity; nil while it
	// has to be sorted again.
	ranked map[string][]*Peer
	// relays holds the last summary from each relay of the other domains, and transits how long
	// their summaries take.
	relays   map[vm.ID]*Summary
	transits map[vm.ID]transit
	// forwardedAt is when a relay of this domain last forwarded a summary of a domain to Everyone.
	forwardedAt map[string]time.Time
}

// Audience selects the VMs of the domain that receive a message.
type Audience uint8

const (
	// Everyone selects all VMs of the domain.
	Everyone Audience = iota
	// Busy selects the VMs that receive client requests, and the relays.
	Busy
)

// New returns a node that listens on the UDP address of the options.
func New(opts Options) (*Node, error) {
	addr, err := net.ResolveUDPAddr("udp4", opts.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q", opts.Listen)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s/udp", opts.Listen)
	}
	return &Node{opts: opts, conn: conn, pacer: pacer{bitRate: opts.BitRate}, peers: map[vm.ID]*Peer{}, relays: map[vm.ID]*Summary{}, transits: map[vm.ID]transit{}, forwardedAt: map[string]time.Time{}}, nil
}

// Address returns the UDP address at which the node listens.
func (n *Node) Address() string { return n.conn.LocalAddr().String() }

// Run receives messages until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			n.opts.Log.Warn("gossip_receive_failed", logging.Error(err))
			time.Sleep(100 * time.Millisecond)
			continue
		}
		n.opts.Traffic.Received(linkmeter.Gossip, size)
		if err := n.Receive(buf[:size]); err != nil {
			n.opts.Log.Warn("gossip_malformed", zap.Stringer("from", from), logging.Error(err))
		}
	}
}

// Receive applies a datagram, which it doesn't keep. It returns an error if the datagram is malformed.
func (n *Node) Receive(datagram []byte) error {
	m, err := decode(datagram)
	if err != nil {
		return err
	}
	n.receive(m)
	return nil
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

// acceptSummary stores a summary of another domain and updates the peers that it
// lists. It returns false for a summary of the own domain, and for one that is not
// newer than the last one from the same process of the relay.
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
	if s.ToAll {
		n.forwardedAt[s.From.FailureDomain] = now
	}
	transit := n.transits[s.From.ID]
	s.Delay = transit.delay(s.Incarnation, s.RelayUptime, now)
	n.transits[s.From.ID] = transit
	now = now.Add(-s.Delay)
	for _, m := range s.Members {
		p := n.peer(m.ID)
		n.setMember(p, m.Member)
		p.Ready, p.Leaving, p.Calls, p.Load, p.Stranded, p.At = m.Ready, m.Leaving, m.Calls, m.Load, m.Stranded, now
	}
	return true
}

// forward sends a summary on to VMs of the own domain. While messages have used up their share of the
// link, only those for all VMs are sent on: they carry what the others do, but for prompt placements.
func (n *Node) forward(s Summary) {
	audience := n.forwardAudience(s.From.FailureDomain)
	if audience != Everyone && n.Pause() > 0 {
		return
	}
	s.Forwarded, s.ToAll = true, audience == Everyone
	n.send(message{Summary: &s}, n.recipients(audience))
}

// forwardAudience returns the audience of the next forwarded summary of a domain:
// Everyone at most once per forwardAllInterval, otherwise Busy.
func (n *Node) forwardAudience(domain string) Audience {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	if now.Sub(n.forwardedAt[domain]) < forwardAllInterval {
		return Busy
	}
	n.forwardedAt[domain] = now
	return Everyone
}

// accept stores a digest and returns a copy of the updated peer. It returns nil for
// a digest of this VM, and for one that is not newer than the last digest of its VM.
func (n *Node) accept(d Digest) *Peer {
	if d.ID == n.opts.Self.ID {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peer(d.ID)
	now := n.opts.Now()
	outdated := p.Incarnation == d.Incarnation && d.Sequence <= p.Sequence
	// A digest of another process counts only if that process started no earlier than
	// the known one. The start is the time of arrival minus the uptime.
	superseded := p.Incarnation != d.Incarnation && !p.At.IsZero() && now.Add(-d.Uptime).Before(p.At.Add(-p.Uptime))
	if outdated || superseded {
		return nil
	}
	if p.At.IsZero() || !p.Alive(now) || p.Incarnation != d.Incarnation {
		n.opts.Log.Info("peer_heard", zap.String("peer", string(d.ID)), zap.Uint64("incarnation", uint64(d.Incarnation)),
			zap.Duration("uptime", d.Uptime), zap.Duration("silence", silence(p, now)))
	}
	n.setMember(p, d.Member)
	p.Digest = d
	p.Delay = p.transit.delay(d.Incarnation, d.Uptime, now)
	p.At = now.Add(-p.Delay)
	out := *p
	return &out
}

func silence(p *Peer, now time.Time) time.Duration {
	if p.At.IsZero() {
		return 0
	}
	return now.Sub(p.At)
}

// Send sends a digest to the VMs of the own domain that belong to an audience.
func (n *Node) Send(d Digest, to Audience) { n.send(message{Digest: &d}, n.recipients(to)) }

// SendSummary sends a summary to one relay of each other domain: the one of the same
// rank as this VM, so that the two relays of a domain use different paths. A VM that
// is alone in its domain sends it to both relays.
func (n *Node) SendSummary(s Summary) {
	rank := n.Rank()
	count := 1
	if len(s.Members) == 1 {
		count = relayCount
	}
	n.send(message{Summary: &s}, n.remoteRelays(rank, count))
}

func (n *Node) send(m message, to []target) {
	data, err := encode(m)
	if err != nil {
		n.opts.Log.Error("gossip_encode_failed", logging.Error(err))
		return
	}
	n.pacer.record(len(data), len(to), n.opts.Now())
	for _, t := range to {
		addr, err := t.resolve()
		if err != nil {
			n.opts.Log.Warn("peer_address_invalid", zap.String("peer", string(t.ID)), logging.Error(err))
			continue
		}
		// A failed send is equivalent to a lost datagram, which the protocol tolerates.
		_, _ = n.conn.WriteToUDPAddrPort(data, addr)
		n.opts.Traffic.Sent(linkmeter.Gossip, len(data))
	}
}
