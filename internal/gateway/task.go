package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// task is the state of one call in progress.
type task struct {
	g        *Gateway
	call     *Call
	sink     Sink
	catalog  *catalog.Catalog
	route    *catalog.Route
	account  *catalog.Account
	deadline time.Time
	units    float64
	prompt   *selector.Prompt
	// chosenAt is when the server of the current attempt was chosen.
	chosenAt time.Time
	// tried are the servers chosen for the call so far, reached or not.
	tried []selector.ServerKey
	// place is the reservation within the rate limit of the current attempt's server.
	place ratelimit.Place
	// backoffLeft is the time until the first server takes requests of this VM again, if the last
	// choice found none that does.
	backoffLeft time.Duration
	// fullSince is when the servers were first found to take no request; zero before that.
	fullSince time.Time
	// sends counts the servers that the call was sent to.
	sends int
	// ran is NotRun until a server may have run the call.
	ran verdict.Verdict
	// begun is set once the response to the caller has begun.
	begun bool
	// keepOnStop lets the call go on when the VM ends calls that have not begun.
	keepOnStop func() bool
	lastEvent  int64
	// emptyResumptions counts the servers that ended the resumed stream without a further event.
	emptyResumptions int
	// pinned is the software version to which the stream is bound; nil before its first event.
	pinned *pin
	// versions states which software versions the call may use where roll-outs are enabled.
	versions   versionChoice
	firstByte  time.Duration
	outcome    outcome
	traitsOnce sync.Once
	callTraits crashcause.Traits
	// fallback is a server's own error response, which is passed on if no attempt
	// brings a better one.
	fallback *fallbackResponse
	// hedging is the race of the first attempt with a hedge; nil if the request has none.
	hedging *race
}

// fallbackResponse is a complete response of a server.
type fallbackResponse struct {
	status int
	header http.Header
	body   []byte
	// release releases the memory that the body counts for.
	release func()
}

// outcome holds what the log line of a call reports.
type outcome struct {
	server       string
	status       int
	reason       string
	expectedLoss float64
	chosen       selector.Candidate
	refusal      *verdict.Error
	// crashCause is the trait because of which the call was refused; 0 if it wasn't.
	crashCause crashcause.Trait
	// firstEvent is the number of the first event that was relayed plus 1; 0 before that.
	firstEvent int64
	// originSource tells from what the origin of a resumed stream is known.
	originSource string
	// catalogWait is how long the call waited for a newer configuration than the one that refused it.
	catalogWait time.Duration
	// evidence is what was known of the server when the request was written.
	evidence evidence
	// hedge tells whether a hedge was sent, failed or won; empty without one.
	hedge string
}

func (o *outcome) recordEvent(number int64) {
	if o.firstEvent == 0 {
		o.firstEvent = number + 1
	}
}

func (t *task) timeLeft() time.Duration { return t.deadline.Sub(t.g.opts.Now()) }

func (t *task) waited() time.Duration { return t.g.opts.Now().Sub(t.call.Arrived) }

// traits returns what the call may have in common with others that crash servers. They are
// the same for all attempts of a caller.
func (t *task) traits() crashcause.Traits {
	t.traitsOnce.Do(func() {
		c := t.call
		t.callTraits.Content = crashcause.NewTrait(c.Body, "content", string(t.account.ID), c.Method, c.Target)
		for _, part := range c.Parts[:max(0, len(c.Parts)-1)] { // The last part is the request's own.
			t.callTraits.Parts = append(t.callTraits.Parts, crashcause.NewTrait(nil, "part", c.Model, part.ID))
		}
	})
	return t.callTraits
}

