// Package tunnel connects a VM to backend servers through other VMs while its own paths to
// the servers are cut.
//
// A VM that reaches no server asks another VM to open a connection and to pass the bytes on.
// The requests on that connection remain this VM's own: it chooses the server, counts the
// request and judges the response as on a direct connection. A tunnel is requested from the VM's
// port for its peers with an HTTP upgrade; the other VM connects directly, never through a third one,
// and only to servers that it knows.
package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/logging"
)

const (
	// Endpoint is the URL path of requests for a tunnel.
	Endpoint = "/tunnel"
	// protocol is the name of the protocol in the Upgrade header.
	protocol = "papayaspan-tunnel"
	// openTimeout bounds the opening of a tunnel, including the other VM's connection.
	openTimeout = 500 * time.Millisecond
	// maxTunnels bounds the open tunnels of a VM, each of which takes two descriptors.
	maxTunnels = 1000
	// maxHeadBytes bounds the head of the response to a request for a tunnel.
	maxHeadBytes = 4 << 10
)

// ErrNoServer means that the other VM can't connect to the server either.
var ErrNoServer = errors.New("the other VM reaches no such server")

// Target is a run of a server.
type Target struct {
	ID      string
	Started int64
}

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Open opens a connection to a server through the VM whose address for peers is given.
func Open(ctx context.Context, dial DialFunc, peer string, target Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := dial(ctx, peer)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to VM %s", peer)
	}
	framed, err := handshake(ctx, conn, target)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "tunnel through VM %s", peer)
	}
	if framed {
		return newFramedConn(conn), nil
	}
	return unframedConn{conn}, nil
}

// handshake requests a tunnel and reports whether the other VM frames the server's bytes.
func handshake(ctx context.Context, conn net.Conn, target Target) (framed bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	query := url.Values{"server": {target.ID}, "started": {strconv.FormatInt(target.Started, 10)}}
	if _, err := fmt.Fprintf(conn, "GET %s?%s HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n\r\n",
		Endpoint, query.Encode(), protocol, framingHeader, framing); err != nil {
		return false, err
	}
	in := bufio.NewReader(io.LimitReader(conn, maxHeadBytes))
	resp, err := http.ReadResponse(in, nil)
	switch {
	case err != nil:
		return false, err
	case resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusNotFound:
		return false, errors.WithStack(ErrNoServer)
	case resp.StatusCode != http.StatusSwitchingProtocols || in.Buffered() > 0:
		return false, errors.Errorf("status %d and %d bytes in response to a request for a tunnel", resp.StatusCode, in.Buffered())
	case !stop():
		return false, ctx.Err()
	}
	return resp.Header.Get(framingHeader) == framing, nil
}

// Handler serves requests for tunnels.
type Handler struct {
	log *zap.Logger
	// connect opens a connection to a server that this VM knows.
	connect func(ctx context.Context, target Target) (net.Conn, error)

	mu     sync.Mutex
	closed bool
	open   map[net.Conn]bool
}

// NewHandler returns a handler without open tunnels.
func NewHandler(log *zap.Logger, connect func(ctx context.Context, target Target) (net.Conn, error)) *Handler {
	return &Handler{log: log, connect: connect, open: map[net.Conn]bool{}}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started, err := strconv.ParseInt(r.URL.Query().Get("started"), 10, 64)
	if err != nil || r.Header.Get("Upgrade") != protocol {
		http.Error(w, "a tunnel takes a server, its start time and the upgrade to "+protocol, http.StatusBadRequest)
		return
	}
	target := Target{ID: r.URL.Query().Get("server"), Started: started}
	server, err := h.connect(r.Context(), target)
	if err != nil {
		h.log.Info("tunnel_refused", zap.String("server", target.ID), zap.String("peer", r.RemoteAddr), logging.Error(err))
		http.Error(w, "the server accepts no connection", http.StatusBadGateway)
		return
	}
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		h.log.Warn("tunnel_not_opened", logging.Error(err))
		return
	}
	if !h.track(client, server) {
		return
	}
	defer h.forget(client, server)
	if err := hop.LimitSilence(client); err != nil {
		h.log.Info("tunnel_not_limited", logging.Error(err))
	}
	framed, extra := r.Header.Get(framingHeader) == framing, ""
	if framed {
		extra = framingHeader + ": " + framing + "\r\n"
	}
	if _, err := fmt.Fprintf(client, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s\r\n", protocol, extra); err != nil {
		return
	}
	pass(client, buffered.Reader, server, framed)
}

// pass passes bytes on in both directions until either side closes its connection, and closes
// the other one then: the end of a response and a caller that leaves must be noticed at once.
func pass(client net.Conn, fromClient io.Reader, server net.Conn, framed bool) {
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		_, _ = io.Copy(server, fromClient) // An error ends the tunnel like the end of the stream.
		_ = server.Close()
	}()
	go func() {
		defer directions.Done()
		var err error
		if framed {
			err = copyFramed(client, server)
		} else {
			_, err = io.Copy(client, server)
		}
		if err != nil {
			reset(client)
		}
		_ = client.Close()
	}()
	directions.Wait()
}

// reset makes the connection end with a reset, as that to the server did.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (h *Handler) track(conns ...net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(h.open) >= 2*maxTunnels {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	for _, c := range conns {
		h.open[c] = true
	}
	return true
}

func (h *Handler) forget(conns ...net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(h.open, c)
	}
}

// Close ends all tunnels.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for c := range h.open {
		_ = c.Close()
	}
}
