package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// HeaderReplayed marks an answer that was kept from an earlier request with the
// same idempotency key.
const HeaderReplayed = "Idempotent-Replayed"

// Claims makes requests with an idempotency key run at most once.
type Claims interface {
	// Acquire claims a request. Its error is a *verdict.Error.
	Acquire(ctx context.Context, key claim.Key, digest claim.Digest) (claim.Grant, error)
	// Body returns the body of a kept outcome. Its error is a *verdict.Error.
	Body(ctx context.Context, o *claim.Outcome) ([]byte, error)
}

// claimed is a request under a claim. A nil claimed is a request without an
// idempotency key.
type claimed struct {
	claim    *claim.Claim
	recorder *recorder
	// repeatable is set if the request may run again after a failure.
	repeatable bool
}

// claimRequest claims a request that carries an idempotency key. If the
// request is not to be dispatched, it answers the caller and returns false.
func (r *Router) claimRequest(w http.ResponseWriter, req *http.Request, key claim.Key, body []byte, repeatable bool) (*claimed, bool) {
	key.Idempotency = req.Header.Get(HeaderIdempotencyKey)
	if key.Idempotency == "" {
		return nil, true
	}
	id := requestID(req)
	if r.opts.Claims == nil {
		r.refuse(w, id, verdict.Refuse(http.StatusServiceUnavailable, "claims_disabled", "this VM keeps no claims"))
		return nil, false
	}
	digest := claim.DigestOf(req.Method, req.URL.RequestURI(), body)
	grant, err := r.opts.Claims.Acquire(req.Context(), key, digest)
	if err != nil {
		r.refuse(w, id, verdict.AsError(err))
		return nil, false
	}
	if grant.Outcome != nil {
		r.replay(w, req, grant.Outcome)
		return nil, false
	}
	r.opts.Log.Info("request_claimed", zap.String("request_id", id), zap.Uint64("attempt", grant.Claim.Attempt()))
	return &claimed{claim: grant.Claim, repeatable: repeatable}, true
}

// replay answers with the outcome of the request's earlier run.
func (r *Router) replay(w http.ResponseWriter, req *http.Request, o *claim.Outcome) {
	body, err := r.opts.Claims.Body(req.Context(), o)
	if err != nil {
		r.refuse(w, requestID(req), verdict.AsError(err))
		return
	}
	header := w.Header()
	for name, values := range o.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	w.WriteHeader(o.Status)
	_, _ = w.Write(body)
	r.opts.Log.Info("request_replayed", zap.String("request_id", requestID(req)), zap.Int("status", o.Status))
}

// context returns the context of the dispatch. A claimed request is not
// cancelled when its caller leaves, so that a repeat gets the outcome.
func (c *claimed) context(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if c == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(context.WithoutCancel(ctx), limit)
}

// sink returns the sink of the dispatch, which also records the answer.
func (c *claimed) sink(s dispatch.Sink) dispatch.Sink {
	if c == nil {
		return s
	}
	c.recorder = &recorder{sink: s}
	return c.recorder
}

// guard returns a picker that refuses once the claim has lapsed, as it does
// for a router that was paused.
func (c *claimed) guard(p dispatch.Picker) dispatch.Picker {
	if c == nil {
		return p
	}
	return guardedPicker{inner: p, claim: c.claim}
}

// guardedPicker passes everything on to the inner picker.
type guardedPicker struct {
	inner dispatch.Picker
	claim *claim.Claim
}

// Pick implements dispatch.Picker. The claim is checked last, because the inner
// picker may wait.
func (g guardedPicker) Pick(ctx context.Context, req dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	s, err := g.inner.Pick(ctx, req, a)
	if err != nil || g.claim.MayDispatch() {
		return s, err
	}
	lapsed := verdict.Refuse(http.StatusServiceUnavailable, "claim_lapsed", "the router was held up for too long")
	g.Ended(req, dispatch.Result{Attempt: a, Server: s, Verdict: verdict.NotRun, Failure: dispatch.CallerGone, Err: lapsed})
	return backend.Server{}, lapsed
}

