package tunnel

import (
	"encoding/binary"
	"io"
	"net"
)

const (
	// framingHeader names the framing that the requesting VM understands and, in the response, the
	// one that the other VM uses. Earlier builds ignore it.
	framingHeader = "Tunnel-Framing"
	// framing is a length of two bytes before each piece of the server's bytes. A length of 0 is the
	// end of the server's connection. Without it, the end of a VM that passes the bytes on would look
	// like the end of a response that ends with its connection.
	framing         = "length"
	frameHeadBytes  = 2
	maxFramePayload = 32 << 10
)

// copyFramed copies the bytes of a server in frames until its connection ends.
func copyFramed(client io.Writer, server io.Reader) error {
	buf := make([]byte, frameHeadBytes+maxFramePayload)
	for {
		n, err := server.Read(buf[frameHeadBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, werr := client.Write(buf[:frameHeadBytes+n]); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF:
			_, werr := client.Write(make([]byte, frameHeadBytes))
			return werr
		case err != nil:
			return err
		}
	}
}

// framedConn reads the server's bytes from frames.
type framedConn struct {
	net.Conn
	// remaining is the number of bytes left of the present frame.
	remaining int
	// head holds the bytes read so far of the next frame's length.
	head  []byte
	ended bool
	// withdrawn is set once the other VM wants no further request on the tunnel.
	withdrawn bool
}

func newFramedConn(c net.Conn) *framedConn { return &framedConn{Conn: c} }

// NetConn returns the connection to the other VM.
func (c *framedConn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader. It returns io.EOF only if the server's connection has ended.
func (c *framedConn) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHead(); err != nil {
			return 0, unexpectedEOF(err)
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, unexpectedEOF(err)
}

// readHead reads the rest of a frame's length. It may be called again after a deadline.
func (c *framedConn) readHead() error {
	for len(c.head) < frameHeadBytes {
		b := make([]byte, frameHeadBytes-len(c.head))
		n, err := c.Conn.Read(b)
		c.head = append(c.head, b[:n]...)
		if err != nil && len(c.head) < frameHeadBytes {
			return err
		}
	}
	length := int(binary.BigEndian.Uint16(c.head))
	c.head = nil
	if length == noticeMark {
		c.withdrawn = true
		return nil
	}
	c.remaining, c.ended = length, length == 0
	return nil
}

// unframedConn is a tunnel through a VM of an earlier build. Its end may be that of the VM.
type unframedConn struct{ net.Conn }

// NetConn returns the connection to the other VM.
func (c unframedConn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader.
func (c unframedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, unexpectedEOF(err)
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
