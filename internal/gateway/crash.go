package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// crashCheckDelay is the delay between the loss of a connection and the check of its
	// server: a crashed server is down for seconds, and one that only broke a connection
	// off accepts a new one at once.
	crashCheckDelay = 150 * time.Millisecond
	// canceledCheckDelay is the delay between the cancellation of a request that crashes
	// servers and the check of its server: within it, the server either drops the request or
	// crashes, and it is still down.
	canceledCheckDelay = time.Second
	// beginTime is the time after the first event of a stream within which a crash may still
	// be due to the beginning of the response.
	beginTime = 500 * time.Millisecond
	// maxReportedRuns bounds the requests that are reported of one crash.
	maxReportedRuns = 24
	// codeCrashesServers is the code of a request that is refused because its content or a
	// part of its prompt crashes servers.
	codeCrashesServers = "crashes_servers"
)

// crashCheck is a pending check of a server that lost connections.
type crashCheck struct {
	mu   sync.Mutex
	runs []crashcause.Run
	// lostAt is when the first connection was lost.
	lostAt time.Time
	done   bool
}

// add records a request on a lost connection and reports whether the check was still
// pending.
func (c *crashCheck) add(run crashcause.Run) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		c.runs = append(c.runs, run)
	}
	return !c.done
}

// finish closes the check and returns its requests, those that had not begun a response
// first.
func (c *crashCheck) finish() []crashcause.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	slices.SortStableFunc(c.runs, func(a, b crashcause.Run) int {
		switch {
		case a.Begun == b.Begun:
			return cmp.Compare(len(b.Parts), len(a.Parts))
		case a.Begun:
			return 1
		default:
			return -1
		}
	})
	return c.runs
}

// checkForCrash checks after a delay whether the server crashed while it ran a request, and
// records the crash as evidence against the request only then. A faulty server that resets
// some connections must not cause the refusal of a content that many callers send.
func (g *Gateway) checkForCrash(e *fleet.Entry, run crashcause.Run, connectionLimit int) {
	key := selector.KeyOf(e)
	check := &crashCheck{runs: []crashcause.Run{run}, lostAt: g.opts.Now()}
	if running, ok := g.crashChecks.LoadOrStore(key, check); ok && running.(*crashCheck).add(run) {
		return
	} else if ok {
		g.crashChecks.Store(key, check)
	}
	time.AfterFunc(crashCheckDelay, func() {
		crashed := g.hasCrashed(e, connectionLimit)
		g.crashChecks.CompareAndDelete(key, check)
		runs := check.finish()
		if !crashed {
			return
		}
		if known := g.opts.Directory.View().Server(e.ID); known != nil && known.Started == e.Started {
			g.opts.Servers.MarkDown(key) // Before the digest that recordCrash requests.
			g.probeUntilReachable(known, connectionLimit)
		}
		g.recordCrash(key, check.lostAt, runs)
	})
}

// hasCrashed reports whether a server run has ended or accepts no connections.
func (g *Gateway) hasCrashed(e *fleet.Entry, connectionLimit int) bool {
	known := g.opts.Directory.View().Server(e.ID)
	return known == nil || known.Started != e.Started || g.refusesConnections(known, connectionLimit)
}

// refusesConnections reports whether a server accepts no connections, neither from this VM nor, if
// this VM seems to be partitioned from the servers, from others.
func (g *Gateway) refusesConnections(e *fleet.Entry, connectionLimit int) bool {
	if g.probe(e, connectionLimit) {
		return false
	}
	isolated, _, _ := g.opts.Servers.Isolated()
	return !isolated || !g.opts.ReachableByPeers(e)
}

// recordCrash records a crash as evidence and reports it to the other VMs.
func (g *Gateway) recordCrash(server selector.ServerKey, at time.Time, runs []crashcause.Run) {
	g.logCrash(server, runs)
	g.opts.CrashCauses.RecordCrash(server, at, runs[:min(len(runs), maxReportedRuns)])
	g.opts.NotifyPeers()
}

func (g *Gateway) logCrash(server selector.ServerKey, runs []crashcause.Run) {
	unbegun := 0
	var contents, parts []string
	for _, run := range runs {
		contents = append(contents, run.Content.String())
		if run.Begun {
			continue
		}
		unbegun++
		for _, part := range run.Parts {
			if name := part.String(); !slices.Contains(parts, name) {
				parts = append(parts, name)
			}
		}
	}
	g.opts.Log.Warn("server_crashed", zap.String("server", string(server.ID)), zap.Int64("server_started", server.Started),
		zap.Strings("contents", contents), zap.Int("unbegun", unbegun), zap.Strings("parts", parts))
}

// ApplyConviction logs a change of the traits whose requests are refused, and cancels the
// newly refused requests that have not begun a response: engines drop them,
// instead of being crashed by them later.
func (g *Gateway) ApplyConviction(c crashcause.Change) {
	event := "crash_cause_found"
	if c.Lifted {
		event = "crash_cause_cleared"
	}
	kind := "content"
	if c.Part {
		kind = "part"
	}
	servers := make([]string, 0, len(c.Crashes))
	for _, server := range c.Crashes {
		servers = append(servers, string(server.ID))
	}
	canceled := 0
	if !c.Lifted {
		canceled = g.cancelUnbegun(&c.Conviction)
	}
	g.opts.Log.Warn(event, zap.Stringer("crash_cause", c.Trait), zap.Stringers("or", c.With), zap.String("kind", kind), zap.Strings("crashed", servers),
		zap.Int("contents", c.Contents), zap.Duration("age", g.opts.Now().Sub(c.At)), zap.Uint64("weights", c.Weights),
		zap.String("source", cmp.Or(c.Source, "own")), zap.Int("canceled", canceled))
	metrics.GetOrRegisterCounter(event, g.meters.registry).Inc(1)
}

// cancelUnbegun cancels the requests that a conviction concerns and that have not begun a
// response, and returns their number.
func (g *Gateway) cancelUnbegun(c *crashcause.Conviction) int {
	n := 0
	g.attempts.Range(func(k, _ any) bool {
		a := k.(*attempt)
		if a.firstEventAt.Load() == nil && c.Concerns(a.t.traits()) {
			a.cancelRefused()
			n++
		}
		return true
	})
	return n
}

// cancelRefused cancels an attempt whose request is refused by now. The server may begin it
// nevertheless, which must not look like a crash without that request.
func (a *attempt) cancelRefused() {
	a.refused.Store(true)
	a.cancel()
	if !a.sent.Load() {
		return
	}
	g, e, run, limit := a.t.g, a.candidate.Entry, a.crashRun(), a.connectionLimit()
	time.AfterFunc(canceledCheckDelay, func() {
		if g.hasCrashed(e, limit) {
			g.recordCrash(selector.KeyOf(e), g.opts.Now(), []crashcause.Run{run})
		}
	})
}

// refuseCrashing returns the refusal of a request that crashes servers, or nil. Another
// attempt would be refused too until the evidence expires.
func (t *task) refuseCrashing() *verdict.Error {
	cause, remaining, found := t.g.opts.CrashCauses.Convicted(t.traits())
	if !found {
		return nil
	}
	t.outcome.crashCause = cause.Trait
	e := verdict.RefuseUntil(http.StatusServiceUnavailable, codeCrashesServers, "backend servers crashed while they ran requests like this one", remaining)
	e.NoRetry = true
	return e
}
