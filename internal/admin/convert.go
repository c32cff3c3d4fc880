package admin

import (
	"maps"
	"slices"
	"time"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// mapSlice applies f to each element of a slice. It returns nil for a nil slice.
func mapSlice[A, B any](list []A, f func(A) B) []B {
	if list == nil {
		return nil
	}
	out := make([]B, len(list))
	for i, x := range list {
		out[i] = f(x)
	}
	return out
}

// mapObjects applies f to the objects of a request. A null becomes the zero value,
// which the validation of the ticket refuses with a reason.
func mapObjects[A, B any](list []*A, f func(*A) B) []B {
	return mapSlice(list, func(a *A) B {
		if a == nil {
			var zero B
			return zero
		}
		return f(a)
	})
}

func convert[A, B ~string](a A) B { return B(a) }

func toTicket(p *gen.FileTicketPayload, operator string) ticket.Ticket {
	t := ticket.Ticket{ClientID: p.ClientID, Operator: operator, Comment: p.Comment}
	if c := p.Accounts; c != nil {
		t.Accounts.Set = mapObjects(c.Set, toAccount)
		t.Accounts.Remove = mapSlice(c.Remove, convert[string, account.ID])
	}
	if c := p.Keys; c != nil {
		t.Keys.Set = mapObjects(c.Set, toKey)
		t.Keys.Remove = mapSlice(c.Remove, convert[string, account.KeyID])
	}
	if c := p.Models; c != nil {
		t.Models.Set = mapObjects(c.Set, toModel)
		t.Models.Remove = c.Remove
	}
	if c := p.Routes; c != nil {
		t.Routes.Set = mapObjects(c.Set, toRoute)
		t.Routes.Remove = c.Remove
	}
	if c := p.Servers; c != nil {
		t.Servers.Set = mapObjects(c.Set, toServer)
		t.Servers.Remove = mapSlice(c.Remove, convert[string, backend.ID])
	}
	return t
}

func toAccount(a *gen.Account) account.Account {
	c := account.Contract{}
	if a.Contract != nil {
		c = account.Contract{Rate: a.Contract.Rate, Burst: a.Contract.Burst, Weight: a.Contract.Weight}
	}
	return account.Account{ID: account.ID(a.ID), Contract: c}
}

func toKey(k *gen.Key) account.Key {
	return account.Key{ID: account.KeyID(k.ID), Account: account.ID(k.Account), Hash: k.Hash}
}

func toModel(m *gen.Model) config.Model {
	return config.Model{Name: m.Name, WeightsVersion: m.WeightsVersion, Replicas: m.Replicas}
}

func toRoute(r *gen.Route) config.Route {
	return config.Route{
		ID:                    r.ID,
		PathPrefix:            r.PathPrefix,
		Servers:               mapSlice(r.Servers, convert[string, backend.ID]),
		Open:                  r.Open,
		Idempotent:            r.Idempotent,
		RequireIdempotencyKey: r.RequireIdempotencyKey,
		Class:                 config.Class(r.Class),
		CostTokens:            r.CostTokens,
	}
}

func toServer(s *gen.BackendServer) backend.Server {
	return backend.Server{
		ID:            backend.ID(s.ID),
		Kind:          backend.Kind(s.Kind),
		URL:           s.URL,
		FailureDomain: s.FailureDomain,
		Models:        s.Models,
		ChecksFencing: s.ChecksFencing,
		Leaving:       s.Leaving,
	}
}

func fromRecord(r ticket.Record) *gen.TicketRecord {
	t := r.Ticket
	return &gen.TicketRecord{
		Number:       uint64(r.Number),
		ClientID:     t.ClientID,
		Operator:     t.Operator,
		Comment:      t.Comment,
		Status:       string(r.Status),
		FiledAt:      r.FiledAt.Format(time.RFC3339),
		FiledThrough: string(r.FiledThrough),
		Problems:     mapSlice(r.Problems, fromProblem),
		Accounts:     &gen.AccountChanges{Set: mapSlice(t.Accounts.Set, fromAccount), Remove: mapSlice(t.Accounts.Remove, convert[account.ID, string])},
		Keys:         &gen.KeyChanges{Set: mapSlice(t.Keys.Set, fromKey), Remove: mapSlice(t.Keys.Remove, convert[account.KeyID, string])},
		Models:       &gen.ModelChanges{Set: mapSlice(t.Models.Set, fromModel), Remove: t.Models.Remove},
		Routes:       &gen.RouteChanges{Set: mapSlice(t.Routes.Set, fromRoute), Remove: t.Routes.Remove},
		Servers:      &gen.ServerChanges{Set: mapSlice(t.Servers.Set, fromServer), Remove: mapSlice(t.Servers.Remove, convert[backend.ID, string])},
	}
}

func fromProblem(p ticket.Problem) *gen.Problem {
	return &gen.Problem{Object: p.Object, Field: p.Field, Reason: p.Reason}
}

func fromAccount(a account.Account) *gen.Account {
	c := a.Contract
	return &gen.Account{ID: string(a.ID), Contract: &gen.Contract{Rate: c.Rate, Burst: c.Burst, Weight: c.Weight}}
}

func fromKey(k account.Key) *gen.Key {
	return &gen.Key{ID: string(k.ID), Account: string(k.Account), Hash: k.Hash}
}

func fromModel(m config.Model) *gen.Model {
	return &gen.Model{Name: m.Name, WeightsVersion: m.WeightsVersion, Replicas: m.Replicas}
}

func fromRoute(r config.Route) *gen.Route {
	return &gen.Route{
		ID:                    r.ID,
		PathPrefix:            r.PathPrefix,
		Servers:               mapSlice(r.Servers, convert[backend.ID, string]),
		Open:                  r.Open,
		Idempotent:            r.Idempotent,
		RequireIdempotencyKey: r.RequireIdempotencyKey,
		Class:                 string(r.Class),
		CostTokens:            r.CostTokens,
	}
}

func fromServer(s backend.Server) *gen.BackendServer {
	return &gen.BackendServer{
		ID:            string(s.ID),
		Kind:          string(s.Kind),
		URL:           s.URL,
		FailureDomain: s.FailureDomain,
		Models:        s.Models,
		ChecksFencing: s.ChecksFencing,
		Leaving:       s.Leaving,
	}
}

// fromSnapshot returns all objects of the configuration, sorted by id.
func fromSnapshot(s *config.Snapshot) *gen.Objects {
	return &gen.Objects{
		Accounts: mapSlice(sortedByKey(s.Accounts), fromAccount),
		Keys:     mapSlice(sortedByKey(s.Keys), fromKey),
		Models:   mapSlice(sortedByKey(s.Models), fromModel),
		Routes:   mapSlice(sortedByKey(s.Routes), fromRoute),
		Servers:  mapSlice(sortedByKey(s.Servers), fromServer),
	}
}

func sortedByKey[K ~string, V any](m map[K]V) []V {
	var out []V
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
