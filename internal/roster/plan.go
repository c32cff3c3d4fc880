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
	// Expel is the subset of Remove that did not request to leave.
	Expel []vm.ID
}

// Empty reports whether there is nothing to change.
func (c Change) Empty() bool { return len(c.Admit) == 0 && len(c.Remove) == 0 }

// Plan returns which VMs to admit, remove or expel, given one scan of the
// presence rows. The watch must have observed the same scan.
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
		case isMember && memberChanged(member, p.VM):
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

// ExcludeReachable returns the change without the expulsions of reachable VMs. A VM that
// has lost only its connection to the store keeps serving on evidence from its
// peers, so it stays a member.
func (c Change) ExcludeReachable(reachable map[vm.ID]bool) Change {
	excluded := func(id vm.ID) bool { return reachable[id] && slices.Contains(c.Expel, id) }
	return Change{
		Admit:  c.Admit,
		Remove: slices.DeleteFunc(slices.Clone(c.Remove), excluded),
		Expel:  slices.DeleteFunc(slices.Clone(c.Expel), excluded),
	}
}

// presenceRetention is the age at which the presence row of a VM that is not on
// the roster is deleted.
const presenceRetention = 1 * time.Minute

// StalePresences returns the VMs whose presence rows can be deleted: they are not on the
// roster and have not renewed their rows for presenceRetention.
func StalePresences(r *Roster, rows []Presence, now time.Time) []vm.ID {
	var ids []vm.ID
	for _, p := range rows {
		if !r.Contains(p.VM.ID) && now.Sub(p.RenewedAt) >= presenceRetention {
			ids = append(ids, p.VM.ID)
		}
	}
	return ids
}

// memberChanged reports whether anything but the incarnation changed, such as an
// address or the leaving flag. A restart alone thus does not change the roster.
func memberChanged(a, b vm.VM) bool {
	b.Incarnation = a.Incarnation
	return a != b
}

const (
	// sweepSlot is how long the same members scan the presence rows.
	sweepSlot = 30 * time.Second
	// sweeperCount is the number of members that scan at a time.
	sweeperCount = 2
	// sweepIntervalPerMember makes the interval proportional to the size of a
	// large roster, so that the number of rows that a sweeper scans per second
	// does not grow with it.
	sweepIntervalPerMember = 40 * time.Millisecond
	// minSweepInterval is the sweep interval of a small fleet.
	minSweepInterval = 1 * time.Second
)

// SweepInterval returns how often a sweeper scans the presence rows.
func SweepInterval(members int) time.Duration {
	return max(minSweepInterval, time.Duration(members)*sweepIntervalPerMember)
}

// IsSweeper reports whether this VM scans the presence rows now. The sweepers are
// chosen by rendezvous hashing for each wall-clock slot; extra sweepers, as with
// differing clocks, are harmless. A VM that waits for admission scans as well,
// because all members may have failed.
func IsSweeper(r *Roster, self vm.ID, now time.Time) bool {
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
	return ahead < sweeperCount
}
