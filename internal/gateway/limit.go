package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// limitPatienceShare is the share of the latency objective for which a request waits for a
// place at a server that names a rate; the rest is for the run.
const limitPatienceShare = 0.5

// limitPatience returns for how long the request may wait for a place. A stream that has
// begun waits until its caller would leave.
func (t *task) limitPatience() time.Duration {
	if t.begun {
		return maxPause
	}
	return max(0, time.Duration(limitPatienceShare*float64(t.route.Objective))-t.waited())
}

// takePlace takes a place at the server for the next attempt within the rate that it names, if
// there is one within a time.
func (t *task) takePlace(c *selector.Candidate, within time.Duration) bool {
	place, ok := t.g.opts.RateLimits.Reserve(selector.KeyOf(c.Entry), within)
	t.place = place
	return ok
}

// awaitPlace takes a place at the server that was chosen and waits for it. It returns false if
// another request has taken the last one that comes in time.
func (t *task) awaitPlace(ctx context.Context, c *selector.Candidate) bool {
	if !t.takePlace(c, t.limitPatience()) {
		return false
	}
	clock.Sleep(ctx, t.place.In)
	return true
}

// allLimited refuses a request as the servers have named rates that are used up. Callers come
// back when the first of them takes a request again, spread over as much time again.
func (t *task) allLimited(limited []selector.Candidate) *verdict.Error {
	first := limited[0].PlaceIn
	for _, c := range limited {
		first = min(first, c.PlaceIn)
	}
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "servers_limited", "the backend servers have named rates that are used up", comeBackAfter(first, rand.Float64()))
}

// noteRateLimit takes what the head of an answer says of the rate that the server takes.
func (a *attempt) noteRateLimit(head Head) {
	t := a.t
	switch {
	case head.Misdirected:
		return // Another server has answered.
	case head.RateLimitErr != nil:
		t.g.opts.Log.Warn("rate_limit_malformed", zap.String("request_id", t.call.ID),
			zap.String("server", string(a.c.Entry.ID)), logging.Error(head.RateLimitErr))
		return
	case !head.RateLimit.Limited && (!head.Sealed || head.NotRun):
		return // A refusal need not name the rate, and without a signature it may be no answer.
	}
	if c, changed := t.g.opts.RateLimits.Stated(selector.KeyOf(a.c.Entry), head.RateLimit, a.sentAt); changed {
		t.g.LogRateLimit(c, "answer")
		t.g.opts.Tell()
	}
}

// LogRateLimit logs that a server's rate limit has changed, and from whom that is known.
func (g *Gateway) LogRateLimit(c ratelimit.Change, source string) {
	g.opts.Log.Info("rate_limit_changed", zap.String("server", string(c.Key.ID)), zap.Int64("server_started", c.Key.Started),
		zap.Bool("limited", c.Now.Limited), zap.Float64("rate_limit", c.Now.Rate),
		zap.Bool("was_limited", c.Before.Limited), zap.Float64("before", c.Before.Rate),
		zap.Float64("share", g.opts.RateLimits.Share(c.Key)), zap.String("source", source))
}
