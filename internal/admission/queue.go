// Package admission decides when a request may be sent to the engines. It is a
// fair queue over client accounts, measured in tokens, with priority classes and
// a limit on the tokens in flight.
//
// Scheduling is start-time fair queueing (Goyal, Vin and Cheng, 1996) with one
// flow for each client account. Among the flows whose start tag is within
// Settings.MaxLead of the lowest one, the request of the highest class is
// admitted first; waiting raises a request's class. The tokens served to two
// backlogged accounts of equal weight therefore never differ by more than MaxLead
// plus one request for each, whatever classes they use.
package admission

import (
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
)

// Settings are the parameters of a Queue.
type Settings struct {
	// MaxLead is how many tokens, divided by the weight, an account may be ahead
	// of the least served backlogged one because its requests are of a higher
	// class.
	MaxLead float64
	// AgingInterval is the waiting time that raises a request by one class.
	AgingInterval time.Duration
	// MaxWaiting limits the waiting requests of one account in one class.
	MaxWaiting int
}

// DefaultSettings returns the settings for the model engines.
func DefaultSettings() Settings {
	return Settings{MaxLead: 16384, AgingInterval: 5 * time.Second, MaxWaiting: 256}
}

// minSweepFlows is the lowest number of flows at which idle ones are dropped.
const minSweepFlows = 64

// ID identifies a request within one Queue.
type ID uint64

// Request holds the scheduling parameters of a request.
type Request struct {
	Account account.ID
	// Weight is the account's share under contention; 0 means 1.
	Weight float64
	Class  config.Class
	// Tokens is the estimated cost: prompt plus declared maximum output.
	Tokens float64
	// Deadline is when the request is refused if it is still waiting. Zero means
	// no deadline.
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

// Refusal describes a request that was refused admission.
type Refusal struct {
	ID     ID
	Reason Reason
	// RetryAfter estimates when the account's backlog will be served.
	RetryAfter time.Duration
}

type waitingRequest struct {
	id       ID
	class    int
	tokens   float64
	enqueued time.Time
	deadline time.Time
}

type runningRequest struct {
	flow   *flow
	tokens float64
	weight float64
	// idleResets is the flow's idleResets when the request was admitted.
	idleResets int
}

// Queue is the fair queue of waiting and admitted requests. It is not safe for
// concurrent use.
type Queue struct {
	settings Settings
	capacity float64
	inFlight float64
	// virtualTime is the lowest start tag of the backlogged flows at the last
	// admission. It never decreases.
	virtualTime float64
	flows       map[account.ID]*flow
	// backlogged holds the flows with waiting requests.
	backlogged []*flow
	running    map[ID]runningRequest
	lastID     ID
	drainRate  drainRate
	// sweepThreshold is the number of flows at which idle ones are next dropped.
	sweepThreshold int
}

// NewQueue returns an empty queue that admits up to capacity tokens at a time.
func NewQueue(settings Settings, capacity float64) *Queue {
	return &Queue{
		settings:       settings,
		capacity:       capacity,
		flows:          map[account.ID]*flow{},
		running:        map[ID]runningRequest{},
		sweepThreshold: minSweepFlows,
	}
}

// SetCapacity changes the limit on the tokens in flight.
func (q *Queue) SetCapacity(tokens float64) { q.capacity = tokens }

// InFlight returns the tokens admitted and not released.
func (q *Queue) InFlight() float64 { return q.inFlight }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, f := range q.backlogged {
		n += f.waiting()
	}
	return n
}

// Enqueue adds a request, or refuses it if too many requests of its account and
// class are waiting. The refusal is nil if the request was added.
func (q *Queue) Enqueue(r Request, now time.Time) (ID, *Refusal) {
	q.lastID++
	f := q.flowFor(r)
	class := r.Class.Rank()
	if len(f.queues[class]) >= q.settings.MaxWaiting {
		return q.lastID, &Refusal{q.lastID, QueueFull, q.retryAfter(f, now)}
	}
	if f.waiting() == 0 {
		f.activate(q.virtualTime)
		q.backlogged = append(q.backlogged, f)
	}
	f.push(waitingRequest{id: q.lastID, class: class, tokens: r.Tokens, enqueued: now, deadline: r.Deadline})
	return q.lastID, nil
}

