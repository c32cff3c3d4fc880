package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/httphead"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/stall"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// maxTimePerToken is the time allowed for one output token, about twice the
// usual time between tokens.
const maxTimePerToken = 100 * time.Millisecond

// exchange is one attempt: a request to one server and the relay of its
// response.
type exchange struct {
	d      *Dispatcher
	req    Request
	server backend.Server
	relay  *relay
	// callerCtx is the caller's context. A failure after it has ended is not
	// attributed to the server.
	callerCtx context.Context
	result    *Result
	startedAt time.Time
	watchdog  *stall.Watchdog
	// trace records the connection of the request.
	trace     *connTrace
	observers observers
}

// run makes the attempt. It returns nil if the whole response was relayed.
func (x *exchange) run() *attemptError {
	ctx, cancel := context.WithCancelCause(x.callerCtx)
	defer cancel(nil)
	x.watchdog = stall.NewWatchdog(cancel, x.headerTimeout())
	defer x.watchdog.Stop()

	out, err := x.newRequest()
	if err != nil {
		return failedNotRun(BadRequest, err)
	}
	if peek.CallerGone(x.callerCtx) {
		return failedNotRun(CallerCanceled, errors.New("the caller left before the request was sent"))
	}
	resp, failure := x.roundTrip(ctx, out)
	if failure != nil {
		return x.attributeFailure(ctx, failure)
	}
	defer resp.Body.Close()
	x.watchdog.Reset(x.d.cfg.StallTimeout)
	x.result.Status = resp.StatusCode
	x.result.Incarnation = backend.Incarnation(resp.Header.Get(openai.HeaderIncarnation))
	x.result.WeightsVersion = resp.Header.Get(openai.HeaderWeightsVersion)
	if failure := x.relayResponse(resp); failure != nil {
		return x.attributeFailure(ctx, failure)
	}
	return nil
}

// headerTimeout returns how long to wait for the response header. An engine that
// does not stream sends it only after the last token.
func (x *exchange) headerTimeout() time.Duration {
	if x.req.Stream {
		return x.d.cfg.HeaderTimeout
	}
	return x.d.cfg.HeaderTimeout + time.Duration(x.req.MaxTokens)*maxTimePerToken
}

func (x *exchange) newRequest() (*http.Request, error) {
	u, err := url.Parse(strings.TrimSuffix(x.server.URL, "/") + x.req.Path)
	if err != nil {
		return nil, errors.Wrap(err, "server URL")
	}
	body := x.req.Body
	if x.server.Kind == backend.Engine && x.req.Model != "" {
		body, err = engineBody(body, engineFields{
			CacheSalt:  x.req.CacheSalt,
			Hints:      x.req.Hints,
			ResumeFrom: x.relay.cursor.delivered,
			Stream:     x.req.Stream,
		})
		if err != nil {
			return nil, err
		}
	}
	header := x.req.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(openai.HeaderRequestID, x.req.ID)
	return &http.Request{
		Method:        x.req.Method,
		URL:           u,
		Host:          u.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          newSingleUseBody(body),
		ContentLength: int64(len(body)),
	}, nil
}

// maxStaleConns is the number of closed idle connections after which the attempt
// fails.
const maxStaleConns = 3

// roundTrip sends the request and returns the response after its header has
// arrived. If a reused idle connection is closed before the first byte is
// written, the request is sent on another connection.
func (x *exchange) roundTrip(ctx context.Context, out *http.Request) (*http.Response, *attemptError) {
	for try := 1; ; try++ {
		trace := &connTrace{}
		resp, err := x.d.transport.RoundTrip(out.WithContext(trace.withContext(ctx)))
		if err == nil {
			x.trace = trace
			return resp, nil
		}
		wrote := trace.mayHaveWritten()
		switch {
		case wrote && (errors.Is(err, httphead.ErrMalformed) || errors.Is(err, httphead.ErrTooLong)):
			return nil, failedMayHaveRun(InvalidResponse, err)
		case wrote:
			return nil, failedMayHaveRun(ConnectionLost, err)
		case !trace.reused:
			return nil, failedNotRun(ConnectFailed, err)
		case try == maxStaleConns || ctx.Err() != nil:
			return nil, failedNotRun(NotSent, err)
		}
	}
}

// attributeFailure changes the kind of the failure to CallerCanceled or Stalled if
// the attempt was canceled by the caller or the watchdog.
func (x *exchange) attributeFailure(ctx context.Context, e *attemptError) *attemptError {
	if e.failure == CallerFailed {
		return e
	}
	if x.callerCtx.Err() != nil {
		e.failure = CallerCanceled
		return e
	}
	if context.Cause(ctx) == stall.ErrStalled && e.verdict != verdict.NotRun {
		e.failure = Stalled
	}
	return e
}

