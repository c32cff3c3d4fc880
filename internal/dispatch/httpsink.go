package dispatch

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// HTTPSink writes the answer to a caller.
type HTTPSink struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	started      bool
	stream       bool
	buf          []byte
}

// NewHTTPSink returns a sink for w. A caller that does not take a write within
// writeTimeout is cut off, which ends the request.
func NewHTTPSink(w http.ResponseWriter, writeTimeout time.Duration) *HTTPSink {
	return &HTTPSink{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Start implements Sink.
func (s *HTTPSink) Start(h Head) error {
	s.started = true
	s.stream = h.Stream
	header := s.w.Header()
	for name, values := range h.Header {
		header[name] = values
	}
	if h.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(h.Length, 10))
	}
	if h.Stream {
		header.Set("Cache-Control", "no-cache")
	}
	s.w.WriteHeader(h.Status)
	return nil
}

// Event implements Sink.
func (s *HTTPSink) Event(data []byte) error {
	s.buf = sse.Append(s.buf[:0], data)
	return s.Body(s.buf)
}

// Body implements Sink.
func (s *HTTPSink) Body(p []byte) error {
	// A writer without deadlines, as in some tests, is used as it is.
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

// Fail ends the answer with an error. Before the answer has started it is
// written as the response. Afterwards an event stream gets an error event, and
// the connection is broken off by panicking with http.ErrAbortHandler, so that
// the answer does not look complete.
func (s *HTTPSink) Fail(e *verdict.Error) {
	body, _ := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{
		Message: e.Message,
		Type:    openai.ErrorType(e.Status),
		Code:    e.Code,
		Verdict: e.Verdict.String(),
	}})
	if s.started {
		if s.stream {
			_ = s.Event(body)
		}
		panic(http.ErrAbortHandler)
	}
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	s.w.WriteHeader(e.Status)
	_ = s.Body(body)
}
