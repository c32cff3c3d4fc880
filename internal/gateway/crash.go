package gateway

import (
	"maps"
	"slices"
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

// lostRun is a request whose connection to a server was lost.
type lostRun struct {
	content string
	// parts are the IDs of the parts of its prompt that other requests may share.
	parts []string
	// begun is set if the response's first event had arrived.
	begun bool
}

// crashCheck is a pending check of a server that lost connections. If the server has
// crashed, a crash is counted against the content of each request on them.
type crashCheck struct {
	mu   sync.Mutex
	runs []lostRun
	done bool
}

// add records a lost run and reports whether the check was still pending.
func (c *crashCheck) add(run lostRun) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		c.runs = append(c.runs, run)
	}
	return !c.done
}

// finish closes the check and returns its runs.
func (c *crashCheck) finish() []lostRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	return c.runs
}

// checkForCrash checks after a delay whether the server crashed while it ran a content,
// and counts a crash against the content only then. A faulty server that resets some
// connections must not cause the refusal of a content that many callers send.
func (g *Gateway) checkForCrash(e *fleet.Entry, run lostRun, connectionLimit int) {
	key := selector.KeyOf(e)
	check := &crashCheck{runs: []lostRun{run}}
	if running, ok := g.crashChecks.LoadOrStore(key, check); ok && running.(*crashCheck).add(run) {
		return
	} else if ok {
		g.crashChecks.Store(key, check)
	}
	time.AfterFunc(crashCheckDelay, func() {
		known := g.opts.Directory.View().Server(e.ID)
		crashed := known == nil || known.Started != e.Started || !g.probe(known, connectionLimit)
		g.crashChecks.CompareAndDelete(key, check)
		runs := check.finish()
		if !crashed {
			return
		}
		contents := map[string]bool{}
		unbegun, parts := 0, map[string]bool{}
		for _, run := range runs {
			contents[run.content] = true
			if run.begun {
				continue
			}
			unbegun++
			for _, part := range run.parts {
				parts[part] = true
			}
		}
		for content := range contents {
			g.opts.Crashes.RecordCrash(content)
		}
		g.opts.Log.Warn("server_crashed", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Int("contents", len(contents)), zap.Int("unbegun", unbegun), zap.Strings("parts", slices.Sorted(maps.Keys(parts))),
			zap.Bool("listed", known != nil))
		if known != nil && known.Started == e.Started {
			g.opts.Servers.MarkDown(key)
			g.probeUntilReachable(known, connectionLimit)
		}
	})
}
