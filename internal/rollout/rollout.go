// Package rollout plans how the engines of a deployment change to new weights:
// which engine loads next, which ones drain before, and when an order is sent
// again. The planner is a state machine over snapshots and does no network I/O.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Settings are the limits of the planner.
type Settings struct {
	// MaxLoading and LoadingShare limit the engines that load at once: to this number,
	// or to this share of all engines if that is more. With more, each load is slower.
	MaxLoading   int
	LoadingShare float64
	// MaxLoadingShare bounds the share of the engines that load at once where VersionBound
	// requires more than the limits above, so that the other engines continue to serve.
	MaxLoadingShare float64
	// VersionBound is the time from the naming of a version within which all engines must
	// hold it; zero for no bound.
	VersionBound time.Duration
	// DrainWait is the longest time for which an engine gets no new requests before its
	// order is sent. The planner waits no longer than a load takes.
	DrainWait time.Duration
	// ResendAfter is the delay after which an unacknowledged order is sent again.
	ResendAfter time.Duration
	// RetryAfter is the delay after which an unresponsive engine is tried again. Meanwhile
	// another engine may load in its place.
	RetryAfter time.Duration
	// LoadTime is the assumed duration of a load until one was measured.
	LoadTime time.Duration
	// LoadTimeout is the delay after which an acknowledged order without effect is given up;
	// the engine is then scheduled again.
	LoadTimeout time.Duration
}

// DefaultSettings returns settings for any engines; the duration of a load is measured.
func DefaultSettings() Settings {
	return Settings{
		MaxLoading:      3,
		LoadingShare:    0.2,
		MaxLoadingShare: 0.5,
		DrainWait:       700 * time.Millisecond,
		ResendAfter:     400 * time.Millisecond,
		RetryAfter:      1 * time.Second,
		LoadTime:        2 * time.Second,
		LoadTimeout:     8 * time.Second,
	}
}

// rolloutBoundShare is the part of VersionBound within which a roll-out should end: the
// rest is reserved for retries.
const rolloutBoundShare = 0.9

const (
	// firstPollShare is the share of the fastest load after which an engine that has acknowledged an
	// order is first polled; firstPollDelay is used before a load was measured. A share of the mean
	// would delay the polls that the mean is measured from.
	firstPollShare = 0.9
	firstPollDelay = 200 * time.Millisecond
	// pollInterval is the least time between two polls of an engine; pollShare is the same as a
	// share of the time since its order.
	pollInterval = 150 * time.Millisecond
	pollShare    = 0.25
)

// slowdownFactor is the ratio of the mean to the fastest load time above which concurrent
// loads count as slowing each other. Then a higher limit doesn't end the roll-out sooner.
const slowdownFactor = 1.25

// Engine is the present state of an engine.
type Engine struct {
	ID            backend.ID
	Started       int64
	FailureDomain string
	// Model is the model that the engine runs, Held the version that it holds, and Wanted
	// the version that was named.
	Model        string
	Held, Wanted uint64
	// Behind is for how long the engine has lacked a version that was named.
	Behind time.Duration
	// Running is the number of requests that it runs.
	Running int
	// Blocked is set while no order may be sent to it.
	Blocked bool
}

// Order is an order to an engine to load a version.
type Order struct {
	Engine  backend.ID
	Started int64
	Model   string
	Version uint64
}

// Plan is the set of actions to take now.
type Plan struct {
	// Reserved lists the engines that get no new requests.
	Reserved []backend.ID
	Orders   []Order
	// Loading lists the engines whose load is in progress, Polls those of them whose state must be
	// read now.
	Loading, Polls []backend.ID
	// Lacking is the number of engines that lack the wanted version, Unanswered the number
	// of these that are unresponsive, Blocked the number that must not be ordered yet, and MaxLoading
	// the number that may load at once.
	Lacking, Unanswered, Blocked, MaxLoading int
	// TimeToBound is the time until the first of the lacking engines must hold a newer version;
	// zero without a bound.
	TimeToBound time.Duration
	// LoadTime is the mean duration of a load.
	LoadTime time.Duration
}

// Ordered returns the engines of the orders.
func (p *Plan) Ordered() []backend.ID {
	var ids []backend.ID
	for _, o := range p.Orders {
		ids = append(ids, o.Engine)
	}
	return ids
}

