// Package tunnel connects a VM to backend servers through other VMs while its own paths to
// the servers are cut.
//
// A VM that reaches no server asks another VM to open a connection and to pass the bytes on.
// The requests on that connection remain this VM's own: it chooses the server, counts the
// request and judges the response as on a direct connection. A tunnel is requested from the VM's
// port for its peers with an HTTP upgrade; the other VM connects directly, never through a third one,
// and only to servers that it knows.
//
// A server sees the VM that opened the connection, and asks that VM to send it nothing for a time or
// says to it that it leaves. The requesting VM, which reads the response, tells the other VM so; and a
// VM that may send a server nothing withdraws its tunnels to it.
package tunnel

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/httphead"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/serverconn"
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
	// withdrawInterval is the interval of the checks whether tunnels must be withdrawn. Servers bear
	// requests for half a second after they have asked for none.
	withdrawInterval = 100 * time.Millisecond
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
	accepted, err := handshake(ctx, conn, target)
	switch {
	case err != nil:
		_ = conn.Close()
		return nil, errors.Wrapf(err, "tunnel through VM %s", peer)
	case accepted.Get(framingHeader) != framing:
		return unframedConn{conn}, nil
	case accepted.Get(noticesHeader) != notices:
		return newFramedConn(conn), nil
	}
	return &noticeConn{framedConn: newFramedConn(conn)}, nil
}

// handshake requests a tunnel and returns the header of the response, which names what the other VM
// understands.
func handshake(ctx context.Context, conn net.Conn, target Target) (http.Header, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	query := url.Values{"server": {target.ID}, "started": {strconv.FormatInt(target.Started, 10)}}
	if _, err := fmt.Fprintf(conn, "GET %s?%s HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n%s: %s\r\n\r\n",
		Endpoint, query.Encode(), protocol, framingHeader, framing, noticesHeader, notices); err != nil {
		return nil, err
	}
	in := httphead.NewReader(io.LimitReader(conn, maxHeadBytes), maxHeadBytes)
	resp, err := in.ReadResponse(nil, true)
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusNotFound:
		return nil, errors.WithStack(ErrNoServer)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(withheldHeader) != "":
		return nil, withheldError(resp.Header)
	case resp.StatusCode != http.StatusSwitchingProtocols || in.Buffered() > 0:
		return nil, errors.Errorf("status %d and %d bytes in response to a request for a tunnel", resp.StatusCode, in.Buffered())
	case !stop():
		return nil, ctx.Err()
	}
	return resp.Header, nil
}

func withheldError(header http.Header) error {
	ms, err := strconv.ParseUint(header.Get(withheldHeader), 10, 32)
	if err != nil {
		return errors.Wrapf(err, "header %s", withheldHeader)
	}
	return &hop.WithheldError{Left: time.Duration(ms) * time.Millisecond}
}

// HandlerOptions are the dependencies of a Handler.
type HandlerOptions struct {
	Log *zap.Logger
	// Connect opens a connection to a server that this VM knows.
	Connect func(ctx context.Context, target Target) (net.Conn, error)
	// Withheld returns an error if this VM may send a server no requests: a *hop.WithheldError if
	// others may.
	Withheld func(target Target) error
	// Asked is called with what a server asks of this VM in a response to another VM.
	Asked func(target Target, asked hop.Asked)
}

// Handler serves requests for tunnels.
type Handler struct {
	opts HandlerOptions
	// opened signals that a tunnel was opened.
	opened chan struct{}

	mu       sync.Mutex
	closed   bool
	open     map[net.Conn]bool
	passages map[*passage]bool
}

// NewHandler returns a handler without open tunnels.
func NewHandler(opts HandlerOptions) *Handler {
	return &Handler{opts: opts, opened: make(chan struct{}, 1), open: map[net.Conn]bool{}, passages: map[*passage]bool{}}
}

// Run withdraws tunnels to servers that this VM may send no requests, until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.withdraw() == 0 {
			select {
			case <-ctx.Done():
			case <-h.opened:
			}
		}
		clock.Sleep(ctx, withdrawInterval)
	}
}

