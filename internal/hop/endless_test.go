package hop

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/httphead"
)

// endless returns a server that sends start and then repeats the same bytes until the
// client closes the connection.
func endless(start, repeated string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		defer c.Close()
		if _, err := readRequest(c); err != nil {
			return
		}
		block := bytes.Repeat([]byte(repeated), 1+4096/len(repeated))
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

// An endless head, or an endless response to another request, makes Send fail before the
// deadline of the connection.
func TestEndlessResponseIsAborted(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: other\r\n"
	for name, send := range map[string]func(int, net.Conn){
		"no response":                   endless("", "x"),
		"status line":                   endless("HTTP/1.1 200 ", "x"),
		"one header line":               endless("HTTP/1.1 200 OK\r\nX: ", "x"),
		"header lines":                  endless("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		"interim responses":             endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"chunks of another response":    endless(other+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		"chunk extension":               endless(other+"Transfer-Encoding: chunked\r\n\r\n1;", "x"),
		"trailer":                       endless(other+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
		"another response, long":        endless(other+"Content-Length: 999999999999\r\n\r\n", "x"),
		"another response, no length":   endless(other+"\r\n", "x"),
		"another response, then a head": endless(other+"Content-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nX: ", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool()
			c, err := p.Get(context.Background(), "o", serve(t, send), 0)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(c)
			const deadline = 2 * time.Second
			_ = c.SetDeadline(time.Now().Add(deadline))
			began := time.Now()
			_, err = c.Send(context.Background(), request("a"), matches("a"))
			var timeout net.Error
			if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("read for %v, error %v", time.Since(began), err)
			}
		})
	}
}

// The bound applies to the response head, not to the body.
func TestLongBodyIsRead(t *testing.T) {
	const size = 4 * httphead.MaxHeadBytes
	addr := serve(t, func(_ int, c net.Conn) {
		for {
			r, err := readRequest(c)
			if err != nil {
				return
			}
			reply(c, r.Header.Get("Id"), string(bytes.Repeat([]byte("x"), size)))
		}
	})
	p := NewPool()
	for range 3 {
		body, _, err := exchange(t, p, addr, "a")
		if err != nil || len(body) != size {
			t.Fatalf("read %d bytes of %d, error %v", len(body), size, err)
		}
	}
}

func TestSmallChunksOfAnotherResponseOutrunItsBound(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	sent := make(chan int)
	go func() {
		n := 0
		defer func() { sent <- n }()
		if _, err := readRequest(server); err != nil {
			return
		}
		n, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n")
		for block := bytes.Repeat([]byte("1\r\nx\r\n"), 700); ; {
			written, err := server.Write(block)
			if n += written; err != nil {
				return
			}
		}
	}()
	_, err := newConn(client, hostKey{}, nil).Send(context.Background(), request("a"), matches("a"))
	client.Close()
	if n := <-sent; !errors.Is(err, ErrMismatched) || n > maxMismatchedBytes+2*readBufferBytes {
		t.Errorf("read %d bytes, want at most %d; error %v", n, maxMismatchedBytes, err)
	}
}
