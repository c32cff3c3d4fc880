package daemon

import (
	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/router"
)

// newBudget returns the part that keeps client accounts within their rates.
func (d *Daemon) newBudget() *budget.Service {
	return budget.NewService(budget.Options{
		Self: d.Self(),
		View: router.BudgetView(d.spread),
		Client: func(addr string) (peer.BudgetClient, error) {
			conn, err := d.pool.Conn(addr)
			if err != nil {
				return nil, err
			}
			return peer.NewBudgetClient(conn), nil
		},
		Tell: d.spread.Tell,
		Log:  d.log,
	})
}
