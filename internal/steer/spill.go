package steer

import (
	"cmp"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

// candidate is a VM of another domain with free capacity, in cores.
type candidate struct {
	id    vm.ID
	cores float64
	free  float64
	score uint64
	// used is set if the VM is in use for the domain.
	used bool
}

// candidates returns the VMs of other domains that may be added: those in use first, then the strongest.
// Equal ones come in an order that differs between domains, so that several domains don't choose the same.
func (p *Picker) candidates(far []VM) []candidate {
	var out []candidate
	for i := range far {
		v := &far[i]
		if v.Load.Saturated() {
			continue
		}
		c := candidate{id: v.ID, cores: v.cores(), score: p.domain.Score(string(v.ID)), free: addTarget*v.cores() - v.work()}
		if c.used = slices.Contains(p.spilled, v.ID); c.used {
			c.free += p.foreignWork(v)
		}
		if c.free > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(compareBool(b.used, a.used), cmp.Compare(b.cores, a.cores), cmp.Compare(b.score, a.score))
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// enoughFar returns how many of the candidates are added to the VMs of a domain: the least number with which
// no VM exceeds addTarget, or else the one that comes closest to that.
func enoughFar(own []VM, candidates []candidate, work float64) int {
	free := addTarget * own[len(own)-1].cores()
	best, lowest := 0, work/float64(len(own))/free
	for m := 1; m <= min(len(candidates), max(minSpill, len(own))); m++ {
		free = min(free, candidates[m-1].free)
		excess := work / float64(len(own)+m) / free
		if excess <= 1 {
			return m
		}
		if excess < lowest {
			best, lowest = m, excess
		}
	}
	return best
}

// holdSeconds is the time for which VMs are kept after they were last needed: longer than the 3 s for
// which some callers keep addresses, so that the effect of a decision shows before the next release.
const holdSeconds = 8

// recentMax is the greatest number recorded in the last holdSeconds.
type recentMax struct {
	second [holdSeconds]int64
	values [holdSeconds]int
}

func (r *recentMax) record(now time.Time, value int) {
	s := now.Unix()
	i := s % holdSeconds
	if r.second[i] != s {
		r.second[i], r.values[i] = s, 0
	}
	r.values[i] = max(r.values[i], value)
}

func (r *recentMax) value(now time.Time) int {
	best := 0
	for i, s := range r.second {
		if now.Unix()-s < holdSeconds {
			best = max(best, r.values[i])
		}
	}
	return best
}
