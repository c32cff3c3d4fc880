package router

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/verdict"
)

// Metric names.
const (
	MetricRequests   = "router.requests"
	MetricRefused    = "router.refused"
	MetricFailed     = "router.failed"
	MetricFirstToken = "router.first_token_ms"
	MetricOpen       = "router.open_requests"
	MetricRetries    = "router.retries"
	MetricResumes    = "router.resumes"
)

// sampleSize is the reservoir size of the first-token histogram.
const sampleSize = 1028

// sampleAlpha biases the reservoir to the last five minutes.
const sampleAlpha = 0.015

type stats struct {
	requests, refused, failed metrics.Meter
	retries, resumes          metrics.Meter
	firstToken                metrics.Histogram
}

func newStats(reg metrics.Registry) stats {
	return stats{
		requests:   metrics.GetOrRegisterMeter(MetricRequests, reg),
		refused:    metrics.GetOrRegisterMeter(MetricRefused, reg),
		failed:     metrics.GetOrRegisterMeter(MetricFailed, reg),
		retries:    metrics.GetOrRegisterMeter(MetricRetries, reg),
		resumes:    metrics.GetOrRegisterMeter(MetricResumes, reg),
		firstToken: metrics.GetOrRegisterHistogram(MetricFirstToken, reg, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// refuse logs the refusal of a request that did not run and writes the error
// response.
func (r *Router) refuse(w http.ResponseWriter, id string, e *verdict.Error) {
	r.stats.refused.Mark(1)
	r.opts.Log.Info("request_refused",
		zap.String("request_id", id),
		zap.String("code", e.Code),
		zap.Int("status", e.Status),
		zap.Stringer("verdict", e.Verdict),
		zap.Duration("retry_after", e.RetryAfter))
	writeError(w, id, e)
}
