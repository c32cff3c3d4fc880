package gateway

import (
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// doubtfulDirectoryAge is the age of the server directory from which a send is
	// logged as doubtful: the time within which a server's departure must be known
	// (drain_ms of the deployment).
	doubtfulDirectoryAge = 2 * time.Second
	// doubtfulWeightsShare is the share of the version bound, the time after which no
	// request may begin on older weights, from which a send to a server with older
	// weights is logged as doubtful.
	doubtfulWeightsShare = 0.5
)

// evidence is what was known of a server when a request was written to it.
type evidence struct {
	// revision is that of the server's entry; completeRevision is the revision up to
	// which no change of any server was missed.
	revision, completeRevision platform.Revision
	// directoryAge is the age of the server directory; writeDelay is the time since the
	// server was chosen.
	directoryAge, writeDelay time.Duration
	software                 string
	weights                  uint64
	// weightsStaleness is the time since newer weights became the required ones.
	weightsStaleness time.Duration
	// rateLimit is the server's rate limit, and rateLimitAge the age of the response
	// that stated it.
	rateLimit    ratelimit.Statement
	rateLimitAge time.Duration
}

func (e *evidence) fields() []zap.Field {
	fields := []zap.Field{
		zap.Stringer("server_revision", e.revision),
		zap.Stringer("known_revision", e.completeRevision),
		zap.Duration("news_age", e.directoryAge),
		zap.Duration("write_delay", e.writeDelay),
		zap.String("software", e.software),
		zap.Uint64("weights", e.weights),
		zap.Duration("weights_behind", e.weightsStaleness),
	}
	if e.rateLimit.Limited {
		fields = append(fields, zap.Float64("rate_limit", e.rateLimit.Rate), zap.Duration("rate_limit_age", e.rateLimitAge))
	}
	return fields
}

// recordEvidence records what the choice of the server was based on. A send that the
// rules might not allow is logged immediately, as the process may end before the
// request does.
func (a *attempt) recordEvidence() {
	t, now := a.t, a.t.g.opts.Now()
	e := evidence{
		revision:         a.candidate.Entry.Revision,
		completeRevision: t.g.opts.Directory.Known(),
		directoryAge:     t.g.opts.DirectoryAge(),
		writeDelay:       now.Sub(t.chosenAt),
		software:         a.candidate.Entry.Software,
		weights:          a.candidate.Weights(t.call.Model),
		weightsStaleness: t.weightsStaleness(a.candidate.Entry, now),
	}
	e.rateLimit, e.rateLimitAge = t.g.opts.RateLimits.LatestStatement(selector.KeyOf(a.candidate.Entry))
	t.outcome.evidence = e
	doubtfulLag := time.Duration(doubtfulWeightsShare * float64(t.g.opts.Model.VersionBound))
	if e.weightsStaleness > max(0, doubtfulLag) || e.directoryAge > doubtfulDirectoryAge {
		t.g.opts.Log.Info("sent_in_doubt", append(e.fields(),
			zap.String("request_id", t.call.ID), zap.String("server", string(a.candidate.Entry.ID)), zap.Int64("server_started", a.candidate.Entry.Started))...)
	}
}
