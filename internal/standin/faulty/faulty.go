// Package faulty writes the broken HTTP/1.1 responses of backend servers in trouble.
package faulty

import (
	"fmt"
	"net"
	"time"
)

// Part is what arrives of the body of a response that is broken off.
const Part = "part"

// closeDelay is the time after which a response that is broken off has reached its client.
const closeDelay = 20 * time.Millisecond

// Reset sends the head of a response without a length and a part of its body, and resets the
// connection. The fields belong to the head; each ends with CRLF.
func Reset(c net.Conn, fields, part string) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	Close(c, fields, part)
}

// Close sends the same and closes the connection, which may have unread bytes.
func Close(c net.Conn, fields, part string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", fields, part)
	time.Sleep(closeDelay)
	_ = c.Close()
}
