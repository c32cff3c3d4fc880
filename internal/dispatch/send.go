package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// tokenAllowance is how long an engine may take for one token, about twice the
// usual time between tokens.
const tokenAllowance = 100 * time.Millisecond

var errStalled = errors.New("the server sent nothing for too long")

// exchange is one attempt: a request to one server and the relay of its
// answer.
type exchange struct {
	d      *Dispatcher
	req    Request
	server backend.Server
	relay  *relay
	// parent is the caller's context. Its end is not the server's failure.
	parent    context.Context
	result    *Result
	begin     time.Time
	watch     *watchdog
	observers observers
}

// run makes the attempt. It returns nil when the answer was relayed whole.
func (x *exchange) run() *attemptError {
	ctx, cancel := context.WithCancelCause(x.parent)
	defer cancel(nil)
	x.watch = newWatchdog(cancel, x.headerTimeout())
	defer x.watch.stop()

	out, err := x.newRequest()
	if err != nil {
		return notRun(BadRequest, err)
	}
	resp, failure := x.roundTrip(ctx, out)
	if failure != nil {
		return x.explain(ctx, failure)
	}
	defer resp.Body.Close()
	x.watch.reset(x.d.cfg.StallTimeout)
	x.result.Status = resp.StatusCode
	x.result.Incarnation = backend.Incarnation(resp.Header.Get(openai.HeaderIncarnation))
	x.result.WeightsVersion = resp.Header.Get(openai.HeaderWeightsVersion)
	if failure := x.relayAnswer(resp); failure != nil {
		return x.explain(ctx, failure)
	}
	return nil
}

