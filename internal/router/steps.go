package router

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/vm"
)

// FreshnessChecker reports whether this VM knows that its configuration was current
// recently enough to serve requests with keys.
type FreshnessChecker interface {
	Fresh(now time.Time) bool
}

// Admission describes a request to an Admitter.
type Admission struct {
	RequestID string
	Account   account.Account
	Class     config.Class
	// Model is empty for calls of plain services.
	Model string
	// Tokens is the estimated cost: the prompt plus the declared maximum output,
	// or the fixed cost of a route.
	Tokens float64
}

// Grant is the admission of one request.
type Grant interface {
	// Done ends the request and releases the tokens that were not used.
	Done(usedTokens float64)
}

// Admitter enforces the contracts of client accounts and shares the backend
// servers fairly among them.
type Admitter interface {
	// Admit blocks until the request is admitted or refused. Its error is a
	// *verdict.Error with verdict NotRun.
	Admit(ctx context.Context, a Admission) (Grant, error)
}

// Prompt describes a model request to a Balancer.
type Prompt struct {
	RequestID      string
	Account        account.ID
	Model          string
	WeightsVersion string
	Text           string
	MaxTokens      int
	Class          config.Class
	View           *config.View
}

// Balancer chooses engines and plain services.
type Balancer interface {
	// Engine returns the picker for one model request.
	Engine(p Prompt) dispatch.Picker
	// Service returns the picker for one call of a route. view returns the configuration in force:
	// a call may wait, and servers leave meanwhile.
	Service(view func() *config.View, route config.Route) dispatch.Picker
}

// VMDirectory lists the VMs that callers may use.
type VMDirectory interface {
	// VMs returns the live VMs that are not leaving. The account may be empty.
	VMs(account account.ID) []vm.VM
}