// Dequeue admits the next request if fewer tokens than the capacity are in
// flight. The last admitted request may exceed the capacity: otherwise a request
// larger than the remaining capacity would either be overtaken by smaller ones
// forever or leave engines idle while it waits.
func (q *Queue) Dequeue(now time.Time) (ID, bool) {
	if len(q.backlogged) == 0 || q.inFlight >= q.capacity {
		return 0, false
	}
	f, class := q.nextFlow(now)
	e := f.pop(class)
	q.virtualTime = max(q.virtualTime, q.minStartTag())
	f.startTag += e.tokens / f.weight
	q.inFlight += e.tokens
	q.running[e.id] = runningRequest{flow: f, tokens: e.tokens, weight: f.weight, idleResets: f.idleResets}
	q.removeIfIdle(f)
	return e.id, true
}

// Release ends an admitted request that used this many tokens. Unused tokens
// are credited to the account, unless it has been idle since the admission. A
// second release has no effect.
func (q *Queue) Release(id ID, used float64, now time.Time) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.inFlight -= r.tokens
	if r.flow.idleResets == r.idleResets {
		r.flow.startTag -= (r.tokens - used) / r.weight
	}
	q.drainRate.add(used, now)
	q.dropIdleFlows()
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id ID) bool {
	for _, f := range q.backlogged {
		if f.remove(id) {
			q.removeIfIdle(f)
			return true
		}
	}
	return false
}

// TimeOut removes a waiting request and returns its refusal, or nil if the
// request is not waiting.
func (q *Queue) TimeOut(id ID, now time.Time) *Refusal {
	for _, f := range q.backlogged {
		retryAfter := q.retryAfter(f, now)
		if f.remove(id) {
			q.removeIfIdle(f)
			return &Refusal{id, DeadlinePassed, retryAfter}
		}
	}
	return nil
}

// Expire removes the waiting requests whose deadline has passed and returns
// their refusals.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for _, f := range append([]*flow(nil), q.backlogged...) {
		retryAfter := q.retryAfter(f, now)
		for _, id := range f.expire(now) {
			refusals = append(refusals, Refusal{id, DeadlinePassed, retryAfter})
		}
		q.removeIfIdle(f)
	}
	return refusals
}

// nextFlow returns the flow and class of the request to admit. The backlog must
// not be empty.
func (q *Queue) nextFlow(now time.Time) (*flow, int) {
	maxStartTag := q.minStartTag() + q.settings.MaxLead
	var best *flow
	var bestClass, bestRank int
	for _, f := range q.backlogged {
		if f.startTag > maxStartTag {
			continue
		}
		class, rank := f.nextClass(now, q.settings.AgingInterval)
		if best == nil || rank < bestRank || rank == bestRank && f.startTag < best.startTag {
			best, bestClass, bestRank = f, class, rank
		}
	}
	return best, bestClass
}

func (q *Queue) minStartTag() float64 {
	minTag := q.backlogged[0].startTag
	for _, f := range q.backlogged[1:] {
		minTag = min(minTag, f.startTag)
	}
	return minTag
}

// flowFor returns the flow of a request's account, with the request's weight.
func (q *Queue) flowFor(r Request) *flow {
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

// removeIfIdle takes a flow without waiting requests out of the backlog.
func (q *Queue) removeIfIdle(f *flow) {
	if f.waiting() > 0 {
		return
	}
	for i, g := range q.backlogged {
		if g == f {
			q.backlogged = append(q.backlogged[:i], q.backlogged[i+1:]...)
			return
		}
	}
}

// dropIdleFlows drops the idle flows whose start tag would be reset to the
// virtual time by their next request. If no request is waiting or in flight, it
// drops all flows, because no account is behind another.
func (q *Queue) dropIdleFlows() {
	if len(q.running) == 0 {
		q.inFlight = 0
	}
	if len(q.running) == 0 && len(q.backlogged) == 0 {
		clear(q.flows)
		return
	}
	if len(q.flows) < q.sweepThreshold {
		return
	}
	for id, f := range q.flows {
		if f.waiting() == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, id)
		}
	}
	q.sweepThreshold = max(minSweepFlows, 2*len(q.flows))
}

// retryAfter estimates the time until all waiting requests of the account have
// been served.
func (q *Queue) retryAfter(f *flow, now time.Time) time.Duration {
	weights := 0.0
	for _, g := range q.backlogged {
		weights += g.weight
	}
	share := 1.0
	if weights > 0 {
		share = min(1, f.weight/weights)
	}
	return q.drainRate.drainTime(f.waitingTokens()/share, now)
}
