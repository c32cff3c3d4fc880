// Package loopback gives the tests of a process a loopback address of their own. Tests
// that run at the same time, and some that have ended, go on sending to ports of
// 127.0.0.1 that they gave up, and the kernel gives these to others.
package loopback

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
)

// Host returns the address, an IPv4 address of 127.128.0.0/9. It depends on the process's
// ID.
func Host() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 128+id%100, id/100%250)
}

// Listen returns a listener at a free port of Host.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", Host()+":0")
	if err != nil {
		t.Fatalf("listen at the process's own loopback address: %v", err)
	}
	return l
}

// Unstarted returns a server at a free port of Host that doesn't answer yet.
func Unstarted(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	return &httptest.Server{Listener: Listen(t), Config: &http.Server{Handler: h}}
}

// Serve starts a server at a free port of Host, until the end of the test.
func Serve(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	s := Unstarted(t, h)
	s.Start()
	t.Cleanup(s.Close)
	return s
}
