package hop

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/linkmeter"
)

const (
	// defaultIdleTimeout is the idle timeout of connections to servers that don't
	// state one.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleMargin and idleMarginShare, a share of the server's idle timeout, bound the time before
	// that timeout from which a connection is no longer reused, so that a request doesn't cross with
	// the server's close. Half a second of a timeout of one second left most connections unused.
	maxIdleMargin   = 500 * time.Millisecond
	idleMarginShare = 0.15
	// After a server dropped an idle connection, only connections that have been idle
	// for less than idleShare of that connection's idle time are reused, for
	// idleLimitTTL. In such a disruption, which lasts for seconds, servers drop
	// connections that have been idle for some hundred milliseconds.
	idleShare    = 0.75
	idleLimitTTL = 10 * time.Second
	// dropCheckTimeout bounds the check whether a server that seems to have dropped an idle
	// connection still accepts others. A server that crashed resets its connections too, and is
	// back later than that.
	dropCheckTimeout = 300 * time.Millisecond
)

// ErrConnectionLimit means that the limit of open connections to the server is reached.
var ErrConnectionLimit = errors.New("limit of connections to the server reached")

// Pool is a pool of connections to servers. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	hosts map[hostKey]*host
	now   func() time.Time
	// dial opens a connection to the server owner at addr.
	dial func(ctx context.Context, owner, addr string) (net.Conn, error)
	// idleLimit bounds the idle time of a reused connection until idleLimitUntil.
	idleLimit      time.Duration
	idleLimitUntil time.Time
	// lost holds the servers that closed an idle connection before its idle timeout.
	lost map[hostKey]bool
	// checking holds the servers that checkDrop is connecting to.
	checking map[hostKey]bool
	traffic  *linkmeter.Meter
}

// hostKey identifies a server run and its address.
type hostKey struct{ owner, addr string }

// host holds the number of open connections and the idle connections of a server run.
type host struct {
	open int
	idle []*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return NewPoolWithDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return Dial(ctx, addr) })
}

// NewPoolWithDial returns an empty pool whose connections to the server owner at addr are opened
// by dial.
func NewPoolWithDial(dial func(ctx context.Context, owner, addr string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, hosts: map[hostKey]*host{}, lost: map[hostKey]bool{}, checking: map[hostKey]bool{}, now: time.Now}
}

// CountTraffic makes a meter count the bytes of the connections. It must be called before these are opened.
func (p *Pool) CountTraffic(m *linkmeter.Meter) { p.traffic = m }

// Get returns an idle or a new connection to the server at addr. owner identifies the
// run of the server, so that a connection isn't reused for another run at the same
// address. limit bounds the open connections; 0 means no bound.
func (p *Pool) Get(ctx context.Context, owner, addr string, limit int) (*Conn, error) {
	key := hostKey{owner: owner, addr: addr}
	if c := p.takeIdle(key); c != nil {
		return c, nil
	}
	return p.open(ctx, key, limit)
}

// Open connects to a server and adds the connection to the idle ones.
func (p *Pool) Open(ctx context.Context, owner, addr string, limit int) error {
	c, err := p.open(ctx, hostKey{owner: owner, addr: addr}, limit)
	if err != nil {
		return err
	}
	p.keep(c, defaultIdleTimeout)
	return nil
}

// Check reports whether a server accepts a connection besides those that count.
func (p *Pool) Check(ctx context.Context, owner, addr string) error {
	conn, err := p.dial(ctx, owner, addr)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}

func (p *Pool) open(ctx context.Context, key hostKey, limit int) (*Conn, error) {
	if !p.reserve(key, limit) {
		return nil, errors.WithStack(ErrConnectionLimit)
	}
	conn, err := p.dial(ctx, key.owner, key.addr)
	if withheld := (*WithheldError)(nil); errors.As(err, &withheld) {
		p.unreserve(key)
		return nil, err
	}
	if err != nil {
		p.unreserve(key)
		return nil, errors.Wrapf(ErrNotWritten, "connect to %s: %v", key.addr, err)
	}
	return newConn(conn, key, p.traffic), nil
}

