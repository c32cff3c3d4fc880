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

// HeaderReplayed is the header that marks a stored response of an earlier request
// with the same idempotency key.
const HeaderReplayed = "Idempotent-Replayed"

// Claims ensures that requests with an idempotency key run at most once.
type Claims interface {
	// Acquire claims a request. Its error is a *verdict.Error.
	Acquire(ctx context.Context, key claim.Key, digest claim.Digest) (claim.Grant, error)
	// Peek looks up an earlier request with this key without claiming the key.
	// Its error is a *verdict.Error if found is set.
	Peek(ctx context.Context, key claim.Key, digest claim.Digest) (o *claim.Outcome, found bool, err error)
	// Body returns the body of a stored outcome. Its error is a *verdict.Error.
	Body(ctx context.Context, o *claim.Outcome) ([]byte, error)
}

// claimedRequest is a request that holds a claim. A nil claimedRequest stands for
// a request without an idempotency key; all its methods accept nil.
type claimedRequest struct {
	claim    *claim.Claim
	recorder *recorder
	// idempotent is set if the request may run again after a failure.
	idempotent bool
}

// claimRequest claims a request that carries an idempotency key. If the request
// must not be dispatched, it writes the response and returns false.
func (r *Router) claimRequest(w http.ResponseWriter, req *http.Request, key claim.Key, body []byte, idempotent bool) (*claimedRequest, bool) {
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
	return &claimedRequest{claim: grant.Claim, idempotent: idempotent}, true
}

// refuseAdmission writes the refusal of a request that was not admitted. If an
// earlier request with the same idempotency key ran or may have run, it writes
// the outcome of that request instead: the verdict "not run" might make the
// caller retry with another key.
func (r *Router) refuseAdmission(w http.ResponseWriter, req *http.Request, key claim.Key, body []byte, refusal *verdict.Error) {
	key.Idempotency = req.Header.Get(HeaderIdempotencyKey)
	if key.Idempotency == "" || r.opts.Claims == nil {
		r.refuse(w, requestID(req), refusal)
		return
	}
	digest := claim.DigestOf(req.Method, req.URL.RequestURI(), body)
	outcome, found, err := r.opts.Claims.Peek(req.Context(), key, digest)
	switch {
	case !found:
		r.refuse(w, requestID(req), refusal)
	case err != nil:
		r.refuse(w, requestID(req), verdict.AsError(err))
	default:
		r.replay(w, req, outcome)
	}
}

// replay writes the stored response of an earlier request with the same key.
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

// dispatchContext returns the context for the dispatch. A claimed request is not
// canceled when its caller disconnects, so that a retry gets the outcome.
func (c *claimedRequest) dispatchContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if c == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(context.WithoutCancel(ctx), limit)
}

// recordingSink returns a sink that also records the response.
func (c *claimedRequest) recordingSink(s dispatch.Sink) dispatch.Sink {
	if c == nil {
		return s
	}
	c.recorder = &recorder{sink: s}
	return c.recorder
}

// checkedPicker returns a picker that refuses to dispatch once the claim has
// lapsed, for example because the router process was paused.
func (c *claimedRequest) checkedPicker(p dispatch.Picker) dispatch.Picker {
	if c == nil {
		return p
	}
	return claimPicker{inner: p, claim: c.claim}
}

// claimPicker checks the claim after each pick and forwards all other calls to
// the inner picker.
type claimPicker struct {
	inner dispatch.Picker
	claim *claim.Claim
}

// Pick implements dispatch.Picker. The claim is checked last, because the inner
// picker may wait.
func (g claimPicker) Pick(ctx context.Context, req dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	s, err := g.inner.Pick(ctx, req, a)
	if err != nil || g.claim.MayDispatch() {
		return s, err
	}
	lapsed := verdict.Refuse(http.StatusServiceUnavailable, "claim_lapsed", "the router was held up for too long")
	g.Ended(req, dispatch.Result{Attempt: a, Server: s, Verdict: verdict.NotRun, Failure: dispatch.CallerCanceled, Err: lapsed})
	return backend.Server{}, lapsed
}

