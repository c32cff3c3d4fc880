package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/serverconn"
	"papayaspan.dev/papayaspan/internal/standin/faulty"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

var testTarget = Target{ID: "server", Started: 7}

// acceptConns returns a listener whose connections are served by serve.
func acceptConns(t *testing.T, serve func(net.Conn)) string {
	l := loopback.Listen(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// startPeer starts the endpoint of a VM that knows testTarget at an address.
func startPeer(t *testing.T, server string) (peer string, h *Handler) {
	h = NewHandler(HandlerOptions{
		Log:      zap.NewNop(),
		Withheld: func(Target) error { return nil },
		Asked:    func(Target, hop.Asked) {},
		Connect: func(ctx context.Context, target Target) (net.Conn, error) {
			if target != testTarget {
				return nil, errors.Errorf("server %v is not known", target)
			}
			return hop.Dial(ctx, server)
		},
	})
	s := loopback.Serve(t, h)
	return strings.TrimPrefix(s.URL, "http://"), h
}

func open(t *testing.T, peer string) net.Conn {
	t.Helper()
	conn, err := Open(context.Background(), hop.Dial, peer, testTarget)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func readWithin(t *testing.T, c net.Conn, n int) (string, error) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	buf := make([]byte, n)
	read, err := io.ReadFull(c, buf)
	return string(buf[:read]), err
}

func TestTunnelPassesBytesInBothDirections(t *testing.T) {
	peer, _ := startPeer(t, acceptConns(t, func(c net.Conn) { _, _ = io.Copy(c, c) }))
	conn := open(t, peer)
	if state := peek.Conn(conn); state != peek.Quiet {
		t.Errorf("an idle tunnel has the state %d; the pool reuses idle connections that are quiet", state)
	}
	if _, err := conn.Write([]byte("echo")); err != nil {
		t.Fatal(err)
	}
	for i := 0; peek.Conn(conn) == peek.Quiet; i++ {
		if time.Sleep(time.Millisecond); i == 2000 {
			t.Fatal("a tunnel with unread bytes counts as quiet")
		}
	}
	if got, err := readWithin(t, conn, 4); got != "echo" {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestEndOfServersConnectionEndsTunnel(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			peer, _ := startPeer(t, acceptConns(t, func(c net.Conn) {
				_, _ = io.ReadFull(c, make([]byte, 1))
				_ = c.(*net.TCPConn).SetLinger(linger)
				c.Close()
			}))
			conn := open(t, peer)
			_, _ = conn.Write([]byte("x"))
			_, err := readWithin(t, conn, 1)
			if isReset := err != nil && strings.Contains(err.Error(), "reset"); isReset != (linger == 0) || err == nil {
				t.Errorf("the tunnel ends with %v", err)
			}
		})
	}
}

// The server resets its connection while the other VM's bytes are written to it. The write takes the
// error then.
func TestResetDuringUploadEndsTunnelInOrder(t *testing.T) {
	server := acceptConns(t, func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		faulty.Reset(c, "", faulty.Part)
	})
	peer, _ := startPeer(t, server)
	for range 20 {
		conn := open(t, peer)
		go func() { _, _ = conn.Write(make([]byte, 16<<20)) }()
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if got, err := io.ReadAll(conn); err == nil {
			t.Errorf("the tunnel ends in order after %q", got)
		}
	}
}

// A VM that passes bytes on is killed, or stops, in the middle of a response that ends with its
// connection.
func TestEndOfPassingVMLooksLikeEndOfServersConnection(t *testing.T) {
	sent := make(chan net.Conn, 10)
	server := acceptConns(t, func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = io.WriteString(c, "part")
		sent <- c
	})
	for name, end := range map[string]func(h *Handler){
		"stops": (*Handler).Close,
		"is killed": func(h *Handler) { // The kernel closes all of its connections.
			h.mu.Lock()
			defer h.mu.Unlock()
			for c := range h.open {
				_ = c.Close()
			}
		},
	} {
		peer, h := startPeer(t, server)
		conn := open(t, peer)
		_, _ = io.WriteString(conn, "x")
		defer (<-sent).Close()
		if got, err := readWithin(t, conn, 4); got != "part" {
			t.Fatalf("got %q, %v", got, err)
		}
		end(h)
		if _, err := conn.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("the VM %s: the tunnel ends with %v", name, err)
		}
	}
	peer, _ := startPeer(t, server)
	conn := open(t, peer)
	_, _ = io.WriteString(conn, "x")
	(<-sent).Close()
	if data, err := io.ReadAll(conn); err != nil || string(data) != "part" {
		t.Errorf("the server closes its connection: read %q, error %v", data, err)
	}
}