// Hints implements dispatch.Hinter.
func (g guardedPicker) Hints(id backend.ID) dispatch.Hints {
	if h, ok := g.inner.(dispatch.Hinter); ok {
		return h.Hints(id)
	}
	return dispatch.Hints{}
}

// Started implements dispatch.Observer.
func (g guardedPicker) Started(req dispatch.Request, a dispatch.Attempt, s backend.Server) {
	if o, ok := g.inner.(dispatch.Observer); ok {
		o.Started(req, a, s)
	}
}

// Answered implements dispatch.Observer.
func (g guardedPicker) Answered(req dispatch.Request, r dispatch.Result) {
	if o, ok := g.inner.(dispatch.Observer); ok {
		o.Answered(req, r)
	}
}

// Ended implements dispatch.Observer.
func (g guardedPicker) Ended(req dispatch.Request, r dispatch.Result) {
	if o, ok := g.inner.(dispatch.Observer); ok {
		o.Ended(req, r)
	}
}

// endTimeout bounds how long the caller's answer waits until the end of the
// request is recorded.
const endTimeout = 1 * time.Second

// end records how the request ended and then passes on an answer that was held
// back. A caller that has the answer therefore gets the same one again, and a
// caller who was told "not run" can come again at once. While the table fails
// the answer waits for endTimeout only.
func (c *claimed) end(v verdict.Verdict, err error) {
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if c.recorder.passed {
		cancel() // the caller has the answer already
	}
	switch {
	case err == nil || c.recorder.whole():
		c.claim.Finish(ctx, c.recorder.head.Status, c.recorder.header(), c.recorder.body)
	case v == verdict.NotRun || c.repeatable:
		c.claim.Release(ctx)
	default:
		c.claim.Abandon(ctx)
	}
	if err == nil {
		c.recorder.pass()
	}
}

// recorder keeps a copy of an answer. A short answer is held back; another is
// passed on as it comes. It goes on when the caller no longer takes it.
type recorder struct {
	sink dispatch.Sink
	head dispatch.Head
	// body is cut off beyond what a claim keeps; size counts all of it.
	body []byte
	size int64
	// passed is set once the sink was started.
	passed bool
	// gone is set once the caller doesn't take the answer.
	gone bool
}

// Start implements dispatch.Sink.
func (r *recorder) Start(h dispatch.Head) error {
	r.head = h
	short := !h.Stream && h.Length >= 0 && h.Length <= claim.MaxOutcomeBytes
	if !short {
		r.pass()
	}
	return nil
}

// pass starts the sink and passes on what was held back.
func (r *recorder) pass() {
	if r.passed {
		return
	}
	r.passed = true
	r.gone = r.sink.Start(r.head) != nil
	if len(r.body) > 0 {
		r.gone = r.gone || r.sink.Body(r.body) != nil
	}
}

// Event implements dispatch.Sink.
func (r *recorder) Event(data []byte) error {
	r.keep(sse.Append(nil, data))
	r.gone = r.gone || r.sink.Event(data) != nil
	return nil
}

// Body implements dispatch.Sink.
func (r *recorder) Body(p []byte) error {
	r.keep(p)
	if r.passed {
		r.gone = r.gone || r.sink.Body(p) != nil
	}
	return nil
}

func (r *recorder) keep(p []byte) {
	r.size += int64(len(p))
	if len(r.body) <= claim.MaxOutcomeBytes {
		r.body = append(r.body, p...)
	}
}

// whole reports whether a body of known length was recorded to its end.
func (r *recorder) whole() bool {
	return r.head.Status != 0 && r.head.Length >= 0 && r.size == r.head.Length
}

// header returns the headers that a repeat gets.
func (r *recorder) header() http.Header {
	h := r.head.Header.Clone()
	h.Del(openai.HeaderRequestID)
	return h
}
