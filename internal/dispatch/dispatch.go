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
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// Config sets the limits of a Dispatcher. Zero values mean the defaults.
type Config struct {
	Retry RetryPolicy
	// Budget is shared by all requests of this VM.
	Budget *RetryBudget
	// HeaderTimeout bounds the wait for the answer's header. A request that is
	// not streamed gets more by its MaxTokens.
	HeaderTimeout time.Duration
	// StallTimeout bounds the wait for each further byte.
	StallTimeout time.Duration
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// MaxAnswerBytes bounds an engine's answer that is not a stream.
	MaxAnswerBytes int
	// HoldBytes is how much of a service's answer is held back until it is
	// complete.
	HoldBytes int
	// TLS is the configuration towards backend servers. May be nil.
	TLS *tls.Config
	// Observer learns of the attempts of all requests. May be nil.
	Observer Observer
	// Now is the monotonic clock.
	Now func() time.Time
	// Random returns a number in [0, 1) and may be called concurrently.
	Random func() float64
}

// Default limits.
const (
	DefaultHeaderTimeout  = 30 * time.Second
	DefaultStallTimeout   = 10 * time.Second
	DefaultMaxAnswerBytes = 8 << 20
	DefaultHoldBytes      = 256 << 10
)

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	cfg       Config
	transport *http.Transport
}

// New returns a Dispatcher.
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
	setDefault(&cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&cfg.HoldBytes, DefaultHoldBytes)
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

// Close closes idle connections.
func (d *Dispatcher) Close() { d.transport.CloseIdleConnections() }

// Do sends the request to a server that p picks and relays the answer to sink.
// After a failed attempt it goes on with another server where the request
// cannot have run or is idempotent; a stream is resumed at the exact token.
// The error is a *verdict.Error. If the outcome is Started the answer must then
// be broken off, so that it does not look complete.
func (d *Dispatcher) Do(ctx context.Context, req Request, p Picker, sink Sink) (Outcome, error) {
	d.cfg.Budget.Earn()
	c := &call{d: d, req: req, relay: &relay{sink: sink}, begin: d.cfg.Now()}
	c.relay.cursor.requestID = req.ID
	c.relay.cursor.hideUsage = !asksForUsage(req.Body)
	c.attempt.Number = 1
	c.observers = d.observers(p)
	c.ran = verdict.NotRun
	err := c.loop(ctx, p)
	c.out.Started = c.relay.started
	c.out.Delivered = c.relay.cursor.delivered
	if err != nil {
		c.out.Verdict = err.Verdict
		return c.out, err
	}
	c.out.Verdict = verdict.Ran
	return c.out, nil
}

// call is the state of one request over its attempts.
type call struct {
	d         *Dispatcher
	req       Request
	relay     *relay
	begin     time.Time
	attempt   Attempt
	out       Outcome
	observers observers
	// ran is NotRun until an attempt may have run.
	ran verdict.Verdict
}

func (c *call) loop(ctx context.Context, p Picker) *verdict.Error {
	var last *attemptError
	for {
		server, err := p.Pick(ctx, c.req, c.attempt)
		if err != nil {
			return c.pickFailed(err, last)
		}
		if h, ok := p.(Hinter); ok {
			c.req.Hints = h.Hints(server.ID)
		}
		last = c.try(ctx, server)
		if last == nil {
			return nil
		}
		if c.endsHere(last) {
			return c.finishStream()
		}
		if last.verdict != verdict.NotRun {
			c.ran = verdict.MayHaveRun
		}
		if !c.mayRetry(last) {
			return last.final(c.ran)
		}
		pause := c.d.cfg.Retry.backoff(c.attempt.Number, c.d.cfg.Random())
		if !clock.Sleep(ctx, pause) {
			return failed(CallerGone, ctx.Err()).final(c.ran)
		}
		c.attempt.Number++
		c.attempt.Tried = append(c.attempt.Tried, server.ID)
	}
}

// endsHere reports whether the caller has all but the end of the stream, so
// that no other engine needs to go on.
func (c *call) endsHere(e *attemptError) bool {
	if e.failure == CallerGone || e.failure == CallerFailed {
		return false
	}
	return c.req.Stream && c.relay.started && c.relay.cursor.complete()
}

// finishStream sends the event that ends the stream.
func (c *call) finishStream() *verdict.Error {
	c.ran = verdict.Ran
	c.out.Usage = c.relay.cursor.usage
	if err := c.relay.sink.Event([]byte(doneMarker)); err != nil {
		return failed(CallerFailed, err).final(c.ran)
	}
	return nil
}

// try makes one attempt.
func (c *call) try(ctx context.Context, server backend.Server) *attemptError {
	c.attempt.Delivered = c.relay.cursor.delivered
	c.observers.Started(c.req, c.attempt, server)
	result := Result{Attempt: c.attempt, Server: server}
	begin := c.d.cfg.Now()
	x := &exchange{d: c.d, req: c.req, server: server, relay: c.relay, parent: ctx, result: &result, begin: begin, observers: c.observers}
	failure := x.run()

	result.Duration = c.d.cfg.Now().Sub(begin)
	result.Delivered = c.relay.cursor.delivered
	result.Verdict = x.verdict(failure)
	if failure != nil {
		result.Failure = failure.failure
		result.Err = failure
	}
	c.observers.Ended(c.req, result)
	c.record(result, begin)
	return failure
}

func (c *call) record(r Result, begin time.Time) {
	c.out.Attempts = r.Attempt.Number
	c.out.Server = r.Server.ID
	c.out.Incarnation = r.Incarnation
	c.out.Status = r.Status
	c.out.Usage = r.Usage
	if c.out.FirstByte == 0 && r.FirstByte > 0 {
		c.out.FirstByte = begin.Sub(c.begin) + r.FirstByte
	}
}

// mayRetry decides on another attempt. Going on with a stream that the caller
// has part of is not held back by the retry budget: it is bounded by the
// number of attempts, and refusing it would cut the stream.
func (c *call) mayRetry(e *attemptError) bool {
	if !c.d.cfg.Retry.allows(c.attempt.Number, e.failure, e.verdict, c.req.Idempotent) {
		return false
	}
	if c.relay.started {
		return c.req.Stream
	}
	return c.d.cfg.Budget.Spend()
}

// pickFailed returns the final error when no server could be picked. It never
// says NotRun if an earlier attempt may have run.
func (c *call) pickFailed(err error, last *attemptError) *verdict.Error {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.RefuseUntil(http.StatusServiceUnavailable, "no_backend_server", "no backend server is available", defaultRetryAfter)
		refusal.Cause = err
	}
	out := *refusal
	if c.ran != verdict.NotRun {
		out.Verdict = c.ran
	}
	if out.Cause == nil && last != nil {
		out.Cause = last
	}
	return &out
}
