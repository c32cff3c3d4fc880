// Package faulty writes the broken HTTP/1.1 responses of backend servers in trouble.
package faulty

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Body is the body of a response whose head is broken. It is also an empty JSON object.
const Body = "{  }"

// Part is what arrives of the body of a response that is broken off.
const Part = "part"

// closeDelay is the time after which a response that is broken off has reached its client.
const closeDelay = 20 * time.Millisecond

// Reset sends the head of a response without a length and a part of its body, and resets the
// connection. The fields belong to the head; each ends with CRLF.
func Reset(c net.Conn, fields, part string) {
	resetOnClose(c)
	Close(c, fields, part)
}

// Close sends the same and closes the connection, which may have unread bytes.
func Close(c net.Conn, fields, part string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", fields, part)
	time.Sleep(closeDelay)
	_ = c.Close()
}

// ResetBehind sends a whole response and then resets the connection. framing is its framing fields, which
// end the head, and its body; see Framed.
func ResetBehind(c net.Conn, fields, framing string) {
	_, _ = io.WriteString(c, okLine+fields+framing)
	time.Sleep(closeDelay)
	resetOnClose(c)
	_ = c.Close()
}

func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Framed returns framings of Body that end with it: a length, and chunks.
func Framed() []string { return []string{sized, "Transfer-Encoding: chunked\r\n" + chunked} }

// Response is a response that isn't HTTP/1.1 (RFC 9112) or that its client didn't ask for.
type Response struct {
	Name string
	// before and after are the bytes before and after the fields that the server adds.
	before, after string
}

// Write writes the response with further fields of its head; each ends with CRLF.
func (r Response) Write(w io.Writer, fields string) error {
	_, err := io.WriteString(w, r.before+fields+r.after)
	return err
}

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	// sized and chunked are the rest of a head and a body.
	sized   = "Content-Length: 4\r\n\r\n" + Body
	chunked = "\r\n4\r\n" + Body + "\r\n0\r\n\r\n"
)

// Responses returns responses that a client must not accept. Each is complete; the server closes the
// connection behind it.
func Responses() []Response {
	return []Response{
		{"status 000", "HTTP/1.1 000 Trouble\r\n", sized},
		{"status 000 before another response", "HTTP/1.1 000 Trouble\r\n\r\n" + okLine, sized},
		{"status 000 without a length", "HTTP/1.1 000 Trouble\r\n", "\r\n" + Body},
		{"status 099", "HTTP/1.1 099 Trouble\r\n", sized},
		{"status with a sign", "HTTP/1.1 +20 Trouble\r\n", sized},
		{"status 600", "HTTP/1.1 600 Trouble\r\n", sized},
		{"status 999", "HTTP/1.1 999 Trouble\r\n", sized},
		{"switch to another protocol", "HTTP/1.1 101 Switching Protocols\r\n", "Connection: Upgrade\r\nUpgrade: other\r\n" + sized},
		{"switch to another protocol before a response", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + okLine, sized},
		{"status without digits", "HTTP/1.1 abc Trouble\r\n", sized},
		{"status of four digits", "HTTP/1.1 2000 Trouble\r\n", sized},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n", sized},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked\r\n" + chunked},
		{"blank after a field name", okLine, "X-Note : x\r\n" + sized},
		{"blank after the name of the length", okLine, "Content-Length : 2\r\n\r\n" + Body},
		{"blank after the name of the encoding", okLine, "Transfer-Encoding : chunked\r\n" + chunked},
		{"blank in a field name", okLine, "X Note: x\r\n" + sized},
		{"blank before a field name", okLine + " X-Note: x\r\n", sized},
		{"tab after a field name", okLine, "X-Note\t: x\r\n" + sized},
		{"control byte in a field name", okLine, "X-\x01Note: x\r\n" + sized},
		{"CR in a field name", okLine, "X-\rNote: x\r\n" + sized},
		{"NUL in a field name", okLine, "X-\x00Note: x\r\n" + sized},
		{"DEL in a field name", okLine, "X-\x7fNote: x\r\n" + sized},
		{"no field name", okLine, ": x\r\n" + sized},
		{"line without a colon", okLine, "X-Note\r\n" + sized},
		{"control byte in a field value", okLine, "X-Note: a\x01b\r\n" + sized},
		{"NUL in a field value", okLine, "X-Note: a\x00b\r\n" + sized},
		{"CR in a field value", okLine, "X-Note: a\rContent-Length: 2\r\n" + sized},
		{"malformed interim response", "HTTP/1.1 103 Early Hints\r\nX-Note : x\r\n\r\n" + okLine, sized},
		{"two lengths", okLine, "Content-Length: 2\r\n" + sized},
		{"negative length", okLine, "Content-Length: -4\r\n\r\n" + Body},
		{"unknown encoding", okLine, "Transfer-Encoding: rot13\r\n\r\n" + Body},
	}
}

// Whole returns the whole response whose broken forms Responses returns.
func Whole() Response { return Response{"whole", okLine, sized} }
