package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// vmCounts are the numbers of VMs that the benchmarks measure.
var vmCounts = []int{8, 64, 350}

// countingConn counts the payload bytes of a TCP connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// singlePeer returns the same client for every address.
type singlePeer struct{ client peer.ControlClient }

func (p singlePeer) Control(string) (peer.ControlClient, error) { return p.client, nil }

func testVM(i int) vm.VM {
	return vm.VM{
		ID:            vm.ID(fmt.Sprintf("entry-vm-%04d", i)),
		FailureDomain: fmt.Sprintf("qc-centre-%c", 'a'+i%4),
		CallerAddress: fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.20.%d.%d:8081", i/250, i%250),
	}
}

// newBenchSpreader returns a spreader with a roster of n VMs, and the platform
// that stores the roster and the presence rows.
func newBenchSpreader(b *testing.B, n int, peers Peers) (*Spreader, *memplatform.Platform) {
	b.Helper()
	ctx := context.Background()
	p := memplatform.New()
	store := roster.Store{Table: p, Committer: head.Direct{Table: p}}
	var c roster.Change
	for i := range n {
		c.Admit = append(c.Admit, testVM(i))
		if err := store.Renew(ctx, roster.Presence{VM: testVM(i), Head: head.Head{Number: 12345, Roster: 678}, RenewedAt: time.Now()}); err != nil {
			b.Fatal(err)
		}
	}
	if _, _, err := store.Apply(ctx, head.Read{}, &roster.Roster{}, c); err != nil {
		b.Fatal(err)
	}
	s := New(Options{
		Self: testVM(0), Table: p, Objects: p.Objects(), Membership: p, Peers: peers,
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Publish: func(*config.Snapshot) {},
	})
	s.poll(ctx)
	if len(s.View().Roster.Members) != n {
		b.Fatalf("roster has %d members", len(s.View().Roster.Members))
	}
	return s, p
}

// BenchmarkControlExchange measures one exchange over loopback TCP, including
// the work on both sides.
func BenchmarkControlExchange(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			other, _ := newBenchSpreader(b, n, nil)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := grpc.NewServer()
			peer.RegisterControlServer(srv, other)
			go func() { _ = srv.Serve(l) }()
			defer srv.Stop()
			var bytes atomic.Int64
			dial := func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				return countingConn{c, &bytes}, err
			}
			conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			s, _ := newBenchSpreader(b, n, singlePeer{peer.NewControlClient(conn)})
			s.exchange(context.Background(), testVM(1))
			message := proto.Size(&peer.ExchangeRequest{Status: s.state.status(time.Now().Add(freshness.SupportWindow))})
			bytes.Store(0)
			b.ResetTimer()
			for range b.N {
				s.exchange(context.Background(), testVM(1))
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(message), "message-B")
		})
	}
}

// BenchmarkControlPoll measures one poll of the head row without network
// overhead. The reported bytes are the size of the row.
func BenchmarkControlPoll(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s, p := newBenchSpreader(b, n, nil)
			rows, err := p.Get(context.Background(), head.RowKey)
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				s.poll(context.Background())
			}
			b.ReportMetric(rowBytes(rows), "row-B")
		})
	}
}

// BenchmarkControlSweep measures one scan and plan over the presence rows.
func BenchmarkControlSweep(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s, p := newBenchSpreader(b, n, nil)
			rows, err := p.Scan(context.Background(), "vm/", "", n)
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				s.changeRoster(context.Background(), func(_ head.Head, r *roster.Roster, rows []roster.Presence) roster.Change {
					now := time.Now()
					s.sweepState.watch.Observe(rows, now)
					return roster.Plan(r, rows, &s.sweepState.watch, now)
				})
			}
			b.ReportMetric(rowBytes(rows), "rows-B")
		})
	}
}

// BenchmarkControlExtend measures the evaluation of attestations from the whole
// roster.
func BenchmarkControlExtend(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s, _ := newBenchSpreader(b, n, nil)
			now := time.Now()
			for _, id := range s.View().Roster.IDs() {
				s.state.attestations.Add(id, freshness.Attestation{QuietFor: time.Minute}, now, now)
			}
			b.ResetTimer()
			for range b.N {
				s.state.attestations.Extend(&s.state.evidence, s.state.roster.IDs())
			}
		})
	}
}

// BenchmarkControlSizes reports the size of the roster row, and of the whole
// configuration with two keys for each account.
func BenchmarkControlSizes(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("roster/vms=%d", n), func(b *testing.B) {
			s, _ := newBenchSpreader(b, n, nil)
			b.ReportMetric(encodedBytes(b, s.View().Roster), "B")
		})
	}
	for _, accounts := range []int{5, 8400} {
		b.Run(fmt.Sprintf("snapshot/accounts=%d", accounts), func(b *testing.B) {
			snap := config.Empty()
			for i := range accounts {
				id := account.ID(fmt.Sprintf("council-%05d", i))
				snap.Accounts[id] = account.Account{ID: id, Contract: account.Contract{Rate: 2000, Burst: 100000, Weight: 1}}
				for k := range 2 {
					kid := account.KeyID(fmt.Sprintf("%s-key-%d", id, k))
					snap.Keys[kid] = account.Key{ID: kid, Account: id, Hash: account.HashSecret(string(kid))}
				}
			}
			b.ReportMetric(encodedBytes(b, snap), "B")
		})
	}
}

func rowBytes(rows []platform.Row) float64 {
	total := 0
	for _, r := range rows {
		total += len(r.Key) + len(r.Value)
	}
	return float64(total)
}

func encodedBytes(b *testing.B, v any) float64 {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}