// run tries servers until one responds or no further attempt is allowed.
func (t *task) run(base context.Context) {
	service, refusal := t.chooseService()
	if refusal != nil {
		t.refuse(refusal)
		return
	}
	budget := t.g.retryBudget(service.Name)
	budget.Earn()
	t.g.hedges.countRequest(service.Name)
	t.setPrompt(service)
	ctx, cancel := t.withDeadline(base)
	defer func() { cancel() }()
	// refresh evaluates the call again if the configuration has changed since.
	refresh := func() *verdict.Error {
		if !t.configurationChanged() {
			return nil
		}
		next, refusal := t.reevaluate(service)
		if refusal != nil {
			return refusal
		}
		if next.Name != service.Name {
			budget = t.g.retryBudget(next.Name)
			budget.Earn()
			t.g.hedges.countRequest(next.Name)
		}
		service = next
		t.setPrompt(service)
		cancel()
		ctx, cancel = t.withDeadline(base)
		return nil
	}
	for {
		if refusal := refresh(); refusal != nil {
			t.fail(refusal)
			return
		}
		if refusal := t.refuseCrashing(); refusal != nil {
			t.fail(refusal)
			return
		}
		candidate, refusal := t.choose(service)
		if refusal != nil {
			t.g.hedges.recordLoad(service.Name, t.chosenAt)
		}
		if refusal != nil && t.awaitRoom(ctx, refusal) {
			continue
		}
		if refusal != nil {
			t.fail(refusal)
			return
		}
		if t.shouldAwaitPrefill(&candidate) && clock.Sleep(ctx, min(candidate.Wait(), prefillPollInterval)) {
			continue
		}
		if !t.awaitPlace(ctx, &candidate) {
			continue
		}
		if refusal := refresh(); refusal != nil {
			t.fail(refusal)
			return
		}
		if candidate.Entry.Service != service.Name {
			continue
		}
		t.tried = append(t.tried, selector.KeyOf(candidate.Entry))
		failure := t.tryHedged(ctx, service, candidate)
		if failure == nil {
			return
		}
		if failure.mayHaveRun {
			t.ran = verdict.MayHaveRun
		}
		t.logAttempt(candidate, failure)
		if failure.code == codeServersFull || failure.code == codeConfigurationChanged {
			t.tried = t.tried[:len(t.tried)-1] // It may get the request after all.
		}
		if ctx.Err() != nil || !t.mayRetry(failure) || failure.sent && !budget.Spend() {
			t.fail(failure.finalError(t))
			return
		}
		t.g.meters.retries.Mark(1)
	}
}

// chooseService returns the service for the call.
func (t *task) chooseService() (*catalog.Service, *verdict.Error) {
	if t.resumes() {
		return t.pinResumed()
	}
	service := t.pickService()
	if service == nil {
		return nil, noServiceError()
	}
	return service, nil
}

func noServiceError() *verdict.Error {
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "no_server", "no backend server is ready", minServerRetryAfter)
}

// cacheScope returns the name that separates the caches of isolated accounts from all
// others.
func (t *task) cacheScope() string {
	if t.account.Isolated {
		return "account-" + string(t.account.ID)
	}
	return "shared"
}

func (t *task) sharedTokens() int {
	if t.prompt == nil {
		return 0
	}
	return t.prompt.SharedTokens()
}

func (t *task) hasTried(e *fleet.Entry) bool {
	for _, k := range t.tried {
		if k == selector.KeyOf(e) {
			return true
		}
	}
	return false
}

// weightsStaleness returns for how long weights newer than the server's have been the
// required ones.
func (t *task) weightsStaleness(e *fleet.Entry, now time.Time) time.Duration {
	return t.g.opts.Goals.Behind(t.call.Model, e.Weights[t.call.Model], now)
}

// fail ends a call for which no further attempt is made.
func (t *task) fail(e *verdict.Error) {
	if t.begun {
		t.outcome.reason = e.Code
		t.g.meters.failed.Mark(1)
		t.sink.Abort()
		return
	}
	if t.fallback != nil {
		t.recordFirstByte(t.fallback.status)
		t.outcome.reason = "server_error"
		if err := t.sink.Answer(t.fallback.status, t.fallback.header, t.fallback.body); err != nil {
			t.outcome.reason = "caller_gone"
		}
		return
	}
	if t.ran != verdict.NotRun && e.Verdict == verdict.NotRun {
		e = &verdict.Error{Verdict: t.ran, Status: http.StatusBadGateway, Code: e.Code, Message: e.Message}
	}
	t.refuse(e)
}

// refuse sends an error response of the router itself. The retry delay is limited to
// what the caller would wait for.
func (t *task) refuse(e *verdict.Error) {
	if e.Verdict == verdict.NotRun {
		t.g.meters.refused.Mark(1)
	} else {
		t.g.meters.failed.Mark(1)
	}
	if e.RetryAfter > 0 && !e.NoRetry {
		bound := time.Duration(float64(t.timeLeft()) / retryAfterDivisor)
		e.RetryAfter = max(minRetryAfter, min(e.RetryAfter, bound))
	}
	t.outcome.reason, t.outcome.status, t.outcome.refusal = e.Code, e.Status, e
	t.sink.Refuse(e)
}

