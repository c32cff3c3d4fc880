package hop

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultIdle is for how long a connection is kept whose server doesn't say
	// when it closes it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the server's timeout a connection is no
	// longer used, so that the close doesn't cross a request.
	idleMargin = 500 * time.Millisecond
	// After a server gave up a connection that had rested, connections are used
	// only if they rested for less than restShare of that time, for restMemory.
	// Such servers drop what rests for some hundred milliseconds, for seconds.
	restShare  = 0.75
	restMemory = 10 * time.Second
)

// ErrNoConnection means that the server's share of connections is used up.
var ErrNoConnection = errors.New("the limit of connections to the server is reached")

// Pool keeps connections to servers. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	hosts map[hostKey]*host
	now   func() time.Time
	// restLimit bounds the rest of a connection that is used again, until
	// restUntil.
	restLimit time.Duration
	restUntil time.Time
}

// hostKey names a server's run and its address.
type hostKey struct{ owner, addr string }

type host struct {
	open int
	idle []*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{hosts: map[hostKey]*host{}, now: time.Now} }

// Get returns a connection to a server at an address. Owner names the run of the
// server, so that a connection isn't used for another one at the same address.
// Limit bounds the open connections; 0 is no bound.
func (p *Pool) Get(ctx context.Context, owner, addr string, limit int) (*Conn, error) {
	key := hostKey{owner: owner, addr: addr}
	if c := p.takeIdle(key); c != nil {
		return c, nil
	}
	return p.open(ctx, key, limit)
}

// Open connects to a server and keeps the connection for a request to come.
func (p *Pool) Open(ctx context.Context, owner, addr string, limit int) error {
	c, err := p.open(ctx, hostKey{owner: owner, addr: addr}, limit)
	if err != nil {
		return err
	}
	p.keep(c, defaultIdle)
	return nil
}

func (p *Pool) open(ctx context.Context, key hostKey, limit int) (*Conn, error) {
	if !p.reserve(key, limit) {
		return nil, errors.WithStack(ErrNoConnection)
	}
	conn, err := dial(ctx, key.addr)
	if err != nil {
		p.unreserve(key)
		return nil, errors.Wrapf(ErrNotWritten, "connect to %s: %v", key.addr, err)
	}
	return newConn(conn, key), nil
}

func (p *Pool) takeIdle(key hostKey) *Conn {
	for {
		c := p.popIdle(key)
		if c == nil {
			return nil
		}
		now := p.now()
		c.rested = now.Sub(c.restedFrom)
		if p.mayRest(c.rested, now) && c.sound(now) {
			c.Reused = true
			return c
		}
		p.Discard(c)
	}
}

// mayRest reports whether a connection may be used that has rested for d.
func (p *Pool) mayRest(d time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.After(p.restUntil) || d < p.restLimit
}

// noteDropped learns from a connection that a server gave up unnoticed. All
// servers are taken to do alike: each that has to be learnt apart costs a request.
func (p *Pool) noteDropped(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	limit := time.Duration(restShare * float64(c.rested))
	if now.After(p.restUntil) || limit < p.restLimit {
		p.restLimit = limit
	}
	p.restUntil = now.Add(restMemory)
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
	if c.dropped {
		p.noteDropped(c)
	}
	_ = c.Close()
	p.unreserve(c.hostKey)
}

// Release takes a connection back after an answer was read whole. It is closed
// if it can't be used again.
func (p *Pool) Release(c *Conn, resp *http.Response) {
	if !c.finished(resp) {
		p.Discard(c)
		return
	}
	idle, stated := idleTimeout(resp.Header)
	if !stated {
		idle = defaultIdle
	}
	p.keep(c, idle)
}

// keep takes an idle connection that its server keeps open for a time.
func (p *Pool) keep(c *Conn, idle time.Duration) {
	now := p.now()
	c.idleUntil, c.restedFrom = now.Add(idle-idleMargin), now
	p.mu.Lock()
	h := p.hosts[c.hostKey]
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// CloseIdle closes the idle connections that can't be used any more, and all of
// those whose owner keep doesn't name.
func (p *Pool) CloseIdle(keep func(owner string) bool) {
	now := p.now()
	var old []*Conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.After(c.idleUntil) || !keep(c.owner) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.Discard(c)
	}
}