// ofEarlierBuild is the endpoint of a VM that knows no framing.
func ofEarlierBuild(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(framingHeader)
		h.ServeHTTP(w, r)
	})
}

func TestTunnelThroughVMOfEarlierBuild(t *testing.T) {
	_, h := startPeer(t, acceptConns(t, func(c net.Conn) {
		_, _ = io.Copy(c, io.LimitReader(c, 4))
		c.Close()
	}))
	conn := open(t, strings.TrimPrefix(loopback.Serve(t, ofEarlierBuild(h)).URL, "http://"))
	if _, err := conn.Write([]byte("echo")); err != nil {
		t.Fatal(err)
	}
	if got, err := readWithin(t, conn, 4); got != "echo" {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.ErrUnexpectedEOF {
		t.Errorf("the tunnel ends with %v: it can't tell the server's end from the VM's", err)
	}
}

// A VM of an earlier build requests no framing.
func TestTunnelForVMOfEarlierBuildIsNotFramed(t *testing.T) {
	peer, _ := startPeer(t, acceptConns(t, func(c net.Conn) { _, _ = io.WriteString(c, "plain"); c.Close() }))
	conn, err := net.Dial("tcp", peer)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s?server=%s&started=%d HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", Endpoint, testTarget.ID, testTarget.Started, protocol)
	data, err := io.ReadAll(conn)
	if _, body, _ := strings.Cut(string(data), "\r\n\r\n"); body != "plain" || err != nil {
		t.Errorf("read %q, %v", data, err)
	}
}

func TestCloseOfTunnelClosesServersConnection(t *testing.T) {
	ended := make(chan error, 1)
	peer, _ := startPeer(t, acceptConns(t, func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	open(t, peer).Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the server's connection is still open after 1 s")
	}
}

func TestHandlerCloseEndsTunnels(t *testing.T) {
	peer, h := startPeer(t, acceptConns(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }))
	conn := open(t, peer)
	h.Close()
	if _, err := readWithin(t, conn, 1); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the tunnel ends with %v", err)
	}
	if _, err := Open(context.Background(), hop.Dial, peer, testTarget); err == nil {
		t.Error("a closed handler opens a tunnel")
	}
}

func TestTunnelToUnknownOrDeadServerIsRefused(t *testing.T) {
	l := loopback.Listen(t)
	l.Close()
	peer, _ := startPeer(t, l.Addr().String())
	for _, target := range []Target{testTarget, {ID: "other"}, {ID: "server", Started: 8}} {
		if _, err := Open(context.Background(), hop.Dial, peer, target); !errors.Is(err, ErrNoServer) {
			t.Errorf("%v: %v", target, err)
		}
	}
	for _, path := range []string{"", "?server=server", "?server=server&started=x", "?server=server&started=7"} {
		resp, err := http.Get("http://" + peer + Endpoint + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%q: status %d", path, resp.StatusCode)
		}
	}
}

