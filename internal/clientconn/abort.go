package clientconn

import (
	"net"
	"net/http"

	"papayaspan.dev/papayaspan/internal/peek"
)

// resetAborted makes the connection of a caller of HTTP/1.0 end with a reset if its response is aborted.
// Such a response has neither a length nor chunks, so that an orderly end would be its own.
func resetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		returned := false
		defer func() {
			if !returned { // The handler panics, with http.ErrAbortHandler or because of a fault.
				Reset(peek.ConnOf(r.Context()))
			}
		}()
		next.ServeHTTP(w, r)
		returned = true
	})
}

// Reset resets a TCP connection and discards what hasn't been sent; that of a TLS connection without the
// alert that announces an orderly end. The wrappers of the connection must still be closed.
func Reset(c net.Conn) {
	if tcp, ok := peek.Unwrap(c).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
