package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/peek"
)

const (
	// noticesHeader names the version of the notices that the requesting VM understands and, in the
	// response, the one that is in use. Then the bytes to the server are framed too. Earlier builds
	// ignore it.
	noticesHeader = "Tunnel-Notices"
	notices       = "1"
	// noticeMark stands in place of a frame's length. To the requesting VM, it means that the tunnel is
	// withdrawn; to the other VM, that a notice of noticeBytes follows: whether the server leaves, and
	// its back-off in milliseconds.
	noticeMark  = 0xffff
	noticeBytes = 5
	// withheldHeader is the time in milliseconds until a server takes requests of the VM that refuses a
	// tunnel to it; 0 if it doesn't know.
	withheldHeader = "Tunnel-Withheld-Ms"
	// noticeWait is how long a notice may take after the server's connection has ended.
	noticeWait = time.Second
)

var withdrawal = binary.BigEndian.AppendUint16(nil, noticeMark)

// encodeNotice returns the bytes that tell what a server asks.
func encodeNotice(asked hop.Asked) []byte {
	b := binary.BigEndian.AppendUint16(nil, noticeMark)
	leaves := byte(0)
	if asked.Leaves {
		leaves = 1
	}
	ms := (asked.Backoff + time.Millisecond - 1) / time.Millisecond
	return binary.BigEndian.AppendUint32(append(b, leaves), uint32(min(ms, 1<<32-1)))
}

func decodeNotice(b []byte) hop.Asked {
	return hop.Asked{Leaves: b[0] != 0, Backoff: time.Duration(binary.BigEndian.Uint32(b[1:])) * time.Millisecond}
}

// copyUnframed copies the bytes for a server out of their frames until the tunnel ends, and reports the
// notices among them.
func copyUnframed(server io.Writer, client *bufio.Reader, noticed func(hop.Asked)) error {
	head := make([]byte, frameHeadBytes)
	for {
		if _, err := io.ReadFull(client, head); err != nil {
			return err
		}
		length := int(binary.BigEndian.Uint16(head))
		if length == noticeMark {
			b := make([]byte, noticeBytes)
			if _, err := io.ReadFull(client, b); err != nil {
				return err
			}
			noticed(decodeNotice(b))
			continue
		}
		if length > maxFramePayload {
			return errors.Errorf("a frame of %d bytes", length)
		}
		if _, err := io.CopyN(server, client, int64(length)); err != nil {
			return err
		}
	}
}

// noticeConn is a tunnel through a VM that exchanges notices.
type noticeConn struct {
	*framedConn
	writing sync.Mutex
}

// Write implements io.Writer.
func (c *noticeConn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	for n < len(p) && err == nil {
		piece := p[n:min(len(p), n+maxFramePayload)]
		frame := binary.BigEndian.AppendUint16(make([]byte, 0, frameHeadBytes+len(piece)), uint16(len(piece)))
		var written int
		written, err = c.Conn.Write(append(frame, piece...))
		n += max(0, written-frameHeadBytes)
	}
	return n, err
}

// Tell tells the VM that passes the bytes on what the server asks of it.
func (c *noticeConn) Tell(asked hop.Asked) {
	tell := func() {
		defer c.writing.Unlock()
		_, _ = c.Conn.Write(encodeNotice(asked)) // The VM learns it from its next request, at the latest.
	}
	if c.writing.TryLock() {
		tell()
		return
	}
	go func() { // The server has responded before it has read the request.
		c.writing.Lock()
		tell()
	}()
}

// Withdrawn reports whether the VM that passes the bytes on wants no further request on the tunnel.
func (c *noticeConn) Withdrawn() bool {
	if c.withdrawn || c.remaining > 0 || len(c.head) > 0 {
		return c.withdrawn
	}
	next := make([]byte, frameHeadBytes)
	_, n := peek.Bytes(c.Conn, next)
	return n == frameHeadBytes && binary.BigEndian.Uint16(next) == noticeMark
}

// passage is a tunnel that this VM passes on.
type passage struct {
	target         Target
	client, server net.Conn
	fromClient     *bufio.Reader
	// framed and notices are set if the other VM understands them.
	framed, notices bool
	// writing guards writes to client.
	writing   sync.Mutex
	withdrawn atomic.Bool
	// clientGone is set if client takes no more bytes.
	clientGone atomic.Bool
	// sending is set while bytes are written to the server.
	sending atomic.Bool
}

// leaveInterval is the time between two looks at whether the other VM has closed a tunnel while the
// server takes no bytes.
const leaveInterval = 200 * time.Millisecond

// dropWhenLeft resets the connection to the server if the other VM closes the tunnel while bytes for the
// server wait: what is left of the request must not reach it later.
func (p *passage) dropWhenLeft(done <-chan struct{}) {
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if p.sending.Load() && peek.Left(p.client) {
			clientconn.Reset(p.server)
			return
		}
	}
}

// Write writes bytes to the other VM.
func (p *passage) Write(b []byte) (int, error) {
	p.writing.Lock()
	defer p.writing.Unlock()
	n, err := p.client.Write(b)
	if err != nil {
		p.clientGone.Store(true)
	}
	return n, err
}

// endAfterNotices ends the tunnel to the other VM, which may have a notice under way: with the end of
// its connection to the server, or after it has left a response unread.
func (p *passage) endAfterNotices() {
	if half, ok := p.client.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = p.client.SetReadDeadline(time.Now().Add(noticeWait))
}

// toServer writes a request's bytes to the server. Those that it doesn't take any more are dropped, as
// a notice may follow.
type toServer struct{ *passage }

// Write implements io.Writer.
func (s toServer) Write(b []byte) (int, error) {
	if _, err := s.send(b); err != nil {
		_ = s.server.Close()
	}
	return len(b), nil
}

// send writes bytes to the server.
func (p *passage) send(b []byte) (int, error) {
	p.sending.Store(true)
	defer p.sending.Store(false)
	return p.server.Write(b)
}

// writerFunc is an io.Writer.
type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// withdraw asks the other VM once to send no further request on the tunnel. A response under way goes
// on.
func (p *passage) withdraw() {
	if !p.withdrawn.Swap(true) {
		go func() { _, _ = p.Write(withdrawal) }() // An error ends the tunnel.
	}
}

// copyToServer copies the other VM's bytes until the tunnel ends, and reports its notices.
func (p *passage) copyToServer(noticed func(hop.Asked)) error {
	if p.notices {
		return copyUnframed(toServer{p}, p.fromClient, noticed)
	}
	_, err := io.Copy(writerFunc(p.send), p.fromClient)
	return err
}

func (p *passage) copyToClient() error {
	if p.framed {
		return copyFramed(p, p.server)
	}
	_, err := io.Copy(p.client, p.server)
	return err
}
