package ticket

import (
	"fmt"
	"maps"
	"slices"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
)

// checkRemovals reports removals of objects that do not exist.
func checkRemovals(base *config.Snapshot, t Ticket) []Problem {
	problems := unknownRemovals("account", base.Accounts, t.Accounts)
	problems = append(problems, unknownRemovals("key", base.Keys, t.Keys)...)
	problems = append(problems, unknownRemovals("model", base.Models, t.Models)...)
	problems = append(problems, unknownRemovals("route", base.Routes, t.Routes)...)
	return append(problems, unknownRemovals("server", base.Servers, t.Servers)...)
}

func unknownRemovals[K ~string, V any](kind string, have map[K]V, c Changes[K, V]) []Problem {
	var problems []Problem
	for _, k := range c.Remove {
		if _, ok := have[k]; !ok {
			problems = append(problems, Problem{Object: objectName(kind, k), Reason: "does not exist and cannot be removed"})
		}
	}
	return problems
}

// checkReferences reports references between objects that do not resolve in
// the configuration after the ticket.
func checkReferences(next *config.Snapshot, t Ticket) []Problem {
	var problems []Problem
	if !t.Keys.empty() || !t.Accounts.empty() {
		problems = append(problems, checkKeys(next)...)
	}
	if !t.Servers.empty() || !t.Models.empty() {
		problems = append(problems, checkServers(next)...)
	}
	if !t.Routes.empty() || !t.Servers.empty() {
		problems = append(problems, checkRoutes(next)...)
	}
	return problems
}

func checkKeys(s *config.Snapshot) []Problem {
	var problems []Problem
	first := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(s.Keys)) {
		k := s.Keys[id]
		name := objectName("key", id)
		if _, ok := s.Accounts[k.Account]; !ok {
			problems = append(problems, Problem{name, "account", fmt.Sprintf("client account %q does not exist", k.Account)})
		}
		if other, ok := first[k.Hash]; ok {
			problems = append(problems, Problem{name, "hash", "is the same as that of " + other})
			continue
		}
		first[k.Hash] = name
	}
	return problems
}

func checkServers(s *config.Snapshot) []Problem {
	var problems []Problem
	for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
		for _, m := range s.Servers[id].Models {
			if _, ok := s.Models[m]; !ok {
				problems = append(problems, Problem{objectName("server", id), "models", fmt.Sprintf("model %q does not exist", m)})
			}
		}
	}
	return problems
}

func checkRoutes(s *config.Snapshot) []Problem {
	var problems []Problem
	first := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[id]
		name := objectName("route", id)
		for _, server := range r.Servers {
			sv, ok := s.Servers[server]
			switch {
			case !ok:
				problems = append(problems, Problem{name, "servers", fmt.Sprintf("backend server %q does not exist", server)})
			case sv.Kind != backend.Service:
				problems = append(problems, Problem{name, "servers", fmt.Sprintf("backend server %q is not a plain service", server)})
			}
		}
		if other, ok := first[r.PathPrefix]; ok {
			problems = append(problems, Problem{name, "path_prefix", "is the same as that of " + other})
			continue
		}
		first[r.PathPrefix] = name
	}
	return problems
}
