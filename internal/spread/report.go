package spread

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// reportInterval is how often the gauges are set.
const reportInterval = 250 * time.Millisecond

// gauges are what an operator watches.
type gauges struct {
	evidenceAge metrics.Gauge
	number      metrics.Gauge
	roster      metrics.Gauge
	members     metrics.Gauge
	// fresh is what was last logged. Only the report loop uses it.
	fresh bool
}

func newGauges(r metrics.Registry) gauges {
	return gauges{
		evidenceAge: metrics.NewRegisteredGauge("control.evidence_age_ms", r),
		number:      metrics.NewRegisteredGauge("control.ticket", r),
		roster:      metrics.NewRegisteredGauge("control.roster_version", r),
		members:     metrics.NewRegisteredGauge("control.roster_members", r),
	}
}

// report sets the gauges and logs when keyed requests begin or cease to be
// served.
func (s *Spreader) report(context.Context) {
	v, age := s.View(), s.evidenceAge()
	s.gauges.evidenceAge.Update(age.Milliseconds())
	s.gauges.number.Update(int64(v.Head.Number))
	s.gauges.roster.Update(int64(v.Head.Roster))
	s.gauges.members.Update(int64(len(v.Roster.Members)))
	fresh := v.Fresh(time.Now())
	if fresh == s.gauges.fresh {
		return
	}
	s.gauges.fresh = fresh
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
