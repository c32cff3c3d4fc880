// Package peek looks at what a TCP connection has received without reading it.
package peek

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a read of a connection would return at once.
type State uint8

const (
	// Unknown means that the connection can't be looked at.
	Unknown State = iota
	// Quiet means that a read would wait.
	Quiet
	// Data means that a read would return bytes.
	Data
	// Ended means that the other side has closed or reset the connection.
	Ended
)

// Conn returns the state of a connection. It doesn't wait for a read in progress.
func Conn(c net.Conn) State {
	state, _ := Bytes(c, make([]byte, 1))
	return state
}

// Unwrap returns the innermost connection: TLS connections, tunnels and those with limits are wrapped.
func Unwrap(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}

// rawConn returns the socket of a connection; nil if it isn't known.
func rawConn(c net.Conn) syscall.RawConn {
	s, ok := Unwrap(c).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Left reports whether the other side has closed or reset a connection, also if bytes that it sent before
// haven't been read.
func Left(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	left := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(fds, 0); err == nil {
			left = fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return left || err != nil // The connection is closed.
}

// Bytes returns the state of a connection, and how many of the bytes that a read would return first it
// has copied to b. It doesn't wait for a read in progress.
func Bytes(c net.Conn, b []byte) (State, int) {
	raw := rawConn(c)
	if raw == nil {
		return Unknown, 0
	}
	state, copied := Unknown, 0
	err := raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EWOULDBLOCK:
			state = Quiet
		case err == unix.EINTR:
		case err == nil && n > 0:
			state, copied = Data, n
		default:
			state = Ended
		}
	})
	if err != nil {
		return Ended, 0 // The connection is closed.
	}
	return state, copied
}

type connKey struct{}

// ConnContext keeps a caller's connection in the context of its requests. It is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request; nil if it isn't known.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// CallerGone reports whether the caller of a request has closed its connection. The context of the
// request may end later, as its server has to be scheduled to notice.
func CallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := ConnOf(ctx)
	if c == nil {
		return false
	}
	state := Conn(c)
	return state == Ended || state == Data && Left(c)
}
