package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

const testBodyBytes = 1 << 20

type fixture struct {
	t       testing.TB
	guard   *Guard
	address string
	limits  atomic.Pointer[Limits]
}

// newFixture starts a server that answers with the length of the body, or with as many bytes as the
// query says.
func newFixture(t testing.TB, memory int64, maxConns int) *fixture {
	f := &fixture{t: t}
	f.limits.Store(&Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	f.guard = New(Options{
		Name: "test", Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Budget: NewBudget(memory), MaxConns: maxConns,
		Limits: func() Limits { return *f.limits.Load() },
	})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, refusal := f.guard.ReadBody(w, r, testBodyBytes)
		defer release()
		if refusal != nil {
			w.Header().Set("Retry-After", strconv.Itoa(int(refusal.RetryAfter.Seconds())))
			w.WriteHeader(refusal.Status)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	f.guard.Protect(s)
	l := loopback.Listen(t)
	f.address = l.Addr().String()
	go func() { _ = s.Serve(f.guard.Listener(l)) }()
	t.Cleanup(func() {
		_ = s.Close()
		f.waitFor("all bytes are released", func() bool {
			return f.guard.open() == 0 && f.guard.opts.Budget.Held(membudget.Head)+f.guard.opts.Budget.Held(membudget.Body) == 0
		})
	})
	return f
}

func (f *fixture) waitFor(what string, cond func() bool) {
	f.t.Helper()
	for range 1000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("waited 10 s: %s", what)
}

func (f *fixture) dial() *client {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return &client{t: f.t, Conn: c, in: bufio.NewReader(c)}
}

type client struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func (c *client) send(s string) *client {
	_, _ = io.WriteString(c.Conn, s)
	return c
}

// answer reads a response; status 0 if the connection was closed.
func (c *client) answer() (status int, body string) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			c.t.Fatal("neither a response nor a close")
		}
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func headOf(bytes int, framing string) string {
	h := "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "X: "
	return h + strings.Repeat("x", max(0, bytes-len(h)-4)) + "\r\n\r\n"
}

// A single request within the limits was never refused before, and must not be now.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	f := newFixture(t, 64<<20, 100)
	whole := strings.Repeat("b", testBodyBytes)
	length := fmt.Sprintf("Content-Length: %d\r\n", testBodyBytes)
	want := strconv.Itoa(testBodyBytes)
	check := func(name string, c *client, want string) {
		t.Helper()
		if status, body := c.answer(); status != 200 || body != want {
			t.Errorf("%s: status %d, body %q", name, status, body)
		}
	}
	check("body of the whole limit", f.dial().send(headOf(0, length)+whole), want)
	check("the same chunked", f.dial().send(headOf(0, "Transfer-Encoding: chunked\r\n")+"100000\r\n"+whole+"\r\n0\r\n\r\n"), want)
	check("chunks of one byte", f.dial().send(headOf(0, "Transfer-Encoding: chunked\r\n")+strings.Repeat("1\r\nb\r\n", 100_000)+"0\r\n\r\n"), "100000")
	check("head of the whole limit", f.dial().send(headOf(16<<10, "")), "0")
	reused := f.dial()
	for range 3 {
		check("reused connection", reused.send(headOf(16<<10, "Content-Length: 5\r\n")+"12345"), "5")
	}
	reused.send(strings.Repeat(headOf(0, "Content-Length: 2\r\n")+"ab", 3))
	for range 3 {
		check("requests sent ahead", reused, "2")
	}
	slow := f.dial().send(headOf(0, "Content-Length: 24000\r\n"))
	for range 24 {
		time.Sleep(100 * time.Millisecond)
		slow.send(strings.Repeat("s", 1000))
	}
	check("slow uplink", slow, "24000")
}

func TestHeadsOverTheLimitGet431(t *testing.T) {
	f := newFixture(t, 64<<20, 100)
	for name, text := range map[string]string{
		"whole":       headOf(16<<10+1, ""),
		"without end": headOf(0, "")[:30] + strings.Repeat("x", 200<<10),
	} {
		c := f.dial().send(text)
		if status, _ := c.answer(); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: status %d", name, status)
		}
		if status, _ := c.answer(); status != 0 {
			t.Errorf("%s: the connection stayed open", name)
		}
	}
	if status, _ := f.dial().send(strings.Repeat("\r\n", 20<<10)).answer(); status == 200 {
		t.Error("empty lines were served")
	}
}

