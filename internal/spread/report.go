package spread

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// reportInterval is how often the gauges are updated.
const reportInterval = 250 * time.Millisecond

// gauges holds the metrics for operators.
type gauges struct {
	evidenceAge metrics.Gauge
	number      metrics.Gauge
	roster      metrics.Gauge
	members     metrics.Gauge
	// loggedFresh is the last logged value of Fresh. It is used only by the
	// report loop.
	loggedFresh bool
}

func newGauges(r metrics.Registry) gauges {
	return gauges{
		evidenceAge: metrics.NewRegisteredGauge("control.evidence_age_ms", r),
		number:      metrics.NewRegisteredGauge("control.ticket", r),
		roster:      metrics.NewRegisteredGauge("control.roster_version", r),
		members:     metrics.NewRegisteredGauge("control.roster_members", r),
	}
}

// updateGauges updates the gauges and logs when this router starts or stops
// serving keyed requests.
func (s *Spreader) updateGauges(context.Context) {
	v, age := s.View(), s.evidenceAge()
	s.gauges.evidenceAge.Update(age.Milliseconds())
	s.gauges.number.Update(int64(v.Head.Number))
	s.gauges.roster.Update(int64(v.Head.Roster))
	s.gauges.members.Update(int64(len(v.Roster.Members)))
	fresh := v.Fresh(time.Now())
	if fresh == s.gauges.loggedFresh {
		return
	}
	s.gauges.loggedFresh = fresh
	event := "keyed_requests_refused"
	if fresh {
		event = "keyed_requests_served"
	}
	s.opts.Log.Info(event,
		zap.Uint64("number", uint64(v.Head.Number)),
		zap.Uint64("roster_version", uint64(v.Head.Roster)),
		zap.Bool("member", v.Member),
		zap.Duration("evidence_age", age))
}
