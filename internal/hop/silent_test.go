package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

// soundSilence is a silence of a sound server: "a second or so", with a margin.
const soundSilence = 1800 * time.Millisecond

// serveAfterSilence returns the address of a server that reads nothing of a request for a time. Its
// receive buffer is small, so that the request's bytes stay unsent meanwhile.
func serveAfterSilence(t *testing.T, silence time.Duration) string {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(context.Background(), "tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(silence)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(rw, "answer")
	})}}
	s.Start()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

func TestConnectionSurvivesSilentSoundServer(t *testing.T) {
	t.Parallel()
	address := serveAfterSilence(t, soundSilence)
	pool := NewPool()
	conn, err := pool.Get(context.Background(), "s", address, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Discard(conn)
	resp, err := conn.Send(context.Background(), &Request{
		Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20),
	}, func(*http.Response) bool { return true })
	if err != nil {
		t.Fatalf("the connection to a server that was silent for %v ended: %v", soundSilence, err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "answer" {
		t.Errorf("got %q, %v", body, err)
	}
}

// The shortest silence that ends a connection begins just before the first keep-alive probe.
func TestKeepAliveToleratesSilentSoundServer(t *testing.T) {
	end := keepAlive.Idle + keepAlive.Interval
	for end < userTimeout {
		end += keepAlive.Interval
	}
	if shortest := end - keepAlive.Idle; shortest < soundSilence {
		t.Errorf("a silence of %v ends a connection", shortest)
	}
	if end > 2*soundSilence {
		t.Errorf("a dead server is noticed only after %v", end)
	}
}