// withdraw withdraws tunnels to servers that this VM may send no requests. It returns the number of
// tunnels that may have to be withdrawn later.
func (h *Handler) withdraw() (remaining int) {
	h.mu.Lock()
	passages := slices.Collect(maps.Keys(h.passages))
	h.mu.Unlock()
	withheld := map[Target]error{}
	for _, p := range passages {
		err, known := withheld[p.target]
		if !known {
			err = h.opts.Withheld(p.target)
			withheld[p.target] = err
		}
		switch {
		case p.withdrawn.Load():
		case err == nil:
			remaining++
		default:
			h.opts.Log.Info("tunnel_withdrawn", zap.String("server", p.target.ID), zap.Int64("server_started", p.target.Started),
				zap.Stringer("peer", p.client.RemoteAddr()), logging.Error(err))
			p.withdraw()
		}
	}
	return remaining
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started, err := strconv.ParseInt(r.URL.Query().Get("started"), 10, 64)
	if err != nil || r.Header.Get("Upgrade") != protocol {
		http.Error(w, "a tunnel takes a server, its start time and the upgrade to "+protocol, http.StatusBadRequest)
		return
	}
	target := Target{ID: r.URL.Query().Get("server"), Started: started}
	conn, err := h.connect(r.Context(), target)
	if err != nil {
		h.opts.Log.Info("tunnel_refused", zap.String("server", target.ID), zap.String("peer", r.RemoteAddr), logging.Error(err))
		if withheld := (*hop.WithheldError)(nil); errors.As(err, &withheld) {
			w.Header().Set(withheldHeader, strconv.FormatInt(withheld.Left.Milliseconds(), 10))
			http.Error(w, "this VM may send the server no requests now", http.StatusServiceUnavailable)
			return
		}
		http.Error(w, "the server accepts no connection", http.StatusBadGateway)
		return
	}
	server := serverconn.New(conn) // A reset that a write takes must end the tunnel like one that a read takes.
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		h.opts.Log.Warn("tunnel_not_opened", logging.Error(err))
		return
	}
	framed := r.Header.Get(framingHeader) == framing
	p := &passage{
		target: target, client: client, server: server, fromClient: buffered.Reader,
		framed: framed, notices: framed && r.Header.Get(noticesHeader) == notices,
	}
	if !h.track(p) {
		return
	}
	defer h.forget(p)
	if err := hop.LimitSilence(client); err != nil {
		h.opts.Log.Info("tunnel_not_limited", logging.Error(err))
	}
	extra := ""
	if p.framed {
		extra = framingHeader + ": " + framing + "\r\n"
	}
	if p.notices {
		extra += noticesHeader + ": " + notices + "\r\n"
	}
	if _, err := fmt.Fprintf(client, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s\r\n", protocol, extra); err != nil {
		return
	}
	h.admit(p)
	p.pass(func(asked hop.Asked) {
		h.opts.Log.Info("server_asked_through_tunnel", zap.String("server", target.ID), zap.Int64("server_started", target.Started),
			zap.String("peer", r.RemoteAddr), zap.Duration("backoff", asked.Backoff), zap.Bool("leaves", asked.Leaves))
		h.opts.Asked(target, asked)
		h.withdraw()
	})
}

// connect opens a connection to a server for another VM. It returns a *hop.WithheldError only if the
// server accepts connections: the other VM takes it for proof of that.
func (h *Handler) connect(ctx context.Context, target Target) (net.Conn, error) {
	withheld := h.opts.Withheld(target)
	if withheld != nil && !errors.As(withheld, new(*hop.WithheldError)) {
		return nil, withheld
	}
	server, err := h.opts.Connect(ctx, target)
	if err != nil || withheld == nil {
		return server, err
	}
	_ = server.Close()
	return nil, withheld
}

// pass passes bytes on in both directions until either side closes its connection, and closes
// the other one then: the end of a response and a caller that leaves must be noticed at once.
func (p *passage) pass(noticed func(hop.Asked)) {
	done := make(chan struct{})
	defer close(done)
	go p.dropWhenLeft(done)
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		_ = p.copyToServer(noticed) // An error ends the tunnel like the end of the stream.
		_ = p.server.Close()
	}()
	go func() {
		defer directions.Done()
		err := p.copyToClient()
		_ = p.server.Close()
		if p.notices && (err == nil || p.clientGone.Load()) {
			p.endAfterNotices()
			return
		}
		if err != nil {
			clientconn.Reset(p.client) // As the connection to the server ended.
		}
		_ = p.client.Close()
	}()
	directions.Wait()
}

// track records a tunnel's connections, or closes them if there are too many.
func (h *Handler) track(p *passage) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	full := h.closed || len(h.open) >= 2*maxTunnels
	for _, c := range []net.Conn{p.client, p.server} {
		if full {
			_ = c.Close()
			continue
		}
		h.open[c] = true
	}
	return !full
}

// admit records that a tunnel is open, so that it may be withdrawn. VMs of earlier builds don't
// understand that.
func (h *Handler) admit(p *passage) {
	if !p.notices {
		return
	}
	h.mu.Lock()
	h.passages[p] = true
	h.mu.Unlock()
	select {
	case h.opened <- struct{}{}:
	default:
	}
}

func (h *Handler) forget(p *passage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range []net.Conn{p.client, p.server} {
		_ = c.Close()
		delete(h.open, c)
	}
	delete(h.passages, p)
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
