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
