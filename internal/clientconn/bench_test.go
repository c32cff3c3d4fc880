package clientconn

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

// BenchmarkRequest compares an ordinary request with the limits and without them, on one connection.
func BenchmarkRequest(b *testing.B) {
	text := headOf(600, "Content-Length: 17000\r\n") + strings.Repeat("b", 17_000)
	b.Run("limits", func(b *testing.B) { runRequests(b, newFixture(b, 64<<20, 100).dial(), text) })
	b.Run("none", func(b *testing.B) {
		s := &http.Server{ConnContext: peek.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, testBodyBytes))
			_, _ = io.WriteString(w, "17000")
		})}
		l := loopback.Listen(b)
		go func() { _ = s.Serve(l) }()
		b.Cleanup(func() { _ = s.Close() })
		f := &fixture{t: b, address: l.Addr().String()}
		runRequests(b, f.dial(), text)
	})
}

func runRequests(b *testing.B, c *client, text string) {
	for b.Loop() {
		if status, _ := c.send(text).answer(); status != 200 {
			b.Fatal(status)
		}
	}
}
