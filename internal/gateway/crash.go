package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
)

// crashCheckDelay is the delay between the loss of a connection and the check of its
// server: a crashed server is down for seconds, and one that only broke a connection
// off accepts a new one at once.
const crashCheckDelay = 150 * time.Millisecond

// crashCheck is a pending check of a server that lost connections. If the server has
// crashed, a crash is counted against the content of each request on them.
type crashCheck struct {
	mu       sync.Mutex
	contents map[string]bool
	done     bool
}

// add records a content and reports whether the check was still pending.
func (c *crashCheck) add(content string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		c.contents[content] = true
	}
	return !c.done
}

// finish closes the check and returns its contents.
func (c *crashCheck) finish() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	return c.contents
}

// checkForCrash checks after a delay whether the server crashed while it ran a content,
// and counts a crash against the content only then. A faulty server that resets some
// connections must not cause the refusal of a content that many callers send.
func (g *Gateway) checkForCrash(e *fleet.Entry, content string, connectionLimit int) {
	key := selector.KeyOf(e)
	check := &crashCheck{contents: map[string]bool{content: true}}
	if running, ok := g.crashChecks.LoadOrStore(key, check); ok && running.(*crashCheck).add(content) {
		return
	} else if ok {
		g.crashChecks.Store(key, check)
	}
	time.AfterFunc(crashCheckDelay, func() {
		known := g.opts.Directory.View().Server(e.ID)
		crashed := known == nil || known.Started != e.Started || !g.probe(known, connectionLimit)
		g.crashChecks.CompareAndDelete(key, check)
		contents := check.finish()
		if !crashed {
			return
		}
		for content := range contents {
			g.opts.Crashes.RecordCrash(content)
		}
		g.opts.Log.Warn("server_crashed", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Int("contents", len(contents)), zap.Bool("listed", known != nil))
		if known != nil && known.Started == e.Started {
			g.opts.Servers.MarkDown(key)
			g.probeUntilReachable(known, connectionLimit)
		}
	})
}
