// Package rollout plans how the engines of a deployment come to new weights:
// which engine loads next, which are emptied before, and when an order is sent
// again. The planner is a state machine over snapshots, without network.
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
	// MaxLoading and LoadingShare bound the engines that load at once: the number,
	// or the share of all engines if that is more. Beyond it they load slower.
	MaxLoading   int
	LoadingShare float64
	// MostShare bounds the share of the engines that load at once where the bound of
	// versions asks for more than the limits above: the others serve meanwhile.
	MostShare float64
	// VersionBound is the time in which all engines must hold a version that was named;
	// zero for none.
	VersionBound time.Duration
	// DrainWait is for how long an engine gets no new requests, at most, before
	// its order is sent. It is no longer than a load takes.
	DrainWait time.Duration
	// ResendAfter is when an order that got no answer is sent again.
	ResendAfter time.Duration
	// RetryAfter is when an engine that answers nothing is tried again. Meanwhile its
	// place goes to another.
	RetryAfter time.Duration
	// LoadTime is how long a load takes before one was seen.
	LoadTime time.Duration
	// LoadTimeout is when an accepted order that shows no effect is sent again.
	LoadTimeout time.Duration
}

// DefaultSettings suit any engines; the time of a load is learnt.
func DefaultSettings() Settings {
	return Settings{
		MaxLoading:   3,
		LoadingShare: 0.2,
		MostShare:    0.5,
		DrainWait:    700 * time.Millisecond,
		ResendAfter:  400 * time.Millisecond,
		RetryAfter:   1 * time.Second,
		LoadTime:     2 * time.Second,
		LoadTimeout:  8 * time.Second,
	}
}

// boundShare is the part of the bound of versions within which a roll-out should end: the
// rest is for engines that have to be tried again.
const boundShare = 0.9

// slowedBy is by what factor loads may take longer than the fastest one until engines count
// as slowing each other: then more of them at once end no sooner.
const slowedBy = 1.25

// Engine is one engine as known now.
type Engine struct {
	ID            backend.ID
	Started       int64
	FailureDomain string
	// Model is the model that it runs, Held the version, and Wanted the one that
	// was named.
	Model        string
	Held, Wanted uint64
	// Behind is for how long the engine has lacked a version that was named.
	Behind time.Duration
	// Running is the number of requests that it runs.
	Running int
}

// Order is an order to send.
type Order struct {
	Engine  backend.ID
	Started int64
	Model   string
	Version uint64
}

// Plan is what to do now.
type Plan struct {
	// Reserved are the engines that get no new requests.
	Reserved []backend.ID
	Orders   []Order
	// Watch are the engines whose load is under way.
	Watch []backend.ID
	// Lacking counts the engines that lack the wanted version, Unanswered those of them
	// that don't answer, and Most those that may load at once.
	Lacking, Unanswered, Most int
	// Left is the time until the first of them must hold a newer version; zero without a
	// bound.
	Left time.Duration
	// LoadTime is how long a load takes, as far as seen.
	LoadTime time.Duration
}

// load is an engine on its way to new weights.
type load struct {
	started int64
	version uint64
	// reserved is when the engine was taken out, sent when the order was last
	// sent, accepted whether the engine confirmed it.
	reserved, sent time.Time
	accepted       bool
}

// Planner keeps what must be remembered between two plans. It is safe for
// concurrent use.
type Planner struct {
	settings Settings
	mu       sync.Mutex
	loads    map[backend.ID]*load
	// silent are the engines that answered nothing, by the run and until when they are left.
	silent map[backend.ID]silence
	// most is the number of engines that may load at once.
	most int
	// loadTime is the mean time from an accepted order to the new weights.
	loadTime time.Duration
	// fastest is the least such time, learnt is set once one was seen.
	fastest time.Duration
	learnt  bool
}

// silence is a run of an engine that answers nothing.
type silence struct {
	started int64
	until   time.Time
}

