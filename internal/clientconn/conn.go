package clientconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/membudget"
)

type phase uint8

const (
	// idle is a connection without a request, also a new one.
	idle phase = iota
	head
	body
	// serving is from the end of the head on, except while the body is read.
	serving
	// finishing is from the return of the handler on: net/http writes what is buffered and reads what
	// is left of the body.
	finishing
	hijacked
)

const (
	// headStep is the step in which memory for a head is reserved. The first one is that of the
	// server's buffer, which each connection has.
	headStep = 4 << 10
	// writeStep is the size of a write after which progress is noted.
	writeStep = 16 << 10
	// Time and bytes to wait for a refused client to close: bytes that are unread when a
	// connection is closed reset it, and the client may lose the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	guard *Guard
	once  sync.Once
	// writing is when the write in progress last made progress; 0 without one.
	writing atomic.Int64

	mu    sync.Mutex
	phase phase
	// since is when the phase began, progress when minProgressBytes had last been read, unnoted the
	// number of bytes since then.
	since, progress time.Time
	unnoted         int
	// headBytes counts the bytes of the head so far, line those of its current line.
	headBytes, line int
	head            *membudget.Reservation
	// windowBytes counts the bytes of the body since windowStart.
	windowStart time.Time
	windowBytes int64
	// sentAhead is set if bytes came during the request's service. net/http then reads no further
	// until the response has ended, and doesn't notice that the client leaves.
	sentAhead bool
	// end ends the context of the connection's requests.
	end context.CancelFunc
	// givenUp is why the body was given up.
	givenUp string
	closed  bool
	// closeReason is why the connection is to be closed, until it is.
	closeReason string
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.guard.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		c.head.Close()
		if c.end != nil {
			c.end()
		}
	})
	return err
}

// withEnd returns the context of the connection's requests, which ends when the client is seen to have
// left.
func (c *Conn) withEnd(ctx context.Context) context.Context {
	ctx, end := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = end
	return ctx
}

func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.enter(idle)
	case http.StateActive:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.phase == idle { // The beginning of the head was read with the request before.
			c.begin(head)
		}
	case http.StateHijacked:
		c.enter(hijacked)
	}
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p {
		c.begin(p)
	}
}

// finish notes that the handler has returned.
func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != hijacked {
		c.begin(finishing)
	}
}

// begin starts a phase. The lock is held.
func (c *Conn) begin(p phase) {
	now := time.Now()
	c.phase, c.since, c.progress, c.unnoted, c.sentAhead = p, now, now, 0, false
	switch p {
	case idle:
		c.headBytes, c.line = 0, 0
		c.head.Close()
	case body:
		c.windowStart, c.windowBytes = now, 0
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.guard.opts.Traffic.Received(c.guard.opts.TrafficKind, n)
	refusal, reason := c.received(p[:n])
	if refusal == "" {
		return n, err
	}
	c.guard.count(reason)
	c.refuse(refusal)
	return 0, io.EOF
}

// received notes bytes that were read. It returns the response with which the head is refused, if it
// is.
func (c *Conn) received(p []byte) (refusal, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case idle:
		c.begin(head)
	case body:
		c.windowBytes += int64(len(p))
		c.noteProgress(len(p))
		return "", ""
	case head:
		c.noteProgress(len(p))
	default:
		c.sentAhead = true
		return "", ""
	}
	ended := c.scanHead(p)
	if c.headBytes > c.guard.limits().HeaderBytes {
		return "431 Request Header Fields Too Large", "head_too_large"
	}
	if missing := int64(c.headBytes-headStep)*headFactor - c.head.Size(); missing > 0 {
		step := (missing + headStep - 1) / headStep * headStep
		if !c.head.TryGrow(step) {
			go c.guard.opts.Budget.Reclaim()
			return "503 Service Unavailable\r\nRetry-After: 1", "head_memory_short"
		}
	}
	if ended {
		c.begin(serving)
	}
	return "", ""
}

func (c *Conn) noteProgress(n int) {
	if c.unnoted += n; c.unnoted >= minProgressBytes {
		c.progress, c.unnoted = time.Now(), 0
	}
}

// scanHead counts the bytes of the head and reports whether it has ended: with an empty line after
// its first line.
func (c *Conn) scanHead(p []byte) bool {
	for _, b := range p {
		c.headBytes++
		switch b {
		case '\n':
			if c.line == 0 && c.headBytes > 2 {
				return true
			}
			c.line = 0
		case '\r':
		default:
			c.line++
		}
	}
	return false
}

// refuse answers a request whose head has not been read whole, and closes the sending side.
func (c *Conn) refuse(status string) {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status)
	_ = c.CloseWrite()
	buf := make([]byte, headStep)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writing.Store(0)
	for {
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		c.guard.opts.Traffic.Sent(c.guard.opts.TrafficKind, n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
