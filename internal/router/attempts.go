package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/health"
	"papayaspan.dev/papayaspan/internal/poison"
)

// maxCandidates is how many servers the balancer is asked for at most until one
// is healthy.
const maxCandidates = 4

// guardedPicker is the picker and observer of one request. It filters the
// balancer's choice by the servers' health and the poison guard, and logs each
// attempt.
type guardedPicker struct {
	router  *Router
	inner   dispatch.Picker
	subject poison.RunRequest
	// slowStartDraw is a random number in [0, 1) that decides whether a server in
	// its slow start may be chosen for this request.
	slowStartDraw float64
	run           *poison.Run
	// requestHints are the hints of the request, for balancers that have none.
	requestHints dispatch.Hints
	// target and startedAt belong to the current attempt.
	target    poison.Target
	startedAt time.Time
}

// withGuards adds health checks and the poison guard to a balancer's picker. The
// target is the model, or the method and path of a service.
func (r *Router) withGuards(inner dispatch.Picker, id account.ID, target string, body []byte) dispatch.Picker {
	return r.guarded(inner, id, target, body)
}

// withPromptGuards does the same for a model request, whose prompt may begin like that of others.
func (r *Router) withPromptGuards(inner dispatch.Picker, c *completion) dispatch.Picker {
	p := r.guarded(inner, c.caller.account.ID, c.model.Name, c.body)
	p.subject.Traits = sync.OnceValue(func() crashcause.Traits {
		return poison.NewTraits(CacheSalt(c.caller.account.ID, c.model), c.prompt, c.body)
	})
	return p
}

func (r *Router) guarded(inner dispatch.Picker, id account.ID, target string, body []byte) *guardedPicker {
	content := sync.OnceValue(func() poison.Content {
		return poison.NewContent(r.opts.ContentSalt, id, target, body)
	})
	return &guardedPicker{router: r, inner: inner, slowStartDraw: rand.Float64(), subject: poison.RunRequest{Account: id, Content: content}}
}

// Pick implements dispatch.Picker.
func (p *guardedPicker) Pick(ctx context.Context, req dispatch.Request, at dispatch.Attempt) (backend.Server, error) {
	if at.Number == 1 {
		p.requestHints = req.Hints
	}
	run, target, err := p.router.opts.Guard.Begin(ctx, p.subject, func(excluded []backend.ID) (poison.Target, error) {
		waitForServer := at.Number > 1 && len(excluded) == 0
		at := at
		at.Tried = slices.Concat(at.Tried, excluded)
		return p.chooseServer(ctx, req, at, waitForServer)
	})
	if err != nil {
		p.router.opts.Log.Info("attempt_refused",
			zap.String("request_id", req.ID),
			zap.String("account", string(req.Account)),
			zap.Int("attempt", at.Number),
			zap.Error(err))
		return backend.Server{}, err
	}
	p.run, p.target = run, target
	return target.Server, nil
}

// Hints implements dispatch.Hinter. It returns the balancer's hints, if it has
// any, and the request's otherwise.
func (p *guardedPicker) Hints(id backend.ID) dispatch.Hints {
	if h, ok := p.inner.(dispatch.Hinter); ok {
		return h.Hints(id)
	}
	return p.requestHints
}

// chooseServer asks the balancer for up to maxCandidates servers and returns the
// one with the best health grade. If waitForServer is set, it retries a failure to
// pick the first one.
func (p *guardedPicker) chooseServer(ctx context.Context, req dispatch.Request, at dispatch.Attempt, waitForServer bool) (poison.Target, error) {
	var best poison.Target
	var bestGrade health.Grade
	for n := range maxCandidates {
		s, err := p.pickServer(ctx, req, at, waitForServer && n == 0)
		if err != nil && n == 0 {
			return poison.Target{}, err
		}
		if err != nil || n > 0 && at.HasTried(s.ID) {
			break
		}
		breaker := p.router.opts.Health.Get(s.ID)
		grade := breaker.Grade(p.router.opts.Now(), p.slowStartDraw)
		if n == 0 || grade > bestGrade {
			best = poison.Target{Server: s, Incarnation: breaker.Incarnation()}
			bestGrade = grade
		}
		if grade == health.Ready {
			break
		}
		at.Tried = append(slices.Clip(at.Tried), s.ID)
	}
	return best, nil
}

const (
	// serverWait limits how long a request whose attempt failed waits for an
	// available server: engines restart within seconds.
	serverWait         = 5 * time.Second
	serverPollInterval = 50 * time.Millisecond
)

// pickServer asks the balancer for a server. If waitForServer is set, it retries
// for up to serverWait.
func (p *guardedPicker) pickServer(ctx context.Context, req dispatch.Request, at dispatch.Attempt, waitForServer bool) (backend.Server, error) {
	deadline := p.router.opts.Now().Add(serverWait)
	for {
		s, err := p.inner.Pick(ctx, req, at)
		if err == nil || !waitForServer || p.router.opts.Now().After(deadline) {
			return s, err
		}
		select {
		case <-time.After(serverPollInterval):
		case <-ctx.Done():
			return s, err
		}
	}
}