// loadTimeGain is the weight of a new load in the mean.
const loadTimeGain = 0.3

// NewPlanner returns a planner that knows of no load.
func NewPlanner(s Settings) *Planner {
	return &Planner{settings: s, loads: map[backend.ID]*load{}, silent: map[backend.ID]silence{}, loadTime: s.LoadTime, fastest: s.LoadTime}
}

// Plan decides what to do now. Engines are the ready ones.
func (p *Planner) Plan(engines []Engine, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := map[backend.ID]*Engine{}
	for i := range engines {
		byID[engines[i].ID] = &engines[i]
	}
	p.drop(byID, now)
	plan := Plan{LoadTime: p.loadTime}
	p.limit(engines, &plan, now)
	p.reserve(engines, now)
	loading := p.loading()
	for _, id := range p.waiting() {
		l, e := p.loads[id], byID[id]
		plan.Reserved = append(plan.Reserved, id)
		if l.accepted {
			plan.Watch = append(plan.Watch, id)
		}
		if p.due(l, e, now) && (!l.sent.IsZero() || loading < p.most) {
			if l.sent.IsZero() {
				loading++
			}
			plan.Orders = append(plan.Orders, Order{Engine: id, Started: e.Started, Model: e.Model, Version: e.Wanted})
		}
	}
	slices.Sort(plan.Reserved)
	slices.Sort(plan.Watch)
	slices.SortFunc(plan.Orders, func(a, b Order) int { return cmp.Compare(a.Engine, b.Engine) })
	return plan
}

// limit sets how many engines may load at once: as many as load without slowing each other,
// or as the bound of versions asks for.
func (p *Planner) limit(engines []Engine, plan *Plan, now time.Time) {
	var ages []time.Duration
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Held >= e.Wanted:
			continue
		case p.isSilent(e, now):
			plan.Unanswered++
		default:
			ages = append(ages, e.Behind)
		}
		plan.Lacking++
	}
	p.most = max(p.settings.MaxLoading, int(p.settings.LoadingShare*float64(len(engines))))
	slowed := float64(p.loadTime) > slowedBy*float64(p.fastest)
	if bound := time.Duration(boundShare * float64(p.settings.VersionBound)); bound > 0 && len(ages) > 0 {
		plan.Left = bound - slices.Max(ages)
		if !slowed {
			p.most = max(p.most, min(p.needed(ages, bound), int(p.settings.MostShare*float64(len(engines)))))
		}
	}
	plan.Most = p.most
}

