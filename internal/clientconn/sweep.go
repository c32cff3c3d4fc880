package clientconn

import (
	"crypto/tls"
	"time"

	"papayaspan.dev/papayaspan/internal/peek"
)

// sweepWhileOpen applies the time limits in force until no connection is open. One loop for all
// connections costs less than a timer for each phase of each request, and applies changed limits.
func (g *Guard) sweepWhileOpen() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for last, skipped := time.Now(), false; ; {
		<-ticker.C
		now := time.Now()
		late := now.Sub(last) > lateSweep
		last = now
		// A process that stood still has not read what clients sent meanwhile.
		if skipped = late && !skipped; skipped {
			continue
		}
		conns := g.snapshot()
		if len(conns) == 0 {
			g.sweeping.Store(false)
			if g.open() == 0 || !g.sweeping.CompareAndSwap(false, true) {
				return
			}
		}
		limits := g.limits()
		for _, c := range conns {
			c.applyTimeLimits(now, limits)
		}
	}
}

func (g *Guard) snapshot() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	return conns
}

// applyTimeLimits closes the connection or gives its body up if it is beyond a time limit.
func (c *Conn) applyTimeLimits(now time.Time, limits Limits) {
	defer c.closeIfDue()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == idle && now.Sub(c.since) >= limits.IdleTimeout:
		c.closeIfQuiet("idle_timeout")
	case c.phase == head && now.Sub(c.since) >= limits.HeaderTimeout:
		c.closeIfQuiet("header_timeout")
	case c.phase == body && now.Sub(c.windowStart) >= progressPeriod:
		if c.windowBytes < minProgressBytes {
			c.giveUpBody("body_too_slow")
			return
		}
		c.windowStart, c.windowBytes = now, 0
	case c.sentAhead && c.phase == serving && c.end != nil && peek.Left(c.Conn):
		c.end()
	case c.phase == serving || c.phase == finishing:
		if s := c.writing.Load(); s != 0 && now.UnixNano()-s >= int64(writeTimeout) {
			c.close("response_unread")
		} else if s == 0 && c.phase == finishing && now.Sub(c.since) >= progressPeriod {
			c.close("body_left_open")
		}
	}
}

// evict closes the connection that has been idle for longest, or one without progress.
func (g *Guard) evict(now time.Time) bool {
	for _, p := range []phase{idle, finishing, head, body, serving} {
		var oldest *Conn
		var since time.Time
		for _, c := range g.snapshot() {
			if s, ok := c.stalledSince(p, now); ok && (oldest == nil || s.Before(since)) {
				oldest, since = c, s
			}
		}
		if oldest != nil && oldest.drop(p, "evicted") {
			return true
		}
	}
	return false
}

// reclaim gives up the requests without progress that hold memory. If all make progress, it gives up
// the body that has been arriving for longest: bodies that are sent just fast enough must not keep
// the others out.
func (g *Guard) reclaim() {
	now := time.Now()
	last := g.lastReclaim.Load()
	if now.UnixNano()-last < int64(reclaimInterval) || !g.lastReclaim.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	dropped := false
	var longest *Conn
	var began time.Time
	for _, c := range g.snapshot() {
		for _, p := range []phase{head, body, serving} {
			if _, ok := c.stalledSince(p, now); ok && c.drop(p, "stalled_while_memory_short") {
				dropped = true
			}
		}
		if since, ok := c.readsBodySince(now); ok && (longest == nil || since.Before(began)) {
			longest, began = c, since
		}
	}
	if longest != nil && !dropped {
		longest.drop(body, "slow_while_memory_short")
	}
}

// readsBodySince returns since when a body has been arriving, if that is long enough for it to be given
// up when memory is short.
func (c *Conn) readsBodySince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == body && c.givenUp == "" && now.Sub(c.since) >= slowAfter
}

// stalledSince returns since when a connection in the given phase has made no progress, if that is
// long enough for it to be dropped when something is short.
func (c *Conn) stalledSince(p phase, now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p || c.closed || c.givenUp != "" {
		return time.Time{}, false
	}
	switch p {
	case idle:
		return c.since, true
	case serving:
		s := c.writing.Load()
		return time.Unix(0, s), s != 0 && now.UnixNano()-s >= int64(stalledAfter)
	default:
		return c.progress, now.Sub(c.progress) >= stalledAfter
	}
}

// drop closes the connection if it is still in the phase, or gives its body up.
func (c *Conn) drop(p phase, reason string) bool {
	defer c.closeIfDue()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p || c.closed {
		return false
	}
	switch p {
	case body:
		return c.giveUpBody(reason)
	case serving:
		c.close(reason)
		return true
	default:
		return c.closeIfQuiet(reason)
	}
}

// closeIfQuiet closes the connection unless bytes have arrived that the process had no time to read.
func (c *Conn) closeIfQuiet(reason string) bool {
	if c.phase == idle && peek.Conn(c.Conn) == peek.Data {
		return false
	}
	c.close(reason)
	return true
}

// close marks the connection for closeIfDue.
func (c *Conn) close(reason string) {
	if !c.closed {
		c.closed, c.closeReason = true, reason
	}
}

// closeIfDue closes the connection if close was called. It returns when the descriptor is free, so that
// a new connection doesn't exceed their number. The lock isn't held, as a read in progress needs it.
func (c *Conn) closeIfDue() {
	c.mu.Lock()
	reason := c.closeReason
	c.closeReason = ""
	c.mu.Unlock()
	if reason == "" {
		return
	}
	c.guard.count(reason)
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.NetConn().Close() // t.Close would wait for a client that doesn't read.
	}
	_ = c.Close()
}

// giveUpBody ends the read of the body, so that the handler refuses the request.
func (c *Conn) giveUpBody(reason string) bool {
	if c.givenUp != "" || peek.Conn(c.Conn) == peek.Data {
		return false
	}
	c.givenUp = reason
	_ = c.SetReadDeadline(time.Now())
	go c.guard.count(reason)
	return true
}
