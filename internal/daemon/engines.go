package daemon

import (
	"context"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/enginewatch"
)

// watchEngines follows the engines of the configuration in force.
func (d *Daemon) watchEngines(ctx context.Context) {
	w := enginewatch.New(d.balancer, d.log)
	w.Run(ctx, func() []backend.Server { return d.balancer.Watched(d.router.View()) })
}
