package spread

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// directClient calls a spreader in the same process instead of over a
// connection.
type directClient struct {
	s *Spreader
	c *cluster
}

func (d directClient) Exchange(ctx context.Context, in *peer.ExchangeRequest, _ ...grpc.CallOption) (*peer.ExchangeReply, error) {
	d.c.exchanges.Add(1)
	return d.s.Exchange(ctx, in)
}

func (d directClient) Fetch(ctx context.Context, in *peer.FetchRequest, _ ...grpc.CallOption) (*peer.FetchReply, error) {
	return d.s.Fetch(ctx, in)
}

func (d directClient) Support(ctx context.Context, in *peer.SupportRequest, _ ...grpc.CallOption) (*peer.SupportReply, error) {
	return d.s.Support(ctx, in)
}

func (d directClient) Withdraw(ctx context.Context, in *peer.WithdrawRequest, _ ...grpc.CallOption) (*peer.WithdrawReply, error) {
	return d.s.Withdraw(ctx, in)
}

// cluster is a set of spreaders that call each other directly.
type cluster struct {
	platform  *memplatform.Platform
	mu        sync.Mutex
	byAddr    map[string]*Spreader
	spreaders []*Spreader
	// exchanges counts the calls of Exchange.
	exchanges atomic.Int64
}

// Control implements Peers.
func (c *cluster) Control(addr string) (peer.ControlClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.byAddr[addr]
	if !ok {
		return nil, platform.ErrUnavailable
	}
	return directClient{s, c}, nil
}

// start runs n spreaders until the test ends.
func (c *cluster) start(t *testing.T, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		self := testVM(i)
		c.platform.SetMember(platform.Member{ID: string(self.ID), CallerAddress: self.CallerAddress, PeerAddress: self.PeerAddress})
		s := New(Options{
			Self: self, Table: c.platform, Objects: c.platform.Objects(), Membership: c.platform, Peers: c,
			Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Publish: func(*config.Snapshot) {},
		})
		c.mu.Lock()
		c.byAddr[self.PeerAddress] = s
		c.spreaders = append(c.spreaders, s)
		c.mu.Unlock()
	}
	for _, s := range c.spreaders {
		wg.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// await waits until ok holds for all spreaders and returns the time that it
// took.
func (c *cluster) await(t *testing.T, what string, within time.Duration, ok func(*Spreader) bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for {
		missing := 0
		for _, s := range c.spreaders {
			if !ok(s) {
				missing++
			}
		}
		took := time.Since(begin)
		if missing == 0 {
			return took
		}
		if took > within {
			t.Fatalf("%s: condition not met on %d VMs after %v", what, missing, took)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func modelTicket(i int) ticket.Ticket {
	t := ticket.Ticket{ClientID: fmt.Sprint("t", i), Operator: "olga"}
	t.Models.Set = []config.Model{{Name: fmt.Sprint("m", i), WeightsVersion: "1"}}
	return t
}

// TestSimultaneousStartStaysWithinReadBudget starts many routers simultaneously
// on a platform with a long ticket history and checks the rate of store reads.
// It then files a ticket, which must reach all routers in time, and checks that
// they remain fresh during a store outage.
func TestSimultaneousStartStaysWithinReadBudget(t *testing.T) {
	const (
		vms = 120
		// fleetSize is the number of VMs to which the store's read budget
		// applies.
		fleetSize        = 350
		readsBudget      = 2000 * vms / fleetSize
		historyLength    = 300
		propagationLimit = 6 * time.Second
	)
	c := &cluster{platform: memplatform.New(), byAddr: map[string]*Spreader{}}
	first := New(Options{Self: testVM(999), Table: c.platform, Objects: c.platform.Objects(), Membership: c.platform, Peers: c, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Publish: func(*config.Snapshot) {}})
	for i := range historyLength {
		if _, err := first.Tickets().File(context.Background(), modelTicket(i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := first.Tickets().Checkpoint(context.Background(), first.Tickets().Latest()); err != nil {
		t.Fatal(err)
	}
	perVM := func(during time.Duration, exchanges int64) float64 {
		return float64(exchanges) / vms / during.Seconds()
	}
	before := c.platform.Counts()
	c.start(t, vms)
	var worst uint64
	for range 6 {
		c.exchanges.Store(0)
		time.Sleep(time.Second)
		now := c.platform.Counts()
		worst = max(worst, now.Reads-before.Reads)
		t.Logf("%d reads, %d writes, %.1f exchanges per VM in one second", now.Reads-before.Reads, now.Writes-before.Writes, perVM(time.Second, c.exchanges.Load()))
		before = now
	}
	if worst > readsBudget {
		t.Errorf("%d reads in one second, want at most %d", worst, readsBudget)
	}
	now := time.Now()
	c.await(t, "fresh", 0, func(s *Spreader) bool { return s.Fresh(now) })

	begin := time.Now()
	rec, err := c.spreaders[0].Tickets().File(context.Background(), modelTicket(historyLength))
	if err != nil {
		t.Fatal(err)
	}
	c.await(t, "ticket", propagationLimit, func(s *Spreader) bool { return s.View().Head.Number >= rec.Number })
	t.Logf("all %d VMs had the ticket %v after it was filed", vms, time.Since(begin))

	c.platform.SetFaults(memplatform.Faults{Down: true})
	c.exchanges.Store(0)
	for end := time.Now().Add(propagationLimit + freshness.Bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		c.await(t, "fresh during the outage", 0, func(s *Spreader) bool { return s.Fresh(now) })
	}
	t.Logf("during the outage: %.1f exchanges per VM per second", perVM(propagationLimit+freshness.Bound, c.exchanges.Load()))
}
