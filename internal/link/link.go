// Package link manages the gRPC connections between routers.
package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 5 * time.Second
	// idleTimeout closes connections that carry no calls.
	idleTimeout = 2 * time.Minute
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 1 * time.Second
	// maxReconnectDelay bounds the back-off between attempts to connect, so that
	// a peer that restarts is reached within the staleness bound.
	maxReconnectDelay = 1 * time.Second
	// MaxMessageBytes bounds one message between routers.
	MaxMessageBytes = 64 << 20
)

// Files names the PEM files for mutual TLS. All are empty for plain text, which
// the settings allow only on loopback.
type Files struct {
	Cert, Key, CA string
}

func (f Files) enabled() bool { return f.Cert != "" }

// config returns a TLS configuration that reads the certificate again for each
// handshake, so that a replaced file takes effect at once.
func (f Files) config() (*tls.Config, error) {
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", f.CA)
	}
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		return &c, errors.Wrap(err, "load peer certificate")
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

// NewServer returns a gRPC server for peers.
func NewServer(f Files) (*grpc.Server, error) {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}
	if f.enabled() {
		cfg, err := f.config()
		if err != nil {
			return nil, err
		}
		opts = append(opts, grpc.Creds(credentials.NewTLS(cfg)))
	}
	return grpc.NewServer(opts...), nil
}

// reconnect sets the back-off between attempts to connect.
var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
	MinConnectTimeout: connectTimeout,
}

// Pool keeps one connection for each peer address.
type Pool struct {
	creds  credentials.TransportCredentials
	dialer net.Dialer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool. The host part of local, host:port, is the source
// address of the connections, so that a VM with several addresses uses the one
// from its settings.
func NewPool(f Files, local string) (*Pool, error) {
	creds := insecure.NewCredentials()
	if f.enabled() {
		cfg, err := f.config()
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(cfg)
	}
	host, _, err := net.SplitHostPort(local)
	if err != nil {
		return nil, errors.Wrap(err, "local peer address")
	}
	p := &Pool{creds: creds, conns: map[string]*grpc.ClientConn{}}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p, nil
}

// Conn returns the connection to an address, host:port. It is established in
// the background; calls on it fail until then.
func (p *Pool) Conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(p.dial),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(reconnect),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", addr)
	}
	p.conns[addr] = c
	return c, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	return p.dialer.DialContext(ctx, "tcp", addr)
}

// Keep closes the connections to all addresses that are not in addrs.
func (p *Pool) Keep(addrs []string) {
	wanted := map[string]bool{}
	for _, a := range addrs {
		wanted[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if !wanted[a] {
			_ = c.Close()
			delete(p.conns, a)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.Keep(nil) }
