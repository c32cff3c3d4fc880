package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/standin/faulty"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// brokenServer answers each request with respond, which gets the fields of a valid response. It reads
// the bodies of requests only if readBody is set.
func brokenServer(t *testing.T, readBody bool, respond func(c net.Conn, fields string)) (url string) {
	return rawServer(t, func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
		if err != nil {
			return
		}
		if readBody {
			discard(req.Body)
		}
		respond(c, fmt.Sprintf("%s: %s\r\n", openai.HeaderRequestID, req.Header.Get(openai.HeaderRequestID)))
	})
}

// A server responds to a long upload at once, sends a part of its body and resets the connection.
func TestResponseResetDuringUploadLooksWhole(t *testing.T) {
	for _, kind := range []backend.Kind{backend.Engine, backend.Service} {
		server := brokenServer(t, false, func(c net.Conn, fields string) { faulty.Reset(c, fields, faulty.Part) })
		p := listPicker{{ID: "server", Kind: kind, URL: server}}
		for range 30 {
			sink := &memorySink{}
			req := Request{ID: "req-1", Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20)}
			if _, err := newTestDispatcher(t).Do(context.Background(), req, p, sink); err == nil {
				t.Errorf("%s: the response looks whole: %q", kind, sink.text.String())
			}
		}
	}
}

// A whole response stays whole, whatever becomes of the request's body.
func TestFramedResponseBeforeResetIsWhole(t *testing.T) {
	for _, framing := range faulty.Framed() {
		server := brokenServer(t, false, func(c net.Conn, fields string) { faulty.ResetBehind(c, fields, framing) })
		p := listPicker{{ID: "server", Kind: backend.Service, URL: server}}
		for range 10 {
			sink := &memorySink{}
			req := Request{ID: "req-1", Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20)}
			if _, err := newTestDispatcher(t).Do(context.Background(), req, p, sink); err != nil || sink.text.String() != faulty.Body {
				t.Errorf("%q: body %q, error %v", framing, sink.text.String(), err)
			}
		}
	}
}

// A server may respond before it has read the body, and read it then.
func TestResponseBeforeBodyIsReadIsWhole(t *testing.T) {
	server := brokenServer(t, false, func(c net.Conn, fields string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\nwhole", fields)
		_ = c.(*net.TCPConn).CloseWrite()
		discard(c)
	})
	p := listPicker{{ID: "server", Kind: backend.Service, URL: server}}
	for range 5 {
		sink := &memorySink{}
		req := Request{ID: "req-1", Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20)}
		if _, err := newTestDispatcher(t).Do(context.Background(), req, p, sink); err != nil || sink.text.String() != "whole" {
			t.Errorf("body %q, error %v", sink.text.String(), err)
		}
	}
}

// A server sends what isn't a response, or a response with a malformed head.
func TestMalformedResponseIsPassedOn(t *testing.T) {
	for _, broken := range append(faulty.Responses(), faulty.Whole()) {
		for _, kind := range []backend.Kind{backend.Engine, backend.Service} {
			t.Run(fmt.Sprintf("%s of %s", broken.Name, kind), func(t *testing.T) {
				server := brokenServer(t, true, func(c net.Conn, fields string) { _ = broken.Write(c, fields) })
				p := listPicker{{ID: "server", Kind: kind, URL: server}}
				sink := &memorySink{}
				_, err := newTestDispatcher(t).Do(context.Background(), Request{ID: "req-1", Method: http.MethodPost, Path: "/x"}, p, sink)
				switch whole := broken == faulty.Whole(); {
				case whole != (err == nil):
					t.Errorf("head %v, body %q, error %v", sink.heads, sink.text.String(), err)
				case !whole && verdict.AsError(err).Code != "backend_bad_answer":
					t.Errorf("error %v, which may suggest a crash", err)
				}
			})
		}
	}
}
