// Package order models two routers that send orders to one engine under a
// lease, with pauses, lost responses, lost and delayed orders, a release of the
// lease and a restart of the engine. The decisions are the product's, from
// internal/lease and internal/order. Time advances in whole seconds.
package order

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/order"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/spec/explore"
)

// Variant selects the protocol and the kind of engine. Fields marked as wrong are
// for the checker to refute.
type Variant struct {
	// ChecksFencing is set if the engine refuses orders with an older fencing
	// number. Orders to it may then be delayed without bound.
	ChecksFencing bool
	// NoTakeoverWait lets a new holder of the lease send orders without waiting
	// until those of its predecessor have expired. Wrong for an engine that
	// ignores fencing.
	NoTakeoverWait bool
	// UnboundedDelay lets an order be delayed without bound. Wrong for an
	// engine that ignores fencing.
	UnboundedDelay bool
	// RelativeOrders makes orders change the engine's state by a difference
	// instead of setting it. Wrong.
	RelativeOrders bool
	// NoReadBack considers an order carried out once it was sent. Wrong.
	NoReadBack bool
}

const (
	numRouters = 2
	leaseTime  = 3 * time.Second
	// maxTime bounds the model's time in seconds. It exceeds the time that a
	// new holder waits before it sends orders.
	maxTime = 8
	// maxTimeFencing is the bound for engines that check fencing, to which a
	// new holder sends without waiting.
	maxTimeFencing = 4
	// maxOrders bounds the orders in flight.
	maxOrders = 2
)

var start = time.Unix(0, 0)

// message is an order in flight to the engine.
type message struct {
	sent     bool
	from     int
	fencing  lease.Fencing
	value    int
	deadline int
}

// router is the state of one router.
type router struct {
	watcher lease.Watcher
	tracker order.Tracker
	// released is set once the router has released the lease and stopped.
	released bool
}

type state struct {
	now            int
	row            lease.Row
	routers        [numRouters]router
	orders         [maxOrders]message
	value          int // the engine's state
	highestFencing lease.Fencing
	// restarted is set once the engine has lost its state.
	restarted bool
	violation string
}

// desired returns the engine state that router i requests. The engine starts in
// state 0.
func desired(i int) int { return 2*i + 1 }

func weights(v int) order.Weights { return order.Weights{"model": strconv.Itoa(v)} }

// Model returns the model of a variant.
func Model(v Variant) explore.Model[state] {
	var first state
	for i := range first.routers {
		first.routers[i].watcher = *lease.NewWatcher(lease.Holder(fmt.Sprint("g", i)), leaseTime)
	}
	return explore.Model[state]{
		Initial:   []state{first},
		Next:      v.next,
		Key:       newKey(),
		Invariant: v.invariant,
		MaxStates: 1_000_000,
	}
}

// newKey returns a key function. It numbers the distinct states of routers and
// rows, which is faster than formatting them.
func newKey() func(state) string {
	type part struct {
		router    router
		row       lease.Row
		violation string
	}
	ids := map[part]int64{}
	id := func(p part) int64 {
		if _, ok := ids[p]; !ok {
			ids[p] = int64(len(ids))
		}
		return ids[p]
	}
	return func(s state) string {
		b := make([]byte, 0, 32)
		add := func(n int64) { b = binary.AppendVarint(b, n) }
		add(int64(s.now))
		add(int64(s.value))
		add(int64(s.highestFencing))
		add(id(part{row: s.row, violation: s.violation}))
		for _, r := range s.routers {
			add(id(part{router: r}))
		}
		for _, m := range s.orders {
			add(int64(m.from))
			add(int64(m.fencing))
			add(int64(m.value))
			add(int64(m.deadline))
		}
		if s.restarted {
			add(1)
		}
		return string(b)
	}
}

func (s state) time() time.Time { return start.Add(time.Duration(s.now) * time.Second) }

func (v Variant) next(s state) []explore.Step[state] {
	var steps []explore.Step[state]
	add := func(action string, change func(*state)) {
		n := s
		change(&n)
		steps = append(steps, explore.Step[state]{Action: fmt.Sprintf("t=%d %s", s.now, action), State: n})
	}
	if s.now < v.maxTime() {
		add("a second passes", func(s *state) {
			s.now++
			s.expireOrders(v)
		})
	}
	for i := range s.routers {
		if !s.routers[i].released {
			v.leaseSteps(s, i, add)
			v.orderSteps(s, i, add)
		}
	}
	for i, m := range s.orders {
		if m.sent {
			add(fmt.Sprintf("order %d of term %d arrives", m.value, m.fencing), func(s *state) {
				if s.deliver(v, i) && !s.routers[m.from].released {
					s.routers[m.from].tracker.Accepted(m.fencing)
				}
			})
			add(fmt.Sprintf("order %d of term %d is lost", m.value, m.fencing), func(s *state) { s.orders[i] = message{} })
			add(fmt.Sprintf("order %d of term %d arrives, the response is lost", m.value, m.fencing), func(s *state) { s.deliver(v, i) })
		}
	}
	if !s.restarted && s.value != 0 {
		add("the engine restarts empty", func(s *state) { s.value, s.restarted = 0, true })
	}
	return steps
}

