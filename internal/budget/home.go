// Package budget keeps each client account within its rate and burst over all
// VMs together.
//
// Each account's rate and burst are split into two halves. Each half has a home
// VM of its own, chosen by rendezvous hashing over the roster; the two homes
// are in different failure domains if there are several. The home keeps the
// half's token bucket. VMs reserve tokens at both homes before they admit a
// request and settle the reservation with the number of tokens used. If one
// home is unavailable, the other half stays usable. Tokens count towards the
// rate at the time at which the home grants the reservation.
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

// View is what a router knows of the roster. A read begun at Evidence or later
// confirmed that the roster was current.
type View struct {
	Roster   *roster.Roster
	Evidence time.Time
}

// halves is the number of parts of an account's rate and burst.
const halves = 2

// halfSeparator separates an account ID from the number of its half. Account
// IDs are printable, so none contains it.
const halfSeparator = "\x00"

// halfOf returns the ID of half k of an account's rate and burst. The ledger
// treats each half as a separate account.
func halfOf(id account.ID, k int) account.ID {
	return id + account.ID(halfSeparator+strconv.Itoa(k))
}

// accountOf returns the account of a half, for logs.
func accountOf(half account.ID) string {
	id, _, _ := strings.Cut(string(half), halfSeparator)
	return id
}

// Home returns the VM that keeps the bucket of a half: the one with the highest
// rendezvous hash. The home of the second half is in another failure domain
// than that of the first, or at least on another VM, where possible. VMs that
// aren't leaving are preferred. It returns false if the roster is empty.
func Home(half account.ID, r *roster.Roster) (vm.VM, bool) {
	base, second := strings.CutSuffix(string(half), halfSeparator+"1")
	if !second {
		return firstMatch(half, r, notLeaving, anyVM)
	}
	first, ok := Home(halfOf(account.ID(base), 0), r)
	if !ok {
		return vm.VM{}, false
	}
	otherDomain := func(v *vm.VM) bool { return notLeaving(v) && v.FailureDomain != first.FailureDomain }
	otherVM := func(v *vm.VM) bool { return notLeaving(v) && v.ID != first.ID }
	return firstMatch(half, r, otherDomain, otherVM, notLeaving, anyVM)
}

func notLeaving(v *vm.VM) bool { return !v.Leaving }

func anyVM(*vm.VM) bool { return true }

// firstMatch applies the filters in order and returns the best VM for the first
// one that any VM passes.
func firstMatch(half account.ID, r *roster.Roster, filters ...func(*vm.VM) bool) (vm.VM, bool) {
	for _, allowed := range filters {
		if v, ok := best(half, r, allowed); ok {
			return v, true
		}
	}
	return vm.VM{}, false
}

// best returns the VM with the highest rendezvous score among those allowed.
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
