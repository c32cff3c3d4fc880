// Package gossip exchanges small digests between the routers of a deployment, a
// few times a second over UDP: who lives, what each knows of the configuration
// and of backend servers, and what each admits and sends. What a digest shows to
// be newer elsewhere is fetched over HTTP from that VM.
//
// Digests go to the VMs of the sender's failure domain. Two relays of each domain
// sum them up for the other domains, whose relays pass the summary on within
// theirs, so that little crosses domains and the traffic of a VM grows with the
// size of its domain only.
package gossip

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/logging"
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
	// maxSummary bounds a summary once decompressed, in bytes.
	maxSummary = 1 << 20
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
	// Cores is the processor that the VM has, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// LeaseClaim is what the holder of the lease for orders says of its term.
type LeaseClaim struct {
	Fencing  uint64 `json:"f"`
	Renewals uint64 `json:"r"`
	// Left is the time for which it may still give orders; 0 if it gave the lease
	// up.
	Left time.Duration `json:"l"`
	// OrderAge is the time since its last order; negative if it gave none.
	OrderAge time.Duration `json:"o"`
	// Age is the time since the holder said so.
	Age time.Duration `json:"a"`
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
	// Calls is the rate of calls that the sender gets, in calls a second.
	Calls float64 `json:"calls,omitempty"`
	// Giver is set if the sender holds the lease for orders to engines.
	Giver bool `json:"giver,omitempty"`
	// Claim is the last that the sender knows of a holder's term.
	Claim *LeaseClaim `json:"claim,omitempty"`
	// Catalog is the version of the configuration in force.
	Catalog catalog.Version `json:"cat"`
	// Servers is the revision of the newest server entry known.
	Servers platform.Version `json:"srv"`
	Goals   []WeightsGoal    `json:"goals,omitempty"`
	Held    []WeightsHeld    `json:"held,omitempty"`
	// Following is set if the sender reads the store's feeds and hears from them.
	Following bool `json:"fol,omitempty"`
	// FollowingFor is for how long without a failure.
	FollowingFor time.Duration `json:"ff,omitempty"`
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

// MemberState is what a summary says of a VM.
type MemberState struct {
	Member
	Ready   bool    `json:"ready,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	Calls   float64 `json:"calls,omitempty"`
}

// Summary is what a relay tells the other failure domains of its own.
type Summary struct {
	// From is the relay.
	From        Member         `json:"from"`
	Incarnation vm.Incarnation `json:"inc"`
	Sequence    uint64         `json:"seq"`
	// Forwarded is set once a relay of another domain passes the summary on.
	Forwarded bool          `json:"fwd,omitempty"`
	Members   []MemberState `json:"members"`
	// Uptime is that of the domain's oldest process.
	Uptime time.Duration `json:"up"`
	// FollowingFor is for how long some VM of the domain has followed the store.
	FollowingFor time.Duration              `json:"ff,omitempty"`
	Giver        bool                       `json:"giver,omitempty"`
	Claim        *LeaseClaim                `json:"claim,omitempty"`
	Catalog      catalog.Version            `json:"cat"`
	Servers      platform.Version           `json:"srv"`
	Goals        []WeightsGoal              `json:"goals,omitempty"`
	Held         []WeightsHeld              `json:"held,omitempty"`
	Reserved     []backend.ID               `json:"rsv,omitempty"`
	Usage        map[account.ID]quota.Usage `json:"use,omitempty"`
	Loads        []ServerLoad               `json:"load,omitempty"`
	Crashes      map[string]int             `json:"crash,omitempty"`
	Placements   []selector.Placement       `json:"place,omitempty"`
	Kept         []selector.Kept            `json:"kept,omitempty"`
}

// message is a datagram: one of the two.
type message struct {
	Digest  *Digest  `json:"d,omitempty"`
	Summary *Summary `json:"s,omitempty"`
}

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
	return &Node{opts: opts, conn: conn, peers: map[vm.ID]*Peer{}, relays: map[vm.ID]*Summary{}}, nil
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
	n.send(message{Summary: &s}, n.domainPeers())
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

// Rank returns the place of this VM among the live ones of its domain, by ID
// from 0.
func (n *Node) Rank() int {
	now := n.opts.Now()
	rank := 0
	for _, p := range n.domainPeers() {
		if p.Alive(now) && p.ID < n.opts.Self.ID {
			rank++
		}
	}
	return rank
}

// IsRelay reports whether this VM sums its domain up for the others.
func (n *Node) IsRelay() bool { return n.Rank() < relayCount }

// Send sends a digest to the VMs of the own domain.
func (n *Node) Send(d Digest) { n.send(message{Digest: &d}, n.domainPeers()) }

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
		slices.SortFunc(list, func(a, b Peer) int {
			if x, y := a.Alive(now), b.Alive(now); x != y {
				if x {
					return -1
				}
				return 1
			}
			return strings.Compare(string(a.ID), string(b.ID))
		})
		targets = append(targets, list[min(rank, len(list)-1)])
		if alone && len(list) > 1 {
			targets = append(targets, list[1])
		}
	}
	n.send(message{Summary: &s}, targets)
}

// writers keeps compressors, which are large.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// encode returns the datagram of a message. Summaries, which cross domains, are
// compressed (RFC 1951).
func encode(m message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil || m.Summary == nil || m.Summary.Forwarded {
		return data, err
	}
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress summary")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress summary")
	}
	return b.Bytes(), nil
}

// decode reads a datagram, compressed or not.
func decode(data []byte) (*message, error) {
	if len(data) > 0 && data[0] != '{' {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSummary))
		if err != nil {
			return nil, errors.Wrap(err, "decompress summary")
		}
		data = plain
	}
	var m message
	return &m, errors.Wrap(json.Unmarshal(data, &m), "gossip message")
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
