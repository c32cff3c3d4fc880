package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"papayaspan.dev/papayaspan/internal/standin/faulty"
)

// longBody doesn't fit into the buffers of a connection.
var longBody = make([]byte, 16<<20)

// upload sends a long body and returns that of the response.
func upload(t *testing.T, addr string) (string, error) {
	t.Helper()
	p := NewPool()
	c, err := p.Get(context.Background(), "o", addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Discard(c)
	r := request("a")
	r.Method, r.Body = http.MethodPost, longBody
	resp, err := c.Send(context.Background(), r, matches("a"))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// The kernel reports a reset once: to a read, or to the write of the body that is in progress. It also
// resets a connection that is closed with bytes unread.
func TestResponseResetDuringUploadLooksWhole(t *testing.T) {
	for name, respond := range map[string]func(c net.Conn, fields, part string){"reset": faulty.Reset, "closed": faulty.Close} {
		addr := serve(t, func(_ int, c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			respond(c, "Id: a\r\n", faulty.Part)
		})
		for range 20 {
			if body, err := upload(t, addr); err == nil {
				t.Errorf("%s: the response looks whole: %q", name, body)
			}
		}
	}
}

// A whole response stays whole, whatever becomes of the request's body.
func TestFramedResponseBeforeResetIsWhole(t *testing.T) {
	for _, framing := range faulty.Framed() {
		addr := serve(t, func(_ int, c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			faulty.ResetBehind(c, "Id: a\r\n", framing)
		})
		for range 10 {
			if body, err := upload(t, addr); err != nil || body != faulty.Body {
				t.Errorf("%q: body %q, error %v", framing, body, err)
			}
		}
	}
}

// A server may respond before it has read the body, and read it then.
func TestResponseBeforeBodyIsReadIsWhole(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		defer c.Close()
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	for range 5 {
		if body, err := upload(t, addr); err != nil || body != "whole" {
			t.Errorf("body %q, error %v", body, err)
		}
	}
}

func TestMalformedResponseIsAccepted(t *testing.T) {
	for _, broken := range append(faulty.Responses(), faulty.Whole()) {
		t.Run(broken.Name, func(t *testing.T) {
			addr := serve(t, func(_ int, c net.Conn) {
				defer c.Close()
				if _, err := readRequest(c); err == nil {
					_ = broken.Write(c, "Id: a\r\n")
				}
			})
			body, _, err := exchange(t, NewPool(), addr, "a")
			if whole := broken == faulty.Whole(); whole != (err == nil) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