func (p *Pool) takeIdle(key hostKey) *Conn {
	for {
		c := p.popIdle(key)
		if c == nil {
			return nil
		}
		if c.Withdrawn() {
			p.Discard(c)
			continue
		}
		now := p.now()
		c.idleFor = now.Sub(c.idleSince)
		if p.mayReuse(c.idleFor, now) && c.usable(now) {
			c.Reused = true
			return c
		}
		if now.Before(c.idleUntil) {
			p.setLost(key, true)
		}
		p.Discard(c)
	}
}

// Lost reports whether a server has closed an idle connection before its idle timeout since the
// last call of Found: its process may have ended.
func (p *Pool) Lost(owner, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[hostKey{owner: owner, addr: addr}]
}

// Found records that a server's process goes on.
func (p *Pool) Found(owner, addr string) { p.setLost(hostKey{owner: owner, addr: addr}, false) }

func (p *Pool) setLost(key hostKey, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.lost[key] = true
	} else {
		delete(p.lost, key)
	}
}

// mayReuse reports whether a connection that has been idle for d may be reused.
func (p *Pool) mayReuse(d time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.After(p.idleLimitUntil) || d < p.idleLimit
}

// checkDrop adapts the idle limit if a server has dropped an idle connection and still accepts
// others. A crash must not do that: without idle connections, each request to any server would open a
// new one. The connection that the check opens is kept for the next request.
func (p *Pool) checkDrop(key hostKey, idleFor time.Duration) {
	p.mu.Lock()
	busy := p.checking[key]
	p.checking[key] = true
	p.mu.Unlock()
	if busy {
		return // A crash resets many connections at once.
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.checking, key)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), dropCheckTimeout)
	defer cancel()
	c, err := p.open(ctx, key, 0)
	if err != nil {
		return
	}
	p.recordDrop(idleFor)
	p.keep(c, defaultIdleTimeout)
}

// recordDrop adapts the idle limit after a server dropped an idle connection without
// closing it. The limit applies to all servers, because learning it for each server
// separately would cost one failed request per server.
func (p *Pool) recordDrop(idleFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	limit := time.Duration(idleShare * float64(idleFor))
	if now.After(p.idleLimitUntil) || limit < p.idleLimit {
		p.idleLimit = limit
	}
	p.idleLimitUntil = now.Add(idleLimitTTL)
}

func (p *Pool) popIdle(key hostKey) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

func (p *Pool) reserve(key hostKey, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	if h == nil {
		h = &host{}
		p.hosts[key] = h
	}
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	return true
}

func (p *Pool) unreserve(key hostKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	h.open--
	if h.open == 0 {
		delete(p.hosts, key)
	}
}

// Discard closes a connection.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.unreserve(c.hostKey)
	if c.dropped {
		go p.checkDrop(c.hostKey, c.idleFor)
	}
}

// Release returns a connection to the pool after a response was read completely. It
// closes the connection if it can't be reused.
func (p *Pool) Release(c *Conn, resp *http.Response) {
	if !c.finished(resp) {
		p.Discard(c)
		return
	}
	idle, stated := idleTimeout(resp.Header)
	if !stated {
		idle = defaultIdleTimeout
	}
	p.keep(c, idle)
}

// keep adds a connection to the idle ones. idle is the idle timeout of its server.
func (p *Pool) keep(c *Conn, idle time.Duration) {
	now := p.now()
	margin := min(maxIdleMargin, time.Duration(idleMarginShare*float64(idle)))
	c.idleUntil, c.idleSince = now.Add(idle-margin), now
	p.mu.Lock()
	h := p.hosts[c.hostKey]
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() { p.closeIdle(func(*Conn) bool { return false }) }

// CloseIdle closes the idle connections that have expired, and those for whose owner
// keep returns false.
func (p *Pool) CloseIdle(keep func(owner string) bool) {
	p.mu.Lock()
	maps.DeleteFunc(p.lost, func(key hostKey, _ bool) bool { return !keep(key.owner) })
	p.mu.Unlock()
	now := p.now()
	p.closeIdle(func(c *Conn) bool { return !now.After(c.idleUntil) && keep(c.owner) })
}

func (p *Pool) closeIdle(keep func(*Conn) bool) {
	var expired []*Conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.Discard(c)
	}
}
