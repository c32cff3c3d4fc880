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
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// A repeatable request waits silenceObjectives times its latency objective for a
	// response, but at least minSilence, before it tries another server.
	silenceObjectives = 3
	minSilence        = 250 * time.Millisecond
	// maxStreamPause is how long a resumable stream may go without data before it is
	// resumed at another server. Callers give up after two seconds or more.
	maxStreamPause = 1800 * time.Millisecond
)

// failure describes an attempt that produced no usable response.
type failure struct {
	code string
	err  error
	// sent is set if the request reached a server.
	sent bool
	// mayHaveRun is set unless it is certain that the server did not run the request.
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

// finalError returns the error for the caller when no further attempt is made.
func (f *failure) finalError(t *task) *verdict.Error {
	if !f.mayHaveRun {
		e := verdict.RefuseUntil(http.StatusServiceUnavailable, f.code, "no backend server took the request", max(f.retryAfter, minRetryAfter))
		e.Cause = f.err
		return e
	}
	status := http.StatusBadGateway
	if t.timeLeft() <= 0 {
		status = http.StatusGatewayTimeout
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: status, Code: f.code, Message: "the backend server failed", Cause: f.err}
}

// attempt is one request to one server.
type attempt struct {
	t         *task
	service   *catalog.Service
	candidate selector.Candidate
	// objective is the route's: the task's route may be replaced while a timer of the attempt ends.
	objective time.Duration
	inFlight  *selector.InFlight
	conn      *hop.Conn
	// sentAt is the time just before the request is written.
	sentAt time.Time
	cancel context.CancelFunc
	// silenceTimer limits how long the server may send nothing; weightsTimer cancels a
	// run that has not begun when its weights become too old.
	silenceTimer, weightsTimer *time.Timer
	result                     selector.Outcome
	// firstEventAt is when the first event of the stream arrived, nil before that.
	firstEventAt atomic.Pointer[time.Time]
	// survivedBegin is set once that was beginTime ago.
	survivedBegin bool
	// sent is set just before the request is written, after sentAt.
	sent atomic.Bool
	// refused is set if the attempt was canceled because the request crashes servers.
	refused atomic.Bool
	// weightsExpired is set if the attempt was canceled because the run had not begun
	// when its weights became too old.
	weightsExpired atomic.Bool
	// silent is set if the attempt was canceled because the server sent nothing for too
	// long.
	silent atomic.Bool
	// runProved is set if the connection leads to the run of the server that the candidate's
	// entry describes.
	runProved bool
	// runCheck is the report that proves it later; nil if none is needed.
	runCheck *runCheck
	// versionEnd ends the count of requests that run at the server's version; nil if none is kept.
	versionEnd func()
	// saveAddress is the store to which the engine saves the shared prompt parts; empty
	// if it saves none.
	saveAddress string
}

// try sends the call to one server and relays the response.
func (t *task) try(ctx context.Context, service *catalog.Service, c selector.Candidate) *failure {
	a := &attempt{t: t, service: service, candidate: c, objective: t.route.Objective, result: selector.Neutral}
	t.outcome.server = string(c.Entry.ID)
	a.inFlight = t.g.opts.Servers.Begin(&c, t.prompt, t.g.model().PrefillRate)
	if t.prompt != nil && t.prompt.Storable() {
		t.g.opts.NotifyPeers()
	}
	a.beginVersion()
	f := a.exchange(ctx)
	a.endVersion(f)
	if t.hedging.outrun() {
		a.inFlight.Outrun()
	}
	a.endInFlight()
	return f
}

func (a *attempt) exchange(caller context.Context) *failure {
	t := a.t
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	a.cancel = cancel
	t.g.attempts.Store(a, true)
	defer t.g.attempts.Delete(a)
	conn, err := t.g.opts.Pool.Get(ctx, a.poolKey(), a.candidate.Entry.Address, a.connectionLimit())
	if err != nil {
		return a.unsentFailure(caller, err)
	}
	a.conn = conn
	f := a.proveRun(ctx)
	if f == nil {
		f = a.recheck(caller)
	}
	if f != nil {
		t.g.opts.Pool.Discard(conn)
		return f
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	resp, f := a.send(ctx, caller)
	if f == nil {
		f = a.relayResponse(caller, resp)
	}
	for _, timer := range []*time.Timer{a.silenceTimer, a.weightsTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	if interrupted := !stop(); f != nil || interrupted {
		if interrupted {
			conn.Abort()
		}
		t.g.opts.Pool.Discard(conn)
	} else {
		t.g.opts.Pool.Release(conn, resp)
	}
	return f
}

// recheck checks the caller and the server again just before the request is written:
// opening a connection takes time, and the VM may have been busy since the server was
// chosen.
func (a *attempt) recheck(caller context.Context) *failure {
	t := a.t
	if peek.CallerGone(caller) {
		return &failure{code: "caller_gone", err: errors.New("the caller left before the request was sent"), callerGone: true}
	}
	if t.configurationChanged() {
		return &failure{code: codeConfigurationChanged, err: errors.New("the configuration changed after the server was chosen")}
	}
	if t.refuseCrashing() != nil {
		return &failure{code: codeCrashesServers, err: errors.Errorf("requests with the trait %v crash servers", t.outcome.crashCause)}
	}
	current := t.g.opts.Directory.View().Server(a.candidate.Entry.ID)
	switch {
	case current == nil || !current.Usable() || !current.Same(a.candidate.Entry):
		return &failure{code: "server_left", err: errors.Errorf("server %s left after it was chosen", a.candidate.Entry.ID)}
	case t.g.model().TooOld(&selector.Candidate{Staleness: t.weightsStaleness(current, t.g.opts.Now())}):
		return &failure{code: "weights_too_old", err: errors.Errorf("the weights of server %s became too old after it was chosen", a.candidate.Entry.ID)}
	}
	if !t.allowsVersion(current) {
		return &failure{code: "version_withdrawn", err: errors.Errorf("version %q of server %s may get no further request since it was chosen", current.Software, current.ID)}
	}
	if a.conn.Withdrawn() {
		return &failure{code: codeWithheld, err: errors.Errorf("the VM that passes the connection on may send server %s no further request", current.ID)}
	}
	if t.g.opts.Servers.Gone(selector.KeyOf(current)) {
		return &failure{code: codeServerGone, err: errors.Errorf("another server has the address of server %s since it was chosen", current.ID)}
	}
	a.candidate.Entry = current
	if left := t.g.opts.RateLimits.Backoff(selector.KeyOf(current)).Left; left > 0 {
		return &failure{code: codeServersBackOff, err: errors.Errorf("server %s asked for no requests for %v after it was chosen", current.ID, left), retryAfter: left}
	}
	if a.candidate.Brittle && t.g.opts.Servers.OwnRequestCount(selector.KeyOf(current)) > a.candidate.Room {
		return &failure{code: codeServersFull, err: errors.Errorf("server %s got other requests after it was chosen", current.ID)}
	}
	if !t.place.Counted && !t.reservePlace(&a.candidate, 0) {
		return &failure{code: "rate_limited", err: errors.Errorf("server %s stated a rate limit after it was chosen", current.ID)}
	}
	return nil
}

// poolKey identifies the server in the connection pool.
func (a *attempt) poolKey() string { return string(a.candidate.Entry.ID) }

const (
	// maxSenderGrowth is the factor by which the number of VMs that take calls may grow
	// before all VMs know of it.
	maxSenderGrowth = 2
	// minConnections is the least number of connections of a VM to a server, so that a
	// request need not wait for another one's response.
	minConnections = 2
)

// connectionLimit returns this VM's share of the connections that a server accepts; 0
// means no limit.
func (a *attempt) connectionLimit() int {
	if a.service.MaxConnections == 0 {
		return 0
	}
	g := a.t.g
	sharers := min(g.members.Load(), maxSenderGrowth*g.senders.Load())
	return max(minConnections, a.service.MaxConnections/int(sharers))
}

// unsentFailure returns the failure of an attempt whose request was not sent.
func (a *attempt) unsentFailure(caller context.Context, err error) *failure {
	f := &failure{code: "not_connected", err: err}
	var withheld *hop.WithheldError
	switch {
	case caller.Err() != nil && a.t.g.ended.Err() != nil:
		f.code = codeStopping
	case caller.Err() != nil:
		f.code, f.callerGone = "caller_gone", true
	case errors.Is(err, hop.ErrConnectionLimit):
		f.code = "connections_used_up"
	case errors.As(err, &withheld):
		f.code, f.retryAfter = codeWithheld, withheld.Left
		a.recordWithheld(withheld)
	default:
		a.result = selector.Unreachable
		a.t.g.opts.Servers.DoubtRun(selector.KeyOf(a.candidate.Entry))
	}
	return f
}

// send writes the request and waits for the response head.
func (a *attempt) send(ctx, caller context.Context) (*http.Response, *failure) {
	t := a.t
	out := Outgoing{
		Account:   t.account.ID,
		TimeLeft:  t.timeLeft(),
		Server:    a.candidate.Entry.ID,
		Priority:  a.priority(),
		LastEvent: a.resumeAfter(),
	}
	if t.prompt != nil {
		out.Salt = t.cacheScope()
		if t.prompt.Fetchable() {
			// Engines don't check the weights version of fetched parts. The salt
			// therefore includes the version, and the engine must hold it.
			out.Weights = a.candidate.Entry.Weights[t.call.Model]
			out.Salt += "-" + strconv.FormatUint(out.Weights, 10)
		}
		out.FetchFrom, out.SaveTo = a.candidate.Fetch.Address, a.chooseSaveAddress()
	}
	a.startSilenceTimer()
	a.startWeightsTimer()
	a.recordEvidence()
	a.sentAt = t.g.opts.Now()
	a.sent.Store(true)
	t.hedging.firstSent(a.sentAt)
	resp, err := a.conn.Send(ctx, &hop.Request{
		Method: t.call.Method,
		Target: t.call.Target,
		Host:   t.call.Host,
		Header: t.g.opts.Dialect.Header(t.call, out),
		Body:   t.call.Body,
	}, func(r *http.Response) bool { return t.g.opts.Dialect.Matches(t.call, r) })
	if errors.Is(err, hop.ErrNotWritten) {
		return nil, a.unsentFailure(caller, err)
	}
	t.sends++
	if err != nil {
		return nil, a.sentFailure(caller, "answer_lost", err)
	}
	return resp, nil
}

// chooseSaveAddress returns the store to which the engine should save the shared prompt
// parts. It returns "" if the engine fetches them from the store or the store already
// holds them.
func (a *attempt) chooseSaveAddress() string {
	t := a.t
	store := t.store()
	if store == nil || a.candidate.Fetch.Source == sourceStore {
		return ""
	}
	if t.g.opts.StoreContents.Holds(store.Address, t.prompt, a.candidate.Weights(t.call.Model), store.CacheTokens) > 0 {
		return ""
	}
	a.saveAddress = store.Address
	return store.Address
}

// recordStoreUse updates the record of the store's contents once the engine has read
// the prompt.
func (a *attempt) recordStoreUse() {
	t := a.t
	switch {
	case a.saveAddress != "":
		t.g.opts.StoreContents.RecordSave(a.saveAddress, t.prompt, a.candidate.Weights(t.call.Model))
	case a.candidate.Fetch.Source == sourceStore:
		t.g.opts.StoreContents.RecordFetch(a.candidate.Fetch.Address, t.prompt, a.candidate.Weights(t.call.Model))
	}
}

// sentFailure returns the failure of an attempt whose request was sent.
func (a *attempt) sentFailure(caller context.Context, code string, err error) *failure {
	f := &failure{code: code, err: err, sent: true, mayHaveRun: true}
	if a.silent.Load() {
		f.code = "server_silent"
	}
	if a.weightsExpired.Load() {
		f.code = "weights_too_old"
		return f
	}
	if a.refused.Load() {
		f.code = codeCrashesServers
		return f
	}
	if caller.Err() != nil && a.t.g.ended.Err() != nil {
		f.code = codeStopping
		return f
	}
	if caller.Err() != nil {
		f.code = "caller_gone"
		f.callerGone = a.t.timeLeft() > 0
		if !f.callerGone {
			f.code = "deadline_passed"
			a.result = selector.Failed
		}
		return f
	}
	a.result = selector.Failed
	a.t.g.opts.Servers.DoubtRun(selector.KeyOf(a.candidate.Entry))
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isConnectionReset(err) {
		a.t.g.checkForCrash(a.candidate.Entry, a.crashRun(), a.connectionLimit())
	}
	return f
}

// crashRun returns the attempt as a request that was on a server when the server crashed.
func (a *attempt) crashRun() crashcause.Run {
	first := a.firstEventAt.Load()
	return crashcause.Run{
		Traits:  a.t.traits(),
		Sent:    a.sentAt,
		Weights: a.candidate.Weights(a.t.call.Model),
		Begun:   first != nil && a.t.g.opts.Now().Sub(*first) >= beginTime,
	}
}

func isConnectionReset(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// priority returns the priority sent to the server, from 0 (the most urgent) to 9. The
// account's priority takes precedence over the route's.
func (t *task) priority() int {
	p := t.route.Priority
	if t.account.Priority != nil {
		p = *t.account.Priority*routePriorityLevels + min(p, routePriorityLevels-1)
	}
	return min(9, max(0, p))
}

// routePriorityLevels is the number of levels that distinguish routes within one
// priority of an account.
const routePriorityLevels = 2
