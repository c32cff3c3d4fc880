package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
)

// crashDelay is how long after a connection was lost its server is looked at: a
// server that crashed is away for seconds, and one that only broke a connection
// off answers at once.
const crashDelay = 150 * time.Millisecond

// crashCheck is a look at a server that lost connections. The contents that ran on
// them are suspects if it has crashed.
type crashCheck struct {
	mu       sync.Mutex
	contents map[string]bool
	done     bool
}

// add notes a content unless the check is over.
func (c *crashCheck) add(content string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		c.contents[content] = true
	}
	return !c.done
}

// end ends the check and returns its contents.
func (c *crashCheck) end() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	return c.contents
}

// connectionLost finds out whether the server crashed while it ran a content. A
// faulty server that resets some connections must not convict what many callers
// send.
func (g *Gateway) connectionLost(e *fleet.Entry, content string, connections int) {
	key := selector.KeyOf(e)
	fresh := &crashCheck{contents: map[string]bool{content: true}}
	if running, ok := g.crashChecks.LoadOrStore(key, fresh); ok && running.(*crashCheck).add(content) {
		return
	} else if ok {
		g.crashChecks.Store(key, fresh)
	}
	time.AfterFunc(crashDelay, func() {
		known := g.opts.Directory.View().Server(e.ID)
		crashed := known == nil || known.Started != e.Started || !g.probe(known, connections)
		g.crashChecks.CompareAndDelete(key, fresh)
		contents := fresh.end()
		if !crashed {
			return
		}
		for content := range contents {
			g.opts.Suspects.Lost(content)
		}
		g.opts.Log.Warn("server_crashed", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Int("contents", len(contents)), zap.Bool("listed", known != nil))
		if known != nil && known.Started == e.Started {
			g.opts.Servers.TakeDown(key)
			g.watchDown(known, connections)
		}
	})
}
