// Package serverconn connects to processes that answer requests over HTTP/1.1, and notices responses that
// are broken off or malformed where net/http takes them for whole.
package serverconn

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/httphead"
	"papayaspan.dev/papayaspan/internal/peek"
)

// Conn is a connection whose end its reader can rely on. The kernel reports a reset once: if a write takes
// it, the reads of the connection end as if the other side had closed it in order. A Conn returns an error
// instead. It carries one request at a time.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// changed signals changes of the fields below.
	changed sync.Cond
	// writing is the number of writes in progress, and writeErr the error of the first that failed.
	writing  int
	writeErr error
	// sending is set from the begin of a request until it has been written.
	sending bool
	closed  bool
	// head checks the heads of responses; nil between them. headErr is its error.
	head    *httphead.Checker
	headErr error
}

// New returns a Conn for an open connection.
func New(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.changed.L = &out.mu
	return out
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest notes that a request is about to be written. Until RequestWritten is called, the end of
// the connection isn't that of a response.
func (c *Conn) BeginRequest() { c.setSending(true) }

// RequestWritten notes that the request has been written.
func (c *Conn) RequestWritten() { c.setSending(false) }

func (c *Conn) setSending(sending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = sending
	c.changed.Broadcast()
}

// expectHead makes the Conn check the heads of the responses to the next request.
func (c *Conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &httphead.Checker{}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn. At the end of the connection it waits until the request has been written. It
// returns io.EOF only if that succeeds.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.checkHead(p[:n]); malformed != nil {
		return 0, malformed
	}
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

func (c *Conn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr != nil || c.head == nil {
		return c.headErr
	}
	_, ended, err := c.head.Next(p)
	if ended {
		c.head = nil
	}
	c.headErr = err
	return err
}

// end returns io.EOF if the other side has closed the connection in order.
func (c *Conn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		return io.EOF // It ends no response. net/http doesn't write a request to a connection that has ended.
	}
	for c.writeErr == nil && !c.closed && (c.sending || c.writing > 0) {
		c.changed.Wait()
	}
	switch {
	case c.writeErr != nil:
		return errors.Wrapf(io.ErrUnexpectedEOF, "the connection ended while the request was written: %v", c.writeErr)
	case c.sending:
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection was closed before the request was written")
	}
	return io.EOF
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return err
}

// Abort closes the connection and drops what hasn't been sent, so that a request that nobody waits for
// any more doesn't reach the server later. A connection through another VM is closed in order once the
// request has been written, as that VM may have notices to read.
func (c *Conn) Abort() {
	c.mu.Lock()
	unwritten := c.sending || c.writing > 0
	c.mu.Unlock()
	tcp, direct := c.Conn.(*net.TCPConn)
	if !direct && unwritten {
		tcp, _ = peek.Unwrap(c.Conn).(*net.TCPConn)
	}
	if tcp != nil {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
