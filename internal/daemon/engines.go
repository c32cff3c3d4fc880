package daemon

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/enginewatch"
	"papayaspan.dev/papayaspan/internal/health"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/router"
)

// watchEngines follows the engines of the configuration in force.
func (d *Daemon) watchEngines(ctx context.Context) {
	w := enginewatch.New(reportSink{PrefixBalancer: d.balancer, health: d.health}, d.log)
	w.Run(ctx, func() []backend.Server { return d.balancer.Watched(d.router.View()) })
}

// reportSink passes load reports to the balancer and to the health table, which
// uses them to detect engines that have restarted.
type reportSink struct {
	*router.PrefixBalancer
	health *health.Table
}

// Loaded implements enginewatch.Sink.
func (r reportSink) Loaded(id backend.ID, l openai.Load, requestedAt, now time.Time) {
	r.health.Update(id, func(b health.Breaker) health.Breaker {
		return b.Seen(now, requestedAt, backend.Incarnation(l.Incarnation))
	})
	r.PrefixBalancer.Loaded(id, l, requestedAt, now)
}
