package gateway

import (
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
)

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
	case !head.RateLimit.Limited && !head.Sealed && !head.NotRun:
		return // It may not be the server's answer.
	}
	if c, changed := t.g.opts.RateLimits.Stated(selector.KeyOf(a.c.Entry), head.RateLimit, a.sentAt); changed {
		t.g.LogRateLimit(c, "answer")
	}
}

// LogRateLimit logs that a server's rate limit has changed, and from whom that is known.
func (g *Gateway) LogRateLimit(c ratelimit.Change, source string) {
	g.opts.Log.Info("rate_limit_changed", zap.String("server", string(c.Key.ID)), zap.Int64("server_started", c.Key.Started),
		zap.Bool("limited", c.Now.Limited), zap.Float64("rate_limit", c.Now.Rate),
		zap.Bool("was_limited", c.Before.Limited), zap.Float64("before", c.Before.Rate), zap.String("source", source))
}
