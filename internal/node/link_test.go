package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/linkmeter"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	smallLinkBitRate = 10e6
	// domainVMs and busyServers are the VMs of a failure domain and the servers that work for this
	// one, as on the deployments known.
	domainVMs, busyServers = 28, 72
	// gossipBound is the share of a link that gossip may take (docs/CAPACITY.md), with a margin for
	// the period that is measured.
	gossipBound = 0.25 * 1.1
)

// listenForDatagrams returns an address that receives datagrams and discards them.
func listenForDatagrams(t *testing.T) string {
	c, err := net.ListenPacket("udp4", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.LocalAddr().String()
}

// newBusyVM returns a VM with many requests at servers and a small link, whose digests go to the given
// addresses.
func newBusyVM(t *testing.T, servers int, peers []string) *Node {
	n := newCrowd(t, 1).node
	n.opts.LinkBitRate = smallLinkBitRate
	var members []gossip.Member
	for i, address := range peers {
		members = append(members, gossip.Member{ID: vm.ID(fmt.Sprintf("vm-%d", i)), FailureDomain: domainOf(0), Cores: 0.192, Peer: address})
	}
	n.gossip.RecordListed(members)
	for i := range servers {
		id := backend.ID(fmt.Sprintf("i-%010x", uint64(i+1)*0x9e3779b97f4a7c15>>24))
		n.servers.Begin(&selector.Candidate{Entry: &fleet.Entry{ID: id, Started: 1760000000000 + int64(i)*7919}}, nil, 1)
	}
	return n
}

// sendNews has a VM announce changes in digests all the time until the test ends.
func sendNews(t *testing.T, n *Node) {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { n.sendDigests(ctx) })
	loops.Go(func() {
		for clock.Sleep(ctx, 5*time.Millisecond) {
			n.notifyAll()
		}
	})
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
}

func TestNewsFillsSmallLinkWithDigests(t *testing.T) {
	var peers []string
	for range domainVMs - 1 {
		peers = append(peers, listenForDatagrams(t))
	}
	n := newBusyVM(t, busyServers, peers)
	sendNews(t, n)
	before := n.traffic.Read(n.now())
	time.Sleep(3 * time.Second)
	after := n.traffic.Read(n.now())
	sent := float64(after.Sent[linkmeter.Gossip]-before.Sent[linkmeter.Gossip]) * 8 / after.At.Sub(before.At).Seconds()
	if sent > gossipBound*smallLinkBitRate {
		t.Errorf("digests take %.1f Mbit/s of a link of %.0f", sent/1e6, smallLinkBitRate/1e6)
	}
	t.Logf("%.2f Mbit/s", sent/1e6)
}

// leavingDecoder decodes every row as that of a server that leaves.
type leavingDecoder struct{ goalDecoder }

func (leavingDecoder) Server(c platform.Change) (fleet.Entry, error) {
	return fleet.Entry{ID: backend.ID(c.Key), Service: "s", Address: "127.0.0.1:1", State: fleet.Draining, Revision: c.Revision()}, nil
}

// startHearing starts a VM that passes the digests that it hears on, and returns its address.
func startHearing(t *testing.T, heard func(*gossip.Peer)) string {
	peer, err := gossip.New(gossip.Options{
		Self: gossip.Member{ID: "peer", FailureDomain: domainOf(0)}, Listen: loopback.Host() + ":0", Log: zap.NewNop(), Now: clock.BootTime,
		Received: heard, Summarized: func(*gossip.Summary) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go peer.Run(ctx)
	return peer.Address()
}

func TestChangeIsAnnouncedBehindOtherNews(t *testing.T) {
	const (
		changes = 5
		// manyServers make digests so large that the pause between two of them is the longest, 500 ms.
		manyServers = 12 * busyServers
		bound       = 250 * time.Millisecond
	)
	heard := make(chan gossip.Digest, 1000)
	peers := []string{startHearing(t, func(p *gossip.Peer) { heard <- p.Digest })}
	others := listenForDatagrams(t)
	for range domainVMs - 2 {
		peers = append(peers, others)
	}
	n := newBusyVM(t, manyServers, peers)
	n.opts.Decoder = leavingDecoder{}
	sendNews(t, n)
	for name, change := range map[string]struct {
		make  func(version uint64)
		known func(d gossip.Digest) uint64
	}{
		"configuration": {
			func(version uint64) { n.publish(testCatalog(catalog.Version(version), 1), "store") },
			func(d gossip.Digest) uint64 { return uint64(d.Catalog) },
		},
		"server leaves": {
			func(version uint64) {
				after, upTo := platform.Revision{Version: platform.Version(version - 1)}, platform.Revision{Version: platform.Version(version)}
				n.applyServerChanges([]platform.Change{{Row: platform.Row{Key: "i", Version: upTo.Version}}}, after, upTo)
			},
			func(d gossip.Digest) uint64 { return uint64(d.Servers.Version) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			for version := uint64(1); version <= changes; version++ {
				time.Sleep(700 * time.Millisecond)
				change.make(version)
				made := time.Now()
				for change.known(<-heard) < version {
				}
				if took := time.Since(made); took > bound {
					t.Errorf("version %d is announced after %v", version, took)
				}
			}
		})
	}
}