// The limits of a new configuration must hold for connections that are open already.
func TestChangedTimeLimitsApplyToOpenConnections(t *testing.T) {
	f := newFixture(t, 64<<20, 100)
	unused, idle, begun := f.dial(), f.dial(), f.dial()
	if status, _ := idle.send(headOf(0, "")).answer(); status != 200 {
		t.Fatal(status)
	}
	begun.send("POST / HTTP/1.1\r\n")
	f.waitFor("all are open", func() bool { return f.guard.open() == 3 })
	f.limits.Store(&Limits{HeaderTimeout: time.Minute, IdleTimeout: 500 * time.Millisecond})
	for _, c := range []*client{unused, idle} {
		if status, _ := c.answer(); status != 0 {
			t.Errorf("status %d", status)
		}
	}
	// A client sees the end of its connection just before the guard forgets it.
	f.waitFor("the two others are closed", func() bool { return f.guard.open() <= 1 })
	time.Sleep(2 * sweepInterval)
	if f.guard.open() != 1 {
		t.Errorf("%d open, want the one whose head has begun", f.guard.open())
	}
	f.limits.Store(&Limits{HeaderTimeout: 500 * time.Millisecond, IdleTimeout: time.Minute})
	if status, _ := begun.answer(); status != 0 {
		t.Errorf("status %d", status)
	}
}

// Clients reuse connections that were idle for up to four fifths of the limit; a close before would
// lose their requests.
func TestIdleConnectionsStayOpenWithinTheLimit(t *testing.T) {
	f := newFixture(t, 64<<20, 100)
	f.limits.Store(&Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
	c := f.dial()
	for range 3 {
		if status, _ := c.send(headOf(0, "Content-Length: 1\r\n") + "b").answer(); status != 200 {
			t.Fatalf("status %d", status)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// When connections run short, the one that has been idle for longest goes first, and one with a
// request in progress stays.
func TestIdleConnectionsAreEvictedFirst(t *testing.T) {
	f := newFixture(t, 64<<20, 3)
	busy := f.dial().send(headOf(0, "Content-Length: 2\r\n") + "a")
	f.waitFor("the body is read", func() bool { return f.guard.opts.Budget.Held(membudget.Body) > 0 })
	first, second := f.dial(), f.dial()
	f.waitFor("all are open", func() bool { return f.guard.open() == 3 })
	third := f.dial()
	if status, _ := first.answer(); status != 0 {
		t.Errorf("status %d", status)
	}
	for _, c := range []*client{second, third, busy} {
		text := headOf(0, "")
		if c == busy {
			text = "b"
		}
		if status, _ := c.send(text).answer(); status != 200 {
			t.Errorf("status %d", status)
		}
	}
}

// Bodies that stop short of their end, or that arrive just fast enough, must not keep ordinary
// requests out, also right after they were sent.
func TestOrdinaryRequestsAreServedBesideUnfinishedBodies(t *testing.T) {
	for name, rate := range map[string]int{"stopped": 0, "a byte at a time": 1, "2 KiB a second": 200} {
		t.Run(name, func(t *testing.T) { runBesideUnfinished(t, rate) })
	}
}

func runBesideUnfinished(t *testing.T, bytesPerTenth int) {
	f := newFixture(t, 8<<20, 100)
	ended := make(chan struct{})
	var stalled []*client
	for range 40 {
		stalled = append(stalled, f.dial().send(headOf(0, "Content-Length: 100000\r\n")+strings.Repeat("b", 40_000)))
	}
	var senders sync.WaitGroup
	senders.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, c := range stalled {
				c.send(strings.Repeat("b", bytesPerTenth))
			}
		}
	})
	defer senders.Wait()
	defer close(ended)
	if bytesPerTenth > minProgressBytes/10 {
		time.Sleep(slowAfter) // These make progress until then.
	}
	for range 5 {
		if status, _ := f.dial().send(headOf(0, "Content-Length: 17000\r\n") + strings.Repeat("b", 17_000)).answer(); status != 200 {
			t.Errorf("ordinary request: status %d", status)
		}
	}
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if resp, err := http.ReadResponse(c.in, nil); err == nil {
			if resp.StatusCode != http.StatusRequestTimeout && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("stalled request: status %d", resp.StatusCode)
			}
			refused++
		}
	}
	if refused == 0 {
		t.Error("no stalled request was given up")
	}
}