// headerTimeout returns how long to wait for the answer's header. An engine
// that does not stream sends it only when the last token is there.
func (x *exchange) headerTimeout() time.Duration {
	if x.req.Stream {
		return x.d.cfg.HeaderTimeout
	}
	return x.d.cfg.HeaderTimeout + time.Duration(x.req.MaxTokens)*tokenAllowance
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

// staleConnTries is how many idle connections may turn out to be closed before
// the attempt is given up.
const staleConnTries = 3

// roundTrip sends the request and returns the answer's header. If an idle
// connection turns out to be closed before the first byte, the request is sent
// on another one.
func (x *exchange) roundTrip(ctx context.Context, out *http.Request) (*http.Response, *attemptError) {
	for try := 1; ; try++ {
		trace := &connTrace{}
		resp, err := x.d.transport.RoundTrip(out.WithContext(trace.withContext(ctx)))
		switch {
		case err == nil:
			return resp, nil
		case trace.mayHaveWritten():
			return nil, failed(ConnectionLost, err)
		case !trace.reused:
			return nil, notRun(ConnectFailed, err)
		case try == staleConnTries || ctx.Err() != nil:
			return nil, notRun(NotSent, err)
		}
	}
}

// explain replaces the failure's kind if the attempt was canceled.
func (x *exchange) explain(ctx context.Context, e *attemptError) *attemptError {
	if e.failure == CallerFailed {
		return e
	}
	if x.parent.Err() != nil {
		e.failure = CallerGone
		return e
	}
	if context.Cause(ctx) == errStalled && e.verdict != verdict.NotRun {
		e.failure = Stalled
	}
	return e
}

func (x *exchange) relayAnswer(resp *http.Response) *attemptError {
	if x.isServerError(resp) {
		return failed(ServerError, errors.Errorf("status %d", resp.StatusCode))
	}
	if x.server.Kind == backend.Engine {
		if failure := x.checkEngineHead(resp); failure != nil {
			return failure
		}
	} else if id := resp.Header.Get(openai.HeaderRequestID); id != "" && id != x.req.ID {
		return failed(Crossed, errors.Errorf("answer to request %q", id))
	}
	x.observers.Answered(x.req, *x.result)
	body := &timedReader{r: resp.Body, x: x}
	if x.req.Stream && resp.StatusCode == http.StatusOK {
		return x.relayStream(resp, body)
	}
	if x.relay.started {
		return failed(ServerError, errors.Errorf("status %d to a resume", resp.StatusCode))
	}
	return x.relayWhole(resp, body)
}

// isServerError reports whether an answer with this status is a failed attempt
// and not the answer for the caller. A 404 of an engine means that the engine
// has unloaded the model.
func (x *exchange) isServerError(resp *http.Response) bool {
	status := resp.StatusCode
	if x.server.Kind == backend.Engine {
		return status == http.StatusNotFound || status >= http.StatusInternalServerError && !refusedByContract(resp)
	}
	return x.req.Idempotent && status >= http.StatusInternalServerError
}

// checkEngineHead checks the header of an engine's answer.
func (x *exchange) checkEngineHead(resp *http.Response) *attemptError {
	if refusedByContract(resp) {
		e := notRun(Refused, errors.Errorf("status %d", resp.StatusCode))
		e.retryAfter = retryAfter(resp.Header)
		return e
	}
	if id := resp.Header.Get(openai.HeaderRequestID); id != x.req.ID {
		return failed(Crossed, errors.Errorf("answer to request %q", id))
	}
	if !x.relay.sameWeights(x.result.WeightsVersion) {
		return failed(BadAnswer, errors.New("resumed with other weights"))
	}
	return nil
}

// refusedByContract reports whether an engine promises that it did not run the
// request.
func refusedByContract(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return resp.Header.Get(HeaderNotRun) == "true"
	}
	return false
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// relayStream relays an engine's events until the done marker.
func (x *exchange) relayStream(resp *http.Response, body io.Reader) *attemptError {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return failed(BadAnswer, errors.New("not an event stream"))
	}
	x.relay.beginStream(x.result.WeightsVersion)
	events := sse.NewReader(body, x.d.cfg.MaxEventBytes)
	for {
		event, err := events.Next()
		if err != nil {
			return readError(err)
		}
		act, failure := x.relay.cursor.accept(event.Data)
		if failure != nil {
			return failure
		}
		if act == drop {
			continue
		}
		if err := x.relay.event(resp, event.Data); err != nil {
			return failed(CallerFailed, err)
		}
		if act == done {
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

// drain reads the end of a stream after its done marker, so that the
// connection can be used again.
func (x *exchange) drain(body io.Reader) {
	x.watch.reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}

// relayWhole relays an answer that is not an engine's stream. An engine's
// answer is held until it is complete, and so is a short one of a service. A
// longer one is passed on as it comes.
func (x *exchange) relayWhole(resp *http.Response, body io.Reader) *attemptError {
	limit := x.d.cfg.HoldBytes
	if x.server.Kind == backend.Engine {
		limit = x.d.cfg.MaxAnswerBytes
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		limit = 0
	}
	held, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return readError(err)
	}
	if len(held) <= limit {
		return x.relayHeld(resp, held)
	}
	if x.server.Kind == backend.Engine {
		return failed(BadAnswer, errors.New("answer too long"))
	}
	return x.relayLong(resp, held, body)
}

func (x *exchange) relayHeld(resp *http.Response, held []byte) *attemptError {
	if x.server.Kind == backend.Engine && resp.StatusCode == http.StatusOK && x.req.Model != "" {
		if failure := x.checkCompletion(held); failure != nil {
			return failure
		}
	}
	length := int64(len(held))
	if x.req.Method == http.MethodHead {
		length = resp.ContentLength
	}
	if err := x.relay.whole(resp, length, held); err != nil {
		return failed(CallerFailed, err)
	}
	return nil
}

// checkCompletion checks that the body is the whole answer to this request.
func (x *exchange) checkCompletion(body []byte) *attemptError {
	var answer struct {
		ID    string       `json:"id"`
		Usage *engineUsage `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return failed(Truncated, errors.Wrap(err, "answer"))
	}
	if answer.ID != x.req.ID {
		return failed(Crossed, errors.Errorf("answer to request %q", answer.ID))
	}
	if answer.Usage != nil {
		x.result.Usage = answer.Usage.usage()
		x.relay.cursor.delivered = answer.Usage.CompletionTokens
	}
	return nil
}

const copyBufferBytes = 32 << 10

func (x *exchange) relayLong(resp *http.Response, held []byte, body io.Reader) *attemptError {
	if err := x.relay.whole(resp, resp.ContentLength, held); err != nil {
		return failed(CallerFailed, err)
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := x.relay.sink.Body(buf[:n]); err != nil {
				return failed(CallerFailed, err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return readError(err)
		}
	}
}

// readError classifies an error within the answer's body.
func readError(err error) *attemptError {
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF:
		return failed(Truncated, errors.New("the answer has no end"))
	case errors.Is(err, sse.ErrTooLong):
		return failed(BadAnswer, err)
	default:
		return failed(ConnectionLost, err)
	}
}

func (x *exchange) verdict(e *attemptError) verdict.Verdict {
	if e == nil {
		return verdict.Ran
	}
	return e.verdict
}
