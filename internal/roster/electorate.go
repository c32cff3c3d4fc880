package roster

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

// goneAfter is how long a member must be missing from the platform's
// membership list, with its presence not renewed, before it counts as no
// longer existing.
const goneAfter = 30 * time.Second

// Absence records since when members have been missing from the platform's
// membership list. Its zero value is ready for use.
type Absence struct {
	missingSince map[vm.ID]time.Time
}

// Observe records which members of the roster the platform's membership list
// lacks at this time.
func (a *Absence) Observe(r *Roster, listed []vm.ID, now time.Time) {
	next := map[vm.ID]time.Time{}
	for _, m := range r.Members {
		if slices.Contains(listed, m.ID) {
			continue
		}
		next[m.ID] = now
		if old, ok := a.missingSince[m.ID]; ok {
			next[m.ID] = old
		}
	}
	a.missingSince = next
}

// Gone returns the members that have been missing for at least goneAfter.
func (a *Absence) Gone(now time.Time) map[vm.ID]bool {
	gone := map[vm.ID]bool{}
	for id, since := range a.missingSince {
		if now.Sub(since) >= goneAfter {
			gone[id] = true
		}
	}
	return gone
}

// Electorate returns the members of which a majority must support a commit: all
// but those that are gone and do not renew their presence either. A VM that no
// longer exists can neither support a commit nor attest, so without it any
// majority that supports a commit still intersects any majority of the roster
// that attests.
func Electorate(r *Roster, gone map[vm.ID]bool, rows []Presence, now time.Time) []vm.VM {
	renewed := map[vm.ID]bool{}
	for _, p := range rows {
		renewed[p.VM.ID] = now.Sub(p.RenewedAt) < goneAfter
	}
	var out []vm.VM
	for _, m := range r.Members {
		if !gone[m.ID] || renewed[m.ID] {
			out = append(out, m)
		}
	}
	return out
}
