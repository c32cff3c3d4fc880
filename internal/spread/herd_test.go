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

// direct calls a spreader in this process in place of a connection.
type direct struct {
	s *Spreader
	h *herd
}

func (d direct) Exchange(ctx context.Context, in *peer.ExchangeRequest, _ ...grpc.CallOption) (*peer.ExchangeReply, error) {
	d.h.exchanges.Add(1)
	return d.s.Exchange(ctx, in)
}

func (d direct) Fetch(ctx context.Context, in *peer.FetchRequest, _ ...grpc.CallOption) (*peer.FetchReply, error) {
	return d.s.Fetch(ctx, in)
}

func (d direct) Support(ctx context.Context, in *peer.SupportRequest, _ ...grpc.CallOption) (*peer.SupportReply, error) {
	return d.s.Support(ctx, in)
}

func (d direct) Withdraw(ctx context.Context, in *peer.WithdrawRequest, _ ...grpc.CallOption) (*peer.WithdrawReply, error) {
	return d.s.Withdraw(ctx, in)
}

// herd is many spreaders that call each other directly.
type herd struct {
	platform *memplatform.Platform
	mu       sync.Mutex
	byAddr   map[string]*Spreader
	all      []*Spreader
	// exchanges counts the calls of Exchange.
	exchanges atomic.Int64
}

// Control implements Peers.
func (h *herd) Control(addr string) (peer.ControlClient, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.byAddr[addr]
	if !ok {
		return nil, platform.ErrUnavailable
	}
	return direct{s, h}, nil
}

// start runs n spreaders until the test ends.
func (h *herd) start(t *testing.T, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		self := testVM(i)
		h.platform.SetMember(platform.Member{ID: string(self.ID), CallerAddress: self.CallerAddress, PeerAddress: self.PeerAddress})
		s := New(Options{
			Self: self, Table: h.platform, Objects: h.platform.Objects(), Membership: h.platform, Peers: h,
			Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Publish: func(*config.Snapshot) {},
		})
		h.mu.Lock()
		h.byAddr[self.PeerAddress] = s
		h.all = append(h.all, s)
		h.mu.Unlock()
	}
	for _, s := range h.all {
		wg.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (h *herd) await(t *testing.T, what string, within time.Duration, ok func(*Spreader) bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for {
		missing := 0
		for _, s := range h.all {
			if !ok(s) {
				missing++
			}
		}
		took := time.Since(begin)
		if missing == 0 {
			return took
		}
		if took > within {
			t.Fatalf("%s: not at %d VMs after %v", what, missing, took)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func model(i int) ticket.Ticket {
	t := ticket.Ticket{ClientID: fmt.Sprint("t", i), Operator: "olga"}
	t.Models.Set = []config.Model{{Name: fmt.Sprint("m", i), WeightsVersion: "1"}}
	return t
}

// TestHerdStartsWithinTheStoresBudget starts many routers at once on a platform
// that holds a long history, and files a ticket.
func TestHerdStartsWithinTheStoresBudget(t *testing.T) {
	const (
		vms = 120
		// target is the fleet for which the store's budget is given.
		target      = 350
		readsBudget = 2000 * vms / target
		history     = 300
		within      = 6 * time.Second
	)
	h := &herd{platform: memplatform.New(), byAddr: map[string]*Spreader{}}
	first := New(Options{Self: testVM(999), Table: h.platform, Objects: h.platform.Objects(), Membership: h.platform, Peers: h, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Publish: func(*config.Snapshot) {}})
	for i := range history {
		if _, err := first.Tickets().File(context.Background(), model(i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := first.Tickets().Checkpoint(context.Background(), first.Tickets().Latest()); err != nil {
		t.Fatal(err)
	}
	perVM := func(during time.Duration, exchanges int64) float64 {
		return float64(exchanges) / vms / during.Seconds()
	}
	before := h.platform.Counts()
	h.start(t, vms)
	var worst uint64
	for range 6 {
		h.exchanges.Store(0)
		time.Sleep(time.Second)
		now := h.platform.Counts()
		worst = max(worst, now.Reads-before.Reads)
		t.Logf("%d reads, %d writes, %.1f exchanges a VM in a second", now.Reads-before.Reads, now.Writes-before.Writes, perVM(time.Second, h.exchanges.Load()))
		before = now
	}
	if worst > readsBudget {
		t.Errorf("%d reads in a second, the budget is %d", worst, readsBudget)
	}
	now := time.Now()
	h.await(t, "fresh", 0, func(s *Spreader) bool { return s.Fresh(now) })

	begin := time.Now()
	rec, err := h.all[0].Tickets().File(context.Background(), model(history))
	if err != nil {
		t.Fatal(err)
	}
	h.await(t, "ticket", within, func(s *Spreader) bool { return s.View().Head.Number >= rec.Number })
	t.Logf("%d VMs have the ticket %v after it was filed", vms, time.Since(begin))

	h.platform.SetFaults(memplatform.Faults{Down: true})
	h.exchanges.Store(0)
	for end := time.Now().Add(within + freshness.Bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		h.await(t, "fresh in the outage", 0, func(s *Spreader) bool { return s.Fresh(now) })
	}
	t.Logf("in the outage: %.1f exchanges a VM in a second", perVM(within+freshness.Bound, h.exchanges.Load()))
}
