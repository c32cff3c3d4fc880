package gateway

import (
	"github.com/rcrowley/go-metrics"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// reservoirSize and reservoirAlpha are the parameters of the histograms: 1,028
// samples with an exponential decay that favours the last five minutes, as the
// library recommends.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

type meters struct {
	registry                           metrics.Registry
	requests, refused, failed, retries metrics.Meter
	// backoffs counts the responses that asked this VM for no requests for a time.
	backoffs metrics.Counter
	// leaves counts the servers whose responses stated that they leave.
	leaves metrics.Counter
	// lastResorts counts the choices among servers that accept no connections or have most likely
	// failed, as no other was left. gone counts the servers whose address another one has.
	lastResorts, gone metrics.Counter
	// rejections counts the requests that servers rejected as full.
	rejections metrics.Counter
	// reevaluations counts the calls that were evaluated again because the configuration had changed.
	reevaluations metrics.Counter
	// outdatedRefusals counts the calls that an outdated configuration would have refused.
	outdatedRefusals metrics.Counter
	firstByte, total map[catalog.Kind]metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	m := meters{
		registry:         r,
		requests:         metrics.GetOrRegisterMeter("requests", r),
		refused:          metrics.GetOrRegisterMeter("requests_refused", r),
		failed:           metrics.GetOrRegisterMeter("requests_failed", r),
		retries:          metrics.GetOrRegisterMeter("retries", r),
		backoffs:         metrics.GetOrRegisterCounter("server_backoffs", r),
		leaves:           metrics.GetOrRegisterCounter("servers_leaving_by_answer", r),
		lastResorts:      metrics.GetOrRegisterCounter("choices_unresponsive_only", r),
		reevaluations:    metrics.GetOrRegisterCounter("requests_reevaluated", r),
		outdatedRefusals: metrics.GetOrRegisterCounter("requests_refused_by_outdated_configuration", r),
		rejections:       metrics.GetOrRegisterCounter("server_rejections", r),
		gone:             metrics.GetOrRegisterCounter("servers_gone", r),
		firstByte:        map[catalog.Kind]metrics.Histogram{},
		total:            map[catalog.Kind]metrics.Histogram{},
	}
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.AtMostOnce, catalog.Stream} {
		m.firstByte[kind] = histogram("first_byte_ms." + string(kind))
		m.total[kind] = histogram("total_ms." + string(kind))
	}
	return m
}

// count counts a failed call or attempt by cause and verdict.
func (m *meters) count(what, cause string, v verdict.Verdict) {
	metrics.GetOrRegisterCounter(what+"."+cause+"."+v.String(), m.registry).Inc(1)
}
