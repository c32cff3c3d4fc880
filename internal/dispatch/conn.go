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

	"papayaspan.dev/papayaspan/internal/httpbounds"
)

const (
	dialTimeout         = 2 * time.Second
	tlsHandshakeTimeout = 2 * time.Second
	idleConnTimeout     = 15 * time.Second
	maxIdleConnsPerHost = 64
)

var errSealed = errors.New("connection sealed before the request was written")

// Write states of a connection with regard to the request that holds it.
const (
	writeStarted int32 = iota
	writeArmed
	writeSealed
)

// trackedConn knows whether any byte of the current request was written.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write records the first byte before it is written.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(writeArmed, writeStarted) && c.state.Load() == writeSealed {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// arm begins a request.
func (c *trackedConn) arm() { c.state.Store(writeArmed) }

// seal ends a failed request and reports whether a byte may have been written.
// After it has returned false no byte can be written any more.
func (c *trackedConn) seal() (wrote bool) {
	sealed := c.state.CompareAndSwap(writeArmed, writeSealed)
	if sealed {
		_ = c.Conn.Close()
	}
	return !sealed && c.state.Load() != writeSealed
}

// connTrace follows one request through the transport.
type connTrace struct {
	mu   sync.Mutex
	conn *trackedConn
	// untracked is set if a byte may have been written to a connection that
	// is no longer followed.
	untracked bool
	// reused is set if the connection was idle before.
	reused bool
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal() {
		t.untracked = true
	}
	t.reused = info.Reused
	t.conn = asTracked(info.Conn)
	if t.conn == nil {
		t.untracked = true
		return
	}
	t.conn.arm()
}

func asTracked(c net.Conn) *trackedConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tracked, _ := c.(*trackedConn)
	return tracked
}

// mayHaveWritten ends a failed request and reports whether any byte of it may
// have reached a server.
func (t *connTrace) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal() {
		return true
	}
	return t.untracked
}

func (t *connTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// newTransport returns a transport over tracked connections. It speaks
// HTTP/1.1 only, because a connection that is shared by requests cannot tell
// whose bytes it wrote.
func newTransport(tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    tlsHandshakeTimeout,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: httpbounds.MaxHeadBytes,
	}
}

// singleUseBody is a request body that http.Transport cannot replay: it is
// neither nil nor http.NoBody and the request has no GetBody. A transport
// resends a request on its own otherwise, when a reused connection dies, if
// the method is GET or an Idempotency-Key header is present.
type singleUseBody struct{ r *bytes.Reader }

func newSingleUseBody(p []byte) *singleUseBody {
	return &singleUseBody{r: bytes.NewReader(p)}
}

func (b *singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (b *singleUseBody) Close() error { return nil }
