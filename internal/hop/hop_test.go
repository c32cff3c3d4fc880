package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// serve accepts connections and calls f for each with its number, starting from 1.
func serve(t *testing.T, f func(n int, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(n, c)
		}
	}()
	return l.Addr().String()
}

func readRequest(c net.Conn) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

func reply(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=5\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func request(id string) *Request {
	return &Request{Method: "GET", Target: "/x?y=1", Host: "h.example", Header: http.Header{"Id": {id}}}
}

func matches(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return r.Header.Get("Id") == id }
}

func exchange(t *testing.T, p *Pool, addr, id string) (string, *Conn, error) {
	t.Helper()
	c, err := p.Get(context.Background(), "owner", addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	resp, err := c.Send(context.Background(), request(id), matches(id))
	if err != nil {
		p.Discard(c)
		return "", c, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.Discard(c)
		return "", c, err
	}
	p.Release(c, resp)
	return string(body), c, nil
}

func TestConnectionIsReused(t *testing.T) {
	var conns atomic.Int32
	addr := serve(t, func(n int, c net.Conn) {
		conns.Store(int32(n))
		for {
			r, err := readRequest(c)
			if err != nil {
				return
			}
			reply(c, r.Header.Get("Id"), "ok")
		}
	})
	p := NewPool()
	for _, id := range []string{"a", "b", "c"} {
		if body, _, err := exchange(t, p, addr, id); err != nil || body != "ok" {
			t.Fatalf("%s: body %q, err %v", id, body, err)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for 3 requests", conns.Load())
	}
	p.CloseIdle(func(string) bool { return false })
	if len(p.hosts) != 0 {
		t.Error("connections of an ended owner are still in the pool")
	}
}

// A late response to an earlier request is discarded.
func TestLateResponseToAnotherRequest(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		r, err := readRequest(c)
		if err != nil {
			return
		}
		reply(c, "other", "bad")
		reply(c, r.Header.Get("Id"), "good")
	})
	if body, _, err := exchange(t, NewPool(), addr, "a"); err != nil || body != "good" {
		t.Errorf("body %q, err %v", body, err)
	}
}

// A connection with unread bytes is not reused.
func TestUnreadBytesCloseConnection(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		for {
			r, err := readRequest(c)
			if err != nil {
				return
			}
			reply(c, r.Header.Get("Id"), "ok")
			reply(c, r.Header.Get("Id"), "again")
		}
	})
	p := NewPool()
	for _, id := range []string{"a", "b", "a"} {
		if body, c, err := exchange(t, p, addr, id); err != nil || body != "ok" || c.Reused {
			t.Errorf("%s: body %q, reused %v, err %v", id, body, c.Reused, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// An idle connection that the server has closed is detected before a request is
// written to it.
func TestClosedIdleConnection(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		if r, err := readRequest(c); err == nil {
			reply(c, r.Header.Get("Id"), "ok")
		}
		c.Close()
	})
	p := NewPool()
	for _, id := range []string{"a", "b", "c"} {
		if body, _, err := exchange(t, p, addr, id); err != nil || body != "ok" {
			t.Errorf("%s: body %q, err %v", id, body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestUnreachableServerIsNotWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	p := NewPool()
	if _, err := p.Get(context.Background(), "o", addr, 0); !errors.Is(err, ErrNotWritten) {
		t.Errorf("error %v", err)
	}
	if len(p.hosts) != 0 {
		t.Error("a failed connection attempt counts as an open connection")
	}
}

func TestConnectionLimit(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {})
	p := NewPool()
	first, err := p.Get(context.Background(), "o", addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Get(context.Background(), "o", addr, 1); !errors.Is(err, ErrConnectionLimit) {
		t.Errorf("second connection: %v", err)
	}
	p.Discard(first)
	if _, err := p.Get(context.Background(), "o", addr, 1); err != nil {
		t.Errorf("after the first was closed: %v", err)
	}
}

// A server may respond before it has read a long body. The connection must not be
// reused then.
func TestEarlyResponseToLongBody(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			line, err := br.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
		}
		reply(c, "a", "no")
		time.Sleep(500 * time.Millisecond)
	})
	p := NewPool()
	c, err := p.Get(context.Background(), "o", addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	r := request("a")
	r.Method, r.Body = "POST", make([]byte, 16<<20)
	resp, err := c.Send(context.Background(), r, matches("a"))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "no" {
		t.Fatalf("body %q, err %v", body, err)
	}
	p.Release(c, resp)
	if len(p.hosts) != 0 {
		t.Error("a connection with an incomplete request body is still in the pool")
	}
}

func TestIdleTimeoutHeader(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=7": 7 * time.Second, "max=5, timeout=2": 2 * time.Second, "timeout=x": 0, "": 0} {
		if got, _ := idleTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %v", value, got)
		}
	}
}

