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

// HTTPSink writes the response to a caller over HTTP.
type HTTPSink struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	started      bool
	stream       bool
	buf          []byte
}

// NewHTTPSink returns a sink for w. A write that takes longer than writeTimeout
// fails, which ends the request.
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
	// The error is ignored: some writers, such as those of tests, do not
	// support deadlines.
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

// Fail ends the response with an error. If the response has not started, the
// error is written as the whole response. Otherwise an event stream gets an
// error event, and the connection is aborted by a panic with
// http.ErrAbortHandler, so that the response does not look complete.
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
