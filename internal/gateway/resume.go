package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// originRetryAfter is the delay after which the caller of a stream without a known origin
	// should retry while the origin may still become known here.
	originRetryAfter = 300 * time.Millisecond
	// verifyTimeout bounds the wait for a server's report of its run.
	verifyTimeout = 300 * time.Millisecond
)

// pin restricts a stream that has begun to the software version that began it.
type pin struct {
	origin.Origin
	// run is the server run that began the stream; a stream of an unknown version goes on only
	// there.
	run selector.ServerKey
}

// allows reports whether the stream may go on at a server.
func (p *pin) allows(e *fleet.Entry) bool {
	if p.Version == "" {
		return selector.KeyOf(e) == p.run
	}
	return e.Software == p.Version
}

// resumes reports whether the caller already has events of the stream.
func (t *task) resumes() bool {
	return t.route.Kind == catalog.Stream && (t.call.LastEvent >= 0 || t.call.Resumes != "")
}

// resumable reports whether the call is a stream that callers may resume.
func (t *task) resumable() bool { return t.route.Kind == catalog.Stream && t.route.Resumable }

// streamID identifies the stream of the call.
func (t *task) streamID() origin.StreamID {
	if t.call.Resumes != "" {
		return origin.NewStreamID(t.call.Resumes)
	}
	return origin.NewStreamID(t.call.ID)
}

// pinResumed pins a resumed stream to the service and the software version that began it, and
// returns the service. It refuses the call if they aren't known, or have no servers.
func (t *task) pinResumed() (*catalog.Service, *verdict.Error) {
	origins := t.g.opts.Origins
	if o, ok := origins.Lookup(t.streamID()); ok {
		t.pinned, t.outcome.originSource = &pin{Origin: o}, "record"
	} else {
		service := t.pickService()
		if service == nil {
			return nil, noServiceError()
		}
		sole, ok := origins.Sole(service.Name)
		if !ok || !t.g.opts.ServersCurrent() {
			t.outcome.originSource = "unknown"
			return nil, t.unknownOriginError()
		}
		t.pinned, t.outcome.originSource = &pin{Origin: origin.Origin{Service: service.Name, Version: sole}}, "sole_version"
		if sole == "" {
			t.pinned = nil // Servers that state no version count as one version.
		}
		return service, nil
	}
	service := t.catalog.Service(t.pinned.Service)
	if service == nil || !t.route.Leads(t.pinned.Service) || !origins.Present(t.pinned.Origin) {
		if !t.g.opts.ServersCurrent() {
			return nil, verdict.RefuseUntil(http.StatusServiceUnavailable, "software_version_unknown", "this VM may not know the servers of the software version that began the stream", originRetryAfter)
		}
		e := verdict.RefuseUntil(http.StatusServiceUnavailable, "software_version_gone", "the software version that began the stream has no server any more", origin.Horizon)
		e.NoRetry = true
		return nil, e
	}
	return service, nil
}

// unknownOriginError refuses to resume a stream that several software versions may have begun.
func (t *task) unknownOriginError() *verdict.Error {
	t.g.opts.OriginMissed()
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "stream_origin_unknown", "it is not known which software version began the stream", originRetryAfter)
}

// pinStream pins the stream to the version of the server whose first event is about to be sent
// to the caller, and records it for resumptions.
func (a *attempt) pinStream() {
	t := a.t
	if t.pinned == nil {
		e := a.candidate.Entry
		t.pinned = &pin{Origin: origin.Origin{Service: e.Service}, run: selector.KeyOf(e)}
		if a.connectionProved() {
			t.pinned.Version = e.Software
		}
	}
	if t.resumable() && t.pinned.Version != "" {
		t.g.opts.Origins.Record(t.streamID(), t.pinned.Origin)
		t.g.opts.NotifyPeers()
	}
}

// proveRun checks that the connection leads to the run of the server that the directory shows,
// whose software version is known. A connection leads there if it was opened before the run was
// last known to go on. Later the run may have ended, which the directory shows only with the next
// run's row. A stream that has begun isn't sent without that proof.
func (a *attempt) proveRun(ctx context.Context) *failure {
	t := a.t
	if !t.resumable() && !t.resumes() {
		return nil
	}
	e, servers := a.candidate.Entry, t.g.opts.Servers
	if a.candidate.RunEnded {
		return nil // The choice of a server has allowed for it.
	}
	key := selector.KeyOf(e)
	provedAt, doubted := servers.RunProof(key)
	if at := t.g.opts.ServersProvedAt(); at.After(provedAt) && t.g.opts.Directory.HasRow(e) {
		provedAt = at
	}
	opened := t.g.opts.Now().Add(-a.conn.Age())
	if doubted || t.g.opts.Pool.Lost(a.poolKey(), e.Address) {
		provedAt = time.Time{}
	}
	if opened.Before(provedAt) {
		a.runProved = true
		return nil
	}
	a.runCheck = t.g.checkRun(e, opened)
	if t.pinned == nil {
		return nil // The result is needed at the first event.
	}
	select {
	case <-a.runCheck.done:
	case <-ctx.Done():
		return a.unsentFailure(ctx, ctx.Err())
	}
	switch {
	case a.runCheck.proves(e):
		a.runProved = true
		return nil
	case a.runCheck.err != nil:
		return &failure{code: "server_unproved", err: errors.Wrapf(a.runCheck.err, "server %s may have started again", e.ID)}
	default:
		return &failure{code: "server_restarted", err: errors.Errorf("server %s has started again since its announcement", e.ID)}
	}
}

// connectionProved reports whether the connection leads to the run that the directory shows. It
// waits for the server's report, which usually takes less time than the first event. A new stream
// without that proof isn't recorded: it can't be resumed elsewhere, which is better than none.
func (a *attempt) connectionProved() bool {
	if a.runProved || a.runCheck == nil {
		return a.runProved
	}
	<-a.runCheck.done
	return a.runCheck.proves(a.candidate.Entry)
}

// runCheck is a request for the start time of a server's run.
type runCheck struct {
	beganAt time.Time
	done    chan struct{}
	started int64
	err     error
}

// proves reports whether the server has reported the run of an entry.
func (c *runCheck) proves(e *fleet.Entry) bool { return c.err == nil && c.started == e.Started }

// checkRun asks a server for the start time of its run after a connection to it was opened.
// Requests whose connections are opened at about the same time share one report.
func (g *Gateway) checkRun(e *fleet.Entry, opened time.Time) *runCheck {
	key := selector.KeyOf(e)
	g.runCheckMu.Lock()
	defer g.runCheckMu.Unlock()
	check := g.runChecks[key]
	if check == nil || !opened.Before(check.beganAt) {
		check = &runCheck{beganAt: g.opts.Now(), done: make(chan struct{})}
		g.runChecks[key] = check
		go g.requestRun(check, e)
	}
	return check
}

// requestRun performs a check and records its result.
func (g *Gateway) requestRun(check *runCheck, e *fleet.Entry) {
	key := selector.KeyOf(e)
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	check.started, check.err = g.opts.RunningSince(ctx, e)
	switch {
	case check.proves(e):
		g.opts.Servers.ProveRun(key, check.beganAt)
		g.opts.Pool.Found(string(e.ID), e.Address)
	case check.err == nil:
		g.opts.Servers.MarkRunEnded(key)
	}
	close(check.done)
	g.runCheckMu.Lock()
	defer g.runCheckMu.Unlock()
	if g.runChecks[key] == check {
		delete(g.runChecks, key)
	}
}
