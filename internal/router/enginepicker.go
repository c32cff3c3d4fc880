package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/route"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// statusCallerLeft is the conventional status for a closed connection.
const statusCallerLeft = 499

// enginePicker picks the engines for one request and observes its attempts.
type enginePicker struct {
	b       *PrefixBalancer
	prompt  Prompt
	request route.Request
	// hold is the time to wait before the first offer.
	hold time.Duration
	// ordered is the arrival, put back if the account runs ahead of its rate.
	ordered time.Time
	// offers are the choices since the last attempt, of which one is taken.
	offers []offer
	// running is the attempt under way.
	running *offer
}

// offer is one choice and the request that it was made for.
type offer struct {
	request  route.Request
	decision route.Decision
}

// Pick implements dispatch.Picker. A server that was tried before is picked
// only if there is no other.
func (p *enginePicker) Pick(ctx context.Context, _ dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	if err := p.wait(ctx); err != nil {
		return backend.Server{}, err
	}
	o := offer{request: p.request}
	o.request.Excluded = a.Tried
	o.request.PromptTokens += a.Delivered
	view := p.b.view.Load()
	var err error
	o.decision, err = p.b.choose(view, &o.request)
	if err != nil && len(a.Tried) > 0 {
		o.request.Excluded = nil
		o.decision, err = p.b.choose(view, &o.request)
	}
	server, known := backend.Server{}, false
	if err == nil {
		server, known = view.Servers[o.decision.Engine.ID]
	}
	if !known {
		refusal := verdict.RefuseUntil(http.StatusServiceUnavailable, "no_backend_server", "no backend server can take the request now", noServerRetryAfter)
		refusal.Cause = err
		return backend.Server{}, refusal
	}
	p.offers = append(p.offers, o)
	return server, nil
}

// wait holds the request back once.
func (p *enginePicker) wait(ctx context.Context) error {
	if p.hold <= 0 {
		return nil
	}
	t := time.NewTimer(p.hold)
	defer t.Stop()
	p.hold = 0
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(statusCallerLeft, "caller_left", "the caller left before the request ran")
	}
}

// offered returns the last offer of an engine, or nil.
func (p *enginePicker) offered(id backend.ID) *offer {
	for i := len(p.offers) - 1; i >= 0; i-- {
		if p.offers[i].decision.Engine.ID == id {
			return &p.offers[i]
		}
	}
	return nil
}

// Hints implements dispatch.Hinter. The priority is the time, in milliseconds,
// by which engines order their queues, so that all levels age alike.
func (p *enginePicker) Hints(id backend.ID) dispatch.Hints {
	o := p.offered(id)
	if o == nil {
		return dispatch.Hints{}
	}
	deadline := o.decision.Level.Deadline(p.ordered)
	return dispatch.Hints{Priority: int(deadline.UnixMilli()), ImportKV: o.decision.Import}
}

// Started implements dispatch.Observer.
func (p *enginePicker) Started(req dispatch.Request, a dispatch.Attempt, s backend.Server) {
	p.running = p.offered(s.ID)
	p.offers = nil
	if p.running == nil {
		return
	}
	now := time.Now()
	d := &p.running.decision
	p.b.logChoice(req, a, d)
	p.b.chooser.Dispatched(&p.running.request, d, now)
	p.b.table.used(d.Engine.ID, now)
}

// Answered implements dispatch.Observer.
func (p *enginePicker) Answered(dispatch.Request, dispatch.Result) {}

// Ended implements dispatch.Observer.
func (p *enginePicker) Ended(req dispatch.Request, r dispatch.Result) {
	o := p.running
	p.running = nil
	if o == nil {
		return
	}
	switch r.Failure {
	case dispatch.ConnectFailed, dispatch.ConnectionLost:
		p.b.table.setLost(r.Server.ID)
		return
	}
	if r.FirstByte > 0 && req.Stream {
		p.b.chooser.FirstToken(&o.request, &o.decision, time.Now(), r.FirstByte)
	}
	if r.Err == nil && r.Usage.PromptTokens > 0 {
		p.b.chooser.Finished(&o.decision, r.Usage.CachedTokens)
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
