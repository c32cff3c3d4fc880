package roster

import (
	"slices"
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/rendezvous"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Change is a planned change of the roster.
type Change struct {
	Admit  []vm.VM
	Remove []vm.ID
	// Expel is the part of Remove that did not ask to leave.
	Expel []vm.ID
}

// Empty reports whether there is nothing to change.
func (c Change) Empty() bool { return len(c.Admit) == 0 && len(c.Remove) == 0 }

// Plan decides which VMs join, leave or are expelled, from one scan of the
// presence rows that the watch has observed too.
func Plan(r *Roster, rows []Presence, w *Watch, now time.Time) Change {
	var c Change
	present := map[vm.ID]bool{}
	for _, p := range rows {
		id := p.VM.ID
		present[id] = true
		member, isMember := r.Get(id)
		switch {
		case isMember && p.Left:
			c.Remove = append(c.Remove, id)
		case isMember && w.Expired(p, len(r.Members), now):
			c.Remove = append(c.Remove, id)
			c.Expel = append(c.Expel, id)
		case p.Left || !w.Alive(p, len(r.Members), now):
		case !isMember && !p.VM.Leaving:
			c.Admit = append(c.Admit, p.VM)
		case isMember && moved(member, p.VM):
			c.Admit = append(c.Admit, p.VM)
		}
	}
	for _, m := range r.Members {
		if !present[m.ID] {
			c.Remove = append(c.Remove, m.ID)
		}
	}
	return c
}

// Spare takes VMs out of the change that turned out to be reachable after all.
// A VM that is cut off from the store alone serves on by what it hears from its
// peers and stays a member.
func (c Change) Spare(reachable map[vm.ID]bool) Change {
	spared := func(id vm.ID) bool { return reachable[id] && slices.Contains(c.Expel, id) }
	return Change{
		Admit:  c.Admit,
		Remove: slices.DeleteFunc(slices.Clone(c.Remove), spared),
		Expel:  slices.DeleteFunc(slices.Clone(c.Expel), spared),
	}
}

// forgetAfter is how old the presence row of a VM that is not on the roster may
// be before it is deleted.
const forgetAfter = 1 * time.Minute

// Stale returns the VMs whose presence rows are of no more use: they are not
// on the roster and have not been renewed for long.
func Stale(r *Roster, rows []Presence, now time.Time) []vm.ID {
	var ids []vm.ID
	for _, p := range rows {
		if !r.Contains(p.VM.ID) && now.Sub(p.RenewedAt) >= forgetAfter {
			ids = append(ids, p.VM.ID)
		}
	}
	return ids
}

// moved reports whether the addresses or the leaving mark changed. The
// incarnation alone does not count, so that a restart changes no roster.
func moved(a, b vm.VM) bool {
	b.Incarnation = a.Incarnation
	return a != b
}

const (
	// sweepSlot is how long the same members keep the duty to sweep.
	sweepSlot = 30 * time.Second
	// sweepers is the number of members with the duty at a time.
	sweepers = 2
	// sweepCost spreads the scans of a large roster, per member.
	sweepCost = 40 * time.Millisecond
	// minSweepInterval is the interval in a small fleet.
	minSweepInterval = 1 * time.Second
)

// SweepInterval returns how often a sweeper scans the presence rows.
func SweepInterval(members int) time.Duration {
	return max(minSweepInterval, time.Duration(members)*sweepCost)
}

// Sweeper reports whether this VM scans the presence rows now. The duty
// rotates by rendezvous hashing over wall-clock slots; overlap is harmless. A
// VM that waits for admission sweeps as well: it need not wait for the members,
// who may all be dead.
func Sweeper(r *Roster, self vm.ID, now time.Time) bool {
	if !r.Contains(self) {
		return true
	}
	slot := rendezvous.NewKey(strconv.FormatInt(now.UnixNano()/int64(sweepSlot), 10))
	mine := slot.Score(string(self))
	ahead := 0
	for _, m := range r.Members {
		if m.ID != self && slot.Score(string(m.ID)) > mine {
			ahead++
		}
	}
	return ahead < sweepers
}
