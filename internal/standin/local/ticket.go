package local

import (
	"fmt"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// Names and secrets in the configuration of FirstTicket.
const (
	Account       = account.ID("laurentien")
	CallerSecret  = "caller-secret"
	OperatorName  = "alice"
	OperatorKey   = "operator-secret"
	FailureDomain = "qc-centre-a"
)

// FirstTicket returns a ticket with the initial configuration of the stand-ins:
// one client account with one key, the model, the engines, and routes to the
// service.
func (s *Standins) FirstTicket() ticket.Ticket {
	t := ticket.Ticket{ClientID: "first-ticket", Operator: OperatorName, Comment: "first configuration"}
	t.Accounts.Set = []account.Account{{ID: Account, Contract: account.Contract{Rate: 20000, Burst: 100000, Weight: 1}}}
	t.Keys.Set = []account.Key{{ID: "laurentien-1", Account: Account, Hash: account.HashSecret(CallerSecret)}}
	t.Models.Set = []config.Model{{Name: Model, WeightsVersion: Weights}}
	for i, url := range s.EngineURLs {
		t.Servers.Set = append(t.Servers.Set, backend.Server{
			ID:            backend.ID(fmt.Sprintf("engine-%d", i+1)),
			Kind:          backend.Engine,
			URL:           url,
			FailureDomain: FailureDomain,
			Models:        []string{Model},
			ChecksFencing: true,
		})
	}
	t.Servers.Set = append(t.Servers.Set, backend.Server{ID: "shop-1", Kind: backend.Service, URL: s.ServiceURL, FailureDomain: FailureDomain})
	t.Routes.Set = []config.Route{
		{ID: "bookings", PathPrefix: "/shop/book", Servers: []backend.ID{"shop-1"}, RequireIdempotencyKey: true, Class: config.Booking, CostTokens: 10},
		{ID: "status", PathPrefix: "/shop/status", Servers: []backend.ID{"shop-1"}, Idempotent: true, Class: config.Lookup, CostTokens: 10},
		{ID: "public", PathPrefix: "/shop/public", Servers: []backend.ID{"shop-1"}, Open: true, Idempotent: true, Class: config.Lookup},
	}
	return t
}