// load is the progress of an engine's change to new weights.
type load struct {
	started int64
	version uint64
	// reserved is when the engine was taken out of service, sent when the order was last
	// sent, and accepted whether the engine acknowledged it.
	reserved, sent time.Time
	accepted       bool
	// pollDue is when the engine is polled next; zero before the order was acknowledged.
	pollDue time.Time
	// adopted is set if another VM may have sent the order, and seen once the engine was seen to carry
	// it out.
	adopted, seen bool
}

// Planner keeps the state between plans. It is safe for concurrent use.
type Planner struct {
	settings Settings
	mu       sync.Mutex
	loads    map[backend.ID]*load
	// unresponsive holds the engines that didn't respond and aren't tried for now.
	unresponsive map[backend.ID]unresponsiveRun
	// maxLoading is the number of engines that may load at once.
	maxLoading int
	// loadTime is the mean time from an acknowledged order to the new weights.
	loadTime time.Duration
	// fastest is the least such time; measured is set once a load was measured.
	fastest  time.Duration
	measured bool
}

// unresponsiveRun is a run of an engine that didn't respond; it isn't tried again before
// the time until.
type unresponsiveRun struct {
	started int64
	until   time.Time
}

// loadTimeGain is the weight of a new measurement in the mean load time.
const loadTimeGain = 0.3

// maxReportAge bounds the age of the state in an engine's report.
const maxReportAge = 500 * time.Millisecond

// NewPlanner returns a planner without loads in progress.
func NewPlanner(s Settings) *Planner {
	return &Planner{settings: s, loads: map[backend.ID]*load{}, unresponsive: map[backend.ID]unresponsiveRun{}, loadTime: s.LoadTime, fastest: s.LoadTime}
}

// Plan returns the actions to take now. Engines lists the ready engines.
func (p *Planner) Plan(engines []Engine, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := map[backend.ID]*Engine{}
	for i := range engines {
		byID[engines[i].ID] = &engines[i]
	}
	p.dropFinished(byID, now)
	plan := Plan{LoadTime: p.loadTime}
	p.setMaxLoading(engines, &plan, now)
	p.reserve(engines, byID, now)
	loading := p.countLoading(byID)
	for _, id := range p.byReservation() {
		l, e := p.loads[id], byID[id]
		if !l.adopted || l.seen {
			plan.Reserved = append(plan.Reserved, id)
		}
		if l.accepted {
			plan.Loading = append(plan.Loading, id)
			if p.pollDue(l, now) {
				plan.Polls = append(plan.Polls, id)
			}
		}
		if p.orderDue(l, e, now) && (!l.sent.IsZero() || loading < p.maxLoading) {
			if l.sent.IsZero() {
				loading++
			}
			plan.Orders = append(plan.Orders, Order{Engine: id, Started: e.Started, Model: e.Model, Version: e.Wanted})
		}
	}
	slices.Sort(plan.Reserved)
	slices.Sort(plan.Loading)
	slices.SortFunc(plan.Orders, func(a, b Order) int { return cmp.Compare(a.Engine, b.Engine) })
	return plan
}

// setMaxLoading sets how many engines may load at once: the limit of the settings, or more if
// VersionBound requires it and loads don't slow each other.
func (p *Planner) setMaxLoading(engines []Engine, plan *Plan, now time.Time) {
	var ages []time.Duration
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Held >= e.Wanted:
			continue
		case p.isUnresponsive(e, now):
			plan.Unanswered++
		default:
			ages = append(ages, e.Behind)
		}
		plan.Lacking++
		if e.Blocked {
			plan.Blocked++
		}
	}
	p.maxLoading = max(p.settings.MaxLoading, int(p.settings.LoadingShare*float64(len(engines))))
	slowed := float64(p.loadTime) > slowdownFactor*float64(p.fastest)
	if bound := time.Duration(rolloutBoundShare * float64(p.settings.VersionBound)); bound > 0 && len(ages) > 0 {
		plan.TimeToBound = bound - slices.Max(ages)
		if !slowed {
			p.maxLoading = max(p.maxLoading, min(p.neededForBound(ages, bound), int(p.settings.MaxLoadingShare*float64(len(engines)))))
		}
	}
	plan.MaxLoading = p.maxLoading
}

