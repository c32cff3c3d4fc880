package gateway

import (
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// doubtfulAge is the age of the news of servers from which a send is logged when
	// it happens: the time within which a leave must be known, drain_ms on the
	// deployments' sheets.
	doubtfulAge = 2 * time.Second
	// doubtfulShare is the same for older weights, as a share of the time after which
	// no request may begin on them.
	doubtfulShare = 0.5
)

// evidence is what was known of a server when a request was written to it.
type evidence struct {
	// revision is that of the server's entry, known that up to which nothing of any
	// server was missed.
	revision, known platform.Revision
	// newsAge is the age of the news of servers, delay the time since the server was
	// chosen.
	newsAge, delay time.Duration
	weights        uint64
	// behind is for how long newer weights had been named.
	behind time.Duration
	// limit is the server's rate limit, and limitAge the age of the answer that stated it.
	limit    ratelimit.Statement
	limitAge time.Duration
}

func (e *evidence) fields() []zap.Field {
	fields := []zap.Field{
		zap.Stringer("server_revision", e.revision),
		zap.Stringer("known_revision", e.known),
		zap.Duration("news_age", e.newsAge),
		zap.Duration("write_delay", e.delay),
		zap.Uint64("weights", e.weights),
		zap.Duration("weights_behind", e.behind),
	}
	if e.limit.Limited {
		fields = append(fields, zap.Float64("rate_limit", e.limit.Rate), zap.Duration("rate_limit_age", e.limitAge))
	}
	return fields
}

// noteEvidence keeps on what the send is based. A send that the rules may not allow
// is logged now: the process may end before the request does.
func (a *attempt) noteEvidence() {
	t, now := a.t, a.t.g.opts.Now()
	e := evidence{
		revision: a.c.Entry.Revision,
		known:    t.g.opts.Directory.Known(),
		newsAge:  t.g.opts.NewsAge(),
		delay:    now.Sub(t.chosenAt),
		weights:  a.c.Weights(t.call.Model),
		behind:   t.behind(a.c.Entry, now),
	}
	e.limit, e.limitAge = t.g.opts.RateLimits.Known(selector.KeyOf(a.c.Entry))
	t.outcome.evidence = e
	late := time.Duration(doubtfulShare * float64(t.g.opts.Model.VersionBound))
	if e.behind > max(0, late) || e.newsAge > doubtfulAge {
		t.g.opts.Log.Info("sent_in_doubt", append(e.fields(),
			zap.String("request_id", t.call.ID), zap.String("server", string(a.c.Entry.ID)), zap.Int64("server_started", a.c.Entry.Started))...)
	}
}
