package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// cluster runs services over gRPC on the loopback interface under a roster that
// the test sets.
type cluster struct {
	services []*Service
	servers  []*grpc.Server
	vms      []vm.VM
	roster   atomic.Pointer[roster.Roster]
	seen     atomic.Pointer[View]
	// loseEvery drops the response of every n-th call; 0 drops none.
	loseEvery atomic.Int64
	calls     atomic.Int64
	bytes     atomic.Int64
}

func newCluster(t testing.TB, n int, contracts *config.Snapshot) *cluster {
	t.Helper()
	c := &cluster{}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		self := vm.VM{ID: vm.ID(fmt.Sprint("vm-", i)), Incarnation: vm.Incarnation(i + 1), PeerAddress: l.Addr().String()}
		s := NewService(Options{Self: self, View: c.view, Client: c.client, ExchangeRoster: func(vm.ID) {}, Log: zap.NewNop()})
		s.Apply(contracts)
		server := grpc.NewServer(grpc.UnaryInterceptor(c.intercept))
		peer.RegisterBudgetServer(server, Server{Service: s})
		c.vms = append(c.vms, self)
		c.services = append(c.services, s)
		c.servers = append(c.servers, server)
		loops.Go(func() { _ = server.Serve(l) })
		loops.Go(func() { s.Run(ctx) })
	}
	c.roster.Store(&roster.Roster{Version: firstRosterVersion, Members: c.vms})
	t.Cleanup(func() {
		cancel()
		for _, s := range c.servers {
			s.Stop()
		}
		loops.Wait()
	})
	return c
}

// view returns the roster with evidence that is renewed once a second, as by
// polls.
func (c *cluster) view() View {
	v := c.seen.Load()
	if r := c.roster.Load(); v == nil || v.Roster != r || time.Since(v.Evidence) > time.Second {
		v = &View{Roster: r, Evidence: time.Now()}
		c.seen.Store(v)
	}
	return *v
}

func (c *cluster) client(addr string) (peer.BudgetClient, error) {
	conn, err := c.conn(addr)
	return peer.NewBudgetClient(conn), err
}

var conns sync.Map // of *grpc.ClientConn by address

