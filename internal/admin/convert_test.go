package admin

import (
	"reflect"
	"testing"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// A null in a list of objects is reported as a problem of the ticket and does not cause
// a panic.
func TestNullObjectsAreRefused(t *testing.T) {
	p := &gen.FileTicketPayload{
		ClientID: "c",
		Accounts: &gen.AccountChanges{Set: []*gen.Account{nil}},
		Keys:     &gen.KeyChanges{Set: []*gen.Key{nil}},
		Models:   &gen.ModelChanges{Set: []*gen.Model{nil}},
		Routes:   &gen.RouteChanges{Set: []*gen.Route{nil}},
		Servers:  &gen.ServerChanges{Set: []*gen.BackendServer{nil}},
	}
	_, problems := ticket.Apply(config.Empty(), toTicket(p, "alice"))
	if len(problems) < 5 {
		t.Errorf("problems %v, want one for each null", problems)
	}
}

// The record of a ticket contains all fields of the payload with which it was filed.
func TestRecordShowsTheTicketAsFiled(t *testing.T) {
	p := &gen.FileTicketPayload{
		ClientID: "c",
		Comment:  "why",
		Accounts: &gen.AccountChanges{Set: []*gen.Account{{ID: "a", Contract: &gen.Contract{Rate: 1, Burst: 2, Weight: 3}}}, Remove: []string{"b"}},
		Keys:     &gen.KeyChanges{Set: []*gen.Key{{ID: "k", Account: "a", Hash: "h"}}},
		Models:   &gen.ModelChanges{Set: []*gen.Model{{Name: "m", WeightsVersion: "v", Replicas: 2}}},
		Routes:   &gen.RouteChanges{Set: []*gen.Route{{ID: "r", PathPrefix: "/r", Servers: []string{"s"}, Open: true, Idempotent: true, RequireIdempotencyKey: true, Class: "lookup", CostTokens: 4}}},
		Servers:  &gen.ServerChanges{Set: []*gen.BackendServer{{ID: "s", Kind: "engine", URL: "u", FailureDomain: "d", Models: []string{"m"}, ChecksFencing: true, Leaving: true}}},
	}
	rec := fromRecord(ticket.Record{Ticket: toTicket(p, "alice")})
	got := &gen.FileTicketPayload{ClientID: rec.ClientID, Comment: rec.Comment, Accounts: rec.Accounts, Keys: rec.Keys, Models: rec.Models, Routes: rec.Routes, Servers: rec.Servers}
	if !reflect.DeepEqual(got, p) {
		t.Errorf("record %+v, want %+v", got, p)
	}
}
