package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"papayaspan.dev/papayaspan/api/peer"
)

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = issue(t, nil, nil, "CA")
	writePEM(t, a.path("ca.pem"), "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// files issues a certificate and returns the files of a peer that uses it.
func (a *authority) files(t *testing.T, name string) Files {
	t.Helper()
	cert, key := issue(t, a.cert, a.key, name)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.path(name+".pem"), "CERTIFICATE", cert.Raw)
	writePEM(t, a.path(name+".key"), "EC PRIVATE KEY", der)
	return Files{Cert: a.path(name + ".pem"), Key: a.path(name + ".key"), CA: a.path("ca.pem")}
}

// issue returns a certificate signed by parent, or by itself if that is nil.
func issue(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey, name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if parent == nil {
		parent, parentKey = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startServer serves a Control service whose methods are all unimplemented, so that a call that passes
// the TLS handshake fails with Unimplemented.
func startServer(t *testing.T, f Files) string {
	t.Helper()
	srv, err := NewServer(f)
	if err != nil {
		t.Fatal(err)
	}
	peer.RegisterControlServer(srv, peer.UnimplementedControlServer{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return l.Addr().String()
}

func callPeer(t *testing.T, f Files, addr string) codes.Code {
	t.Helper()
	pool, err := NewPool(f, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	conn, err := pool.Conn(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = peer.NewControlClient(conn).Exchange(ctx, &peer.ExchangeRequest{})
	return status.Code(err)
}

func TestMutualTLS(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	addr := startServer(t, ours.files(t, "server"))
	untrusted := other.files(t, "untrusted")
	untrusted.CA = ours.path("ca.pem")
	tests := []struct {
		desc string
		f    Files
		want codes.Code
	}{
		{"certificate of the same authority", ours.files(t, "client"), codes.Unimplemented},
		{"certificate of another authority", untrusted, codes.Unavailable},
		{"no certificate", Files{}, codes.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := callPeer(t, tt.f, addr); got != tt.want {
				t.Errorf("code %v, want %v", got, tt.want)
			}
		})
	}
}

// A replaced certificate file takes effect with the next handshake.
func TestCertificateIsReadAgain(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	files := a.files(t, "server")
	addr := startServer(t, files)
	client := a.files(t, "client")
	if got := callPeer(t, client, addr); got != codes.Unimplemented {
		t.Fatalf("code %v before the change", got)
	}
	replaced := other.files(t, "server")
	for from, to := range map[string]string{replaced.Cert: files.Cert, replaced.Key: files.Key} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	if got := callPeer(t, client, addr); got != codes.Unavailable {
		t.Errorf("code %v after the change: the old certificate is still in use", got)
	}
}
