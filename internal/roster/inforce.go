package roster

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Rule is the reason for which a ticket counts as in force everywhere.
type Rule string

const (
	// NotYet means that some VM may still serve requests with an older
	// configuration.
	NotYet Rule = ""
	// Acknowledged means that every member has acknowledged the ticket.
	Acknowledged Rule = "acknowledged"
	// BoundPassed means that freshness.Bound has passed since the commit, so
	// that a VM without the ticket may no longer serve keyed requests.
	BoundPassed Rule = "bound_passed"
)

// InForceStatus is the state of a ticket's activation across the roster.
type InForceStatus struct {
	Rule Rule `json:"rule,omitempty"`
	// At lists the members that have acknowledged the ticket.
	At []vm.ID `json:"at"`
	// Missing lists the members that have not.
	Missing []vm.ID `json:"missing,omitempty"`
}

// InForceRecord is the history entry that records when a ticket was first known to
// be in force everywhere.
type InForceRecord struct {
	Number config.Number `json:"number"`
	Status InForceStatus `json:"force"`
	// KnownAt is the wall-clock time at the VM that detected it.
	KnownAt time.Time `json:"known_at"`
}

// Everywhere reports whether no VM serves keyed requests with an older
// configuration any more.
func (f InForceStatus) Everywhere() bool { return f.Rule != NotYet }

// InForce returns where ticket n is in force. The roster must be at least as new
// as the ticket. committedFor is how long the ticket is known to have been
// committed. rosterFor is how long this version of the roster is known to have
// been committed: a VM that was removed recently may still serve on evidence
// from before its removal.
func InForce(n config.Number, r *Roster, rows []Presence, committedFor, rosterFor time.Duration) InForceStatus {
	var f InForceStatus
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
