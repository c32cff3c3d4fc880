package poison

import (
	"encoding/hex"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Metric names.
const (
	MetricCrashes   = "poison.crashes"
	MetricGrants    = "poison.grants"
	MetricRefusals  = "poison.refusals"
	MetricConvicted = "poison.convicted"
	MetricCleared   = "poison.cleared"
)

// journal writes the log lines and metrics of a guard. Contents are named by
// their digests.
type journal struct {
	log                                           *zap.Logger
	crashes, grants, refusals, convicted, cleared metrics.Counter
}

func newJournal(log *zap.Logger, reg metrics.Registry) *journal {
	return &journal{
		log:       log,
		crashes:   metrics.GetOrRegisterCounter(MetricCrashes, reg),
		grants:    metrics.GetOrRegisterCounter(MetricGrants, reg),
		refusals:  metrics.GetOrRegisterCounter(MetricRefusals, reg),
		convicted: metrics.GetOrRegisterCounter(MetricConvicted, reg),
		cleared:   metrics.GetOrRegisterCounter(MetricCleared, reg),
	}
}

func contentFields(c Content, more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("account", string(c.Account)),
		zap.String("content", hex.EncodeToString(c.Digest[:])),
	}
	return append(fields, more...)
}

func (j *journal) refused(c Content, retryAfter time.Duration) {
	j.refusals.Inc(1)
	j.log.Info("poison_refused", contentFields(c, zap.Duration("retry_after", retryAfter))...)
}

func (j *journal) granted(c Content, server backend.ID) {
	j.grants.Inc(1)
	j.log.Info("suspect_granted", contentFields(c, zap.String("server", string(server)))...)
}

// ended writes what the end of a suspect's run shows.
func (j *journal) ended(f Finish, server backend.ID, end End) {
	switch end {
	case Completed:
		j.cleared.Inc(1)
		j.log.Info("suspect_cleared", contentFields(f.Content, zap.String("server", string(server)))...)
	case Crashed:
		n := f.Evidence.Crashes()
		j.crashes.Inc(1)
		if n >= CrashLimit {
			j.convicted.Inc(1)
		}
		j.log.Warn("content_suspected", contentFields(f.Content,
			zap.String("server", string(server)),
			zap.Int("crashes", n),
			zap.Bool("convicted", n >= CrashLimit))...)
	}
}
