// Package admission decides when a request may go to the engines. It is a fair
// queue over client accounts, in tokens, with priority classes and a limit on
// the tokens in flight.
//
// Scheduling is start-time fair queueing (Goyal, Vin and Cheng, 1996) with one
// flow for each client account. Among the flows whose start tag is within
// Settings.Lead of the least one, the request of the highest class goes first;
// waiting raises the class. Two backlogged accounts of equal weight therefore
// never differ by more than Lead plus one request for each, whatever classes
// they use.
package admission

import (
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
)

// Settings are the constants of a Queue.
type Settings struct {
	// Lead is how many tokens, divided by the weight, an account may get ahead
	// of the least served one because its requests are of a higher class.
	Lead float64
	// AgeStep is the waiting time that raises a request by one class.
	AgeStep time.Duration
	// MaxWaiting bounds the waiting requests of one account in one class.
	MaxWaiting int
}

// DefaultSettings returns the settings for the model engines.
func DefaultSettings() Settings {
	return Settings{Lead: 16384, AgeStep: 5 * time.Second, MaxWaiting: 256}
}

// minSweep is the least number of flows worth a sweep for idle ones.
const minSweep = 64

// ID names a request within one Queue.
type ID uint64

// Request is what the queue needs to know of a request.
type Request struct {
	Account account.ID
	// Weight is the account's share under contention; 0 means 1.
	Weight float64
	Class  config.Class
	// Tokens is the estimated cost: prompt plus declared maximum output.
	Tokens float64
	// Deadline is when the request is given up if it still waits. Zero means
	// never.
	Deadline time.Time
}

// Reason says why a request was refused.
type Reason string

const (
	// QueueFull means that the account has too many requests waiting.
	QueueFull Reason = "queue_full"
	// DeadlinePassed means that the request waited until its deadline.
	DeadlinePassed Reason = "queue_timeout"
)

// Refusal is the final answer to a request that was not admitted.
type Refusal struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
}

type entry struct {
	id       ID
	class    int
	tokens   float64
	enqueued time.Time
	deadline time.Time
}

type running struct {
	flow   *flow
	tokens float64
	weight float64
	// resets is the value of flow.resets when the request was admitted.
	resets int
}

// Queue is the state machine. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	capacity float64
	inFlight float64
	// virtual is the start tag of the last request that was admitted.
	virtual float64
	flows   map[account.ID]*flow
	// backlog holds the flows with waiting requests.
	backlog []*flow
	running map[ID]running
	lastID  ID
	drain   drainRate
	// sweepAt is the number of flows at which idle ones are dropped.
	sweepAt int
}

// NewQueue returns an empty queue that admits up to capacity tokens at a time.
func NewQueue(settings Settings, capacity float64) *Queue {
	return &Queue{
		settings: settings,
		capacity: capacity,
		flows:    map[account.ID]*flow{},
		running:  map[ID]running{},
		sweepAt:  minSweep,
	}
}

// SetCapacity changes the limit of tokens in flight.
func (q *Queue) SetCapacity(tokens float64) { q.capacity = tokens }

// InFlight returns the tokens admitted and not released.
func (q *Queue) InFlight() float64 { return q.inFlight }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, f := range q.backlog {
		n += f.waiting()
	}
	return n
}

// Enqueue adds a request. The refusal is nil if the request waits.
func (q *Queue) Enqueue(r Request, now time.Time) (ID, *Refusal) {
	q.lastID++
	f := q.flow(r)
	class := r.Class.Rank()
	if len(f.classes[class]) >= q.settings.MaxWaiting {
		return q.lastID, &Refusal{q.lastID, QueueFull, q.retryAfter(f, now)}
	}
	if f.waiting() == 0 {
		f.activate(q.virtual)
		q.backlog = append(q.backlog, f)
	}
	f.push(entry{id: q.lastID, class: class, tokens: r.Tokens, enqueued: now, deadline: r.Deadline})
	return q.lastID, nil
}

