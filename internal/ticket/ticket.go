// Package ticket implements operators' change tickets: their content, their
// validation, how they change the configuration, and their numbered history in
// the table service.
package ticket

import (
	"fmt"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Changes is the part of a ticket that concerns one kind of object. An object
// that is set is replaced whole; objects that are not named are unchanged.
type Changes[K ~string, V any] struct {
	Set    []V `json:"set,omitempty"`
	Remove []K `json:"remove,omitempty"`
}

func (c Changes[K, V]) empty() bool {
	return len(c.Set) == 0 && len(c.Remove) == 0
}

// Ticket is one change of the configuration. It is accepted whole or refused
// whole.
type Ticket struct {
	// ClientID is chosen by the operator's program. Filing a ticket again with
	// the same operator and client ID returns the first record.
	ClientID string `json:"client_id" validate:"required,max=128,printascii"`
	// Operator names the operator who filed the ticket.
	Operator string `json:"operator" validate:"required,max=128,printascii"`
	// Comment is the operator's reason for the change, kept in the history.
	Comment string `json:"comment,omitempty" validate:"max=4096"`

	Accounts Changes[account.ID, account.Account] `json:"accounts,omitzero"`
	Keys     Changes[account.KeyID, account.Key]  `json:"keys,omitzero"`
	Models   Changes[string, config.Model]        `json:"models,omitzero"`
	Routes   Changes[string, config.Route]        `json:"routes,omitzero"`
	Servers  Changes[backend.ID, backend.Server]  `json:"servers,omitzero"`
}

// Problem is one reason for which a ticket was refused.
type Problem struct {
	// Object names the object, for example "key/k1". It is empty if the reason
	// concerns the ticket as a whole.
	Object string `json:"object,omitempty"`
	// Field is the JSON name of the field, if the reason concerns one.
	Field string `json:"field,omitempty"`
	// Reason is a human-readable explanation.
	Reason string `json:"reason"`
}

// String returns "object.field: reason".
func (p Problem) String() string {
	switch {
	case p.Object == "" && p.Field == "":
		return p.Reason
	case p.Object == "":
		return fmt.Sprintf("%s: %s", p.Field, p.Reason)
	case p.Field == "":
		return fmt.Sprintf("%s: %s", p.Object, p.Reason)
	default:
		return fmt.Sprintf("%s.%s: %s", p.Object, p.Field, p.Reason)
	}
}

// Status is the outcome of a ticket.
type Status string

const (
	// Accepted tickets are part of the configuration.
	Accepted Status = "accepted"
	// Refused tickets changed nothing. They keep their number.
	Refused Status = "refused"
)

// Record is the immutable history entry of one ticket.
type Record struct {
	Number config.Number `json:"number"`
	Ticket Ticket        `json:"ticket"`
	Status Status        `json:"status"`
	// Problems are the reasons for which the ticket was refused.
	Problems []Problem `json:"problems,omitempty"`
	// FiledAt is the wall-clock time at the router that filed the ticket.
	FiledAt time.Time `json:"filed_at"`
	// FiledThrough is the VM whose router filed the ticket.
	FiledThrough vm.ID `json:"filed_through"`
}
