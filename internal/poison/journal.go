package poison

import (
	"cmp"
	"encoding/hex"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/crashcause"
)

// Metric names.
const (
	MetricCrashes   = "poison.crashes"
	MetricGrants    = "poison.grants"
	MetricRefusals  = "poison.refusals"
	MetricConvicted = "poison.convicted"
	MetricCleared   = "poison.cleared"
	// MetricPrefixes counts the prompt prefixes that were convicted, and MetricPrefixesCleared
	// those whose conviction ended before its time.
	MetricPrefixes        = "poison.prefixes"
	MetricPrefixesCleared = "poison.prefixes_cleared"
)

// recorder writes the log lines and metrics of a guard. It identifies contents
// by their digests.
type recorder struct {
	log                                           *zap.Logger
	crashes, grants, refusals, convicted, cleared metrics.Counter
	prefixes, prefixesCleared                     metrics.Counter
}

func newRecorder(log *zap.Logger, reg metrics.Registry) *recorder {
	return &recorder{
		log:       log,
		crashes:   metrics.GetOrRegisterCounter(MetricCrashes, reg),
		grants:    metrics.GetOrRegisterCounter(MetricGrants, reg),
		refusals:  metrics.GetOrRegisterCounter(MetricRefusals, reg),
		convicted: metrics.GetOrRegisterCounter(MetricConvicted, reg),
		cleared:   metrics.GetOrRegisterCounter(MetricCleared, reg),

		prefixes:        metrics.GetOrRegisterCounter(MetricPrefixes, reg),
		prefixesCleared: metrics.GetOrRegisterCounter(MetricPrefixesCleared, reg),
	}
}

func contentFields(c Content, more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("account", string(c.Account)),
		zap.String("content", hex.EncodeToString(c.Digest[:])),
	}
	return append(fields, more...)
}

func (r *recorder) refused(c Content, retryAfter time.Duration) {
	r.refusals.Inc(1)
	r.log.Info("poison_refused", contentFields(c, zap.Duration("retry_after", retryAfter))...)
}

// refusedCause records the refusal of a request with a convicted trait.
func (r *recorder) refusedCause(id account.ID, c crashcause.Conviction, retryAfter time.Duration) {
	r.refusals.Inc(1)
	r.log.Info("poison_refused", zap.String("account", string(id)), zap.Stringer("crash_cause", c.Trait), zap.Duration("retry_after", retryAfter))
}

// causeChanged records a change of the convicted traits.
func (r *recorder) causeChanged(c crashcause.Change) {
	event, count := "crash_cause_found", r.prefixes
	if c.Lifted {
		event, count = "crash_cause_cleared", r.prefixesCleared
	}
	if c.Part {
		count.Inc(1)
	}
	crashed := make([]string, 0, len(c.Crashes))
	for _, server := range c.Crashes {
		crashed = append(crashed, string(server.ID))
	}
	r.log.Warn(event, zap.Stringer("crash_cause", c.Trait), zap.Stringers("or", c.With), zap.Bool("part", c.Part),
		zap.Strings("crashed", crashed), zap.Int("contents", c.Contents), zap.String("source", cmp.Or(c.Source, "own")))
}

func (r *recorder) granted(c Content, server backend.ID) {
	r.grants.Inc(1)
	r.log.Info("suspect_granted", contentFields(c, zap.String("server", string(server)))...)
}

// ended records the result of a suspect's run.
func (r *recorder) ended(f Finish, server backend.ID, end End) {
	switch end {
	case Completed:
		r.cleared.Inc(1)
		r.log.Info("suspect_cleared", contentFields(f.Content, zap.String("server", string(server)))...)
	case Crashed:
		n := f.Evidence.Crashes()
		r.crashes.Inc(1)
		if n >= CrashLimit {
			r.convicted.Inc(1)
		}
		r.log.Warn("content_suspected", contentFields(f.Content,
			zap.String("server", string(server)),
			zap.Int("crashes", n),
			zap.Bool("convicted", n >= CrashLimit))...)
	}
}
