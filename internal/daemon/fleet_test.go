package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// fleetCount numbers the fleets of this process, so that each has its own loopback
// subnet.
var fleetCount atomic.Int32

// fleet is a set of routers in this process that share one platform. Their
// connections to the platform and to each other can be interrupted.
type fleet struct {
	t        *testing.T
	standins *local.Standins
	subnet   int32
	members  []*member

	mu sync.Mutex
	// partitioned holds the IP addresses of the VMs that are cut off from peers.
	partitioned map[string]bool
}

// member is one VM of a fleet.
type member struct {
	name   string
	ip     string
	daemon *daemon.Daemon
	// callerAddress is where callers reach the router, peerAddress where peers
	// reach it through the forwarder, and peerListenAddress where the forwarder
	// connects to it.
	callerAddress, peerAddress, peerListenAddress string
	// platformDown is set while the VM cannot reach the platform.
	platformDown atomic.Bool
}

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	s, err := local.Start(0, local.EngineOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &fleet{t: t, standins: s, subnet: fleetCount.Add(1), partitioned: map[string]bool{}}
	for i := range vms {
		m := &member{name: fmt.Sprintf("vm-%d", i+1), ip: fmt.Sprintf("127.90.%d.%d", f.subnet, i+1)}
		f.members = append(f.members, m)
		f.start(m)
	}
	f.fileTicket(vms-1, s.FirstTicket())
	for i := range vms {
		f.await(i, "/shop/status", http.StatusOK, 6*time.Second)
	}
	return f
}

// start starts the router of a VM at new addresses, behind a forwarder that
// applies the network partitions.
func (f *fleet) start(m *member) {
	f.t.Helper()
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	m.peerAddress, m.peerListenAddress, m.callerAddress = l.Addr().String(), f.freeAddress(m), f.freeAddress(m)
	go f.forward(l, m.ip, m.peerListenAddress)
	f.restart(m)
}

// freeAddress returns an address of the VM that is reserved for the duration of the test.
func (f *fleet) freeAddress(m *member) string {
	f.t.Helper()
	address, release, err := loopback.ReservePort(m.ip)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(release)
	return address
}

// restart starts the router of a VM at its previous addresses.
func (f *fleet) restart(m *member) {
	f.t.Helper()
	set := f.standins.Settings(1)
	set.VM.ID = m.name
	set.Listen.Caller = m.callerAddress
	set.Listen.Peer = m.peerListenAddress
	set.Advertise.Peer = m.peerAddress
	p := f.standins.Platform
	d, err := daemon.New(set, zap.NewNop(), daemon.Platform{
		Table:      partitionedTable{p, &m.platformDown},
		Objects:    partitionedObjects{p.Objects(), &m.platformDown},
		Membership: p,
		Weights:    p,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	m.daemon = d
	p.SetMember(platform.Member{ID: m.name, FailureDomain: "a", CallerAddress: d.Self().CallerAddress, PeerAddress: d.Self().PeerAddress})
	d.Start(context.Background())
	f.t.Cleanup(d.Kill)
}

// forward forwards connections while neither end is partitioned.
func (f *fleet) forward(l net.Listener, ip, back string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
		out, err := net.Dial("tcp", back)
		if err != nil || f.isPartitioned(from) || f.isPartitioned(ip) {
			_ = in.Close()
			continue
		}
		go f.copy(out, in, from, ip)
		go f.copy(in, out, from, ip)
	}
}

func (f *fleet) copy(dst, src net.Conn, from, to string) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil || f.isPartitioned(from) || f.isPartitioned(to) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (f *fleet) isPartitioned(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[ip]
}

// partition disconnects a VM from all peers.
func (f *fleet) partition(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[f.members[i].ip] = true
}

// setStoreDown makes the store unavailable to every VM, or available again.
func (f *fleet) setStoreDown(down bool) {
	for _, m := range f.members {
		m.platformDown.Store(down)
	}
}

func (f *fleet) fileTicket(i int, tk ticket.Ticket) ticket.Record {
	f.t.Helper()
	deadline := time.Now().Add(6 * time.Second)
	for {
		rec, err := f.members[i].daemon.Spread().Tickets().File(context.Background(), tk)
		if err == nil && rec.Status == ticket.Accepted {
			return rec
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("ticket %s: %+v, %v", tk.ClientID, rec, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// get sends a request with the caller's key and returns status, code and
// headers.
func (f *fleet) get(i int, path string) (int, string, http.Header) {
	f.t.Helper()
	url := "http://" + f.members[i].daemon.Self().CallerAddress + path
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+local.CallerSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// await waits until a request returns this status, and returns the time taken.
func (f *fleet) await(i int, path string, status int, within time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		got, body, _ := f.get(i, path)
		if got == status {
			return time.Since(begin)
		}
		if time.Since(begin) > within {
			f.t.Fatalf("%s: status %d after %v, want %d: %s", f.members[i].name, got, within, status, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// assertAlways checks that every request during this time returns the status.
func (f *fleet) assertAlways(i int, path string, status int, during time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got, body, _ := f.get(i, path); got != status {
			f.t.Fatalf("%s: status %d, want %d: %s", f.members[i].name, got, status, body)
		}
	}
}

// assertRefusedNotRun checks that a request is refused with the verdict not_run and
// a Retry-After header.
func (f *fleet) assertRefusedNotRun(i int, path string) {
	f.t.Helper()
	status, body, header := f.get(i, path)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(body, `"not_run"`) {
		f.t.Errorf("status %d, Retry-After %q: %s", status, header.Get("Retry-After"), body)
	}
}

// partitionedTable is a table that can be made unavailable to a VM.
type partitionedTable struct {
	platform.Table
	down *atomic.Bool
}

func (c partitionedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if c.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Table.Get(ctx, keys...)
}

func (c partitionedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if c.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c partitionedTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	if c.down.Load() {
		return platform.ErrUnavailable
	}
	return c.Table.Commit(ctx, checks, writes)
}

// partitionedObjects is an object store that can be made unavailable to a VM.
type partitionedObjects struct {
	platform.Objects
	down *atomic.Bool
}

func (c partitionedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if c.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Objects.Get(ctx, name)
}

func (c partitionedObjects) Put(ctx context.Context, name string, data []byte) error {
	if c.down.Load() {
		return platform.ErrUnavailable
	}
	return c.Objects.Put(ctx, name, data)
}
