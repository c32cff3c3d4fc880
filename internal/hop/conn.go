// Package hop sends requests to backend servers over a pool of HTTP/1.1 connections
// with stricter rules than net/http: a request is written at most once, a connection
// is reused only if no unread bytes are left on it, and a response to another request
// is never returned for this one.
package hop

import (
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

	"papayaspan.dev/papayaspan/internal/httphead"
	"papayaspan.dev/papayaspan/internal/linkmeter"
	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/serverconn"
)

const (
	// connectTimeout bounds a connection attempt. Servers are a few milliseconds
	// away, and TCP retransmits a lost SYN only after a second.
	connectTimeout = 250 * time.Millisecond
	// userTimeout is the TCP user timeout: a connection is closed if sent bytes are
	// not acknowledged within it. It also decides when keep-alive probes give up,
	// whatever their count. Sound servers may be silent for a second or so.
	userTimeout = 3 * time.Second
	// idleKeepAlive is the interval of TCP keep-alive probes, which detect idle
	// connections whose server no longer responds.
	idleKeepAlive   = 1 * time.Second
	readBufferBytes = 4 << 10
	// dropResetTime is the time after a request within which a server resets a
	// connection that it had already dropped: a round trip between failure domains,
	// with a margin for a busy VM.
	dropResetTime = 30 * time.Millisecond
	// maxMismatched is the number of responses to other requests after which Send
	// gives up. maxMismatchedBytes bounds the body that is discarded to get to the next
	// response, as it arrives: chunks of a byte each cost far more than they hold.
	maxMismatched      = 4
	maxMismatchedBytes = 1 << 20
	// concurrentBodyBytes is the body size from which the body is written while Send
	// waits for the response, because a server may respond before it has read the body.
	concurrentBodyBytes = 16 << 10
)

var (
	// ErrMismatched means that only responses to other requests arrived.
	ErrMismatched = errors.New("response belongs to another request")
	// errBodyTooLong means that a body exceeds maxMismatchedBytes.
	errBodyTooLong = errors.New("response body is too long")
	// ErrNotWritten means that no byte of the request was written.
	ErrNotWritten = errors.New("no byte of the request was written")
)

// Request is a request as sent to a server.
type Request struct {
	Method string
	// Target is the request target: the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to a server. It carries one request at a time.
type Conn struct {
	*serverconn.Conn
	hostKey
	// in is the source of br.
	in *boundedReader
	br *httphead.Reader
	// opened is when the connection was opened.
	opened time.Time
	// Reused is set if the connection was idle in the pool before it was last used.
	Reused bool
	// idleUntil is the time after which the idle connection must not be reused.
	idleUntil time.Time
	// idleSince is when the connection last became idle, and idleFor is how long it
	// had been idle when it was last taken from the pool.
	idleSince time.Time
	idleFor   time.Duration
	// dropped is set if the server seems to have dropped the idle connection without
	// closing it.
	dropped bool
	// written is set once a byte of the request was written.
	written atomic.Bool
	// writeErr receives the result of writing a long body; nil if none is pending.
	writeErr chan error
	// notReusable is set while a request is in progress, and afterwards if the
	// connection must not be reused.
	notReusable bool
}

// boundedReader reads from a connection and bounds the bytes read for a part of a response.
type boundedReader struct {
	r       io.Reader
	traffic *linkmeter.Meter
	// remaining is the number of bytes that may still be read; negative means no bound.
	remaining int
	// exceeded is the error once there are more.
	exceeded error
}

// bound bounds the bytes that are read until the function that it returns is called.
func (b *boundedReader) bound(n int, exceeded error) (release func()) {
	b.remaining, b.exceeded = n, exceeded
	return func() { b.remaining = -1 }
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return b.read(p)
	}
	if b.remaining == 0 {
		return 0, errors.WithStack(b.exceeded)
	}
	n, err := b.read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

func (b *boundedReader) read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.traffic.Received(linkmeter.Servers, n)
	return n, err
}

