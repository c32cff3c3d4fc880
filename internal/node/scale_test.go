package node

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/vm"
)

// largeDomains is the number of failure domains of a large deployment.
const largeDomains = 5

// crowd is a VM of a deployment and the messages that it receives from the others.
type crowd struct {
	node     *Node
	vms      int
	sequence uint64
	began    time.Time
}

func newCrowd(tb testing.TB, vms int) *crowd {
	n, err := New(Options{
		Log: zap.NewNop(), LogDropped: func() uint64 { return 0 },
		VM:   vm.VM{ID: "vm-self", FailureDomain: domainOf(0), Cores: 0.192},
		Peer: loopback.Host() + ":0", Table: rowTable{}, Feed: &goalStore{}, Decoder: goalDecoder{},
		OperatorTable: "op", MemberTable: "vms",
		Bounds: Bounds{VersionBound: 20 * time.Second, Lease: 3 * time.Second, Quota: quota.Settings{Window: 8 * time.Second}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = n.listener.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.gossip.Run(ctx) // Closes the socket.
	})
	return &crowd{node: n, vms: vms, began: n.now().Add(-time.Minute)}
}

func domainOf(i int) string { return fmt.Sprintf("zone-%d", i%largeDomains) }

func member(i int) gossip.Member {
	cores := 0.192
	if i < 3*largeDomains {
		cores = 0.8
	}
	return gossip.Member{
		ID: vm.ID(fmt.Sprintf("vm-%03d", i)), FailureDomain: domainOf(i), Cores: cores,
		Caller: fmt.Sprintf("127.0.0.1:%d", 20000+i), Peer: fmt.Sprintf("127.0.0.1:%d", 30000+i),
	}
}

func (c *crowd) encode(tb testing.TB, m any) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// digest returns the digest of a VM of the same failure domain at rest.
func (c *crowd) digest(tb testing.TB, i int) []byte {
	c.sequence++
	return c.encode(tb, map[string]any{"d": gossip.Digest{
		Member: member(i), Incarnation: 1, Sequence: c.sequence, Uptime: c.node.now().Sub(c.began),
		Ready: true, Calls: 0.8, Following: i < 2*largeDomains,
	}})
}

// summary returns the summary of another failure domain at rest.
func (c *crowd) summary(tb testing.TB, domain int) []byte {
	c.sequence++
	s := gossip.Summary{From: member(domain), Incarnation: 1, Sequence: c.sequence, Forwarded: true, Uptime: time.Minute}
	for i := domain; i < c.vms; i += largeDomains {
		s.Members = append(s.Members, gossip.MemberState{Member: member(i), Ready: true, Calls: 0.8})
	}
	return c.encode(tb, map[string]any{"s": s})
}

func (c *crowd) receive(tb testing.TB, datagram []byte) {
	if err := c.node.gossip.Receive(datagram); err != nil {
		tb.Fatal(err)
	}
}

// round returns the messages of all VMs that reach this one in half a second.
func (c *crowd) round(tb testing.TB) (datagrams [][]byte) {
	for i := largeDomains; i < c.vms; i += largeDomains {
		datagrams = append(datagrams, c.digest(tb, i))
	}
	for d := 1; d < largeDomains; d++ {
		datagrams = append(datagrams, c.summary(tb, d))
	}
	return datagrams
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Digests arrive from all VMs of the failure domain. If each also cost in proportion to the VMs, the
// work of a VM would grow with their square.
func TestCostOfDigestIsIndependentOfNumberOfVMs(t *testing.T) {
	const digests = 200
	cost := func(vms int) uint64 {
		c := newCrowd(t, vms)
		for range 2 {
			for _, d := range c.round(t) {
				c.receive(t, d)
			}
		}
		datagrams := make([][]byte, 0, digests)
		for range digests {
			datagrams = append(datagrams, c.digest(t, largeDomains))
		}
		return allocated(func() {
			for _, d := range datagrams {
				c.receive(t, d)
			}
		}) / digests
	}
	few, many := cost(10), cost(350)
	if many > few+few/2 {
		t.Errorf("a digest allocates %d bytes in a deployment of 10 VMs and %d in one of 350", few, many)
	}
	t.Logf("%d bytes with 10 VMs, %d with 350", few, many)
}

// BenchmarkHearing measures what a VM on standby hears in half a second at rest.
func BenchmarkHearing(b *testing.B) {
	for _, vms := range []int{8, 86, 195, 350} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			c := newCrowd(b, vms)
			for _, d := range c.round(b) {
				c.receive(b, d)
			}
			for b.Loop() {
				b.StopTimer()
				datagrams := c.round(b)
				b.StartTimer()
				for _, d := range datagrams {
					c.receive(b, d)
				}
				c.node.housekeep()
			}
		})
	}
}
