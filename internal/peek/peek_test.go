package peek

import (
	"context"
	"net"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/standin/loopback"
)

// pair returns both sides of a TCP connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
	l := loopback.Listen(t)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

func wantState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for range 200 {
		if Conn(c) == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("state %d, want %d", Conn(c), want)
}

func TestStatesOfConnection(t *testing.T) {
	client, server := pair(t)
	wantState(t, server, Quiet)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	wantState(t, server, Data)
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	wantState(t, server, Quiet)
	client.Close()
	wantState(t, server, Ended)
	wantState(t, client, Ended)
	other, ended := pair(t)
	_ = other.SetLinger(0)
	other.Close()
	wantState(t, ended, Ended)
	in, _ := net.Pipe()
	wantState(t, in, Unknown)
}

// A read in progress must not hold up the look at the connection.
func TestCallerLeavesWhileConnectionIsRead(t *testing.T) {
	client, server := pair(t)
	ctx := ConnContext(context.Background(), server)
	go func() { _, _ = server.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond)
	if CallerGone(ctx) || CallerGone(context.Background()) {
		t.Error("a caller that waits counts as gone")
	}
	client.Close()
	for range 200 {
		if CallerGone(ctx) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("a caller that left doesn't count as gone")
}

func TestLeftBehindUnreadBytes(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { _ = c.Close() },
		"ends":   func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			client, server := pair(t)
			if _, err := client.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			wantState(t, server, Data)
			ctx := ConnContext(context.Background(), server)
			if Left(server) || CallerGone(ctx) {
				t.Error("left before it did")
			}
			leave(client)
			for range 200 {
				if CallerGone(ctx) {
					return
				}
				time.Sleep(time.Millisecond)
			}
			t.Error("not noticed")
		})
	}
}