// needed returns how many engines must load at once so that each holds new weights within
// the bound. Those that can't any more count for nothing: no request may begin there.
func (p *Planner) needed(ages []time.Duration, bound time.Duration) int {
	slices.SortFunc(ages, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	most, ahead := 0, 0
	for _, age := range ages {
		left := bound - age
		if left < p.fastest {
			continue
		}
		ahead++
		most = max(most, int(math.Ceil(float64(ahead)*float64(p.fastest)/float64(left))))
	}
	return most
}

// drainWait returns for how long an engine is emptied before its order.
func (p *Planner) drainWait() time.Duration { return min(p.settings.DrainWait, p.loadTime) }

func (p *Planner) isSilent(e *Engine, now time.Time) bool {
	s, ok := p.silent[e.ID]
	return ok && s.started == e.Started && now.Before(s.until)
}

// waiting lists the engines on their way, those first that were taken out first.
func (p *Planner) waiting() []backend.ID {
	return slices.SortedFunc(maps.Keys(p.loads), func(a, b backend.ID) int {
		return cmp.Or(p.loads[a].reserved.Compare(p.loads[b].reserved), cmp.Compare(a, b))
	})
}

// drop forgets the loads that are over.
func (p *Planner) drop(byID map[backend.ID]*Engine, now time.Time) {
	maps.DeleteFunc(p.silent, func(id backend.ID, s silence) bool { return byID[id] == nil || !now.Before(s.until) })
	for id, l := range p.loads {
		e := byID[id]
		if l.accepted && e != nil && e.Started == l.started && e.Held >= l.version {
			p.learn(now.Sub(l.sent))
		}
		switch {
		case e == nil || e.Started != l.started || e.Held >= e.Wanted:
			delete(p.loads, id)
		case l.accepted && e.Held >= l.version:
			// Loaded, and overtaken meanwhile: it queues again.
			delete(p.loads, id)
		case l.accepted && now.Sub(l.sent) > p.settings.LoadTimeout:
			delete(p.loads, id)
		}
	}
}

// learn takes the time of a load into the mean.
func (p *Planner) learn(took time.Duration) {
	if !p.learnt {
		p.loadTime, p.fastest, p.learnt = took, took, true
	}
	p.fastest = min(p.fastest, took)
	p.loadTime += time.Duration(loadTimeGain * float64(took-p.loadTime))
}

// room returns how many engines may be taken out of service now: as many as may
// load, beyond those that load on. A load that will soon be over makes room
// already, so that the next engine is empty by then.
func (p *Planner) room(now time.Time) int {
	room := p.most
	for _, l := range p.loads {
		if !l.accepted || now.Sub(l.sent) < p.loadTime-p.drainWait() {
			room--
		}
	}
	return room
}

// loading returns the number of engines with an order under way.
func (p *Planner) loading() int {
	n := 0
	for _, l := range p.loads {
		if !l.sent.IsZero() {
			n++
		}
	}
	return n
}

// reserve takes the next engines out of service: those on the oldest weights
// first, then those of the domain with the fewest engines on the wanted weights,
// so that all domains soon have some, then the least busy.
func (p *Planner) reserve(engines []Engine, now time.Time) {
	current := map[string]int{}
	for i := range engines {
		e := &engines[i]
		if e.Held >= e.Wanted || p.loads[e.ID] != nil {
			current[e.FailureDomain]++
		}
	}
	for room := p.room(now); room > 0; room-- {
		var best *Engine
		for i := range engines {
			e := &engines[i]
			if e.Held >= e.Wanted || p.loads[e.ID] != nil || p.isSilent(e, now) {
				continue
			}
			if best == nil || before(e, best, current) {
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

func before(a, b *Engine, current map[string]int) bool {
	return cmp.Or(
		cmp.Compare(a.Held, b.Held),
		cmp.Compare(current[a.FailureDomain], current[b.FailureDomain]),
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

// due reports whether an engine's order is to be sent now.
func (p *Planner) due(l *load, e *Engine, now time.Time) bool {
	if l.accepted {
		return false
	}
	if !l.sent.IsZero() {
		return now.Sub(l.sent) >= p.settings.ResendAfter
	}
	return e.Running == 0 || now.Sub(l.reserved) >= p.drainWait()
}

// Sent notes that an order is sent.
func (p *Planner) Sent(o Order, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[o.Engine]; l != nil && l.started == o.Started {
		l.sent, l.version = now, o.Version
	}
}

// Accepted notes that an engine confirmed an order.
func (p *Planner) Accepted(o Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[o.Engine]; l != nil && l.started == o.Started && l.version == o.Version {
		l.accepted = true
	}
}

// Unanswered notes that an engine, or that run of it, answers nothing. It has lost its
// place, unless it carries an order out.
func (p *Planner) Unanswered(o Order, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[o.Engine]
	if l == nil || l.started != o.Started || l.accepted {
		return
	}
	delete(p.loads, o.Engine)
	p.silent[o.Engine] = silence{started: o.Started, until: now.Add(p.settings.RetryAfter)}
}

// LoadTime returns how long a load takes, as far as seen, and whether one was seen.
func (p *Planner) LoadTime() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadTime, p.learnt
}

// Reset forgets all loads, when another VM gives the orders.
func (p *Planner) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.loads)
}
