// Package roster maintains the list of VMs whose routers serve callers. The list
// is one row of the table service and changes only together with the head row.
// Each VM also renews a presence row of its own, which states the configuration
// that it has in force and requests its admission or removal.
package roster

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// RowKey is the key of the roster row.
const RowKey = "roster"

// Roster is one version of the list. It must not be modified once published.
type Roster struct {
	Version head.RosterVersion `json:"version"`
	// Members are sorted by ID.
	Members []vm.VM `json:"members"`
}

// Get returns the member with this ID.
func (r *Roster) Get(id vm.ID) (vm.VM, bool) {
	i, ok := slices.BinarySearchFunc(r.Members, id, func(m vm.VM, id vm.ID) int {
		return strings.Compare(string(m.ID), string(id))
	})
	if !ok {
		return vm.VM{}, false
	}
	return r.Members[i], true
}

// Contains reports whether the VM is a member.
func (r *Roster) Contains(id vm.ID) bool {
	_, ok := r.Get(id)
	return ok
}

// IDs returns the members' IDs in ascending order.
func (r *Roster) IDs() []vm.ID {
	ids := make([]vm.ID, len(r.Members))
	for i, m := range r.Members {
		ids[i] = m.ID
	}
	return ids
}

// Decode parses the roster row. An absent row is the empty roster.
func Decode(row platform.Row) (*Roster, error) {
	r := &Roster{}
	if row.Version == 0 {
		return r, nil
	}
	err := json.Unmarshal(row.Value, r)
	return r, errors.Wrap(err, "decode roster row")
}

// With returns the next version of the roster, without the removed VMs and with
// the admitted VMs added or replaced.
func (r *Roster) With(admit []vm.VM, remove []vm.ID) *Roster {
	next := &Roster{Version: r.Version + 1}
	admitted := map[vm.ID]bool{}
	for _, m := range admit {
		admitted[m.ID] = true
	}
	for _, m := range r.Members {
		if !admitted[m.ID] && !slices.Contains(remove, m.ID) {
			next.Members = append(next.Members, m)
		}
	}
	next.Members = append(next.Members, admit...)
	slices.SortFunc(next.Members, func(a, b vm.VM) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return next
}
