package admission

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
)

// flow holds the waiting requests of one client account.
type flow struct {
	account account.ID
	weight  float64
	// start is the start tag of the next request: the tokens served, divided
	// by the weight, in the queue's virtual time.
	start float64
	// resets counts how often start was raised because the flow had been idle.
	// Tokens that were charged before are not returned to it.
	resets  int
	classes [config.Classes][]entry
}

// activate is called when the first request arrives at an idle flow: it gets
// no credit for the time without requests.
func (f *flow) activate(virtual float64) {
	if f.start < virtual {
		f.start = virtual
		f.resets++
	}
}

func (f *flow) push(e entry) { f.classes[e.class] = append(f.classes[e.class], e) }

func (f *flow) waiting() int {
	n := 0
	for _, entries := range f.classes {
		n += len(entries)
	}
	return n
}

func (f *flow) tokens() float64 {
	sum := 0.0
	for _, entries := range f.classes {
		for _, e := range entries {
			sum += e.tokens
		}
	}
	return sum
}

// head returns the class whose first request goes next, and that request's
// rank after ageing. The longer wait wins among equal ranks. The flow must not
// be empty.
func (f *flow) head(now time.Time, step time.Duration) (class, aged int) {
	class = -1
	for c, entries := range f.classes {
		if len(entries) == 0 {
			continue
		}
		r := c - int(now.Sub(entries[0].enqueued)/step)
		if class < 0 || r < aged {
			class, aged = c, r
		}
	}
	return class, aged
}

func (f *flow) pop(class int) entry {
	e := f.classes[class][0]
	f.classes[class] = f.classes[class][1:]
	return e
}

func (f *flow) remove(id ID) bool {
	for c, entries := range f.classes {
		i := slices.IndexFunc(entries, func(e entry) bool { return e.id == id })
		if i >= 0 {
			f.classes[c] = slices.Delete(entries, i, i+1)
			return true
		}
	}
	return false
}

func (f *flow) expire(now time.Time) []ID {
	var ids []ID
	for c, entries := range f.classes {
		f.classes[c] = slices.DeleteFunc(entries, func(e entry) bool {
			passed := !e.deadline.IsZero() && !now.Before(e.deadline)
			if passed {
				ids = append(ids, e.id)
			}
			return passed
		})
	}
	return ids
}
