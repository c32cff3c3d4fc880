package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

// noticePeer is the endpoint of a VM that a server may ask for something.
type noticePeer struct {
	address string
	handler *Handler
	// withheld is until when the VM may send the server nothing; nil if it may.
	withheld atomic.Pointer[hop.WithheldError]
	asked    chan hop.Asked
}

func startNoticePeer(t *testing.T, server string) *noticePeer {
	p := &noticePeer{asked: make(chan hop.Asked, 10)}
	p.handler = NewHandler(HandlerOptions{
		Log:     zap.NewNop(),
		Connect: func(ctx context.Context, _ Target) (net.Conn, error) { return hop.Dial(ctx, server) },
		Withheld: func(Target) error {
			if w := p.withheld.Load(); w != nil {
				return errors.Wrap(w, "test")
			}
			return nil
		},
		Asked: func(_ Target, asked hop.Asked) { p.asked <- asked },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.handler.Run(ctx)
	p.address = strings.TrimPrefix(loopback.Serve(t, p.handler).URL, "http://")
	return p
}

func echo(c net.Conn) { _, _ = io.Copy(c, c) }

func wantEcho(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if n, err := io.WriteString(conn, text); n != len(text) || err != nil {
		t.Fatalf("wrote %d bytes, %v", n, err)
	}
	if got, err := readWithin(t, conn, len(text)); got != text {
		t.Fatalf("got %.40q of %d bytes, %v", got, len(got), err)
	}
}

func wantWithdrawn(t *testing.T, conn net.Conn, want bool) {
	t.Helper()
	withdrawn := func() bool { return conn.(interface{ Withdrawn() bool }).Withdrawn() }
	for end := time.Now().Add(5 * withdrawInterval); withdrawn() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("withdrawn %v", withdrawn())
		}
	}
}

func TestIdleTunnelIsWithdrawnAndResponseUnderWayGoesOn(t *testing.T) {
	p := startNoticePeer(t, acceptConns(t, echo))
	idle, busy := open(t, p.address), open(t, p.address)
	wantEcho(t, idle, "idle")
	wantEcho(t, busy, strings.Repeat("long", 3*maxFramePayload))
	wantWithdrawn(t, idle, false)
	if _, err := io.WriteString(busy, "under way"); err != nil {
		t.Fatal(err)
	}
	if got, err := readWithin(t, busy, 5); got != "under" {
		t.Fatalf("got %q, %v", got, err)
	}
	p.withheld.Store(&hop.WithheldError{Left: time.Second})
	wantWithdrawn(t, idle, true)
	if got, err := readWithin(t, busy, 4); got != " way" {
		t.Fatalf("got %q, %v", got, err)
	}
	wantWithdrawn(t, busy, true)
	wantEcho(t, busy, "written before the withdrawal was seen")
	wantWithdrawn(t, busy, true)
}

func TestVMLearnsWhatServerAsksInLastResponseOfTunnel(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"the response is left unread": func(c net.Conn) {
			_, _ = io.WriteString(c, strings.Repeat("unread", maxFramePayload))
			echo(c)
		},
		"the server closes its connection": func(c net.Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			p := startNoticePeer(t, acceptConns(t, func(c net.Conn) {
				_, _ = io.ReadFull(c, make([]byte, 1))
				_, _ = io.WriteString(c, "head")
				end(c)
			}))
			want := hop.Asked{Backoff: 2500 * time.Millisecond, Leaves: true}
			for range 20 {
				conn := open(t, p.address)
				_, _ = io.WriteString(conn, "x")
				if _, err := readWithin(t, conn, 4); err != nil {
					t.Fatal(err)
				}
				conn.(*noticeConn).Tell(want)
				conn.Close()
				select {
				case got := <-p.asked:
					if got != want {
						t.Fatalf("got %+v", got)
					}
				case <-time.After(time.Second):
					t.Fatal("the VM learned nothing")
				}
			}
		})
	}
}

