package node

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/linkmeter"
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

func TestNewsFillsSmallLinkWithDigests(t *testing.T) {
	c := newCrowd(t, domainVMs)
	n := c.node
	n.opts.LinkBitRate = smallLinkBitRate
	var members []gossip.Member
	for i := range domainVMs - 1 {
		members = append(members, gossip.Member{ID: vm.ID(fmt.Sprintf("vm-%d", i)), FailureDomain: domainOf(0), Cores: 0.192, Peer: listenForDatagrams(t)})
	}
	n.gossip.RecordListed(members)
	for i := range busyServers {
		id := backend.ID(fmt.Sprintf("i-%010x", uint64(i+1)*0x9e3779b97f4a7c15>>24))
		n.servers.Begin(&selector.Candidate{Entry: &fleet.Entry{ID: id, Started: 1760000000000 + int64(i)*7919}}, nil, 1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.sendDigests(ctx)
	}()
	before := n.traffic.Read(n.now())
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		n.notifyAll()
	}
	after := n.traffic.Read(n.now())
	cancel()
	<-done
	sent := float64(after.Sent[linkmeter.Gossip]-before.Sent[linkmeter.Gossip]) * 8 / after.At.Sub(before.At).Seconds()
	if sent > gossipBound*smallLinkBitRate {
		t.Errorf("digests take %.1f Mbit/s of a link of %.0f", sent/1e6, smallLinkBitRate/1e6)
	}
	t.Logf("%.2f Mbit/s", sent/1e6)
}
