package gateway

import "github.com/rcrowley/go-metrics"

// reservoirSize and reservoirAlpha are the parameters of the histograms: 1,028
// samples with an exponential decay that favours the last five minutes, as the
// library recommends.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

type meters struct {
	requests, refused, failed, retries, resumes metrics.Meter
	firstByte, total                            metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	return meters{
		requests:  metrics.GetOrRegisterMeter("requests", r),
		refused:   metrics.GetOrRegisterMeter("requests_refused", r),
		failed:    metrics.GetOrRegisterMeter("requests_failed", r),
		retries:   metrics.GetOrRegisterMeter("retries", r),
		resumes:   metrics.GetOrRegisterMeter("resumes", r),
		firstByte: histogram("first_byte_ms"),
		total:     histogram("total_ms"),
	}
}
