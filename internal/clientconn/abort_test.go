package clientconn

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// A response that is aborted must not end in order for a caller of HTTP/1.0, with or without TLS.
func TestAbortedResponseLooksWholeInHTTP10(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		for _, aborts := range []bool{true, false} {
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
				if aborts {
					panic(http.ErrAbortHandler)
				}
			}))
			guard := New(Options{
				Name: "test", Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Budget: NewBodyBudget(1 << 20), MaxConns: 8,
				Limits: func() Limits { return Limits{} },
			})
			s.Listener = guard.Listener(s.Listener)
			guard.Protect(s.Config)
			start, dial := s.Start, net.Dial
			if encrypted {
				start = s.StartTLS
				dial = func(network, address string) (net.Conn, error) {
					return tls.Dial(network, address, &tls.Config{InsecureSkipVerify: true}) // The test's own server.
				}
			}
			start()
			c, err := dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if data, err := io.ReadAll(c); (err == nil) == aborts {
				t.Errorf("TLS %v, aborted %v: error %v after %q", encrypted, aborts, err, data)
			}
			_ = c.Close()
			s.Close()
		}
	}
}
