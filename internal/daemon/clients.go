package daemon

import (
	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/membudget"
)

// maxAdminConns bounds the connections to the admin port, which operators and probes use.
const maxAdminConns = 256

// newGuard returns a guard for a listener of this process.
func (d *Daemon) newGuard(name string, budget *membudget.Budget, maxConns int) *clientconn.Guard {
	limits := d.settings.Limits
	inForce := clientconn.Limits{
		HeaderBytes:   limits.MaxHeaderBytes,
		HeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:   limits.IdleTimeout.Std(),
	}
	return clientconn.New(clientconn.Options{
		Name: name, Log: d.log, Metrics: d.metrics, Budget: budget, MaxConns: maxConns,
		Limits: func() clientconn.Limits { return inForce },
	})
}