// newConn returns a Conn for an open connection, whose bytes a meter counts.
func newConn(conn net.Conn, key hostKey, traffic *linkmeter.Meter) *Conn {
	stream := serverconn.New(conn)
	in := &boundedReader{r: stream, traffic: traffic, remaining: -1}
	return &Conn{Conn: stream, hostKey: key, opened: time.Now(), in: in, br: httphead.NewReader(in, readBufferBytes)}
}

// Age returns the time since the connection was opened.
func (c *Conn) Age() time.Duration { return time.Since(c.opened) }

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: idleKeepAlive, Interval: idleKeepAlive, Count: 2}

// Dial opens a TCP connection to host:port that ends if the other side falls silent for good.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
	return d.DialContext(ctx, "tcp", addr)
}

// LimitSilence makes an accepted connection end if the other side falls silent for good.
func LimitSilence(c net.Conn) error {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok { // An accepted connection with limits.
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	if err := setUserTimeout(raw); err != nil {
		return err
	}
	return errors.Wrap(tcp.SetKeepAliveConfig(keepAlive), "set keep-alive")
}

func setUserTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// An error is ignored: the kernel's default applies then, and the
		// deadlines of the request still hold.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// usable reports whether an idle connection is open, has not expired and has received
// no bytes.
func (c *Conn) usable(now time.Time) bool {
	if c.notReusable || now.After(c.idleUntil) || c.br.Buffered() > 0 {
		return false
	}
	state := peek.Conn(c.Conn)
	return state == peek.Quiet || state == peek.Unknown
}

// Send writes the request and returns the head of its response. It discards responses
// for which match returns false, because they belong to other requests. The caller
// closes the connection when ctx ends; Send then returns the error of ctx. The error
// is ErrNotWritten if no byte was written.
func (c *Conn) Send(ctx context.Context, r *Request, match func(*http.Response) bool) (*http.Response, error) {
	c.notReusable = true // Until the response has been read completely.
	c.written.Store(false)
	c.writeErr = nil
	if err := c.write(r); err != nil {
		if !c.written.Load() {
			return nil, errors.Wrapf(ErrNotWritten, "%v", err)
		}
		return nil, errors.Wrap(err, "write request")
	}
	sent := time.Now()
	for range maxMismatched {
		resp, err := c.br.ReadResponse(&http.Request{Method: r.Method}, false)
		if err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			c.dropped = c.Reused && time.Since(sent) < dropResetTime
			return nil, errors.Wrap(err, "read response head")
		}
		if match(resp) {
			return resp, nil
		}
		if !Framed(resp) {
			break // The body ends only when the connection closes.
		}
		if err := c.discardBody(resp); errors.Is(err, errBodyTooLong) {
			break
		} else if err != nil {
			return nil, errors.Wrap(err, "read response to another request")
		}
	}
	return nil, errors.WithStack(ErrMismatched)
}

// discardBody reads the body of a response to another request to its end.
func (c *Conn) discardBody(resp *http.Response) error {
	defer c.in.bound(maxMismatchedBytes, errBodyTooLong)()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
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
	c.BeginRequest()
	if len(r.Body) < concurrentBodyBytes {
		head.Write(r.Body)
		err := c.writeAll(head.Bytes())
		if err == nil {
			c.RequestWritten()
		}
		return err
	}
	if err := c.writeAll(head.Bytes()); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.writeErr = done
	go func() {
		err := c.writeAll(r.Body)
		if err == nil {
			c.RequestWritten()
		}
		done <- err
	}()
	return nil
}

func (c *Conn) writeAll(p []byte) error {
	n, err := c.Conn.Write(p)
	c.in.traffic.Sent(linkmeter.Servers, n)
	if n > 0 {
		c.written.Store(true)
	}
	return err
}

// bodyWritten reports whether the whole request has been written without an error.
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

// finished is called when a response has been read completely. It reports whether the
// connection may be reused.
func (c *Conn) finished(resp *http.Response) bool {
	c.notReusable = !Framed(resp) || resp.Close || c.br.Buffered() > 0 || !c.bodyWritten() || c.Withdrawn()
	return !c.notReusable
}

// idleTimeout returns the time for which the server keeps an idle connection open,
// according to the Keep-Alive header, and whether the header states it.
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
