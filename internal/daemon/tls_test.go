package daemon_test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/standin/local"
)

// writeTestCertificate writes the certificate and key of httptest to files and
// returns a pool that trusts it.
func writeTestCertificate(t *testing.T, certFile, keyFile string) *x509.CertPool {
	t.Helper()
	srv := httptest.NewTLSServer(nil)
	defer srv.Close()
	pair := srv.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: pair.Certificate[0]},
		keyFile:  {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AddCert(srv.Certificate())
	return pool
}

// TestCallerTLS checks that callers are served over TLS only, and that the
// certificate files are read for each handshake: a handshake fails while they
// are missing and succeeds once they exist again.
func TestCallerTLS(t *testing.T) {
	s, err := local.Start(0, local.EngineOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	dir := t.TempDir()
	set := s.Settings(1)
	set.CallerTLS = settings.CallerTLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	pool := writeTestCertificate(t, set.CallerTLS.CertFile, set.CallerTLS.KeyFile)
	d, err := s.StartRouter(set, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	get := func(scheme string) (int, error) {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
			DisableKeepAlives: true,
			TLSClientConfig:   &tls.Config{RootCAs: pool, ServerName: "example.com"},
		}}
		resp, err := client.Get(scheme + "://" + d.Self().CallerAddress + "/v1/addresses")
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		return resp.StatusCode, nil
	}
	if status, err := get("https"); err != nil || status != http.StatusOK {
		t.Errorf("over TLS: status %d, %v", status, err)
	}
	if status, err := get("http"); err == nil && status == http.StatusOK {
		t.Error("served in plain text")
	}
	if err := os.Remove(set.CallerTLS.CertFile); err != nil {
		t.Fatal(err)
	}
	if _, err := get("https"); err == nil {
		t.Error("served with a deleted certificate")
	}
	writeTestCertificate(t, set.CallerTLS.CertFile, set.CallerTLS.KeyFile)
	if status, err := get("https"); err != nil || status != http.StatusOK {
		t.Errorf("after the files were restored: status %d, %v", status, err)
	}
}