func TestVMThatMaySendServerNothingRefusesTunnels(t *testing.T) {
	busy, free := startNoticePeer(t, acceptConns(t, echo)), startNoticePeer(t, acceptConns(t, echo))
	busy.withheld.Store(&hop.WithheldError{Left: 1500 * time.Millisecond})
	var peers []string
	path := NewPath(Options{Dial: hop.Dial, Peers: func(Target) []string { return peers }})
	peers = []string{busy.address, busy.address}
	var withheld *hop.WithheldError
	if _, err := path.tunnel(context.Background(), testTarget, false); !errors.As(err, &withheld) || withheld.Left != 1500*time.Millisecond {
		t.Errorf("error %v", err)
	}
	if !path.ReachableByPeers(context.Background(), testTarget) {
		t.Error("a server that asked another VM for no requests counts as down")
	}
	peers = []string{busy.address, free.address}
	conn, err := path.tunnel(context.Background(), testTarget, false)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	wantEcho(t, conn, "through the other VM")
}

func TestTunnelWithVMThatKnowsNoNotices(t *testing.T) {
	p := startNoticePeer(t, acceptConns(t, echo))
	earlier := loopback.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(noticesHeader)
		p.handler.ServeHTTP(w, r)
	}))
	conn := open(t, strings.TrimPrefix(earlier.URL, "http://"))
	p.withheld.Store(&hop.WithheldError{Left: time.Second})
	time.Sleep(2 * withdrawInterval)
	wantEcho(t, conn, "unchanged")
	if _, ok := conn.(interface{ Withdrawn() bool }); ok {
		t.Error("the requesting VM expects notices")
	}
}

func TestTunnelEndsAtMalformedFrame(t *testing.T) {
	p := startNoticePeer(t, acceptConns(t, echo))
	conn := open(t, p.address).(*noticeConn)
	if _, err := conn.Conn.Write([]byte{0x80, 0x01}); err != nil {
		t.Fatal(err)
	}
	if _, err := readWithin(t, conn, 1); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the tunnel ends with %v", err)
	}
}

func TestWithheldServerThatFellOverCountsAsAcceptingConnections(t *testing.T) {
	l := loopback.Listen(t)
	p := startNoticePeer(t, l.Addr().String())
	p.withheld.Store(&hop.WithheldError{Left: time.Second})
	openOne := func() error {
		conn, err := Open(context.Background(), hop.Dial, p.address, testTarget)
		if err == nil {
			conn.Close()
		}
		return err
	}
	if err := openOne(); !errors.As(err, new(*hop.WithheldError)) {
		t.Errorf("while it lives: %v", err)
	}
	l.Close()
	if err := openOne(); !errors.Is(err, ErrNoServer) {
		t.Errorf("once its process has ended: %v", err)
	}
}

// The race detector finds a refusal that is written while the check reads it.
func TestRefusalThatOutlastsCheckOfPathRaces(t *testing.T) {
	peer := strings.TrimPrefix(loopback.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(checkTimeout - time.Millisecond)
		w.Header().Set(withheldHeader, "2000")
		w.WriteHeader(http.StatusServiceUnavailable)
	})).URL, "http://")
	p := NewPath(Options{
		Dial:    hop.Dial,
		Peers:   func(Target) []string { return []string{peer} },
		Servers: func() []Server { return []Server{{Target: testTarget, Address: "127.0.0.1:1"}} },
		Responds: func(ctx context.Context, s Server, dial DialFunc) bool {
			connected := make(chan bool, 1)
			go func() { // As a transport, which goes on after the check has ended.
				conn, err := dial(context.WithoutCancel(ctx), s.Address)
				if err == nil {
					conn.Close()
				}
				connected <- err == nil
			}()
			select {
			case ok := <-connected:
				return ok
			case <-ctx.Done():
				return false
			}
		},
	})
	for range 20 {
		p.isCut(context.Background())
		time.Sleep(5 * time.Millisecond)
	}
}
