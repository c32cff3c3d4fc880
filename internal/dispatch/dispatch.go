package dispatch

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/serverconn"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// Config sets the limits of a Dispatcher. Zero values mean the defaults.
type Config struct {
	Retry RetryPolicy
	// Budget is the retry budget that all requests of this VM share.
	Budget *RetryBudget
	// HeaderTimeout bounds the wait for the response header. For a request
	// that is not streamed it is extended in proportion to MaxTokens.
	HeaderTimeout time.Duration
	// StallTimeout bounds the wait for each read of the response body.
	StallTimeout time.Duration
	// MaxEventBytes bounds the size of one stream event.
	MaxEventBytes int
	// MaxResponseBytes bounds the size of an engine's response that is not a
	// stream.
	MaxResponseBytes int
	// BufferBytes is the size up to which a service's response is buffered
	// until it is complete. A larger one is passed on as it arrives.
	BufferBytes int
	// Responses is the budget for responses that are held until they are complete, and for long
	// events. May be nil.
	Responses *membudget.Budget
	// TLS is the client configuration for backend servers. May be nil.
	TLS *tls.Config
	// Observer is notified of the attempts of all requests. May be nil.
	Observer Observer
	// Now returns the current time of a monotonic clock.
	Now func() time.Time
	// Random returns a number in [0, 1) and may be called concurrently.
	Random func() float64
}

// Default limits.
const (
	DefaultHeaderTimeout    = 30 * time.Second
	DefaultStallTimeout     = 10 * time.Second
	DefaultMaxResponseBytes = 8 << 20
	DefaultBufferBytes      = 256 << 10
)

// Dispatcher sends requests to backend servers and relays their responses.
type Dispatcher struct {
	cfg       Config
	transport *serverconn.Transport
}

// New returns a Dispatcher with the given configuration.
func New(cfg Config) *Dispatcher {
	if cfg.Retry.MaxAttempts == 0 {
		cfg.Retry = DefaultRetryPolicy
	}
	if cfg.Budget == nil {
		cfg.Budget = NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve)
	}
	setDefault(&cfg.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&cfg.StallTimeout, DefaultStallTimeout)
	setDefault(&cfg.MaxEventBytes, sse.MaxEventBytes)
	setDefault(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&cfg.BufferBytes, DefaultBufferBytes)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Dispatcher{cfg: cfg, transport: newTransport(cfg.TLS)}
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// holdResponse returns an empty reservation for a response, nil without a budget, and a function that
// releases it.
func (d *Dispatcher) holdResponse() (*membudget.Reservation, func()) {
	if d.cfg.Responses == nil {
		return nil, func() {}
	}
	held := d.cfg.Responses.Open(membudget.Response)
	return held, held.Close
}

// Close closes idle connections.
func (d *Dispatcher) Close() { d.transport.CloseIdleConnections() }

// Do sends the request to a server chosen by p and relays the response to sink.
// After a failed attempt it retries on another server if the request cannot
// have run or is idempotent; a stream is resumed at the exact token. The error
// is a *verdict.Error. If Do fails and the outcome is Started, the caller's
// response must be aborted so that it does not look complete.
func (d *Dispatcher) Do(ctx context.Context, req Request, p Picker, sink Sink) (Outcome, error) {
	d.cfg.Budget.Earn()
	c := &call{d: d, req: req, relay: &relay{sink: sink}, startedAt: d.cfg.Now()}
	c.relay.cursor.requestID = req.ID
	c.relay.cursor.hideUsage = !requestsUsage(req.Body)
	c.attempt.Number = 1
	c.observers = d.observers(p)
	c.overallVerdict = verdict.NotRun
	err := c.runAttempts(ctx, p)
	c.out.Started = c.relay.started
	c.out.Delivered = c.relay.cursor.delivered
	if err != nil {
		c.out.Verdict = err.Verdict
		return c.out, err
	}
	c.out.Verdict = verdict.Ran
	return c.out, nil
}

// call holds the state of one request over all its attempts.
type call struct {
	d         *Dispatcher
	req       Request
	relay     *relay
	startedAt time.Time
	attempt   Attempt
	out       Outcome
	observers observers
	// overallVerdict covers all attempts: it is NotRun until one of them may have
	// run.
	overallVerdict verdict.Verdict
}