func (v Variant) maxTime() int {
	if v.ChecksFencing {
		return maxTimeFencing
	}
	return maxTime
}

type addFunc func(string, func(*state))

// leaseSteps adds what router i can do with the lease.
func (v Variant) leaseSteps(s state, i int, add addFunc) {
	name := fmt.Sprint("router ", i)
	observe := func(s *state) lease.Attempt {
		w := &s.routers[i].watcher
		w.Observe(s.row, s.time())
		a, _ := w.Next(s.time())
		return a
	}
	trial := s
	a := observe(&trial)
	if a.Next.Fencing == 0 {
		add(name+" sees the lease held", func(s *state) { observe(s) })
		return
	}
	if a.Next.Renewals > 1 {
		return // further renewals of a term add no behaviour
	}
	commit := func(s *state) lease.Attempt {
		a := observe(s)
		s.row = lease.Row{Record: a.Next, Version: s.row.Version + 1}
		return a
	}
	add(name+" commits the lease", func(s *state) {
		a := commit(s)
		s.routers[i].watcher.RecordCommitted(a, s.time(), s.time())
	})
	add(name+" commits the lease, the response is lost", func(s *state) { commit(s) })
	if s.routers[i].watcher.Term().Fencing != 0 {
		add(name+" releases the lease", func(s *state) { s.release(i) })
	}
}

func (s *state) release(i int) {
	if s.row.Record.Holder == s.routers[i].watcher.Holder() {
		s.row.Record.Holder = ""
		s.row.Version += platform.Version(1)
	}
	s.routers[i] = router{released: true}
}

// orderSteps adds what router i can do with the engine.
func (v Variant) orderSteps(s state, i int, add addFunc) {
	name := fmt.Sprint("router ", i)
	a := v.decide(&s, i)
	switch a.Kind {
	case order.Read:
		add(name+" reads the engine", func(s *state) {
			v.decide(s, i)
			s.routers[i].tracker.Reported(weights(s.value), s.time())
		})
	case order.Send:
		add(name+" sends an order", func(s *state) {
			v.decide(s, i)
			s.send(v, i, a)
		})
	}
}

func (v Variant) decide(s *state, i int) order.Action {
	r := &s.routers[i]
	term := r.watcher.Term()
	if v.NoTakeoverWait {
		term.Since = start.Add(-time.Hour)
	}
	return r.tracker.Next(s.time(), term, v.ChecksFencing, weights(desired(i)))
}

func (s *state) send(v Variant, i int, a order.Action) {
	for j := range s.orders {
		if s.orders[j].sent {
			continue
		}
		s.orders[j] = message{
			sent:     true,
			from:     i,
			fencing:  a.Fencing,
			value:    desired(i),
			deadline: int(a.Deadline.Sub(start) / time.Second),
		}
		if v.RelativeOrders {
			s.orders[j].value = desired(i) - s.value
		}
		break
	}
	t := &s.routers[i].tracker
	t.Sent(weights(desired(i)), s.time())
	if v.NoReadBack {
		t.Reported(weights(desired(i)), s.time())
	}
}

// expireOrders drops the orders whose deadline has passed. Orders to an engine that
// checks fencing need no deadline.
func (s *state) expireOrders(v Variant) {
	if v.ChecksFencing || v.UnboundedDelay {
		return
	}
	for i, m := range s.orders {
		if m.sent && s.now > m.deadline {
			s.orders[i] = message{}
		}
	}
}

// deliver delivers an order and reports whether the engine accepts it.
func (s *state) deliver(v Variant, i int) bool {
	m := s.orders[i]
	s.orders[i] = message{}
	if v.ChecksFencing && m.fencing < s.highestFencing {
		return false
	}
	if m.fencing < s.highestFencing {
		s.violation = fmt.Sprintf("an order of term %d took effect after an order of term %d", m.fencing, s.highestFencing)
	}
	s.highestFencing = m.fencing
	if v.RelativeOrders {
		m.value += s.value
	}
	s.value = m.value
	if s.value != desired(0) && s.value != desired(1) {
		s.violation = fmt.Sprintf("the engine has state %d, which no router requested", s.value)
	}
	return true
}

// invariant requires that the engine has the desired state of a router that holds
// the lease and considers the engine settled, unless the engine restarted.
func (v Variant) invariant(s state) error {
	if s.violation != "" {
		return errors.New(s.violation)
	}
	for i, r := range s.routers {
		term := r.watcher.Term()
		r.tracker.Next(s.time(), term, v.ChecksFencing, weights(desired(i))) // makes the tracker begin the term
		holds := term.Valid(s.time(), 0) && term.Fencing == s.row.Record.Fencing
		if holds && r.tracker.Settled(weights(desired(i))) && s.value != desired(i) && !s.restarted {
			return errors.Errorf("router %d considers the engine settled, but the engine has state %d", i, s.value)
		}
	}
	return nil
}
