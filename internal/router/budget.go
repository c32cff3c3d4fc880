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

// BudgetView returns the function from which a budget service gets its roster. The
// view is empty until a roster is known: the budget service takes the incarnation
// of this VM before a restart from the first roster in a view.
func BudgetView(s *spread.Spreader) func() budget.View {
	return func() budget.View {
		v := s.View()
		if v.Roster.Version == 0 {
			return budget.View{}
		}
		return budget.View{Roster: v.Roster, Evidence: v.EvidenceAt}
	}
}

// Budget enforces the rate and burst of client accounts across all VMs.
type Budget interface {
	// Reserve debits tokens. Its error is a *budget.Refusal.
	Reserve(ctx context.Context, id account.ID, tokens float64) (*budget.Reservation, error)
	// Home returns the account's home VM, through which it is served best.
	Home(id account.ID) (vm.VM, bool)
}

// budgetRefusal converts an error of Budget.Reserve to the error for the caller.
func budgetRefusal(err error) *verdict.Error {
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

// moveHomeFirst moves the account's home VM to the front of vms. The home VM
// admits the account's requests without a call to another VM.
func (r *Router) moveHomeFirst(id account.ID, vms []vm.VM) {
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