// Hints implements dispatch.Hinter.
func (g claimPicker) Hints(id backend.ID) dispatch.Hints {
	if h, ok := g.inner.(dispatch.Hinter); ok {
		return h.Hints(id)
	}
	return dispatch.Hints{}
}

// Started implements dispatch.Observer.
func (g claimPicker) Started(req dispatch.Request, a dispatch.Attempt, s backend.Server) {
	if o, ok := g.inner.(dispatch.Observer); ok {
		o.Started(req, a, s)
	}
}

// Answered implements dispatch.Observer.
func (g claimPicker) Answered(req dispatch.Request, r dispatch.Result) {
	if o, ok := g.inner.(dispatch.Observer); ok {
		o.Answered(req, r)
	}
}

// Ended implements dispatch.Observer.
func (g claimPicker) Ended(req dispatch.Request, r dispatch.Result) {
	if o, ok := g.inner.(dispatch.Observer); ok {
		o.Ended(req, r)
	}
}

// recordTimeout limits how long the response is delayed until the outcome of the
// request is recorded.
const recordTimeout = 1 * time.Second

// finish records the outcome of the request and then sends a buffered response.
// A caller that has received the response therefore gets the same one for a
// retry, and a caller that was refused with "not run" can retry at once. If the
// table is unavailable, the response is delayed by recordTimeout at most.
func (c *claimedRequest) finish(v verdict.Verdict, err error) {
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if c.recorder.started {
		cancel() // The caller is already receiving the response: don't wait.
	}
	switch {
	case err == nil || c.recorder.complete():
		c.claim.Finish(ctx, c.recorder.head.Status, c.recorder.replayHeader(), c.recorder.body)
	case v == verdict.NotRun || c.idempotent:
		c.claim.Release(ctx)
	default:
		c.claim.Abandon(ctx)
	}
	if err == nil {
		c.recorder.flush()
	}
}

// recorder records a copy of a response. A short response is buffered until flush;
// any other is forwarded as it arrives. Recording continues after the caller has
// disconnected.
type recorder struct {
	sink dispatch.Sink
	head dispatch.Head
	// body is truncated once it exceeds claim.MaxOutcomeBytes; size is the full
	// length.
	body []byte
	size int64
	// started is set once the sink's Start was called.
	started bool
	// callerGone is set once the sink returned an error.
	callerGone bool
}

// Start implements dispatch.Sink.
func (r *recorder) Start(h dispatch.Head) error {
	r.head = h
	buffered := !h.Stream && h.Length >= 0 && h.Length <= claim.MaxOutcomeBytes
	if !buffered {
		r.flush()
	}
	return nil
}

// flush starts the sink, unless it was started, and forwards the buffered body.
func (r *recorder) flush() {
	if r.started {
		return
	}
	r.started = true
	r.callerGone = r.sink.Start(r.head) != nil
	if len(r.body) > 0 {
		r.callerGone = r.callerGone || r.sink.Body(r.body) != nil
	}
}

// Event implements dispatch.Sink.
func (r *recorder) Event(data []byte) error {
	r.record(sse.Append(nil, data))
	r.callerGone = r.callerGone || r.sink.Event(data) != nil
	return nil
}

// Body implements dispatch.Sink.
func (r *recorder) Body(p []byte) error {
	r.record(p)
	if r.started {
		r.callerGone = r.callerGone || r.sink.Body(p) != nil
	}
	return nil
}

func (r *recorder) record(p []byte) {
	r.size += int64(len(p))
	if len(r.body) <= claim.MaxOutcomeBytes {
		r.body = append(r.body, p...)
	}
}

// complete reports whether a body of known length was received in full.
func (r *recorder) complete() bool {
	return r.head.Status != 0 && r.head.Length >= 0 && r.size == r.head.Length
}

// replayHeader returns the headers that are stored for retries.
func (r *recorder) replayHeader() http.Header {
	h := r.head.Header.Clone()
	h.Del(openai.HeaderRequestID)
	return h
}
