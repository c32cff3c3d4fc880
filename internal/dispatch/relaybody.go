package dispatch

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/openai"
)

// relayBody relays a response that is not an engine's stream. An engine's
// response and a short one of a service are buffered until they are complete. A
// longer response of a service is passed on as it arrives.
func (x *exchange) relayBody(resp *http.Response, body io.Reader) *attemptError {
	limit := x.d.cfg.BufferBytes
	if x.server.Kind == backend.Engine {
		limit = x.d.cfg.MaxResponseBytes
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		limit = 0
	}
	held, release := x.d.holdResponse()
	defer release()
	buffered, ended, err := membudget.Read(body, limit, held)
	if err != nil {
		return readError(err)
	}
	if ended {
		if failure := x.checkUnframedEnd(resp, buffered); failure != nil {
			return failure
		}
		return x.relayBuffered(resp, buffered)
	}
	if x.server.Kind == backend.Engine {
		if len(buffered) <= limit {
			return failedMayHaveRun(MemoryShort, errors.Errorf("no memory for more than %d bytes of the response", len(buffered)))
		}
		return failedMayHaveRun(InvalidResponse, errors.New("response exceeds the size limit"))
	}
	if err := x.relay.startBody(resp, resp.ContentLength, buffered); err != nil {
		return failedMayHaveRun(CallerFailed, err)
	}
	release()
	return x.relayRest(resp, body)
}

func (x *exchange) relayBuffered(resp *http.Response, buffered []byte) *attemptError {
	if x.server.Kind == backend.Engine && resp.StatusCode == http.StatusOK && x.req.Model != "" {
		if failure := x.checkCompletion(buffered); failure != nil {
			return failure
		}
	}
	length := int64(len(buffered))
	if x.req.Method == http.MethodHead {
		length = resp.ContentLength
	}
	if err := x.relay.startBody(resp, length, buffered); err != nil {
		return failedMayHaveRun(CallerFailed, err)
	}
	return nil
}

// checkCompletion checks that the body is a complete response to this request.
func (x *exchange) checkCompletion(body []byte) *attemptError {
	var completion struct {
		ID    string       `json:"id"`
		Usage *engineUsage `json:"usage"`
	}
	if err := json.Unmarshal(body, &completion); err != nil {
		return failedMayHaveRun(Truncated, errors.Wrap(err, "completion"))
	}
	if completion.ID != x.req.ID {
		return failedMayHaveRun(WrongRequestID, errors.Errorf("completion carries the ID of request %q", completion.ID))
	}
	if completion.Usage != nil {
		x.result.Usage = completion.Usage.toUsage()
		x.relay.cursor.delivered = completion.Usage.CompletionTokens
	}
	return nil
}

const copyBufferBytes = 32 << 10

// relayRest relays the rest of a response as it arrives.
func (x *exchange) relayRest(resp *http.Response, body io.Reader) *attemptError {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := x.relay.sink.Body(buf[:n]); err != nil {
				return failedMayHaveRun(CallerFailed, err)
			}
		}
		if err == io.EOF {
			if failure := x.checkUnframedEnd(resp, nil); failure != nil {
				return failure
			}
			return nil
		}
		if err != nil {
			return readError(err)
		}
	}
}

// checkUnframedEnd returns a failure if a response that ended with its connection may not be whole: if
// its server accepts no connections any more, or another response to the request follows it.
func (x *exchange) checkUnframedEnd(resp *http.Response, body []byte) *attemptError {
	if hop.Framed(resp) || resp.Request == nil {
		return nil
	}
	if hop.ContainsResponse(body, x.req.Method, func(r *http.Response) bool { return r.Header.Get(openai.HeaderRequestID) == x.req.ID }) {
		return failedMayHaveRun(InvalidResponse, errors.New("another response follows the body"))
	}
	c, err := hop.Dial(x.callerCtx, resp.Request.URL.Host)
	if err != nil {
		return failedMayHaveRun(Truncated, errors.Wrap(err, "the server accepts no connections after the end of its response"))
	}
	if err := c.Close(); err != nil {
		return failedMayHaveRun(Truncated, err)
	}
	return nil
}
