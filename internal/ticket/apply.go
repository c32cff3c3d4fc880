package ticket

import (
	"maps"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
)

// Apply returns the configuration after the ticket, or every reason to refuse
// the ticket. The number of the new configuration is that of base plus one.
// base is not modified.
func Apply(base *config.Snapshot, t Ticket) (*config.Snapshot, []Problem) {
	problems := validateTicket(t)
	problems = append(problems, checkRemovals(base, t)...)
	next := merge(base, t)
	problems = append(problems, checkReferences(next, t)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return next, nil
}

// Replay applies records to a snapshot. Records that the snapshot already
// contains are skipped; a gap in the numbers is an error. Accepted tickets are
// not validated again, so that a newer release with stricter rules can still
// replay the history.
func Replay(base *config.Snapshot, records []Record) (*config.Snapshot, error) {
	snap := base
	for _, r := range records {
		switch {
		case r.Number <= snap.Number:
			continue
		case r.Number != snap.Number+1:
			return nil, errors.Errorf("ticket %d does not follow %d", r.Number, snap.Number)
		case r.Status == Accepted:
			snap = merge(snap, r.Ticket)
		default:
			snap = renumber(snap)
		}
	}
	return snap, nil
}

// renumber returns the snapshot after a refused ticket: only its number changes.
func renumber(base *config.Snapshot) *config.Snapshot {
	next := *base
	next.Number++
	return &next
}

func merge(base *config.Snapshot, t Ticket) *config.Snapshot {
	return &config.Snapshot{
		Number:   base.Number + 1,
		Accounts: mergeObjects(base.Accounts, t.Accounts, accountID),
		Keys:     mergeObjects(base.Keys, t.Keys, keyID),
		Models:   mergeObjects(base.Models, t.Models, modelID),
		Routes:   mergeObjects(base.Routes, t.Routes, routeID),
		Servers:  mergeObjects(base.Servers, t.Servers, serverID),
	}
}

func accountID(a account.Account) account.ID { return a.ID }
func keyID(k account.Key) account.KeyID      { return k.ID }
func modelID(m config.Model) string          { return m.Name }
func routeID(r config.Route) string          { return r.ID }
func serverID(s backend.Server) backend.ID   { return s.ID }

// mergeObjects returns base with the changes applied. It returns base itself if
// there are no changes, and never modifies it.
func mergeObjects[K ~string, V any](base map[K]V, c Changes[K, V], id func(V) K) map[K]V {
	if c.empty() {
		return base
	}
	next := maps.Clone(base)
	if next == nil {
		next = map[K]V{}
	}
	for _, v := range c.Set {
		next[id(v)] = v
	}
	for _, k := range c.Remove {
		delete(next, k)
	}
	return next
}
