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
	w := enginewatch.New(engineReports{PrefixBalancer: d.balancer, health: d.health}, d.log)
	w.Run(ctx, func() []backend.Server { return d.balancer.Watched(d.router.View()) })
}

// engineReports hands load reports to the balancer and to the health table,
// which learns from them of engines that have come back.
type engineReports struct {
	*router.PrefixBalancer
	health *health.Table
}

// Loaded implements enginewatch.Sink.
func (r engineReports) Loaded(id backend.ID, l openai.Load, asked, now time.Time) {
	r.health.Update(id, func(b health.Breaker) health.Breaker {
		return b.Seen(now, asked, backend.Incarnation(l.Incarnation))
	})
	r.PrefixBalancer.Loaded(id, l, asked, now)
}