// Started implements dispatch.Observer.
func (p *guardedPicker) Started(req dispatch.Request, at dispatch.Attempt, s backend.Server) {
	p.startedAt = p.router.opts.Now()
	p.router.opts.Health.Update(s.ID, func(b health.Breaker) health.Breaker { return b.Started(p.startedAt) })
	level := zap.DebugLevel
	if at.Number > 1 || s.Kind == backend.Service {
		level = zap.InfoLevel
	}
	p.router.opts.Log.Log(level, "attempt_started",
		zap.String("request_id", req.ID),
		zap.String("account", string(req.Account)),
		zap.String("model", req.Model),
		zap.String("server", string(s.ID)),
		zap.Int("attempt", at.Number),
		zap.Int("resume_from", at.Delivered))
	if at.Number > 1 {
		p.router.stats.retries.Mark(1)
	}
	if at.Delivered > 0 {
		p.router.stats.resumes.Mark(1)
	}
	if o, ok := p.inner.(dispatch.Observer); ok {
		o.Started(req, at, s)
	}
}

// Answered implements dispatch.Observer.
func (p *guardedPicker) Answered(req dispatch.Request, res dispatch.Result) {
	now := p.router.opts.Now()
	p.recordIncarnation(res, now)
	p.router.opts.Health.Update(res.Server.ID, health.Breaker.Answered)
	if o, ok := p.inner.(dispatch.Observer); ok {
		o.Answered(req, res)
	}
}

// recordIncarnation records a new incarnation of a server that has restarted.
func (p *guardedPicker) recordIncarnation(res dispatch.Result, now time.Time) {
	if res.Incarnation == "" || res.Incarnation == p.router.opts.Health.Get(res.Server.ID).Incarnation() {
		return
	}
	p.router.opts.Health.Update(res.Server.ID, func(b health.Breaker) health.Breaker {
		return b.Seen(now, p.startedAt, res.Incarnation)
	})
	p.router.opts.Guard.RecordRestart(res.Server.ID)
}

// Ended implements dispatch.Observer.
func (p *guardedPicker) Ended(req dispatch.Request, res dispatch.Result) {
	if countsAgainstServer(res.Failure) {
		now := p.router.opts.Now()
		fatal := res.Failure == dispatch.ConnectFailed
		jitter := rand.Float64()
		p.router.opts.Health.Update(res.Server.ID, func(b health.Breaker) health.Breaker {
			return b.Failed(now, p.startedAt, fatal, jitter)
		})
	}
	end := p.poisonOutcome(res)
	p.router.opts.Guard.EndAfter(p.run, end, sinceBegin(res))
	p.logEnd(req, res, end)
	if o, ok := p.inner.(dispatch.Observer); ok {
		o.Ended(req, res)
	}
}

// sinceBegin returns the time from the first byte of an attempt's response to its end; 0 if there
// was none.
func sinceBegin(res dispatch.Result) time.Duration {
	if res.FirstByte == 0 {
		return 0
	}
	return res.Duration - res.FirstByte
}

// countsAgainstServer reports whether the circuit breaker counts a failure of the
// server. A server that refuses work is overloaded, not broken.
func countsAgainstServer(f dispatch.Failure) bool {
	switch f {
	case dispatch.ConnectFailed, dispatch.ConnectionLost, dispatch.Truncated, dispatch.Stalled,
		dispatch.WrongRequestID, dispatch.InvalidResponse, dispatch.ServerError:
		return true
	}
	return false
}

// poisonOutcome returns the outcome of an attempt for the poison guard. A lost
// connection is not a crash if the server still runs in the same incarnation.
func (p *guardedPicker) poisonOutcome(res dispatch.Result) poison.End {
	if res.Failure == dispatch.None {
		return poison.Completed
	}
	if !res.Failure.MaySuggestCrash() {
		return poison.Failed
	}
	known := res.Incarnation
	if known == "" {
		known = p.target.Incarnation
	}
	if p.router.opts.Prober.Crashed(context.Background(), res.Server, known) {
		return poison.Crashed
	}
	return poison.Failed
}

func (p *guardedPicker) logEnd(req dispatch.Request, res dispatch.Result, end poison.End) {
	log := p.router.opts.Log.Info
	if res.Err != nil {
		log = p.router.opts.Log.Warn
	}
	log("attempt_ended",
		zap.String("request_id", req.ID),
		zap.String("account", string(req.Account)),
		zap.String("server", string(res.Server.ID)),
		zap.String("incarnation", string(res.Incarnation)),
		zap.Int("attempt", res.Attempt.Number),
		zap.Stringer("failure", res.Failure),
		zap.Stringer("verdict", res.Verdict),
		zap.Bool("crash", end == poison.Crashed),
		zap.Int("status", res.Status),
		zap.Int("delivered", res.Delivered),
		zap.Duration("first_byte", res.FirstByte),
		zap.Duration("duration", res.Duration),
		zap.Error(res.Err))
}
