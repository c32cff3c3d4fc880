package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// silenceFactor is how many times the latency objective a request that may
	// be repeated waits for the head of an answer before it tries another
	// server, and minSilence the least such wait.
	silenceFactor = 3
	minSilence    = 250 * time.Millisecond
	// maxPause is for how long a resumable stream may pause before it goes on at
	// another server. Callers leave after two seconds or more.
	maxPause = 1800 * time.Millisecond
)

// failure is an attempt that brought no answer.
type failure struct {
	code string
	err  error
	// sent is set if the request reached a server.
	sent bool
	// mayHaveRun is set unless it is certain that the server did not run it.
	mayHaveRun bool
	callerGone bool
	retryAfter time.Duration
}

func (f *failure) verdict() verdict.Verdict {
	if f.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// final returns the answer to the caller if no attempt is left.
func (f *failure) final(t *task) *verdict.Error {
	if !f.mayHaveRun {
		e := verdict.RefuseUntil(http.StatusServiceUnavailable, f.code, "no backend server took the request", max(f.retryAfter, minRetryAfter))
		e.Cause = f.err
		return e
	}
	status := http.StatusBadGateway
	if t.left() <= 0 {
		status = http.StatusGatewayTimeout
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: status, Code: f.code, Message: "the backend server failed", Cause: f.err}
}

// attempt is one exchange with a server.
type attempt struct {
	t       *task
	service *catalog.Service
	c       selector.Candidate
	run     *selector.Run
	conn    *hop.Conn
	// sentAt is when the request was written.
	sentAt time.Time
	cancel context.CancelFunc
	// silence ends the wait for the server, bound that for the run's begin.
	silence, bound *time.Timer
	conduct        selector.Conduct
	// read is set once the first event has come.
	read atomic.Bool
	// withdrawn is set if the attempt was given up because its run would begin on
	// weights that are too old by then.
	withdrawn atomic.Bool
	// silent is set if the attempt was given up because the server sent nothing.
	silent atomic.Bool
	// saveAddress is the store in which the engine keeps a copy of the shared
	// parts; empty for none.
	saveAddress string
}

// try sends the call to one server and relays the answer.
func (t *task) try(ctx context.Context, service *catalog.Service, c selector.Candidate) *failure {
	a := &attempt{t: t, service: service, c: c, conduct: selector.Neutral}
	t.outcome.server = string(c.Entry.ID)
	a.run = t.g.opts.Servers.Begin(&c, t.prompt, t.g.model().PrefillRate)
	if t.prompt != nil && t.prompt.Keepable() {
		t.g.opts.Tell()
	}
	f := a.exchange(ctx)
	a.run.End(a.conduct)
	if a.conduct == selector.Unreachable {
		t.g.watchDown(c.Entry, a.connections())
		t.g.opts.Tell()
	}
	return f
}

func (a *attempt) exchange(caller context.Context) *failure {
	t := a.t
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	a.cancel = cancel
	conn, err := t.g.opts.Pool.Get(ctx, a.owner(), a.c.Entry.Address, a.connections())
	if err != nil {
		return a.unsent(caller, err)
	}
	a.conn = conn
	if f := a.recheck(caller); f != nil {
		t.g.opts.Pool.Discard(conn)
		return f
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, f := a.send(ctx, caller)
	if f == nil {
		f = a.answer(caller, resp)
	}
	for _, timer := range []*time.Timer{a.silence, a.bound} {
		if timer != nil {
			timer.Stop()
		}
	}
	if cut := !stop(); f != nil || cut {
		t.g.opts.Pool.Discard(conn)
	} else {
		t.g.opts.Pool.Release(conn, resp)
	}
	return f
}

// recheck looks at the caller and the server again before the request is written. A
// connection was opened since the server was chosen, and the VM may have been busy.
func (a *attempt) recheck(caller context.Context) *failure {
	t := a.t
	if err := caller.Err(); err != nil {
		return a.unsent(caller, err)
	}
	now := t.g.opts.Directory.View().Server(a.c.Entry.ID)
	switch {
	case now == nil || !now.Usable() || !now.Same(a.c.Entry):
		return &failure{code: "server_left", err: errors.Errorf("server %s has left since it was chosen", a.c.Entry.ID)}
	case t.g.model().TooOld(&selector.Candidate{Behind: t.behind(now, t.g.opts.Now())}):
		return &failure{code: "weights_too_old", err: errors.Errorf("the weights of server %s are too old by now", a.c.Entry.ID)}
	}
	a.c.Entry = now
	if !t.place.Counted && !t.takePlace(&a.c, 0) {
		return &failure{code: "rate_limited", err: errors.Errorf("server %s has named a rate since it was chosen", now.ID)}
	}
	return nil
}

// owner names the run of the server.
func (a *attempt) owner() string { return string(a.c.Entry.ID) }

const (
	// senderChange is by how much the number of VMs that take calls may grow before
	// all have heard of it.
	senderChange = 2
	// minConnections is the least number of connections of a VM to a server: a
	// request need not wait for another one's answer.
	minConnections = 2
)

// connections is this VM's share of the connections that a server accepts.
func (a *attempt) connections() int {
	if a.service.MaxConnections == 0 {
		return 0
	}
	g := a.t.g
	sharers := min(g.members.Load(), senderChange*g.senders.Load())
	return max(minConnections, a.service.MaxConnections/int(sharers))
}

func (a *attempt) unsent(caller context.Context, err error) *failure {
	f := &failure{code: "not_connected", err: err}
	switch {
	case caller.Err() != nil:
		f.code, f.callerGone = "caller_gone", true
	case errors.Is(err, hop.ErrNoConnection):
		f.code = "connections_used_up"
	default:
		a.conduct = selector.Unreachable
	}
	return f
}

// send writes the request and waits for the head of the answer.
func (a *attempt) send(ctx, caller context.Context) (*http.Response, *failure) {
	t := a.t
	out := Outgoing{
		Account:   t.account.ID,
		TimeLeft:  t.left(),
		Server:    a.c.Entry.ID,
		Priority:  t.priority(),
		LastEvent: t.lastEvent,
	}
	if t.prompt != nil {
		out.Salt = t.scope()
		if t.prompt.Fetchable() {
			// Engines don't check the weights of parts that they fetch, so the
			// salt names them and the engine must hold them.
			out.Weights = a.c.Entry.Weights[t.call.Model]
			out.Salt += "-" + strconv.FormatUint(out.Weights, 10)
		}
		out.FetchFrom, out.SaveTo = a.c.Fetch.Address, a.saveTo()
	}
	a.watchSilence()
	a.watchBound()
	a.noteEvidence()
	a.sentAt = t.g.opts.Now()
	resp, err := a.conn.Send(ctx, &hop.Request{
		Method: t.call.Method,
		Target: t.call.Target,
		Host:   t.call.Host,
		Header: t.g.opts.Dialect.Header(t.call, out),
		Body:   t.call.Body,
	}, func(r *http.Response) bool { return t.g.opts.Dialect.Belongs(t.call, r) })
	if errors.Is(err, hop.ErrNotWritten) {
		return nil, a.unsent(caller, err)
	}
	t.sends++
	if err != nil {
		return nil, a.lost(caller, "answer_lost", err)
	}
	return resp, nil
}

// saveTo returns where the engine keeps a copy of the shared parts, if they are
// read anew or the store doesn't have them.
func (a *attempt) saveTo() string {
	t := a.t
	store := t.store()
	if store == nil || a.c.Fetch.Source == sourceStore {
		return ""
	}
	if t.g.opts.Shelf.Holds(store.Address, t.prompt, a.c.Weights(t.call.Model), store.CacheTokens) > 0 {
		return ""
	}
	a.saveAddress = store.Address
	return store.Address
}

// noteStore keeps track of what the store holds, once the prompt was read.
func (a *attempt) noteStore() {
	t := a.t
	switch {
	case a.saveAddress != "":
		t.g.opts.Shelf.Saved(a.saveAddress, t.prompt, a.c.Weights(t.call.Model))
	case a.c.Fetch.Source == sourceStore:
		t.g.opts.Shelf.Used(a.c.Fetch.Address, t.prompt, a.c.Weights(t.call.Model))
	}
}

// watchSilence lets a request that may be repeated leave a server that doesn't
// answer, while another attempt is allowed.
func (a *attempt) watchSilence() {
	t := a.t
	if !t.route.Repeatable() || t.sends+1 >= t.route.MaxAttempts {
		return
	}
	if t.route.Kind != catalog.Stream {
		a.silence = time.AfterFunc(max(minSilence, silenceFactor*t.route.Objective), a.giveUp)
		return
	}
	a.silence = time.AfterFunc(maxPause, a.checkSilence)
}

// watchBound withdraws a request that has no first token when no run may begin on the
// engine's weights any more. Engines drop what has not begun when its connection
// closes.
func (a *attempt) watchBound() {
	t := a.t
	if t.prompt == nil || t.route.Kind != catalog.Stream {
		return
	}
	c := selector.Candidate{Behind: t.behind(a.c.Entry, t.g.opts.Now())}
	if in, ok := t.g.model().MustBeginIn(&c); ok {
		a.bound = time.AfterFunc(in, func() {
			if !a.read.Load() {
				a.withdrawn.Store(true)
				a.cancel()
			}
		})
	}
}

// checkSilence leaves an engine that has sent nothing to any request for too
// long. One that sends to others is busy, and another one would have to read the
// prompt anew.
func (a *attempt) checkSilence() {
	pause := maxPause
	if !a.read.Load() {
		pause = max(maxPause, silenceFactor*a.t.route.Objective)
	}
	if left := pause - a.run.SilentFor(); left > 0 {
		a.silence.Reset(left)
		return
	}
	a.giveUp()
}

// giveUp ends the attempt, so that another server can be tried.
func (a *attempt) giveUp() {
	a.silent.Store(true)
	a.cancel()
}

// lost returns the failure of an attempt whose request was sent.
func (a *attempt) lost(caller context.Context, code string, err error) *failure {
	f := &failure{code: code, err: err, sent: true, mayHaveRun: true}
	if a.silent.Load() {
		f.code = "server_silent"
	}
	if a.withdrawn.Load() {
		f.code = "weights_too_old"
		return f
	}
	if caller.Err() != nil {
		f.code = "caller_gone"
		f.callerGone = a.t.left() > 0
		if !f.callerGone {
			f.code = "deadline_passed"
			a.conduct = selector.Failed
		}
		return f
	}
	a.conduct = selector.Failed
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err) {
		a.t.g.connectionLost(a.c.Entry, a.t.content(), a.connections())
	}
	return f
}

func isReset(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// priority returns the rank for the server, from 0 to 9: the account's priority
// comes before the route's.
func (t *task) priority() int {
	p := t.route.Priority
	if t.account.Priority != nil {
		p = *t.account.Priority*routeRanks + min(p, routeRanks-1)
	}
	return min(9, max(0, p))
}

// routeRanks is the number of ranks that tell the routes of one account's
// priority apart.
const routeRanks = 2
