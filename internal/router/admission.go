package router

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/internal/admission"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/config"
)

// tokensPerEngine is how many tokens of prompts and outputs one engine holds
// in its cache at a time.
const tokensPerEngine = 1 << 17

// FairAdmitter reserves a request's tokens and then waits for its turn at the
// engines. Calls of plain services only reserve, and free ones not even that.
type FairAdmitter struct {
	budget Budget
	queue  *admission.Controller
}

// NewFairAdmitter returns an admitter without engines.
func NewFairAdmitter(b Budget) *FairAdmitter {
	return &FairAdmitter{budget: b, queue: admission.NewController(admission.DefaultSettings(), 0)}
}

// Apply sets the tokens in flight by the engines of a configuration. Each VM
// may use all of it: a part for each VM would hold back the home VM of a large
// account while engines are idle.
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
		return openGrant{}, nil
	}
	reservation, err := a.budget.Reserve(ctx, r.Account.ID, r.Tokens)
	if err != nil {
		return nil, refuseBudget(err)
	}
	if r.Model == "" {
		return &fairGrant{reservation: reservation, release: func(float64) {}}, nil
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
	return &fairGrant{reservation: reservation, release: release}, nil
}

// queueTimeout is how long a request may wait for engines.
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

// fairGrant is the grant of a FairAdmitter.
type fairGrant struct {
	reservation *budget.Reservation
	release     func(used float64)
}

// Done implements Grant.
func (g *fairGrant) Done(usedTokens float64) {
	g.release(usedTokens)
	g.reservation.Settle(usedTokens)
}
