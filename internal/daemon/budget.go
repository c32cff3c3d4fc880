package daemon

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/router"
)

// newBudget returns the service that keeps client accounts within their rates.
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
		ExchangeRoster: d.spread.RequestExchange,
		Log:            d.log,
	})
}

// handOverTimeout bounds the wait until client accounts have new homes when this
// VM leaves.
const handOverTimeout = 5 * time.Second

// handOver waits until other VMs have taken over the budgets of all client
// accounts.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.budget.AwaitHandover(ctx)
}
