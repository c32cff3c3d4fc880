package router

import (
	"context"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Evidence tells whether the configuration in force is known to be current.
type Evidence interface {
	Fresh(now time.Time) bool
}

// Admission is what admission decides on.
type Admission struct {
	RequestID string
	Account   account.Account
	Class     config.Class
	// Model is empty for calls of plain services.
	Model string
	// Tokens is the prompt's length plus the declared maximum of output.
	Tokens float64
}

// Grant is the right to run one request.
type Grant interface {
	// Done ends the request and returns the tokens that were not used.
	Done(usedTokens float64)
}

// Admitter holds client accounts to their contracts and shares the backend
// servers fairly among them.
type Admitter interface {
	// Admit waits for the request's turn. Its error is a *verdict.Error with
	// verdict NotRun.
	Admit(ctx context.Context, a Admission) (Grant, error)
}

// Prompt is what the choice of an engine depends on.
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
	// Service returns the picker for one call of a route.
	Service(view *config.View, route config.Route) dispatch.Picker
}

// AddressBook knows the VMs that callers may use.
type AddressBook interface {
	// VMs lists the live VMs that are not leaving. The account may be empty.
	VMs(account account.ID) []vm.VM
}
