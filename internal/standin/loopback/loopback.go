// Package loopback provides a loopback address for each test process. Other test
// processes, including ones that have ended, may still send to ports of 127.0.0.1
// that they have closed, and the kernel reassigns these ports to new listeners.
package loopback

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
)

// Host returns the loopback address of this process, an IPv4 address in 127.128.0.0/9
// derived from the process ID.
func Host() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 128+id%100, id/100%250)
}

// Listen returns a listener on a free port of Host.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", Host()+":0")
	if err != nil {
		t.Fatalf("listen on the loopback address of this process: %v", err)
	}
	return l
}

// Unstarted returns a server that listens on a free port of Host but isn't started yet.
func Unstarted(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	return &httptest.Server{Listener: Listen(t), Config: &http.Server{Handler: h}}
}

// Serve starts a server on a free port of Host and closes it at the end of the test.
func Serve(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	s := Unstarted(t, h)
	s.Start()
	t.Cleanup(s.Close)
	return s
}
