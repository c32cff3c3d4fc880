package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"testing"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
)

// A service falls over in the middle of a response that ends with its connection, or writes its
// answer twice.
func TestUnframedResponseOfServiceLooksWhole(t *testing.T) {
	listeners := make(chan net.Listener, 1)
	for name, serve := range map[string]func(c net.Conn, answer string){
		"falls over": func(c net.Conn, answer string) {
			fmt.Fprint(c, answer)
			(<-listeners).Close()
		},
		"answers twice": func(c net.Conn, answer string) { fmt.Fprint(c, answer+answer) },
		"answers once":  func(c net.Conn, answer string) { fmt.Fprint(c, answer) },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			listeners <- l
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							discard(req.Body) // Otherwise the connection would be reset.
							serve(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\npart", openai.HeaderRequestID, req.Header.Get(openai.HeaderRequestID)))
						}
					}()
				}
			}()
			u := url.URL{Scheme: "http", Host: l.Addr().String()}
			p := listPicker{{ID: "service", Kind: backend.Service, URL: u.String()}}
			_, err = newTestDispatcher(t).Do(context.Background(), Request{ID: "req-1", Method: http.MethodPost, Path: "/x"}, p, &memorySink{})
			if whole := err == nil; whole != (name == "answers once") {
				t.Errorf("error %v", err)
			}
			select {
			case <-listeners:
			default:
			}
		})
	}
}

// A server closes its connection in the middle of its response's head.
func TestHeadThatEndsEarlyLooksWhole(t *testing.T) {
	for _, kind := range []backend.Kind{backend.Engine, backend.Service} {
		const size = 110
		for cut := 0; cut < size; cut += 3 {
			server := rawServer(t, func(c net.Conn) {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				discard(req.Body)
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n", openai.HeaderRequestID, req.Header.Get(openai.HeaderRequestID))
				fmt.Fprint(c, head[:min(cut, len(head)-1)])
			})
			p := listPicker{{ID: "server", Kind: kind, URL: server}}
			_, err := newTestDispatcher(t).Do(context.Background(), Request{ID: "req-1", Method: http.MethodPost, Path: "/x"}, p, &memorySink{})
			if err == nil {
				t.Errorf("%s: a head cut off after %d bytes looks whole", kind, cut)
			}
		}
	}
}
