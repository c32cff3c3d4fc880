package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/spread"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

// BudgetView returns the view of the roster that a budget service works with.
func BudgetView(s *spread.Spreader) func() budget.View {
	return func() budget.View {
		v := s.View()
		return budget.View{Roster: v.Roster, Evidence: v.EvidenceAt}
	}
}

// Budget holds client accounts to their rate and burst over all VMs.
type Budget interface {
	// Reserve debits tokens. Its error is a *budget.Refusal.
	Reserve(ctx context.Context, id account.ID, tokens float64) (*budget.Reservation, error)
	// Home returns the VM through which the account is served best.
	Home(id account.ID) (vm.VM, bool)
}

// refuseBudget returns the answer to the caller of a request whose tokens were
// not reserved.
func refuseBudget(err error) *verdict.Error {
	var refusal *budget.Refusal
	if !errors.As(err, &refusal) {
		return verdict.Refuse(http.StatusServiceUnavailable, "budget_unavailable", "the rate could not be checked")
	}
	switch refusal.Outcome {
	case budget.NoTokens:
		return verdict.RefuseUntil(http.StatusTooManyRequests, "rate_exceeded",
			"the client account is over its rate", refusal.RetryAfter)
	case budget.OverBurst:
		return verdict.Refuse(http.StatusRequestEntityTooLarge, "burst_exceeded",
			"the prompt and the declared maximum of output exceed the client account's burst")
	default:
		return verdict.RefuseUntil(http.StatusServiceUnavailable, "budget_unavailable",
			"the VM that keeps the client account's rate cannot answer now", max(refusal.RetryAfter, time.Second))
	}
}

// homeFirst moves the account's home VM to the front. Requests through it are
// admitted without asking another VM.
func (r *Router) homeFirst(id account.ID, vms []vm.VM) {
	if r.opts.Budget == nil || id == "" {
		return
	}
	home, ok := r.opts.Budget.Home(id)
	i := slices.IndexFunc(vms, func(v vm.VM) bool { return v.ID == home.ID })
	if !ok || i < 0 {
		return
	}
	home = vms[i]
	copy(vms[1:i+1], vms[:i])
	vms[0] = home
}