// runAttempts makes attempts until one succeeds or no further one is allowed.
func (c *call) runAttempts(ctx context.Context, p Picker) *verdict.Error {
	var lastFailure *attemptError
	for {
		server, err := p.Pick(ctx, c.req, c.attempt)
		if err != nil {
			return c.pickError(err, lastFailure)
		}
		if h, ok := p.(Hinter); ok {
			c.req.Hints = h.Hints(server.ID)
		}
		lastFailure = c.makeAttempt(ctx, server)
		if lastFailure == nil {
			return nil
		}
		if c.onlyDoneMissing(lastFailure) {
			return c.finishStream()
		}
		if lastFailure.verdict != verdict.NotRun {
			c.overallVerdict = verdict.MayHaveRun
		}
		if !c.mayRetry(lastFailure) {
			return lastFailure.callerError(c.overallVerdict)
		}
		pause := c.d.cfg.Retry.backoff(c.attempt.Number, c.d.cfg.Random())
		if !clock.Sleep(ctx, pause) {
			return failedMayHaveRun(CallerCanceled, ctx.Err()).callerError(c.overallVerdict)
		}
		c.attempt.Number++
		c.attempt.Tried = append(c.attempt.Tried, server.ID)
	}
}

// onlyDoneMissing reports whether the caller has the whole stream except for the
// done marker, so that no further attempt is needed.
func (c *call) onlyDoneMissing(e *attemptError) bool {
	if e.failure == CallerCanceled || e.failure == CallerFailed {
		return false
	}
	return c.req.Stream && c.relay.started && c.relay.cursor.complete()
}

// finishStream sends the done marker.
func (c *call) finishStream() *verdict.Error {
	c.overallVerdict = verdict.Ran
	c.out.Usage = c.relay.cursor.usage
	if err := c.relay.sink.Event([]byte(doneMarker)); err != nil {
		return failedMayHaveRun(CallerFailed, err).callerError(c.overallVerdict)
	}
	return nil
}

// makeAttempt makes one attempt on server and notifies the observers.
func (c *call) makeAttempt(ctx context.Context, server backend.Server) *attemptError {
	c.attempt.Delivered = c.relay.cursor.delivered
	c.observers.Started(c.req, c.attempt, server)
	result := Result{Attempt: c.attempt, Server: server}
	startedAt := c.d.cfg.Now()
	x := &exchange{d: c.d, req: c.req, server: server, relay: c.relay, callerCtx: ctx, result: &result, startedAt: startedAt, observers: c.observers}
	failure := x.run()

	result.Duration = c.d.cfg.Now().Sub(startedAt)
	result.Delivered = c.relay.cursor.delivered
	result.Verdict = x.verdict(failure)
	if failure != nil {
		result.Failure = failure.failure
		result.Err = failure
	}
	c.observers.Ended(c.req, result)
	c.recordOutcome(result, startedAt)
	return failure
}

// recordOutcome updates the outcome with the result of the last attempt.
func (c *call) recordOutcome(r Result, attemptStart time.Time) {
	c.out.Attempts = r.Attempt.Number
	c.out.Server = r.Server.ID
	c.out.Incarnation = r.Incarnation
	c.out.Status = r.Status
	c.out.Usage = r.Usage
	if c.out.FirstByte == 0 && r.FirstByte > 0 {
		c.out.FirstByte = attemptStart.Sub(c.startedAt) + r.FirstByte
	}
}

// mayRetry reports whether another attempt may follow. Resuming a stream that
// the caller has part of does not use the retry budget: it is bounded by the
// maximum number of attempts, and denying it would truncate the stream.
func (c *call) mayRetry(e *attemptError) bool {
	if !c.d.cfg.Retry.allows(c.attempt.Number, e.failure, e.verdict, c.req.Idempotent) {
		return false
	}
	if c.relay.started {
		return c.req.Stream
	}
	return c.d.cfg.Budget.Spend()
}

// pickError returns the error for the caller when no server could be picked. Its
// verdict is never NotRun if an earlier attempt may have run.
func (c *call) pickError(err error, lastFailure *attemptError) *verdict.Error {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.RefuseUntil(http.StatusServiceUnavailable, "no_backend_server", "no backend server is available", defaultRetryAfter)
		refusal.Cause = err
	}
	out := *refusal
	if c.overallVerdict != verdict.NotRun {
		out.Verdict = c.overallVerdict
	}
	if out.Cause == nil && lastFailure != nil {
		out.Cause = lastFailure
	}
	return &out
}
