package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/route"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// statusClientClosedRequest is the conventional, non-standard HTTP status for a
// connection that the client closed before the response.
const statusClientClosedRequest = 499

// enginePicker picks the engines for one request and observes its attempts.
type enginePicker struct {
	balancer *PrefixBalancer
	prompt   Prompt
	request  route.Request
	// pacingDelay is the time to wait before the first engine is picked.
	pacingDelay time.Duration
	// priorityTime is the arrival time, plus a delay if the account exceeds its
	// rate.
	priorityTime time.Time
	// candidates are the choices since the last attempt. At most one of them is
	// used.
	candidates []candidate
	// current is the choice for the attempt in progress, or nil.
	current *candidate
}

// candidate is a choice of an engine and the request for which it was made.
type candidate struct {
	request  route.Request
	decision route.Decision
}

// Pick implements dispatch.Picker. A server that was tried before is picked
// only if there is no other.
func (p *enginePicker) Pick(ctx context.Context, _ dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	if err := p.pace(ctx); err != nil {
		return backend.Server{}, err
	}
	c := candidate{request: p.request}
	c.request.Excluded = a.Tried
	c.request.PromptTokens += a.Delivered
	view := p.balancer.view.Load()
	var err error
	c.decision, err = p.balancer.choose(view, &c.request)
	if err != nil && len(a.Tried) > 0 {
		c.request.Excluded = nil
		c.decision, err = p.balancer.choose(view, &c.request)
	}
	server, known := backend.Server{}, false
	if err == nil {
		server, known = view.Servers[c.decision.Engine.ID]
	}
	if left, waits := p.balancer.soonestReturn(view, &p.request); !known && waits {
		return backend.Server{}, verdict.RefuseUntil(http.StatusServiceUnavailable, "servers_back_off", "the backend servers want no requests for a time", left)
	}
	if !known {
		refusal := verdict.RefuseUntil(http.StatusServiceUnavailable, "no_backend_server", "no backend server can take the request now", noServerRetryAfter)
		refusal.Cause = err
		return backend.Server{}, refusal
	}
	p.candidates = append(p.candidates, c)
	return server, nil
}

// pace waits for pacingDelay on the first call only.
func (p *enginePicker) pace(ctx context.Context) error {
	if p.pacingDelay <= 0 {
		return nil
	}
	t := time.NewTimer(p.pacingDelay)
	defer t.Stop()
	p.pacingDelay = 0
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(statusClientClosedRequest, "caller_left", "the caller left before the request ran")
	}
}

// lastCandidate returns the last candidate with this engine, or nil.
func (p *enginePicker) lastCandidate(id backend.ID) *candidate {
	for i := len(p.candidates) - 1; i >= 0; i-- {
		if p.candidates[i].decision.Engine.ID == id {
			return &p.candidates[i]
		}
	}
	return nil
}

// Hints implements dispatch.Hinter. The priority is a deadline in milliseconds of
// Unix time, by which engines order their queues. Waiting requests of all levels
// therefore age at the same rate.
func (p *enginePicker) Hints(id backend.ID) dispatch.Hints {
	c := p.lastCandidate(id)
	if c == nil {
		return dispatch.Hints{}
	}
	deadline := c.decision.Level.Deadline(p.priorityTime)
	return dispatch.Hints{Priority: int(deadline.UnixMilli()), ImportKV: c.decision.Import}
}

// Started implements dispatch.Observer.
func (p *enginePicker) Started(req dispatch.Request, a dispatch.Attempt, s backend.Server) {
	p.current = p.lastCandidate(s.ID)
	p.candidates = nil
	if p.current == nil {
		return
	}
	now := time.Now()
	d := &p.current.decision
	p.balancer.logChoice(req, a, d)
	p.balancer.chooser.RecordDispatch(&p.current.request, d, now)
	p.balancer.table.recordSend(d.Engine.ID, now)
}

// Answered implements dispatch.Observer.
func (p *enginePicker) Answered(dispatch.Request, dispatch.Result) {}

// Ended implements dispatch.Observer.
func (p *enginePicker) Ended(req dispatch.Request, r dispatch.Result) {
	c := p.current
	p.current = nil
	if c == nil {
		return
	}
	if r.Backoff > 0 {
		p.balancer.backoffs.RemoveEnded(func(key selector.ServerKey) bool { return p.balancer.table.key(key.ID) != key })
		left := p.balancer.backoffs.RecordBackoff(p.balancer.table.key(r.Server.ID), r.Backoff)
		p.balancer.log.Info("server_backs_off", zap.String("request_id", req.ID), zap.String("server", string(r.Server.ID)),
			zap.Duration("asked", r.Backoff), zap.Duration("left", left))
	}
	switch r.Failure {
	case dispatch.ConnectFailed, dispatch.ConnectionLost:
		p.balancer.table.markUnreachable(r.Server.ID)
		return
	}
	if r.FirstByte > 0 && req.Stream {
		p.balancer.chooser.RecordFirstToken(&c.request, &c.decision, time.Now(), r.FirstByte)
	}
	if r.Err == nil && r.Usage.PromptTokens > 0 {
		p.balancer.chooser.RecordCompletion(&c.decision, r.Usage.CachedTokens)
	}
}

func (b *PrefixBalancer) logChoice(req dispatch.Request, a dispatch.Attempt, d *route.Decision) {
	b.log.Info("engine_chosen",
		zap.String("request_id", req.ID),
		zap.String("account", string(req.Account)),
		zap.String("model", req.Model),
		zap.Int("attempt", a.Number),
		zap.String("engine", string(d.Engine.ID)),
		zap.String("reason", string(d.Reason)),
		zap.Int("hit_tokens", d.HitTokens),
		zap.Int("import_tokens", d.ImportTokens),
		zap.Int("miss_tokens", d.MissTokens),
		zap.Int("running", d.Load.Running),
		zap.Duration("queue", d.Queue),
		zap.Duration("ttft", d.TTFT),
		zap.Int("considered", d.Considered))
}