// neededForBound returns how many engines must load at once so that each holds new weights
// within the bound. Engines that can no longer meet it are not counted: no request may begin
// there anyway.
func (p *Planner) neededForBound(ages []time.Duration, bound time.Duration) int {
	slices.SortFunc(ages, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	needed, earlier := 0, 0
	for _, age := range ages {
		remaining := bound - age
		if remaining < p.fastest {
			continue
		}
		earlier++
		needed = max(needed, int(math.Ceil(float64(earlier)*float64(p.fastest)/float64(remaining))))
	}
	return needed
}

// drainWait returns for how long an engine drains before its order is sent.
func (p *Planner) drainWait() time.Duration { return min(p.settings.DrainWait, p.loadTime) }

func (p *Planner) isUnresponsive(e *Engine, now time.Time) bool {
	s, ok := p.unresponsive[e.ID]
	return ok && s.started == e.Started && now.Before(s.until)
}

// byReservation lists the reserved engines in the order in which they were reserved.
func (p *Planner) byReservation() []backend.ID {
	return slices.SortedFunc(maps.Keys(p.loads), func(a, b backend.ID) int {
		return cmp.Or(p.loads[a].reserved.Compare(p.loads[b].reserved), cmp.Compare(a, b))
	})
}

// dropFinished removes the loads that have ended, timed out or lost their engine.
func (p *Planner) dropFinished(byID map[backend.ID]*Engine, now time.Time) {
	maps.DeleteFunc(p.unresponsive, func(id backend.ID, s unresponsiveRun) bool { return byID[id] == nil || !now.Before(s.until) })
	for id, l := range p.loads {
		e := byID[id]
		if l.accepted && e != nil && e.Started == l.started && e.Held >= l.version && !l.adopted {
			p.recordLoadTime(now.Sub(l.sent))
		}
		switch {
		case e == nil || e.Started != l.started || e.Held >= e.Wanted:
			delete(p.loads, id)
		case l.accepted && e.Held >= l.version:
			// Loaded, but a newer version was named meanwhile: the engine is scheduled again.
			delete(p.loads, id)
		case l.accepted && now.Sub(l.sent) > p.settings.LoadTimeout:
			delete(p.loads, id)
		}
	}
}

// recordLoadTime adds the duration of a load to the mean.
func (p *Planner) recordLoadTime(took time.Duration) {
	if !p.measured {
		p.loadTime, p.fastest, p.measured = took, took, true
	}
	p.fastest = min(p.fastest, took)
	p.loadTime += time.Duration(loadTimeGain * float64(took-p.loadTime))
}

// freeReservations returns how many more engines may be taken out of service now. A load that
// will end within the drain time isn't counted any more, so that the next engine has drained
// by then.
func (p *Planner) freeReservations(byID map[backend.ID]*Engine, now time.Time) int {
	free := p.maxLoading
	for id, l := range p.loads {
		if !l.finishesRuns(byID[id]) && (!l.accepted || now.Sub(l.sent) < p.loadTime-p.drainWait()) {
			free--
		}
	}
	most := max(p.maxLoading, int(p.settings.MaxLoadingShare*float64(len(byID))))
	return min(free, most-len(p.loads))
}

// finishesRuns reports whether an engine that has acknowledged its order still runs requests. It
// loads after them and slows no other load until then.
func (l *load) finishesRuns(e *Engine) bool { return l.accepted && e.Running > 0 }

// countLoading returns the number of engines that may be loading: those to which an order was sent.
func (p *Planner) countLoading(byID map[backend.ID]*Engine) int {
	n := 0
	for id, l := range p.loads {
		if !l.sent.IsZero() && !l.finishesRuns(byID[id]) {
			n++
		}
	}
	return n
}

// reserve takes the next engines out of service: first those with the oldest weights, then
// those of the failure domain with the fewest engines on the wanted weights, so that each
// domain soon has some, then those with the fewest running requests.
func (p *Planner) reserve(engines []Engine, byID map[backend.ID]*Engine, now time.Time) {
	current := map[string]int{}
	for i := range engines {
		e := &engines[i]
		if e.Held >= e.Wanted || p.loads[e.ID] != nil {
			current[e.FailureDomain]++
		}
	}
	for free := p.freeReservations(byID, now); free > 0; free-- {
		var best *Engine
		for i := range engines {
			e := &engines[i]
			if e.Held >= e.Wanted || p.loads[e.ID] != nil || e.Blocked || p.isUnresponsive(e, now) {
				continue
			}
			if best == nil || loadsBefore(e, best, current) {
				best = e
			}
		}
		if best == nil {
			return
		}
		p.loads[best.ID] = &load{started: best.Started, reserved: now}
		current[best.FailureDomain]++
	}
}

func loadsBefore(a, b *Engine, current map[string]int) bool {
	return cmp.Or(
		cmp.Compare(a.Held, b.Held),
		cmp.Compare(current[a.FailureDomain], current[b.FailureDomain]),
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

// orderDue reports whether an engine's order must be sent now.
func (p *Planner) orderDue(l *load, e *Engine, now time.Time) bool {
	if l.accepted {
		return false
	}
	if !l.sent.IsZero() {
		return now.Sub(l.sent) >= p.settings.ResendAfter
	}
	return e.Running == 0 || now.Sub(l.reserved) >= p.drainWait()
}

// pollDue reports whether an engine that loads must be polled now, and schedules the next poll.
func (p *Planner) pollDue(l *load, now time.Time) bool {
	if l.pollDue.IsZero() {
		l.pollDue = l.sent.Add(firstPollDelay)
		if p.measured {
			l.pollDue = l.sent.Add(time.Duration(firstPollShare * float64(p.fastest)))
		}
	}
	if now.Before(l.pollDue) {
		return false
	}
	l.pollDue = now.Add(max(pollInterval, time.Duration(pollShare*float64(now.Sub(l.sent)))))
	return true
}

// Sent records that an order is being sent.
func (p *Planner) Sent(o Order, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[o.Engine]; l != nil && l.started == o.Started {
		l.sent, l.version = now, o.Version
	}
}

// Accepted records that an engine acknowledged an order.
func (p *Planner) Accepted(o Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[o.Engine]; l != nil && l.started == o.Started && l.version == o.Version {
		l.accepted = true
	}
}

// Unanswered records that the run of an engine to which an order was sent is unresponsive.
// Its reservation ends, unless it has acknowledged an order.
func (p *Planner) Unanswered(o Order, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[o.Engine]
	if l == nil || l.started != o.Started || l.accepted {
		return
	}
	delete(p.loads, o.Engine)
	p.unresponsive[o.Engine] = unresponsiveRun{started: o.Started, until: now.Add(p.settings.RetryAfter)}
}

// Adopt records the engines that may carry out orders of the VM that sent orders before. They hold
// places until they are seen to load nothing, and get requests until they are seen to load.
func (p *Planner) Adopt(engines []Engine, ids []backend.ID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range engines {
		if e.Held < e.Wanted && slices.Contains(ids, e.ID) && p.loads[e.ID] == nil {
			p.loads[e.ID] = &load{started: e.Started, version: e.Wanted, reserved: now, sent: now, accepted: true, pollDue: now, adopted: true}
		}
	}
}

// AdoptReserved records the engines that the VM that sent orders before has taken out of service, and
// since when, so that they need not drain again.
func (p *Planner) AdoptReserved(engines []Engine, since map[backend.ID]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range engines {
		if at, ok := since[e.ID]; ok && e.Held < e.Wanted && !e.Blocked && p.loads[e.ID] == nil {
			p.loads[e.ID] = &load{started: e.Started, reserved: at}
		}
	}
}

// Busy records that an engine carries out an order, possibly one of another VM, so that the load is
// not measured.
func (p *Planner) Busy(o Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[o.Engine]; l != nil && l.started == o.Started && l.version == o.Version {
		l.accepted, l.adopted, l.seen = true, true, true
	}
}

// Polled records whether an engine was seen to carry out an order, in a response to a poll that was sent
// at a time. Soon after the change of the VM that sends orders, a response may be older than the order.
func (p *Planner) Polled(id backend.ID, started int64, busy bool, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	switch {
	case l == nil || !l.adopted || l.started != started:
	case busy:
		l.seen = true
	case sent.Sub(l.reserved) >= maxReportAge:
		delete(p.loads, id)
	}
}

// Reset drops all loads. It is called when another VM takes over sending orders.
func (p *Planner) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.loads)
}
