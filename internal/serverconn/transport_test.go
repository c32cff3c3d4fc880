package serverconn

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// exchange sends a request and returns the response's body.
func exchange(t *testing.T, transport http.RoundTripper, url string, body []byte) (string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestConnectionsAreReusedWithAndWithoutTLS(t *testing.T) {
	for name, start := range map[string]func(*httptest.Server){"plain": (*httptest.Server).Start, "TLS": (*httptest.Server).StartTLS} {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					conns.Add(1)
				}
			}
			start(s)
			defer s.Close()
			transport := &http.Transport{}
			if name == "TLS" {
				roots := x509.NewCertPool()
				roots.AddCert(s.Certificate())
				transport.TLSClientConfig = &tls.Config{RootCAs: roots}
			}
			checked := NewTransport(transport)
			defer checked.CloseIdleConnections()
			for range 3 {
				if body, err := exchange(t, checked, s.URL, []byte("body")); err != nil || body != "body" {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			if conns.Load() != 1 {
				t.Errorf("%d connections for 3 requests", conns.Load())
			}
		})
	}
}

func TestUntrustedCertificateIsRefused(t *testing.T) {
	s := httptest.NewTLSServer(http.NotFoundHandler())
	defer s.Close()
	if _, err := exchange(t, NewTransport(&http.Transport{}), s.URL, nil); err == nil {
		t.Error("a certificate of an unknown authority was accepted")
	}
}