func (t *task) log() {
	fields := []zap.Field{
		zap.String("request_id", t.call.ID),
		zap.String("account", string(t.account.ID)),
		zap.String("route", t.routeName()),
		zap.String("catalog", t.catalogVersion()),
		zap.String("server", t.outcome.server),
		zap.Int("status", t.outcome.status),
		zap.Stringer("verdict", t.ran),
		zap.Int("sends", t.sends),
		zap.Int("offers", len(t.tried)),
		zap.Duration("first_byte", t.firstByte),
		zap.Duration("total", t.waited()),
		zap.Duration("left", t.timeLeft()),
		zap.Float64("expected_loss", t.outcome.expectedLoss),
	}
	if t.place.Counted {
		fields = append(fields, zap.Duration("place_wait", t.place.In))
	}
	if t.call.LastEvent >= 0 {
		fields = append(fields, zap.Int64("last_event", t.call.LastEvent), zap.String("resumes", fmt.Sprintf("%.64s", t.call.Resumes)),
			zap.String("origin_source", t.outcome.originSource), zap.Int64("first_event", t.outcome.firstEvent-1))
		if t.pinned != nil {
			fields = append(fields, zap.String("origin", t.pinned.Version), zap.Stringer("numbering", t.g.opts.Origins.Numbering(t.pinned.Origin)))
		}
	}
	fields = append(fields, t.outcome.evidence.fields()...)
	if t.prompt != nil {
		fields = append(fields, t.placementFields()...)
	}
	if t.outcome.reason != "" {
		fields = append(fields, zap.String("reason", t.outcome.reason))
	}
	if t.outcome.catalogWait > 0 {
		fields = append(fields, zap.Duration("catalog_wait", t.outcome.catalogWait))
	}
	if t.outcome.hedge != "" {
		fields = append(fields, zap.String("hedge", t.outcome.hedge))
	}
	if t.outcome.crashCause != 0 {
		fields = append(fields, zap.Stringer("crash_cause", t.outcome.crashCause))
	}
	if e := t.outcome.refusal; e != nil {
		fields = append(fields, zap.Duration("retry_after", e.RetryAfter), logging.NamedError("cause", e.Cause))
	}
	if t.route != nil {
		t.g.meters.total[t.route.Kind].Update(t.waited().Milliseconds())
	}
	if t.outcome.reason != "" {
		t.g.meters.count("call", t.outcome.reason, t.ran)
	}
	t.g.opts.Log.Info("request_done", fields...)
}

// placementFields returns the log fields that describe the last choice of an engine.
func (t *task) placementFields() []zap.Field {
	c := &t.outcome.chosen
	return []zap.Field{
		zap.Int("prompt_tokens", t.call.PromptTokens),
		zap.Int("shared_tokens", t.prompt.SharedTokens()),
		zap.String("prefix", t.prompt.Name()),
		zap.Float64("cached", c.CachedTokens),
		zap.Float64("fetched", c.Fetch.Tokens),
		zap.String("fetch_from", c.Fetch.Source),
		zap.Int("running", c.Running),
		zap.Float64("backlog", c.Backlog),
		zap.Float64("pressure", c.Pressure),
		zap.Float64("speed", c.Speed),
		zap.Float64("start_share", c.StartShare),
	}
}

func (t *task) routeName() string {
	if t.route == nil {
		return ""
	}
	return t.route.Name
}

func (t *task) logAttempt(c selector.Candidate, f *failure) {
	t.g.meters.count("attempt", f.code, f.verdict())
	t.g.opts.Log.Warn("attempt_failed",
		zap.String("request_id", t.call.ID),
		zap.String("server", string(c.Entry.ID)),
		zap.Int64("server_started", c.Entry.Started),
		zap.String("software", c.Entry.Software),
		zap.Bool("begun", t.begun),
		zap.Int64("last_event", t.lastEvent),
		zap.Int64("first_event", t.outcome.firstEvent-1),
		zap.Stringer("numbering", t.g.opts.Origins.Numbering(originOf(c.Entry))),
		zap.Stringer("server_revision", c.Entry.Revision),
		zap.Int("attempt", len(t.tried)),
		zap.String("failure", f.code),
		zap.Bool("sent", f.sent),
		zap.Bool("may_have_run", f.mayHaveRun),
		zap.Duration("waited", t.waited()),
		zap.Duration("news_age", t.g.opts.DirectoryAge()),
		logging.Error(f.err))
}
