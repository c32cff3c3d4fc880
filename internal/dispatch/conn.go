package dispatch

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/serverconn"
)

const (
	dialTimeout         = 2 * time.Second
	tlsHandshakeTimeout = 2 * time.Second
	idleConnTimeout     = 15 * time.Second
	maxIdleConnsPerHost = 64
)

var errWritesBlocked = errors.New("connection closed before the request was written")

// Write states of a connection for its current request.
const (
	// writeStarted means that a byte of the request may have been written.
	writeStarted int32 = iota
	// writePending means that no byte of the request was written yet.
	writePending
	// writeBlocked means that the request ended before its first byte and
	// nothing can be written any more.
	writeBlocked
)

// trackedConn tracks whether any byte of the current request was written.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write marks the request as started before its first byte is written.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(writePending, writeStarted) && c.state.Load() == writeBlocked {
		return 0, errWritesBlocked
	}
	return c.Conn.Write(p)
}

// beginRequest resets the write state for a new request.
func (c *trackedConn) beginRequest() { c.state.Store(writePending) }

// blockWrites ends a failed request and reports whether a byte of it may have
// been written. Once it has returned false, no byte can be written any more.
func (c *trackedConn) blockWrites() (wrote bool) {
	blocked := c.state.CompareAndSwap(writePending, writeBlocked)
	if blocked {
		_ = c.Conn.Close()
	}
	return !blocked && c.state.Load() != writeBlocked
}

// connTrace records which connections the transport uses for one request.
type connTrace struct {
	mu   sync.Mutex
	conn *trackedConn
	// untracked is set if a byte may have been written to a connection other
	// than conn.
	untracked bool
	// reused is set if the connection was taken from the idle pool.
	reused bool
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.blockWrites() {
		t.untracked = true
	}
	t.reused = info.Reused
	t.conn = unwrapTracked(info.Conn)
	if t.conn == nil {
		t.untracked = true
		return
	}
	t.conn.beginRequest()
}

// unwrapTracked returns the trackedConn below c, or nil if there is none.
func unwrapTracked(c net.Conn) *trackedConn {
	for {
		if tracked, ok := c.(*trackedConn); ok {
			return tracked
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}

// isReused reports whether the connection carried other requests before.
func (t *connTrace) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// close closes the connection, so that it carries no further request.
func (t *connTrace) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// mayHaveWritten blocks further writes of a failed request and reports whether
// any byte of it may have reached a server.
func (t *connTrace) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.blockWrites() {
		return true
	}
	return t.untracked
}

func (t *connTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// newTransport returns a transport over tracked connections. It uses HTTP/1.1
// only: on an HTTP/2 connection, which several requests share, written bytes
// cannot be attributed to one request.
func newTransport(tlsConfig *tls.Config) *serverconn.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return serverconn.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: tlsHandshakeTimeout,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	})
}

// singleUseBody is a request body that http.Transport cannot replay: it is
// neither nil nor http.NoBody, and the request has no GetBody. Otherwise
// http.Transport resends a request by itself when a reused connection fails,
// if the method is GET or an Idempotency-Key header is present.
type singleUseBody struct{ r *bytes.Reader }

func newSingleUseBody(p []byte) *singleUseBody {
	return &singleUseBody{r: bytes.NewReader(p)}
}

func (b *singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (b *singleUseBody) Close() error { return nil }
