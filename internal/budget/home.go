// Package budget keeps each client account within its rate and burst over all
// VMs together.
//
// Each account has one home VM, chosen by rendezvous hashing over the roster.
// The home keeps the account's token bucket; other VMs reserve tokens there
// before they admit a request and settle with the tokens that were used. The
// time at which tokens count is that of the reservation at the home.
package budget

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// View is what a router knows of the roster: at Evidence, or later, a read was
// begun that showed the roster to be current.
type View struct {
	Roster   *roster.Roster
	Evidence time.Time
}

// Home returns the VM that keeps the account's bucket: the one with the
// highest rendezvous hash among those that stay, or among all if all leave. It
// returns false if the roster is empty.
func Home(id account.ID, r *roster.Roster) (vm.VM, bool) {
	ranked, ok := best(id, r, false)
	if !ok {
		return best(id, r, true)
	}
	return ranked, true
}

func best(id account.ID, r *roster.Roster, leaving bool) (vm.VM, bool) {
	accountHash := xxhash.Sum64String(string(id))
	found := -1
	var highest uint64
	for i := range r.Members {
		v := &r.Members[i]
		if v.Leaving && !leaving {
			continue
		}
		score := mix(accountHash ^ xxhash.Sum64String(string(v.ID)))
		if found < 0 || score > highest || score == highest && v.ID < r.Members[found].ID {
			found, highest = i, score
		}
	}
	if found < 0 {
		return vm.VM{}, false
	}
	return r.Members[found], true
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
