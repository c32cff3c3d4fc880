package serverconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/httphead"
)

// defaultHandshakeTimeout bounds TLS handshakes of transports that don't state a time.
const defaultHandshakeTimeout = 10 * time.Second

// Transport is an http.RoundTripper that checks the heads of responses and notices those that are broken
// off. It speaks HTTP/1.1 only.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the options of base, which it takes over. It limits the size of
// heads to httphead.MaxHeadBytes.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	config, timeout := base.TLSClientConfig, base.TLSHandshakeTimeout
	if timeout == 0 {
		timeout = defaultHandshakeTimeout
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, c, address, config, timeout)
	}
	base.MaxResponseHeaderBytes = httphead.MaxHeadBytes
	base.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	return &Transport{base: base}
}

// DefaultTransport returns a Transport with the options of http.DefaultTransport.
func DefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// handshake returns the Conn of a TLS connection. Its responses are checked as they are decrypted.
func handshake(ctx context.Context, c net.Conn, address string, config *tls.Config, timeout time.Duration) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encrypted := tls.Client(c, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return New(encrypted), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ := info.Conn.(*Conn)
			used.Store(conn)
			if conn != nil {
				conn.expectHead()
				conn.BeginRequest()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn := used.Load(); conn != nil && info.Err == nil {
				conn.RequestWritten()
			}
		},
	}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