func (c *cluster) conn(addr string) (*grpc.ClientConn, error) {
	if conn, ok := conns.Load(addr); ok {
		return conn.(*grpc.ClientConn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	conns.Store(addr, conn)
	return conn, err
}

// intercept runs every call, counts it and drops some of the responses.
func (c *cluster) intercept(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	n := c.calls.Add(1)
	reply, err := handler(ctx, req)
	if err == nil {
		c.bytes.Add(int64(proto.Size(req.(proto.Message)) + proto.Size(reply.(proto.Message))))
	}
	if lose := c.loseEvery.Load(); lose > 0 && n%lose == 0 {
		return nil, errors.New("the response was dropped by the test")
	}
	return reply, err
}

// home returns the index of the VM that is the home of the account.
func (c *cluster) home(id account.ID) int {
	home, _ := Home(id, c.roster.Load())
	for i, v := range c.vms {
		if v == home {
			return i
		}
	}
	return -1
}

func contractOf(id account.ID, rate, burst float64) *config.Snapshot {
	s := config.Empty()
	s.Number = 1
	s.Accounts[id] = account.Account{ID: id, Contract: account.Contract{Rate: rate, Burst: burst}}
	return s
}

// grant is a granted reservation: it was granted at some time between
// requestedAt and grantedAt.
type grant struct {
	requestedAt, grantedAt time.Time
	tokens                 float64
}

// flood reserves tokens at the services in a loop for the given time. It
// settles each reservation with keep used tokens.
func (c *cluster) flood(d time.Duration, vms []int, tokens, keep float64) []grant {
	var mu sync.Mutex
	var grants []grant
	var workers sync.WaitGroup
	end := time.Now().Add(d)
	for _, i := range vms {
		for range 4 {
			workers.Go(func() {
				for time.Now().Before(end) {
					asked := time.Now()
					r, err := c.services[i].Reserve(context.Background(), testAccount, tokens)
					if err != nil {
						continue
					}
					mu.Lock()
					grants = append(grants, grant{asked, time.Now(), keep})
					mu.Unlock()
					time.Sleep(rand.N(5 * time.Millisecond))
					r.Settle(keep)
				}
			})
		}
	}
	workers.Wait()
	return grants
}

// maxExcess returns by how many tokens the grants that lie wholly in one window
// exceed the contract, for the worst window.
func maxExcess(grants []grant, c account.Contract) float64 {
	worst := 0.0
	for _, first := range grants {
		for _, last := range grants {
			if last.grantedAt.Before(first.requestedAt) {
				continue
			}
			sum := 0.0
			for _, g := range grants {
				if !g.requestedAt.Before(first.requestedAt) && !g.grantedAt.After(last.grantedAt) {
					sum += g.tokens
				}
			}
			worst = max(worst, sum-c.Rate*last.grantedAt.Sub(first.requestedAt).Seconds()-c.Burst)
		}
	}
	return worst
}

func total(grants []grant) (sum float64) {
	for _, g := range grants {
		sum += g.tokens
	}
	return sum
}

// TestServiceKeepsRate overloads one account through all VMs, also with lost
// responses and a move of the home, and through one VM only.
func TestServiceKeepsRate(t *testing.T) {
	contract := account.Contract{Rate: 2000, Burst: 1000}
	snapshot := contractOf(testAccount, contract.Rate, contract.Burst)
	t.Run("all VMs", func(t *testing.T) {
		c := newCluster(t, 3, snapshot)
		grants := c.flood(time.Second, []int{0, 1, 2}, 100, 50)
		if over := maxExcess(grants, contract); over > 0 {
			t.Errorf("a window holds %.0f tokens too many", over)
		}
		if got := total(grants); got < contract.Rate*0.8 {
			t.Errorf("%.0f tokens in a second", got)
		}
	})
	t.Run("lost responses and a home that leaves", func(t *testing.T) {
		c := newCluster(t, 3, snapshot)
		c.loseEvery.Store(7)
		time.AfterFunc(400*time.Millisecond, func() {
			old := c.roster.Load()
			next := &roster.Roster{Version: old.Version + 1, Members: append([]vm.VM(nil), old.Members...)}
			next.Members[c.home(halfOf(testAccount, 0))].Leaving = true
			c.roster.Store(next)
		})
		grants := c.flood(1200*time.Millisecond, []int{0, 1, 2}, 100, 100)
		if over := maxExcess(grants, contract); over > 0 {
			t.Errorf("a window holds %.0f tokens too many", over)
		}
		late := 0
		for _, g := range grants {
			if g.grantedAt.Sub(grants[0].requestedAt) > 600*time.Millisecond {
				late++
			}
		}
		if late == 0 {
			t.Error("nothing was granted after the handover")
		}
	})
	t.Run("one VM that is not the home", func(t *testing.T) {
		c := newCluster(t, 3, snapshot)
		other := (c.home(halfOf(testAccount, 0)) + 1) % 3
		grants := c.flood(time.Second, []int{other}, 100, 100)
		if got := total(grants); got < 0.9*contract.Rate+contract.Burst {
			t.Errorf("%.0f tokens in a second and a burst", got)
		}
	})
}

func TestServiceRefusals(t *testing.T) {
	c := newCluster(t, 3, contractOf(testAccount, 10, 1000))
	// VM 2 is never a home.
	c.roster.Store(&roster.Roster{Version: firstRosterVersion, Members: c.vms[:2]})
	other := c.services[2]
	refusal := func(tokens float64) (r *Refusal, took time.Duration) {
		begin := time.Now()
		_, err := other.Reserve(context.Background(), testAccount, tokens)
		errors.As(err, &r)
		return r, time.Since(begin)
	}
	if r, took := refusal(2000); r == nil || r.Outcome != OverBurst || took > maxWait/2 {
		t.Errorf("over the burst: %+v after %v", r, took)
	}
	if r, _ := refusal(1000); r != nil {
		t.Errorf("the burst: %+v", r)
	}
	if r, took := refusal(500); r == nil || r.Outcome != NoTokens || r.RetryAfter < 40*time.Second || took > maxWait/2 {
		t.Errorf("over the rate: %+v after %v", r, took)
	}
	c.servers[0].Stop()
	c.servers[1].Stop()
	if r, took := refusal(1); r == nil || r.Outcome != Unavailable || r.RetryAfter <= 0 || took > maxWait+2*callTimeout {
		t.Errorf("both homes lost: %+v after %v", r, took)
	}
}

// BenchmarkReserve measures reservations at the home itself and over gRPC for
// three numbers of client accounts, and the memory of the home for each
// account.
func BenchmarkReserve(b *testing.B) {
	for _, accounts := range []int{5, 840, 8400} {
		snapshot := config.Empty()
		snapshot.Number = 1
		ids := make([]account.ID, accounts)
		for i := range ids {
			ids[i] = account.ID(fmt.Sprint("account-", i))
			snapshot.Accounts[ids[i]] = account.Account{ID: ids[i], Contract: account.Contract{Rate: 1e9, Burst: 1e9}}
		}
		b.Run(fmt.Sprintf("accounts=%d/local", accounts), func(b *testing.B) {
			c := newCluster(b, 1, snapshot)
			benchReserve(b, c.services[0], ids)
			b.ReportMetric(ledgerBytes(c, snapshot)/float64(accounts), "heap_B/account")
		})
		b.Run(fmt.Sprintf("accounts=%d/remote", accounts), func(b *testing.B) {
			c := newCluster(b, 2, snapshot)
			// VM 1 is never a home.
			c.roster.Store(&roster.Roster{Version: firstRosterVersion, Members: c.vms[:1]})
			b.SetParallelism(64)
			benchReserve(b, c.services[1], ids)
			b.ReportMetric(float64(c.bytes.Load())/float64(b.N), "payload_B/op")
			b.ReportMetric(float64(c.calls.Load())/float64(b.N), "calls/op")
		})
	}
}

func benchReserve(b *testing.B, s *Service, ids []account.ID) {
	b.Helper()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := s.Reserve(context.Background(), ids[rand.IntN(len(ids))], 2000)
			if err != nil {
				b.Error(err)
				return
			}
			r.Settle(1500)
		}
	})
}

// ledgerBytes returns the heap size of a home that holds all accounts, each
// with one unsettled reservation.
func ledgerBytes(c *cluster, snapshot *config.Snapshot) float64 {
	before := heapBytes()
	k := NewShardedLedger(c.vms[0])
	k.Apply(snapshot)
	k.Observe(c.view())
	seq := uint64(0)
	for id := range snapshot.Accounts {
		seq++
		k.Reserve(id, ReservationID{Seq: seq}, 1)
	}
	used := heapBytes() - before
	runtime.KeepAlive(k)
	return used
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