func (x *exchange) relayResponse(resp *http.Response) *attemptError {
	if x.isServerError(resp) {
		return failedMayHaveRun(ServerError, errors.Errorf("status %d", resp.StatusCode))
	}
	if x.server.Kind == backend.Engine {
		if failure := x.checkEngineHeader(resp); failure != nil {
			return failure
		}
	} else if id := resp.Header.Get(openai.HeaderRequestID); id != "" && id != x.req.ID {
		return x.wrongRequestID(id)
	}
	x.observers.Answered(x.req, *x.result)
	body := &timedReader{r: resp.Body, x: x}
	if x.req.Stream && resp.StatusCode == http.StatusOK {
		return x.relayStream(resp, body)
	}
	if x.relay.started {
		return failedMayHaveRun(ServerError, errors.Errorf("status %d in reply to a resumed stream", resp.StatusCode))
	}
	return x.relayBody(resp, body)
}

// isServerError reports whether the response's status means that the attempt
// failed, so that the response is not relayed to the caller. A 404 of an engine
// means that the engine has unloaded the model.
func (x *exchange) isServerError(resp *http.Response) bool {
	status := resp.StatusCode
	if x.server.Kind == backend.Engine {
		return status == http.StatusNotFound || status >= http.StatusInternalServerError && !confirmsNotRun(resp)
	}
	return x.req.Idempotent && status >= http.StatusInternalServerError
}

// checkEngineHeader checks the status and header of an engine's response.
func (x *exchange) checkEngineHeader(resp *http.Response) *attemptError {
	id := resp.Header.Get(openai.HeaderRequestID)
	// A refusal without an ID on a reused connection may be that of an earlier request.
	if confirmsNotRun(resp) && (id == x.req.ID || id == "" && !x.trace.isReused()) {
		e := failedNotRun(Refused, errors.Errorf("status %d", resp.StatusCode))
		var err error
		if e.retryAfter, err = ratelimit.ParseBackoff(resp.Header.Values("Retry-After")); err != nil {
			e.cause = errors.Wrap(e.cause, err.Error())
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			x.result.Backoff = e.retryAfter
		}
		return e
	}
	if id != x.req.ID {
		return x.wrongRequestID(id)
	}
	if !x.relay.weightsMatch(x.result.WeightsVersion) {
		return failedMayHaveRun(InvalidResponse, errors.New("stream resumed with a different weights version"))
	}
	return nil
}

// wrongRequestID returns the failure of a response that belongs to another request, and closes the
// connection, on which the response to this request may still arrive.
func (x *exchange) wrongRequestID(id string) *attemptError {
	x.trace.close()
	return failedMayHaveRun(WrongRequestID, errors.Errorf("response carries the ID of request %q", id))
}

// confirmsNotRun reports whether the engine guarantees that it did not run the
// request.
func confirmsNotRun(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return resp.Header.Get(HeaderNotRun) == "true"
	}
	return false
}

// relayStream relays an engine's events until the done marker.
func (x *exchange) relayStream(resp *http.Response, body io.Reader) *attemptError {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return failedMayHaveRun(InvalidResponse, errors.New("not an event stream"))
	}
	x.relay.beginStream(x.result.WeightsVersion)
	events := sse.NewReader(body, x.d.cfg.MaxEventBytes)
	held, release := x.d.holdResponse()
	defer release()
	if held != nil {
		events.CountMemory(held)
	}
	for {
		event, err := events.Next()
		if err != nil {
			return readError(err)
		}
		act, failure := x.relay.cursor.accept(event.Data)
		if failure != nil {
			return failure
		}
		if act == actionDrop {
			continue
		}
		if err := x.relay.event(resp, event.Data); err != nil {
			return failedMayHaveRun(CallerFailed, err)
		}
		if act == actionDone {
			x.result.Usage = x.relay.cursor.usage
			x.drain(resp.Body)
			return nil
		}
	}
}

const (
	drainBytes   = 512
	drainTimeout = 50 * time.Millisecond
)

// drain reads the rest of a stream after its done marker, so that the connection
// can be reused.
func (x *exchange) drain(body io.Reader) {
	x.watchdog.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}

// readError classifies an error while reading the response body.
func readError(err error) *attemptError {
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF:
		return failedMayHaveRun(Truncated, errors.New("the response ended before it was complete"))
	case errors.Is(err, sse.ErrTooLong):
		return failedMayHaveRun(InvalidResponse, err)
	case errors.Is(err, sse.ErrNoMemory):
		return failedMayHaveRun(MemoryShort, err)
	default:
		return failedMayHaveRun(ConnectionLost, err)
	}
}

func (x *exchange) verdict(e *attemptError) verdict.Verdict {
	if e == nil {
		return verdict.Ran
	}
	return e.verdict
}
