package dispatch

import (
	"io"
	"net/http"
)

// relay passes the response on to the sink. One relay serves all attempts of a
// request. Each attempt has ended before the next begins, so that no late byte
// of an earlier attempt can be relayed.
type relay struct {
	sink    Sink
	cursor  cursor
	started bool
	// weightsVersion is the weights version of the engine that produced the
	// first token.
	weightsVersion string
}

// weightsMatch reports whether an engine with this weights version may continue
// the stream.
func (r *relay) weightsMatch(version string) bool {
	return r.cursor.delivered == 0 || version == r.weightsVersion
}

// beginStream prepares the relay for the stream of an attempt.
func (r *relay) beginStream(weightsVersion string) {
	if r.cursor.delivered == 0 {
		r.weightsVersion = weightsVersion
	}
	r.cursor.beginAttempt()
}

// event passes one event on. It starts the sink before the first event.
func (r *relay) event(resp *http.Response, data []byte) error {
	if !r.started {
		if err := r.start(resp, -1, true); err != nil {
			return err
		}
	}
	return r.sink.Event(data)
}

// startBody starts the sink and passes on the first part of the body, or all of
// it.
func (r *relay) startBody(resp *http.Response, length int64, body []byte) error {
	if err := r.start(resp, length, false); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	return r.sink.Body(body)
}

func (r *relay) start(resp *http.Response, length int64, stream bool) error {
	r.started = true
	return r.sink.Start(Head{
		Status: resp.StatusCode,
		Header: SanitizeResponse(resp.Header),
		Length: length,
		Stream: stream,
	})
}

// timedReader runs the watchdog only while a read waits for the server, so that
// a slow caller does not make the server appear stalled.
type timedReader struct {
	r io.Reader
	x *exchange
}

// Read implements io.Reader.
func (t *timedReader) Read(p []byte) (int, error) {
	t.x.watchdog.Reset(t.x.d.cfg.StallTimeout)
	n, err := t.r.Read(p)
	t.x.watchdog.Stop()
	if n > 0 && t.x.result.FirstByte == 0 {
		t.x.result.FirstByte = t.x.d.cfg.Now().Sub(t.x.startedAt)
	}
	return n, err
}