// If a server drops idle connections without closing them, only one request fails.
// After that, connections that have been idle for as long are not reused.
func TestIdleLimitAfterDroppedConnection(t *testing.T) {
	const maxIdle = 60 * time.Millisecond
	var lost atomic.Int32
	addr := serve(t, func(_ int, c net.Conn) {
		last := time.Now()
		for {
			r, err := readRequest(c)
			if err != nil {
				return
			}
			if time.Since(last) > maxIdle {
				lost.Add(1)
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			reply(c, r.Header.Get("Id"), "ok")
			last = time.Now()
		}
	})
	p := NewPool()
	failed := 0
	for range 6 {
		if _, _, err := exchange(t, p, addr, "a"); err != nil {
			failed++
		}
		time.Sleep(2 * maxIdle)
	}
	if failed != 1 || lost.Load() != 1 {
		t.Errorf("%d requests failed and %d were lost, want one", failed, lost.Load())
	}
	for range 3 { // Connections that are idle for less are still reused.
		_, c, err := exchange(t, p, addr, "b")
		if err != nil {
			t.Fatal(err)
		}
		if c.idleFor > maxIdle {
			t.Errorf("a connection was reused after %v of idle time", c.idleFor)
		}
	}
}

// A crash resets idle connections as well. It must not keep the connections to sound servers from being
// reused: each request would open a new one.
func TestCrashLeavesConnectionsToOtherServersReusable(t *testing.T) {
	echo := func(n int, c net.Conn) {
		for {
			r, err := readRequest(c)
			if err != nil {
				return
			}
			reply(c, r.Header.Get("Id"), "ok")
		}
	}
	sound := serve(t, echo)
	crashing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { crashing.Close() })
	go func() {
		c, err := crashing.Accept()
		if err != nil {
			return
		}
		r, err := readRequest(c)
		if err != nil {
			return
		}
		reply(c, r.Header.Get("Id"), "ok")
		_, _ = readRequest(c) // It crashes while it has this request.
		crashing.Close()
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	p := NewPool()
	for _, addr := range []string{sound, crashing.Addr().String()} {
		if _, _, err := exchange(t, p, addr, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := exchange(t, p, crashing.Addr().String(), "b"); err == nil {
		t.Fatal("a request to a crashed server was answered")
	}
	time.Sleep(100 * time.Millisecond)
	if _, c, err := exchange(t, p, sound, "c"); err != nil || !c.Reused {
		t.Errorf("the connection to the sound server was not reused, err %v", err)
	}
}

// Servers state their idle timeout in whole seconds. Connections to one that states the least must
// still be reused for most of that time.
func TestShortIdleTimeoutIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool()
	p.now = func() time.Time { return now }
	c := newConn(nil, hostKey{owner: "a"}, nil)
	p.hosts[c.hostKey] = &host{open: 1}
	p.keep(c, time.Second)
	if left := c.idleUntil.Sub(now); left < 800*time.Millisecond || left > 900*time.Millisecond {
		t.Errorf("a connection is reused for %v of an idle timeout of 1s", left)
	}
}
