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
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/health"
	"papayaspan.dev/papayaspan/internal/poison"
)

// maxOffers is how many servers the balancer is asked for until one is healthy.
const maxOffers = 4

// attempts is the picker and observer of one request. It puts the servers'
// health and the poison guard before the balancer's choice, and writes a log
// line for each attempt.
type attempts struct {
	r       *Router
	inner   dispatch.Picker
	subject poison.Subject
	// draw decides whether a server in its slow start may be chosen.
	draw float64
	run  *poison.Run
	// hints are the request's own.
	hints dispatch.Hints
	// target and began are those of the attempt under way.
	target poison.Target
	began  time.Time
}

// withGuards puts health and poison handling before a balancer's choice. Target
// is the model, or the method and path of a service.
func (r *Router) withGuards(inner dispatch.Picker, id account.ID, target string, body []byte) dispatch.Picker {
	content := sync.OnceValue(func() poison.Content {
		return poison.NewContent(r.opts.ContentSalt, id, target, body)
	})
	return &attempts{r: r, inner: inner, draw: rand.Float64(), subject: poison.Subject{Account: id, Content: content}}
}

// Pick implements dispatch.Picker.
func (a *attempts) Pick(ctx context.Context, req dispatch.Request, at dispatch.Attempt) (backend.Server, error) {
	if at.Number == 1 {
		a.hints = req.Hints
	}
	run, target, err := a.r.opts.Guard.Begin(ctx, a.subject, func(excluded []backend.ID) (poison.Target, error) {
		patient := at.Number > 1 && len(excluded) == 0
		at := at
		at.Tried = slices.Concat(at.Tried, excluded)
		return a.choose(ctx, req, at, patient)
	})
	if err != nil {
		a.r.opts.Log.Info("attempt_refused",
			zap.String("request_id", req.ID),
			zap.String("account", string(req.Account)),
			zap.Int("attempt", at.Number),
			zap.Error(err))
		return backend.Server{}, err
	}
	a.run, a.target = run, target
	return target.Server, nil
}

// Hints implements dispatch.Hinter: they are the balancer's, if it has any.
func (a *attempts) Hints(id backend.ID) dispatch.Hints {
	if h, ok := a.inner.(dispatch.Hinter); ok {
		return h.Hints(id)
	}
	return a.hints
}

// choose returns the best-graded of a few servers that the balancer offers. If
// patient it waits for a first one.
func (a *attempts) choose(ctx context.Context, req dispatch.Request, at dispatch.Attempt, patient bool) (poison.Target, error) {
	var best poison.Target
	var bestGrade health.Grade
	for n := range maxOffers {
		s, err := a.offer(ctx, req, at, patient && n == 0)
		if err != nil && n == 0 {
			return poison.Target{}, err
		}
		if err != nil || n > 0 && at.Excludes(s.ID) {
			break
		}
		breaker := a.r.opts.Health.Get(s.ID)
		grade := breaker.Grade(a.r.opts.Now(), a.draw)
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
	// serverWait is how long a request whose attempt failed waits for a server
	// that can take it: engines come back within seconds.
	serverWait = 5 * time.Second
	serverPoll = 50 * time.Millisecond
)

// offer asks the balancer for a server, again and again if patient.
func (a *attempts) offer(ctx context.Context, req dispatch.Request, at dispatch.Attempt, patient bool) (backend.Server, error) {
	deadline := a.r.opts.Now().Add(serverWait)
	for {
		s, err := a.inner.Pick(ctx, req, at)
		if err == nil || !patient || a.r.opts.Now().After(deadline) {
			return s, err
		}
		select {
		case <-time.After(serverPoll):
		case <-ctx.Done():
			return s, err
		}
	}
}

// Started implements dispatch.Observer.
func (a *attempts) Started(req dispatch.Request, at dispatch.Attempt, s backend.Server) {
	a.began = a.r.opts.Now()
	a.r.opts.Health.Update(s.ID, func(b health.Breaker) health.Breaker { return b.Started(a.began) })
	level := zap.DebugLevel
	if at.Number > 1 || s.Kind == backend.Service {
		level = zap.InfoLevel
	}
	a.r.opts.Log.Log(level, "attempt_started",
		zap.String("request_id", req.ID),
		zap.String("account", string(req.Account)),
		zap.String("model", req.Model),
		zap.String("server", string(s.ID)),
		zap.Int("attempt", at.Number),
		zap.Int("resume_from", at.Delivered))
	if at.Number > 1 {
		a.r.stats.retries.Mark(1)
	}
	if at.Delivered > 0 {
		a.r.stats.resumes.Mark(1)
	}
	if o, ok := a.inner.(dispatch.Observer); ok {
		o.Started(req, at, s)
	}
}

// Answered implements dispatch.Observer.
func (a *attempts) Answered(req dispatch.Request, res dispatch.Result) {
	now := a.r.opts.Now()
	a.sawIncarnation(res, now)
	a.r.opts.Health.Update(res.Server.ID, health.Breaker.Answered)
	if o, ok := a.inner.(dispatch.Observer); ok {
		o.Answered(req, res)
	}
}

// sawIncarnation takes note of a server that has come back.
func (a *attempts) sawIncarnation(res dispatch.Result, now time.Time) {
	if res.Incarnation == "" || res.Incarnation == a.r.opts.Health.Get(res.Server.ID).Incarnation() {
		return
	}
	a.r.opts.Health.Update(res.Server.ID, func(b health.Breaker) health.Breaker {
		return b.Seen(now, a.began, res.Incarnation)
	})
	a.r.opts.Guard.Restarted(res.Server.ID)
}

// Ended implements dispatch.Observer.
func (a *attempts) Ended(req dispatch.Request, res dispatch.Result) {
	if failedByServer(res.Failure) {
		now := a.r.opts.Now()
		fatal := res.Failure == dispatch.ConnectFailed
		jitter := rand.Float64()
		a.r.opts.Health.Update(res.Server.ID, func(b health.Breaker) health.Breaker {
			return b.Failed(now, a.began, fatal, jitter)
		})
	}
	end := a.poisonEnd(res)
	a.r.opts.Guard.End(a.run, end)
	a.logEnd(req, res, end)
	if o, ok := a.inner.(dispatch.Observer); ok {
		o.Ended(req, res)
	}
}

// failedByServer reports whether a failure counts against the server. A server
// that refuses work is busy, not broken.
func failedByServer(f dispatch.Failure) bool {
	switch f {
	case dispatch.ConnectFailed, dispatch.ConnectionLost, dispatch.Truncated, dispatch.Stalled,
		dispatch.Crossed, dispatch.BadAnswer, dispatch.ServerError:
		return true
	}
	return false
}

// poisonEnd tells what the end of an attempt says about its content. A lost
// connection is no crash if the server still runs as before.
func (a *attempts) poisonEnd(res dispatch.Result) poison.End {
	if res.Failure == dispatch.None {
		return poison.Completed
	}
	if !res.Failure.MaySuggestCrash() {
		return poison.Failed
	}
	known := res.Incarnation
	if known == "" {
		known = a.target.Incarnation
	}
	if a.r.opts.Prober.Crashed(context.Background(), res.Server, known) {
		return poison.Crashed
	}
	return poison.Failed
}

func (a *attempts) logEnd(req dispatch.Request, res dispatch.Result, end poison.End) {
	log := a.r.opts.Log.Info
	if res.Err != nil {
		log = a.r.opts.Log.Warn
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
