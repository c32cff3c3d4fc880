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
	"papayaspan.dev/papayaspan/internal/ticket"
)

// fleetCount gives each fleet of this process its own loopback addresses.
var fleetCount atomic.Int32

// fleet is some routers in this process, over one platform, whose links to the
// platform and to each other can be cut.
type fleet struct {
	t        *testing.T
	standins *local.Standins
	net      int32
	members  []*member

	mu sync.Mutex
	// cut holds the addresses of VMs that no peer can reach.
	cut map[string]bool
}

// member is one VM of a fleet.
type member struct {
	name   string
	ip     string
	daemon *daemon.Daemon
	// cut is set while the VM cannot reach the platform.
	cut atomic.Bool
}

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	s, err := local.Start(0, local.EngineOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &fleet{t: t, standins: s, net: fleetCount.Add(1), cut: map[string]bool{}}
	for i := range vms {
		m := &member{name: fmt.Sprintf("vm-%d", i+1), ip: fmt.Sprintf("127.90.%d.%d", f.net, i+1)}
		f.members = append(f.members, m)
		f.start(m)
	}
	f.file(vms-1, s.FirstTicket())
	for i := range vms {
		f.await(i, "/shop/status", http.StatusOK, 6*time.Second)
	}
	return f
}

// start starts the router of a VM behind a forwarder that obeys the cuts.
func (f *fleet) start(m *member) {
	f.t.Helper()
	front, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	spare, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	back := spare.Addr().String()
	_ = spare.Close()
	set := f.standins.Settings(1)
	set.VM.ID = m.name
	set.Listen.Peer = back
	set.Advertise.Peer = front.Addr().String()
	p := f.standins.Platform
	d, err := daemon.New(set, zap.NewNop(), daemon.Platform{
		Table:      cutTable{p, &m.cut},
		Objects:    cutObjects{p.Objects(), &m.cut},
		Membership: p,
		Weights:    p,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	m.daemon = d
	p.SetMember(platform.Member{ID: m.name, FailureDomain: "a", CallerAddress: d.Self().CallerAddress, PeerAddress: d.Self().PeerAddress})
	go f.forward(front, m.ip, back)
	f.t.Cleanup(func() { _ = front.Close() })
	d.Start(context.Background())
	f.t.Cleanup(d.Kill)
}

// forward passes connections on as long as neither end is cut.
func (f *fleet) forward(l net.Listener, ip, back string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
		out, err := net.Dial("tcp", back)
		if err != nil || f.isCut(from) || f.isCut(ip) {
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
		if err != nil || f.isCut(from) || f.isCut(to) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (f *fleet) isCut(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[ip]
}

// cutPeers cuts a VM off from all peers.
func (f *fleet) cutPeers(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[f.members[i].ip] = true
}

// storeDown takes the store away from every VM, or gives it back.
func (f *fleet) storeDown(down bool) {
	for _, m := range f.members {
		m.cut.Store(down)
	}
}

func (f *fleet) file(i int, tk ticket.Ticket) ticket.Record {
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

// await waits until a request gets this status and returns how long it took.
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

// always checks that every request during this time gets the status.
func (f *fleet) always(i int, path string, status int, during time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got, body, _ := f.get(i, path); got != status {
			f.t.Fatalf("%s: status %d, want %d: %s", f.members[i].name, got, status, body)
		}
	}
}

// refusedNotRun checks that a refusal says that nothing ran and when to come
// back.
func (f *fleet) refusedNotRun(i int, path string) {
	f.t.Helper()
	status, body, header := f.get(i, path)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(body, `"not_run"`) {
		f.t.Errorf("status %d, Retry-After %q: %s", status, header.Get("Retry-After"), body)
	}
}

// cutTable is a table that a VM may be cut off from.
type cutTable struct {
	platform.Table
	cut *atomic.Bool
}

func (c cutTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if c.cut.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Table.Get(ctx, keys...)
}

func (c cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if c.cut.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c cutTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	if c.cut.Load() {
		return platform.ErrUnavailable
	}
	return c.Table.Commit(ctx, checks, writes)
}

// cutObjects is an object store that a VM may be cut off from.
type cutObjects struct {
	platform.Objects
	cut *atomic.Bool
}

func (c cutObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if c.cut.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Objects.Get(ctx, name)
}

func (c cutObjects) Put(ctx context.Context, name string, data []byte) error {
	if c.cut.Load() {
		return platform.ErrUnavailable
	}
	return c.Objects.Put(ctx, name, data)
}
