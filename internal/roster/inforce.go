package roster

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Rule says why a ticket is in force everywhere.
type Rule string

const (
	// NotYet means that some VM may still serve by an older configuration.
	NotYet Rule = ""
	// Acknowledged means that every member has acknowledged the ticket.
	Acknowledged Rule = "acknowledged"
	// BoundPassed means that every VM that does not have the ticket has lost
	// its right to serve keyed requests.
	BoundPassed Rule = "bound_passed"
)

// Force says where a ticket is in force.
type Force struct {
	Rule Rule `json:"rule,omitempty"`
	// At are the members that acknowledged the ticket.
	At []vm.ID `json:"at"`
	// Missing are the members that did not.
	Missing []vm.ID `json:"missing,omitempty"`
}

// ForceRecord is the history entry of when a ticket was first known to be in
// force everywhere.
type ForceRecord struct {
	Number config.Number `json:"number"`
	Force  Force         `json:"force"`
	// KnownAt is the wall-clock time at the VM that found out.
	KnownAt time.Time `json:"known_at"`
}

// Everywhere reports whether no VM serves keyed requests by an older
// configuration.
func (f Force) Everywhere() bool { return f.Rule != NotYet }

// InForce decides where the ticket is in force. The roster must be at least
// as new as the ticket. committedFor is how long the ticket is known to be
// committed, rosterFor how long this version of the roster is: a VM that was
// removed lately may still serve on the evidence it had.
func InForce(n config.Number, r *Roster, rows []Presence, committedFor, rosterFor time.Duration) Force {
	var f Force
	for _, m := range r.Members {
		acknowledged := slices.ContainsFunc(rows, func(p Presence) bool {
			return p.VM.ID == m.ID && p.Head.Number >= n
		})
		if acknowledged {
			f.At = append(f.At, m.ID)
		} else {
			f.Missing = append(f.Missing, m.ID)
		}
	}
	switch {
	case committedFor >= freshness.Bound:
		f.Rule = BoundPassed
	case len(f.Missing) == 0 && len(f.At) > 0 && rosterFor >= freshness.Bound:
		f.Rule = Acknowledged
	}
	return f
}
