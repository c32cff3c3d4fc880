// Package gossip exchanges small digests between the routers of a deployment, a
// few times a second over UDP: who lives, what each knows of the configuration
// and of backend servers, and what each admits and sends. What a digest shows to
// be newer elsewhere is fetched over HTTP from that VM.
package gossip

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/selector"
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
)

// ServerLoad is the load that the sender puts on a backend server.
type ServerLoad struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Running int        `json:"n"`
	Backlog int        `json:"b,omitempty"`
	Churn   int        `json:"c,omitempty"`
	Memory  int        `json:"m,omitempty"`
}

// WeightsGoal is the version of a model that the sender knows to be named.
type WeightsGoal struct {
	Model   string        `json:"m"`
	Version uint64        `json:"v"`
	Age     time.Duration `json:"a"`
}

// WeightsHeld is the version of a model that the sender knows a server to hold.
type WeightsHeld struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Model   string     `json:"m"`
	Version uint64     `json:"v"`
}

// Member is how a VM is reached.
type Member struct {
	ID            vm.ID  `json:"id"`
	FailureDomain string `json:"domain"`
	// Caller is where callers connect, host:port.
	Caller string `json:"caller"`
	// Peer is where digests go and where states are fetched, host:port.
	Peer string `json:"peer"`
}

// Digest is what a VM tells the others.
type Digest struct {
	Member
	Incarnation vm.Incarnation `json:"inc"`
	// Sequence grows with each digest of a process.
	Sequence uint64        `json:"seq"`
	Uptime   time.Duration `json:"up"`
	Leaving  bool          `json:"leaving,omitempty"`
	Ready    bool          `json:"ready,omitempty"`
	// Giver is set if the sender holds the lease for orders to engines.
	Giver bool `json:"giver,omitempty"`
	// Catalog is the version of the configuration in force.
	Catalog catalog.Version `json:"cat"`
	// Servers is the revision of the newest server entry known.
	Servers platform.Version `json:"srv"`
	Goals   []WeightsGoal    `json:"goals,omitempty"`
	Held    []WeightsHeld    `json:"held,omitempty"`
	// Reserved are the engines that the order giver is about to load or is
	// loading; they should get no new requests.
	Reserved []backend.ID               `json:"rsv,omitempty"`
	Usage    map[account.ID]quota.Usage `json:"use,omitempty"`
	Loads    []ServerLoad               `json:"load,omitempty"`
	Crashes  map[string]int             `json:"crash,omitempty"`
	// Placements are the prompts that the sender placed lately.
	Placements []selector.Placement `json:"place,omitempty"`
	// Kept are the prompts whose parts the store has got lately.
	Kept []selector.Kept `json:"kept,omitempty"`
}

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

// Options configure a Node.
type Options struct {
	Self Member
	// Listen is the local address, host:port.
	Listen string
	Log    *zap.Logger
	Now    func() time.Time
	// Received is called with each newer digest, from one goroutine.
	Received func(p *Peer)
}

// Node sends and receives digests.
type Node struct {
	opts Options
	conn *net.UDPConn

	mu    sync.Mutex
	peers map[vm.ID]*Peer
}

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
	return &Node{opts: opts, conn: conn, peers: map[vm.ID]*Peer{}}, nil
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
			n.opts.Log.Warn("gossip_receive_failed", zap.Error(err))
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var d Digest
		if err := json.Unmarshal(buf[:size], &d); err != nil || d.ID == "" {
			n.opts.Log.Warn("gossip_digest_malformed", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		if p := n.accept(d); p != nil {
			n.opts.Received(p)
		}
	}
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

// Send sends a digest to all peers.
func (n *Node) Send(d Digest) {
	data, err := json.Marshal(d)
	if err != nil {
		n.opts.Log.Error("gossip_encode_failed", zap.Error(err))
		return
	}
	for _, p := range n.Peers() {
		addr, err := net.ResolveUDPAddr("udp4", p.Peer)
		if err != nil {
			n.opts.Log.Warn("peer_address_invalid", zap.String("peer", string(p.ID)), zap.Error(err))
			continue
		}
		// A datagram that can't be sent is like one that is lost.
		_, _ = n.conn.WriteToUDP(data, addr)
	}
}
