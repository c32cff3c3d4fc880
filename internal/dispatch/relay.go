package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// relay passes the answer on to the sink. It lives through all attempts of one
// request, each of which has ended before the next begins, so that no late
// byte of an earlier attempt can get in.
type relay struct {
	sink    Sink
	cursor  cursor
	started bool
	// weights is the version that the stream began with.
	weights string
}

// sameWeights reports whether an engine with this weights version may go on
// with the stream.
func (r *relay) sameWeights(version string) bool {
	return r.cursor.delivered == 0 || version == r.weights
}

// beginStream begins an attempt of a stream.
func (r *relay) beginStream(weights string) {
	if r.cursor.delivered == 0 {
		r.weights = weights
	}
	r.cursor.resume()
}

// event passes one event on and starts the sink before the first.
func (r *relay) event(resp *http.Response, data []byte) error {
	if !r.started {
		if err := r.start(resp, -1, true); err != nil {
			return err
		}
	}
	return r.sink.Event(data)
}

// whole starts the sink and passes on the body or its beginning.
func (r *relay) whole(resp *http.Response, length int64, body []byte) error {
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

// watchdog cancels an attempt whose server falls silent.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(cancel context.CancelCauseFunc, d time.Duration) *watchdog {
	return &watchdog{timer: time.AfterFunc(d, func() { cancel(errStalled) })}
}

func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }

func (w *watchdog) stop() { w.timer.Stop() }

// timedReader runs the watchdog only while a read waits for the server, so
// that a slow caller does not make the server look stalled.
type timedReader struct {
	r io.Reader
	x *exchange
}

// Read implements io.Reader.
func (t *timedReader) Read(p []byte) (int, error) {
	t.x.watch.reset(t.x.d.cfg.StallTimeout)
	n, err := t.r.Read(p)
	t.x.watch.stop()
	if n > 0 && t.x.result.FirstByte == 0 {
		t.x.result.FirstByte = t.x.d.cfg.Now().Sub(t.x.begin)
	}
	return n, err
}
