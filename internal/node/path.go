package node

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/tunnel"
)

// maxDownShare is the share of the servers that may accept no connections from this VM before it
// checks whether its path to them is cut. A third of them may crash at once.
const maxDownShare = 0.4

// peerCheckTimeout bounds the check whether other VMs reach a server.
const peerCheckTimeout = 600 * time.Millisecond

func (n *Node) newServerPath() *tunnel.Path {
	return tunnel.NewPath(tunnel.Options{
		Dial:     hop.Dial,
		Peers:    n.tunnelPeers,
		Servers:  n.checkableServers,
		Responds: n.responds,
		Changed:  n.serverPathChanged,
	})
}

// dialServer opens a connection to a server.
func (n *Node) dialServer(ctx context.Context, id, address string) (net.Conn, error) {
	target := tunnel.Target{ID: id}
	if e := n.directory.View().Server(backend.ID(id)); e != nil {
		target.Started = e.Started
	}
	return n.path.Dial(ctx, tunnel.Server{Target: target, Address: address})
}

// connectForPeer opens a direct connection to a server for another VM.
func (n *Node) connectForPeer(ctx context.Context, target tunnel.Target) (net.Conn, error) {
	e := n.directory.View().Server(backend.ID(target.ID))
	if e == nil || e.Started != target.Started {
		return nil, errors.Errorf("no server %s has started at %d", target.ID, target.Started)
	}
	if !n.servers.HeardRecently() {
		n.path.Suspect() // This VM may be cut off too.
	}
	return hop.Dial(ctx, e.Address)
}

// withheldFromPeers returns an error if other VMs must send a server no requests through this one.
func (n *Node) withheldFromPeers(target tunnel.Target) error {
	e := n.directory.View().Server(backend.ID(target.ID))
	if e == nil || e.Started != target.Started {
		return errors.Errorf("no server %s has started at %d", target.ID, target.Started)
	}
	if !e.Usable() { // The other VM doesn't know it yet.
		return errors.Wrapf(&hop.WithheldError{}, "server %s leaves", target.ID)
	}
	if left := n.limits.Backoff(selector.KeyOf(e)).Left; left > 0 {
		return errors.Wrapf(&hop.WithheldError{Left: left}, "server %s wants no requests of this VM for a time", target.ID)
	}
	return nil
}

// serverAsked applies what a server asks of this VM in a response to another VM.
func (n *Node) serverAsked(target tunnel.Target, asked hop.Asked) {
	if asked.Leaves && n.directory.MarkDrained(backend.ID(target.ID), target.Started, n.now()) != nil {
		n.notifyAll()
	}
	if asked.Backoff > 0 {
		n.limits.RecordBackoff(selector.ServerKey{ID: backend.ID(target.ID), Started: target.Started}, asked.Backoff)
	}
}

// tunnelPeers returns the addresses of VMs that are expected to reach a server: one of each
// failure domain before the others, that of this VM first, then that of the server, because
// traffic between domains is expensive.
func (n *Node) tunnelPeers(target tunnel.Target) []string {
	serverDomain := ""
	if e := n.directory.View().Server(backend.ID(target.ID)); e != nil {
		serverDomain = e.FailureDomain
	}
	now := n.now()
	peers := slices.DeleteFunc(n.gossip.Peers(), func(p gossip.Peer) bool {
		return !p.Alive(now) || !p.Ready || p.Leaving || p.Stranded
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	distance := func(domain string) int {
		return slices.Index([]string{n.opts.VM.FailureDomain, serverDomain, domain}, domain)
	}
	slices.SortStableFunc(peers, func(a, b gossip.Peer) int { return distance(a.FailureDomain) - distance(b.FailureDomain) })
	var first, others []string
	seen := map[string]bool{}
	for _, p := range peers {
		if seen[p.FailureDomain] {
			others = append(others, p.Peer)
			continue
		}
		seen[p.FailureDomain] = true
		first = append(first, p.Peer)
	}
	return append(first, others...)
}

// reachableByPeers reports whether a server accepts connections from another VM.
func (n *Node) reachableByPeers(e *fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), peerCheckTimeout)
	defer cancel()
	return n.path.ReachableByPeers(ctx, tunnel.Target{ID: string(e.ID), Started: e.Started})
}

// checkableServers returns the servers that can be asked for a report: the engines, or all if
// there are none.
func (n *Node) checkableServers() []tunnel.Server {
	var engines, all []tunnel.Server
	for _, e := range n.serversOfServices(n.directory.View()) {
		if !e.Usable() {
			continue
		}
		s := tunnel.Server{Target: tunnel.Target{ID: string(e.ID), Started: e.Started}, Address: e.Address}
		all = append(all, s)
		if len(e.Weights) > 0 {
			engines = append(engines, s)
		}
	}
	if len(engines) > 0 {
		return engines
	}
	return all
}

// responds reports whether a server responds on a connection that is opened by dial.
func (n *Node) responds(ctx context.Context, s tunnel.Server, dial tunnel.DialFunc) bool {
	e := n.directory.View().Server(backend.ID(s.ID))
	if e == nil {
		return false
	}
	if len(e.Weights) > 0 {
		if _, err := n.opts.Engines.Report(ctx, e, dial); err != nil {
			return false
		}
		n.servers.RecordHeard()
		return true
	}
	conn, err := dial(ctx, e.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	n.servers.RecordHeard()
	return true
}

// maxDownServers returns the number of servers that may accept no connections from this VM before
// its path to them is checked.
func (n *Node) maxDownServers() int {
	return max(1, int(maxDownShare*float64(len(n.serversOfServices(n.directory.View())))))
}

// serverPathChanged applies that this VM's path to the servers was found to be cut, or restored.
func (n *Node) serverPathChanged(cut bool) {
	event := "server_path_restored"
	if cut {
		event = "server_path_cut"
		n.servers.MarkAllReachable()
	}
	// Idle connections may have failed silently, and connections through other VMs are slower.
	n.pool.CloseAllIdle()
	n.log.Warn(event, zap.Int("down", n.servers.DownCount()), zap.Int("peers", len(n.tunnelPeers(tunnel.Target{}))), zap.Float64("calls", n.calls.Last()))
	n.notifyAll()
}

// dialVia returns the function that opens a connection to a server as for requests.
func (n *Node) dialVia(e *fleet.Entry) tunnel.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dialServer(ctx, string(e.ID), address)
	}
}

// watchIsolation has the path to the servers checked while this VM seems to be partitioned from
// them, and logs when that begins and ends.
func (n *Node) watchIsolation() {
	isolated, pending, silent := n.servers.Isolated()
	if isolated || n.servers.Unheard() || n.servers.DownCount() > n.maxDownServers() {
		n.path.Suspect()
	}
	if isolated == n.isolated {
		return
	}
	n.isolated = isolated
	event := "servers_isolated"
	if !isolated {
		event = "servers_isolation_ended"
	}
	n.log.Warn(event, zap.Int("pending", pending), zap.Int("silent", silent), zap.Float64("calls", n.calls.Last()),
		zap.Strings("offered", n.Addresses(n.opts.VM.FailureDomain)))
}