// Dequeue admits the next request if fewer tokens than the capacity are in
// flight. The last admitted request may pass the capacity, so that a request
// larger than what is left is neither overtaken for ever nor does it leave
// engines idle.
func (q *Queue) Dequeue(now time.Time) (ID, bool) {
	if len(q.backlog) == 0 || q.inFlight >= q.capacity {
		return 0, false
	}
	f, class := q.next(now)
	e := f.pop(class)
	q.virtual = max(q.virtual, q.leastStart())
	f.start += e.tokens / f.weight
	q.inFlight += e.tokens
	q.running[e.id] = running{flow: f, tokens: e.tokens, weight: f.weight, resets: f.resets}
	q.unlinkIfIdle(f)
	return e.id, true
}

// Release ends an admitted request that used this many tokens. Unused tokens
// are returned to the account's share. A second release has no effect.
func (q *Queue) Release(id ID, used float64, now time.Time) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.inFlight -= r.tokens
	if r.flow.resets == r.resets {
		r.flow.start -= (r.tokens - used) / r.weight
	}
	q.drain.add(used, now)
	q.forgetServed()
}

// Cancel removes a waiting request. It reports whether the request waited.
func (q *Queue) Cancel(id ID) bool {
	for _, f := range q.backlog {
		if f.remove(id) {
			q.unlinkIfIdle(f)
			return true
		}
	}
	return false
}

// GiveUp removes a waiting request and returns its final answer, or nil if the
// request does not wait.
func (q *Queue) GiveUp(id ID, now time.Time) *Refusal {
	for _, f := range q.backlog {
		wait := q.retryAfter(f, now)
		if f.remove(id) {
			q.unlinkIfIdle(f)
			return &Refusal{id, DeadlinePassed, wait}
		}
	}
	return nil
}

// Expire removes the waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for _, f := range append([]*flow(nil), q.backlog...) {
		wait := q.retryAfter(f, now)
		for _, id := range f.expire(now) {
			refusals = append(refusals, Refusal{id, DeadlinePassed, wait})
		}
		q.unlinkIfIdle(f)
	}
	return refusals
}

// next returns the flow and class of the request to admit. The backlog must
// not be empty.
func (q *Queue) next(now time.Time) (*flow, int) {
	horizon := q.leastStart() + q.settings.Lead
	var best *flow
	var bestClass, bestRank int
	for _, f := range q.backlog {
		if f.start > horizon {
			continue
		}
		class, aged := f.head(now, q.settings.AgeStep)
		if best == nil || aged < bestRank || aged == bestRank && f.start < best.start {
			best, bestClass, bestRank = f, class, aged
		}
	}
	return best, bestClass
}

func (q *Queue) leastStart() float64 {
	least := q.backlog[0].start
	for _, f := range q.backlog[1:] {
		least = min(least, f.start)
	}
	return least
}

func (q *Queue) flow(r Request) *flow {
	f := q.flows[r.Account]
	if f == nil {
		f = &flow{account: r.Account}
		q.flows[r.Account] = f
	}
	f.weight = r.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	return f
}

func (q *Queue) unlinkIfIdle(f *flow) {
	if f.waiting() > 0 {
		return
	}
	for i, g := range q.backlog {
		if g == f {
			q.backlog = append(q.backlog[:i], q.backlog[i+1:]...)
			return
		}
	}
}

// forgetServed drops the flows that would start afresh anyway. When nothing
// waits or runs, no flow has a claim against another one.
func (q *Queue) forgetServed() {
	if len(q.running) == 0 {
		q.inFlight = 0
	}
	if len(q.running) == 0 && len(q.backlog) == 0 {
		clear(q.flows)
		return
	}
	if len(q.flows) < q.sweepAt {
		return
	}
	for id, f := range q.flows {
		if f.waiting() == 0 && f.start <= q.virtual {
			delete(q.flows, id)
		}
	}
	q.sweepAt = max(minSweep, 2*len(q.flows))
}

// retryAfter estimates when the account's waiting requests will have gone.
func (q *Queue) retryAfter(f *flow, now time.Time) time.Duration {
	weights := 0.0
	for _, g := range q.backlog {
		weights += g.weight
	}
	share := 1.0
	if weights > 0 {
		share = min(1, f.weight/weights)
	}
	return q.drain.timeFor(f.tokens()/share, now)
}
