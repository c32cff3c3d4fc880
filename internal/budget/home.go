// Package budget keeps each client account within its rate and burst over all
// VMs together.
//
// Each account's rate and burst are split into two halves. Each half has a home
// VM of its own, chosen by rendezvous hashing over the roster, in different
// failure domains where there are several. A home keeps the half's token
// bucket; VMs reserve tokens at both homes before they admit a request and
// settle with the tokens that were used. While one home is lost the other half
// goes on. The time at which tokens count is that of the reservation at the
// home.
package budget

import (
	"strconv"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/rendezvous"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// View is what a router knows of the roster: at Evidence, or later, a read was
// begun that showed the roster to be current.
type View struct {
	Roster   *roster.Roster
	Evidence time.Time
}

// halves is the number of parts of an account's rate and burst.
const halves = 2

// halfSeparator stands between an account and the number of its half. IDs of
// accounts are printable, so it is in none.
const halfSeparator = "\x00"

// halfOf names half k of an account's rate and burst. The ledger treats it as
// an account of its own.
func halfOf(id account.ID, k int) account.ID {
	return id + account.ID(halfSeparator+strconv.Itoa(k))
}

// accountOf returns the account of a half, for logs.
func accountOf(half account.ID) string {
	id, _, _ := strings.Cut(string(half), halfSeparator)
	return id
}

// Home returns the VM that keeps the bucket of a half: the one with the highest
// rendezvous hash. The second half avoids the failure domain of the first, or
// at least its VM, where it can. VMs that stay go before those that leave. It
// returns false if the roster is empty.
func Home(half account.ID, r *roster.Roster) (vm.VM, bool) {
	base, second := strings.CutSuffix(string(half), halfSeparator+"1")
	if !second {
		return firstOf(half, r, staying, all)
	}
	first, ok := Home(halfOf(account.ID(base), 0), r)
	if !ok {
		return vm.VM{}, false
	}
	elsewhere := func(v *vm.VM) bool { return staying(v) && v.FailureDomain != first.FailureDomain }
	another := func(v *vm.VM) bool { return staying(v) && v.ID != first.ID }
	return firstOf(half, r, elsewhere, another, staying, all)
}

func staying(v *vm.VM) bool { return !v.Leaving }

func all(*vm.VM) bool { return true }

// firstOf returns the best VM by the first filter that any VM passes.
func firstOf(half account.ID, r *roster.Roster, filters ...func(*vm.VM) bool) (vm.VM, bool) {
	for _, allowed := range filters {
		if v, ok := best(half, r, allowed); ok {
			return v, true
		}
	}
	return vm.VM{}, false
}

func best(half account.ID, r *roster.Roster, allowed func(*vm.VM) bool) (vm.VM, bool) {
	key := rendezvous.NewKey(string(half))
	found := -1
	var highest uint64
	for i := range r.Members {
		v := &r.Members[i]
		if !allowed(v) {
			continue
		}
		score := key.Score(string(v.ID))
		if found < 0 || score > highest || score == highest && v.ID < r.Members[found].ID {
			found, highest = i, score
		}
	}
	if found < 0 {
		return vm.VM{}, false
	}
	return r.Members[found], true
}
