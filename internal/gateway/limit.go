package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// placeWaitShare is the share of the latency objective that a request may spend waiting
// for a place at a rate-limited server; the rest is for the run.
const placeWaitShare = 0.5

// maxPlaceWait returns how long the request may wait for a place. A stream that has
// begun may wait until its caller would give up.
func (t *task) maxPlaceWait() time.Duration {
	if t.begun {
		return maxStreamPause
	}
	return max(0, time.Duration(placeWaitShare*float64(t.route.Objective))-t.waited())
}

// reservePlace reserves a place for the next attempt within the server's rate limit. It
// returns false if there is none within the given time.
func (t *task) reservePlace(c *selector.Candidate, within time.Duration) bool {
	place, ok := t.g.opts.RateLimits.Reserve(selector.KeyOf(c.Entry), within)
	t.place = place
	return ok
}

// awaitPlace reserves a place at the chosen server and waits until it is due. It
// returns false if another request has taken the last place that is due in time.
func (t *task) awaitPlace(ctx context.Context, c *selector.Candidate) bool {
	if !t.reservePlace(c, t.maxPlaceWait()) {
		return false
	}
	clock.Sleep(ctx, t.place.In)
	return true
}

// rateLimitedError refuses a request because the rate limits of the servers are used
// up. Callers retry when the first server accepts a request again, spread over the same
// time again.
func (t *task) rateLimitedError(limited []selector.Candidate) *verdict.Error {
	first := limited[0].RateLimitWait
	for _, c := range limited {
		first = min(first, c.RateLimitWait)
	}
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "servers_limited", "the backend servers have named rates that are used up", retryDelay(first, rand.Float64()))
}

// recordRateLimit records the rate limit that a response head states.
func (a *attempt) recordRateLimit(head Head) {
	t := a.t
	switch {
	case head.Misdirected:
		return // The response is another server's.
	case head.RateLimitErr != nil:
		t.g.opts.Log.Warn("rate_limit_malformed", zap.String("request_id", t.call.ID),
			zap.String("server", string(a.candidate.Entry.ID)), logging.Error(head.RateLimitErr))
		return
	case head.RateLimit == (ratelimit.Statement{}) && (!head.Signed || head.NotRun):
		return // A refusal need not state the rate limit, and an unsigned response may not be the server's.
	}
	if c, changed := t.g.opts.RateLimits.RecordStatement(selector.KeyOf(a.candidate.Entry), head.RateLimit, a.sentAt); changed {
		t.g.LogRateLimit(c, "answer")
		t.g.opts.NotifyPeers()
	}
}

// LogRateLimit logs the change of a server's rate limit and the source of the
// information.
func (g *Gateway) LogRateLimit(c ratelimit.Change, source string) {
	g.opts.Log.Info("rate_limit_changed", zap.String("server", string(c.Key.ID)), zap.Int64("server_started", c.Key.Started),
		zap.Bool("limited", c.Now.Limited), zap.Float64("rate_limit", c.Now.Rate),
		zap.Bool("was_limited", c.Before.Limited), zap.Float64("before", c.Before.Rate),
		zap.Bool("brittle", c.Now.Brittle), zap.Float64("max_refusals", c.Now.MaxRefusals), zap.Bool("was_brittle", c.Before.Brittle),
		zap.Float64("share", g.opts.RateLimits.Share(c.Key)), zap.String("source", source))
}

const (
	// codeServersFull is the code of a request for which no brittle server has room.
	codeServersFull = "servers_full"
	// roomPollInterval is the interval at which a request that waits for room at a brittle server
	// chooses one again.
	roomPollInterval = 10 * time.Millisecond
)

// serversFullError refuses a request because this VM may have no further one at the brittle
// servers.
func serversFullError() *verdict.Error {
	return verdict.RefuseUntil(http.StatusServiceUnavailable, codeServersFull, "the backend servers have no room", retryDelay(0, rand.Float64()))
}

// codeServersBackOff is the code of a request for which all servers want no requests of this VM.
const codeServersBackOff = "servers_back_off"

// recordBackoff records for how long the server wants no requests of this VM, or that it has accepted
// this one.
func (a *attempt) recordBackoff(resp *http.Response, head Head) {
	t, e := a.t, a.candidate.Entry
	key := selector.KeyOf(e)
	switch {
	case head.Misdirected:
		return // The response is another server's.
	case head.BackoffErr != nil:
		t.g.opts.Log.Warn("server_backoff_malformed", zap.String("request_id", t.call.ID),
			zap.String("server", string(e.ID)), logging.Error(head.BackoffErr))
	case head.Backoff > 0:
		left := t.g.opts.RateLimits.RecordBackoff(key, head.Backoff)
		t.g.meters.backoffs.Inc(1)
		t.g.opts.Log.Info("server_backs_off", zap.String("request_id", t.call.ID), zap.String("server", string(e.ID)),
			zap.Int64("server_started", e.Started), zap.Duration("asked", head.Backoff), zap.Duration("left", left))
	case resp.StatusCode != http.StatusServiceUnavailable:
		t.g.opts.RateLimits.RecordAccepted(key, a.sentAt)
	}
}

const (
	// codeWithheld is the code of an attempt at a server that the VMs which pass connections on may
	// send no requests.
	codeWithheld = "server_withheld"
	// maxWithheldTime bounds the time for which the server isn't tried again: this VM may reach it by
	// itself soon, and another VM may reach it before.
	maxWithheldTime = time.Second
)

// recordWithheld keeps this VM from trying the server again at once.
func (a *attempt) recordWithheld(withheld *hop.WithheldError) {
	wait := min(withheld.Left, maxWithheldTime)
	if wait <= 0 {
		wait = maxWithheldTime // It leaves, and this VM learns that soon.
	}
	a.t.g.opts.RateLimits.RecordBackoff(selector.KeyOf(a.candidate.Entry), wait)
}

// backedOffError refuses a request because all servers want no requests of this VM. Callers retry
// when the first server takes requests again, spread so that they don't all come at once.
func (t *task) backedOffError(backedOff []selector.Candidate) *verdict.Error {
	t.backoffLeft = backedOff[0].Backoff
	for _, c := range backedOff {
		t.backoffLeft = min(t.backoffLeft, c.Backoff)
	}
	after := t.backoffLeft + time.Duration(rand.Float64()*float64(minServerRetryAfter))
	return verdict.RefuseUntil(http.StatusServiceUnavailable, codeServersBackOff, "the backend servers want no requests for a time", after)
}

// awaitRoom waits before another choice if the request was refused because the servers are full
// or are about to take requests again. It returns false if the request may not wait for as long.
func (t *task) awaitRoom(ctx context.Context, refusal *verdict.Error) bool {
	left := time.Duration(0)
	switch refusal.Code {
	case codeServersFull:
	case codeServersBackOff:
		left = t.backoffLeft
	case codeServersRejecting:
		if !t.begun {
			return false // Its caller had better retry than wait: other requests wait as well.
		}
		left = t.backoffLeft
	default:
		return false
	}
	now := t.g.opts.Now()
	if t.fullSince.IsZero() {
		t.fullSince = now
	}
	limit := time.Duration(placeWaitShare * float64(t.route.Objective))
	if t.begun {
		limit = maxStreamPause
	}
	return now.Sub(t.fullSince)+left < limit && clock.Sleep(ctx, max(left, roomPollInterval))
}