func TestSilentPeerDoesNotHoldTheTunnelUp(t *testing.T) {
	peer := acceptConns(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	began := time.Now()
	if _, err := Open(context.Background(), hop.Dial, peer, testTarget); err == nil {
		t.Fatal("a tunnel through a silent VM")
	}
	if took := time.Since(began); took > 2*openTimeout {
		t.Errorf("it took %v", took)
	}
}

// pathModel is the world as seen by a VM's path.
type pathModel struct {
	path *Path
	// direct and through are set while servers respond directly and through other VMs.
	direct, through atomic.Bool
	changes         chan bool
}

func newPathModel(t *testing.T) *pathModel {
	m := &pathModel{changes: make(chan bool, 10)}
	echo := acceptConns(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
	peer, _ := startPeer(t, echo)
	m.path = NewPath(Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if address == echo && !m.direct.Load() {
				return nil, errors.New("the path is cut")
			}
			return hop.Dial(ctx, address)
		},
		Peers:   func(Target) []string { return []string{peer} },
		Servers: func() []Server { return []Server{{Target: testTarget, Address: echo}} },
		Responds: func(ctx context.Context, s Server, dial DialFunc) bool {
			c, err := dial(ctx, s.Address)
			if err != nil {
				return false
			}
			c.Close()
			return m.direct.Load() || m.through.Load()
		},
		Changed: func(cut bool) { m.changes <- cut },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go m.path.Run(ctx)
	return m
}

// change returns the next change of the path, and false if there is none in time.
func (m *pathModel) change(within time.Duration) (cut, changed bool) {
	select {
	case cut = <-m.changes:
		return cut, true
	case <-time.After(within):
		return false, false
	}
}

func TestPathIsCutOnlyIfServersRespondThroughOtherVMs(t *testing.T) {
	for _, c := range []struct{ direct, through, cut bool }{{true, true, false}, {false, false, false}, {false, true, true}} {
		m := newPathModel(t)
		m.direct.Store(c.direct)
		m.through.Store(c.through)
		m.path.Suspect()
		if cut, _ := m.change(checkTimeout + openTimeout); cut != c.cut || m.path.Cut() != c.cut {
			t.Errorf("%+v: cut %v", c, cut)
		}
	}
}

// echoes reports whether a server returns a byte.
func echoes(ctx context.Context, s Server, dial DialFunc) bool {
	c, err := dial(ctx, s.Address)
	if err != nil {
		return false
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	_, _ = io.WriteString(c, "x")
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// A sound server may be silent to all VMs for a second or so.
func TestPathIsNotCutIfServerGoesOnDuringCheck(t *testing.T) {
	goesOn := time.Now().Add(checkTimeout + 100*time.Millisecond)
	server := acceptConns(t, func(c net.Conn) {
		time.Sleep(time.Until(goesOn))
		_, _ = io.Copy(c, c)
	})
	peer, _ := startPeer(t, server)
	p := NewPath(Options{
		Dial:     hop.Dial,
		Peers:    func(Target) []string { return []string{peer} },
		Servers:  func() []Server { return []Server{{Target: testTarget, Address: server}} },
		Responds: echoes,
	})
	if p.isCut(t.Context()) {
		t.Error("the path counts as cut after the server was silent for the first 0.4 s of the check")
	}
}

// The VMs of a failure domain may all be cut off, and none of them may know it yet.
func TestPathIsCutIfServersRespondThroughSomeOtherVM(t *testing.T) {
	silent := acceptConns(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	echo := acceptConns(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
	cutOff, _ := startPeer(t, silent)
	alsoCutOff, _ := startPeer(t, silent)
	sound, _ := startPeer(t, echo)
	for _, peers := range [][]string{{cutOff, alsoCutOff, sound}, {sound, cutOff, alsoCutOff}, {cutOff, alsoCutOff}} {
		p := NewPath(Options{
			Dial:     hop.Dial,
			Peers:    func(Target) []string { return peers },
			Servers:  func() []Server { return []Server{{Target: testTarget, Address: silent}} },
			Responds: echoes,
		})
		if cut := p.isCut(t.Context()); cut != slices.Contains(peers, sound) {
			t.Errorf("VMs %v, of which %s reaches the servers: cut %v", peers, sound, cut)
		}
	}
}

func TestPathIsRestoredAfterSeveralSuccessfulChecks(t *testing.T) {
	m := newPathModel(t)
	m.through.Store(true)
	m.path.Suspect()
	if cut, _ := m.change(time.Second); !cut {
		t.Fatal("the path isn't cut")
	}
	if conn, err := m.path.Dial(context.Background(), m.path.opts.Servers()[0]); err != nil {
		t.Error(err)
	} else {
		conn.Close()
	}
	m.direct.Store(true)
	began := time.Now()
	if cut, changed := m.change(3 * time.Second); cut || !changed {
		t.Fatal("the path isn't restored")
	}
	if took := time.Since(began); took < (returnChecks-1)*returnInterval {
		t.Errorf("the path is restored after %v", took)
	}
}

// The other VM cancels a request while the server reads it slowly, or not at all.
func TestCancelledRequestGoesOnThroughTunnel(t *testing.T) {
	const size = 16 << 20 // More than all buffers on the way hold.
	accepted := make(chan net.Conn, 1)
	peer, _ := startPeer(t, acceptConns(t, func(c net.Conn) { accepted <- c }))
	conn := serverconn.New(open(t, peer))
	server := <-accepted
	defer server.Close()
	conn.BeginRequest()
	go func() { _, _ = conn.Write(make([]byte, size)) }()
	time.Sleep(300 * time.Millisecond)
	conn.Abort()
	time.Sleep(500 * time.Millisecond)
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := io.Copy(io.Discard, server); err == nil {
		t.Errorf("the server got %d bytes and then an orderly end, 0.5 s after the request was cancelled", n)
	}
}
