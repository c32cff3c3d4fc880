// Package clientconn bounds what the connections of clients may hold: the size of request heads, the
// time they take, the progress of bodies and of reads, memory and descriptors. It wraps the listener
// and the handler of an http.Server, whose own limits can't change while it runs.
package clientconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/linkmeter"
	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/peek"
)

// Limits are the limits in force. Zero fields have the defaults below.
type Limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// Limits without a configuration.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout exceeds the longest time for which callers reuse a connection.
	defaultIdleTimeout = 60 * time.Second
)

const (
	// minProgressBytes must arrive of a body in each progressPeriod. Clients wait at most 10 s for
	// a response, so a slower body of an honest client is of no use to it.
	minProgressBytes = 1 << 10
	progressPeriod   = 10 * time.Second
	// writeTimeout is the time without a byte read by the client after which a response is given up.
	writeTimeout = 30 * time.Second
	// stalledAfter is the time in which less than minProgressBytes arrive after which a request is given up when memory or
	// descriptors are short. It exceeds a retransmission after a lost packet.
	stalledAfter = 1 * time.Second
	// slowAfter is the time after which a body that still arrives is given up when memory is short and
	// no request is without progress. An honest body of 100,000 bytes takes 1 s at 0.8 Mbit/s.
	slowAfter     = 3 * time.Second
	sweepInterval = 250 * time.Millisecond
	lateSweep     = 4 * sweepInterval
	// reclaimInterval bounds the processor time for looking for stalled requests.
	reclaimInterval = 100 * time.Millisecond
	logInterval     = 1 * time.Second
	// headFactor is the memory of a parsed head in multiples of its size: the text, its copy in
	// the fields, and the table of the fields.
	headFactor = 3
)

// Options are the dependencies of a Guard.
type Options struct {
	// Name names the listener in logs and metrics.
	Name    string
	Log     *zap.Logger
	Metrics metrics.Registry
	Budget  *membudget.Budget
	// MaxConns is the number of open connections; 0 means no bound.
	MaxConns int
	// Limits returns the limits in force.
	Limits func() Limits
	// Traffic counts the bytes of the connections as those of a kind; nil for no count.
	Traffic     *linkmeter.Meter
	TrafficKind linkmeter.Kind
}

// Guard watches the connections of all listeners of a process.
type Guard struct {
	opts     Options
	sweeping atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]struct{}

	lastReclaim atomic.Int64
	logMu       sync.Mutex
	logged      time.Time
	unlogged    map[string]int
}

// New returns a guard without connections.
func New(opts Options) *Guard {
	g := &Guard{opts: opts, conns: map[*Conn]struct{}{}, unlogged: map[string]int{}}
	opts.Budget.AddReclaim(g.reclaim)
	Expose(opts.Metrics, opts.Budget, membudget.Head)
	Expose(opts.Metrics, opts.Budget, membudget.Body)
	opts.Metrics.GetOrRegister("client_connections."+opts.Name, metrics.NewFunctionalGauge(func() int64 { return int64(g.open()) }))
	return g
}

// Expose adds the bytes that a budget holds for a kind to the metrics.
func Expose(r metrics.Registry, b *membudget.Budget, k membudget.Kind) {
	r.GetOrRegister("client_bytes_held."+k.String(), metrics.NewFunctionalGauge(func() int64 { return b.Held(k) }))
}

func (g *Guard) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func (g *Guard) limits() Limits {
	l := g.opts.Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// maxServerHeadBytes is the limit of net/http, which is above that of any configuration.
const maxServerHeadBytes = 64 << 20

// Protect makes a server apply the limits. Its connections must come from a Listener of the guard.
func (g *Guard) Protect(s *http.Server) {
	s.MaxHeaderBytes = maxServerHeadBytes
	s.ReadHeaderTimeout, s.IdleTimeout = 0, 0
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ctx = peek.ConnContext(ctx, c)
		if own, ok := c.(*Conn); ok {
			ctx = own.withEnd(ctx)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Conn); ok {
			own.setState(state)
		}
	}
	next := resetAborted(s.Handler)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.enter(serving)
		next.ServeHTTP(w, r)
		c.finish()
	})
}

// connOf returns the connection of a request; nil if it isn't one of a guard.
func connOf(r *http.Request) *Conn {
	c, _ := peek.ConnOf(r.Context()).(*Conn)
	return c
}

// Listener returns a listener whose connections the guard watches.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if own := l.guard.admit(c); own != nil {
			return own, nil
		}
		_ = c.Close()
	}
}

// admit returns a new connection; nil if there are too many and none can be closed for it.
func (g *Guard) admit(c net.Conn) *Conn {
	now := time.Now()
	own := &Conn{Conn: c, guard: g, since: now, progress: now, head: g.opts.Budget.Open(membudget.Head)}
	if _, ok := c.(*tls.Conn); ok { // The time limit includes the handshake.
		own.phase = head
	}
	g.mu.Lock()
	full := g.opts.MaxConns > 0 && len(g.conns) >= g.opts.MaxConns
	g.mu.Unlock()
	if full && !g.evict(now) {
		g.count("connections_short")
		return nil
	}
	g.mu.Lock()
	g.conns[own] = struct{}{}
	g.mu.Unlock()
	if g.sweeping.CompareAndSwap(false, true) {
		go g.sweepWhileOpen()
	}
	return own
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// count counts a refusal or close. It logs at most one line in each logInterval.
func (g *Guard) count(reason string) {
	metrics.GetOrRegisterCounter("client_limits."+g.opts.Name+"."+reason, g.opts.Metrics).Inc(1)
	g.logMu.Lock()
	defer g.logMu.Unlock()
	g.unlogged[reason]++
	if now := time.Now(); now.Sub(g.logged) >= logInterval {
		g.logged = now
		g.opts.Log.Info("client_limits", zap.String("listener", g.opts.Name), zap.Any("closed_or_refused", g.unlogged),
			zap.Int("connections", g.open()), zap.Int("max_connections", g.opts.MaxConns),
			zap.Int64("head_bytes", g.opts.Budget.Held(membudget.Head)),
			zap.Int64("body_bytes", g.opts.Budget.Held(membudget.Body)))
		g.unlogged = map[string]int{}
	}
}
