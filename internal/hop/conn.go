// Package hop sends requests to backend servers over HTTP/1.1 connections that
// it manages itself: a request is written at most once, a connection is used
// again only if nothing is left on it, and an answer to another request is never
// taken for this one's.
package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"papayaspan.dev/papayaspan/internal/httpbounds"
)

const (
	// connectTimeout bounds a connection attempt. Servers are a few milliseconds
	// away, and a lost first packet is sent again only after a second.
	connectTimeout = 250 * time.Millisecond
	// userTimeout closes a connection whose bytes are not acknowledged.
	userTimeout = 1500 * time.Millisecond
	// idleKeepAlive finds idle connections that went silent.
	idleKeepAlive = 1 * time.Second
	readBuffer    = 4 << 10
	// dropNotice is the time within which a server resets a request on a
	// connection that it had given up: a round trip between failure domains, with
	// room for a busy VM.
	dropNotice = 30 * time.Millisecond
	// maxCrossed is how many answers to other requests may come first, and maxCrossedBytes
	// the longest body, in bytes, that is read past to keep the connection.
	maxCrossed      = 4
	maxCrossedBytes = 1 << 20
	// concurrentBody is the body size, in bytes, from which the body is written
	// while the answer is awaited: a server may answer before it has read it.
	concurrentBody = 16 << 10
)

var (
	// ErrCrossed means that only answers to other requests came.
	ErrCrossed = errors.New("the answer belongs to another request")
	// ErrHeadTooLong means that the head of the answer didn't end.
	ErrHeadTooLong = errors.New("the head of the answer is too long")
	// ErrNotWritten means that no byte of the request was written.
	ErrNotWritten = errors.New("no byte of the request was written")
)

// Request is a request as it goes to a server.
type Request struct {
	Method string
	// Target is the request target: path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to a server. It carries one request at a time.
type Conn struct {
	net.Conn
	hostKey
	// in is what br reads from.
	in *headReader
	br *bufio.Reader
	// Reused is set if the connection carried a request before.
	Reused bool
	// idleUntil is when the connection is no longer used.
	idleUntil time.Time
	// restedFrom is when the connection became idle, and rested for how long it
	// was when it was last taken.
	restedFrom time.Time
	rested     time.Duration
	// dropped is set if the server had given the idle connection up unnoticed.
	dropped  bool
	written  atomic.Bool
	writeErr chan error
	broken   bool
}

// headReader reads from a connection, up to a bound while it reads a head.
type headReader struct {
	r io.Reader
	// left is in bytes; negative for no bound.
	left int
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errors.WithStack(ErrHeadTooLong)
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// newConn returns a Conn for an open connection.
func newConn(conn net.Conn, key hostKey) *Conn {
	in := &headReader{r: conn, left: -1}
	return &Conn{Conn: conn, hostKey: key, in: in, br: bufio.NewReaderSize(in, readBuffer)}
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleKeepAlive, Interval: idleKeepAlive, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without it the kernel's default applies, and the deadlines of
				// the request still hold.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", addr)
}

// sound reports whether an idle connection is open and nothing has come on it.
func (c *Conn) sound(now time.Time) bool {
	if c.broken || now.After(c.idleUntil) || c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// Send writes the request and returns the head of its answer. Match tells the
// answer to this request from others. When ctx ends the connection is cut. The
// error is ErrNotWritten if no byte was written.
func (c *Conn) Send(ctx context.Context, r *Request, match func(*http.Response) bool) (*http.Response, error) {
	c.broken = true // Until the answer was read whole.
	c.written.Store(false)
	c.writeErr = nil
	if err := c.write(r); err != nil {
		if !c.written.Load() {
			return nil, errors.Wrapf(ErrNotWritten, "%v", err)
		}
		return nil, errors.Wrap(err, "write request")
	}
	sent := time.Now()
	for range maxCrossed {
		resp, err := c.readHead(r)
		if err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			c.dropped = c.Reused && time.Since(sent) < dropNotice
			return nil, errors.Wrap(err, "read answer")
		}
		if match(resp) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // Its end is that of the connection.
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxCrossedBytes+1))
		if err != nil {
			return nil, errors.Wrap(err, "read answer to another request")
		}
		if n > maxCrossedBytes {
			break
		}
	}
	return nil, errors.WithStack(ErrCrossed)
}

// readHead returns the next head that is not an interim one.
func (c *Conn) readHead(r *Request) (*http.Response, error) {
	c.in.left = httpbounds.MaxHeadBytes // Interim ones included.
	defer func() { c.in.left = -1 }()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (c *Conn) write(r *Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method)
	head.WriteByte(' ')
	head.WriteString(r.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(r.Host)
	head.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(r.Body)))
		head.WriteString("\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(r.Body) < concurrentBody {
		head.Write(r.Body)
		return c.writeAll(head.Bytes())
	}
	if err := c.writeAll(head.Bytes()); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.writeErr = done
	go func() { done <- c.writeAll(r.Body) }()
	return nil
}

func (c *Conn) writeAll(p []byte) error {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return err
}

// bodyWritten reports whether the whole request was written.
func (c *Conn) bodyWritten() bool {
	if c.writeErr == nil {
		return true
	}
	select {
	case err := <-c.writeErr:
		c.writeErr = nil
		return err == nil
	default:
		return false
	}
}

// finished notes that an answer was read whole, and whether the connection may
// be used again.
func (c *Conn) finished(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	c.broken = !framed || resp.Close || c.br.Buffered() > 0 || !c.bodyWritten()
	return !c.broken
}

// idleTimeout returns for how long the server keeps the connection open.
func idleTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
