// Package config models the dynamic configuration, which operators change with
// tickets. A Snapshot is immutable and is replaced as a whole.
package config

import (
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
)

// Number is the number of the last ticket that a snapshot contains. Ticket
// numbers start at 1 and have no gaps.
type Number uint64

// Model is a model that callers may request.
type Model struct {
	Name string `json:"name" validate:"required"`
	// WeightsVersion is the version of the weights that engines must run.
	WeightsVersion string `json:"weights_version" validate:"required"`
	// Replicas is the minimum number of engines that hold the model.
	Replicas int `json:"replicas,omitempty" validate:"gte=0"`
}

// Class is a priority class of requests.
type Class string

const (
	// Lookup is a short read for a person who waits at a counter.
	Lookup Class = "lookup"
	// Booking is a call with a side effect, such as a booking or an award.
	Booking Class = "booking"
	// Interactive is a model request for a user who waits.
	Interactive Class = "interactive"
	// Review is a long model request that may be delayed but must not be lost.
	Review Class = "review"
)

// Classes is the number of priority classes.
const Classes = 4

// Rank returns the priority of the class, from 0 for the highest to Classes-1.
// An unknown class counts as interactive.
func (c Class) Rank() int {
	switch c {
	case Lookup:
		return 0
	case Booking:
		return 1
	case Review:
		return 3
	default:
		return 2
	}
}

// Route sends callers' requests for a path prefix to plain services, or sets
// the class of a model's requests.
type Route struct {
	ID string `json:"id" validate:"required"`
	// PathPrefix selects requests, for example "/svc/jobs/".
	PathPrefix string `json:"path_prefix" validate:"required,startswith=/"`
	// Servers are the plain services that receive the requests.
	Servers []backend.ID `json:"servers" validate:"min=1"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent routes may be retried after the request may have run.
	Idempotent bool `json:"idempotent,omitempty"`
	// RequireIdempotencyKey is set if calls without an Idempotency-Key are
	// refused.
	RequireIdempotencyKey bool `json:"require_idempotency_key,omitempty"`
	// Class is the priority class; empty means interactive.
	Class Class `json:"class,omitempty"`
	// CostTokens is the number of tokens that one call consumes of the account's
	// rate.
	CostTokens float64 `json:"cost_tokens,omitempty" validate:"gte=0"`
}

// Snapshot is the whole dynamic configuration after ticket Number. It must not
// be modified once it is published.
type Snapshot struct {
	Number   Number                         `json:"number"`
	Accounts map[account.ID]account.Account `json:"accounts"`
	Keys     map[account.KeyID]account.Key  `json:"keys"`
	Models   map[string]Model               `json:"models"`
	Routes   map[string]Route               `json:"routes"`
	Servers  map[backend.ID]backend.Server  `json:"servers"`
}

// Empty returns the snapshot before the first ticket.
func Empty() *Snapshot {
	return &Snapshot{
		Accounts: map[account.ID]account.Account{},
		Keys:     map[account.KeyID]account.Key{},
		Models:   map[string]Model{},
		Routes:   map[string]Route{},
		Servers:  map[backend.ID]backend.Server{},
	}
}
