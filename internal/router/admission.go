package router

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/internal/admission"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/config"
)

// tokensPerEngine is how many tokens of prompts and outputs one engine can hold
// in its KV cache at a time.
const tokensPerEngine = 1 << 17

// FairAdmitter reserves a request's tokens from the account's budget and then
// queues model requests for the engines. Calls to plain services aren't queued,
// and requests without a cost are admitted at once.
type FairAdmitter struct {
	budget Budget
	queue  *admission.Controller
}

// NewFairAdmitter returns an admitter that admits no model request until Apply
// sets the capacity.
func NewFairAdmitter(b Budget) *FairAdmitter {
	return &FairAdmitter{budget: b, queue: admission.NewController(admission.DefaultSettings(), 0)}
}

// Apply sets the limit on the tokens in flight from the engines of a
// configuration. Each VM may use the whole limit: with a share for each VM, the
// home VM of a large account would queue requests while engines are idle.
func (a *FairAdmitter) Apply(c *config.Snapshot) {
	engines := 0
	for _, s := range c.Servers {
		if len(s.Models) > 0 && !s.Leaving {
			engines++
		}
	}
	a.queue.SetCapacity(float64(max(engines, 1)) * tokensPerEngine)
}

// Admit implements Admitter.
func (a *FairAdmitter) Admit(ctx context.Context, r Admission) (Grant, error) {
	if r.Tokens == 0 {
		return noopGrant{}, nil
	}
	reservation, err := a.budget.Reserve(ctx, r.Account.ID, r.Tokens)
	if err != nil {
		return nil, budgetRefusal(err)
	}
	if r.Model == "" {
		return &budgetGrant{reservation: reservation, release: func(float64) {}}, nil
	}
	release, err := a.queue.Admit(ctx, admission.Request{
		Account:  r.Account.ID,
		Weight:   r.Account.Contract.Weight,
		Class:    r.Class,
		Tokens:   r.Tokens,
		Deadline: time.Now().Add(queueTimeout(r.Class)),
	})
	if err != nil {
		reservation.Settle(0)
		return nil, err
	}
	return &budgetGrant{reservation: reservation, release: release}, nil
}

// queueTimeout returns how long a request of a class may wait for admission.
func queueTimeout(c config.Class) time.Duration {
	switch c {
	case config.Lookup, config.Booking:
		return 10 * time.Second
	case config.Review:
		return 10 * time.Minute
	default:
		return time.Minute
	}
}

// budgetGrant is a Grant of a FairAdmitter.
type budgetGrant struct {
	reservation *budget.Reservation
	release     func(used float64)
}

// Done implements Grant.
func (g *budgetGrant) Done(usedTokens float64) {
	g.release(usedTokens)
	g.reservation.Settle(usedTokens)
}
