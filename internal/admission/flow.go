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
	// startTag is the start tag of the flow's next request: the tokens charged to
	// the flow, divided by the weight, in the queue's virtual time.
	startTag float64
	// idleResets counts how often startTag was raised to the virtual time because
	// the flow had been idle. Unused tokens charged before such a reset are not
	// credited.
	idleResets int
	// queues holds the waiting requests of each class in order of arrival.
	queues [config.Classes][]waitingRequest
}

// activate is called when the first request arrives at an idle flow. It raises
// the start tag to the virtual time, so that the flow gains no credit for the
// time without requests.
func (f *flow) activate(virtualTime float64) {
	if f.startTag < virtualTime {
		f.startTag = virtualTime
		f.idleResets++
	}
}

func (f *flow) push(e waitingRequest) { f.queues[e.class] = append(f.queues[e.class], e) }

func (f *flow) waiting() int {
	n := 0
	for _, entries := range f.queues {
		n += len(entries)
	}
	return n
}

func (f *flow) waitingTokens() float64 {
	sum := 0.0
	for _, entries := range f.queues {
		for _, e := range entries {
			sum += e.tokens
		}
	}
	return sum
}

// nextClass returns the class whose oldest request is admitted next, and that
// request's rank: its class less the aging intervals that it has waited. The
// lowest rank wins, and among equal ranks the higher class. The flow must not be
// empty.
func (f *flow) nextClass(now time.Time, agingInterval time.Duration) (class, rank int) {
	class = -1
	for c, entries := range f.queues {
		if len(entries) == 0 {
			continue
		}
		classRank := c - int(now.Sub(entries[0].enqueued)/agingInterval)
		if class < 0 || classRank < rank {
			class, rank = c, classRank
		}
	}
	return class, rank
}

func (f *flow) pop(class int) waitingRequest {
	e := f.queues[class][0]
	f.queues[class] = f.queues[class][1:]
	return e
}

func (f *flow) remove(id ID) bool {
	for c, entries := range f.queues {
		i := slices.IndexFunc(entries, func(e waitingRequest) bool { return e.id == id })
		if i >= 0 {
			f.queues[c] = slices.Delete(entries, i, i+1)
			return true
		}
	}
	return false
}

// expire removes the requests whose deadline has passed and returns their IDs.
func (f *flow) expire(now time.Time) []ID {
	var ids []ID
	for c, entries := range f.queues {
		f.queues[c] = slices.DeleteFunc(entries, func(e waitingRequest) bool {
			passed := !e.deadline.IsZero() && !now.Before(e.deadline)
			if passed {
				ids = append(ids, e.id)
			}
			return passed
		})
	}
	return ids
}
