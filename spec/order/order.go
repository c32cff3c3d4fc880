// Package order models two routers that give orders to one engine under a
// lease, with pauses, lost answers, lost and delayed orders, a release and a
// restart of the engine. The decisions are the product's own, from
// internal/lease and internal/order. Time moves in whole seconds.
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

// Variant selects the protocol and the engine.
type Variant struct {
	// ChecksFencing is set if the engine refuses old fencing numbers. Orders
	// to it may then be delayed without bound.
	ChecksFencing bool
	// NoWaitOut makes a new holder send at once. Wrong for an engine that
	// ignores fencing.
	NoWaitOut bool
	// UnboundedSend lets an order be delayed without bound. Wrong for an
	// engine that ignores fencing.
	UnboundedSend bool
	// Relative makes orders change the engine's state by a difference. Wrong.
	Relative bool
	// NoReadBack takes an order as obeyed once it was sent. Wrong.
	NoReadBack bool
}

const (
	givers    = 2
	leaseTime = 3 * time.Second
	// maxTime bounds the model's time in seconds. It reaches past the wait-out
	// of a take-over.
	maxTime = 8
	// maxTimeFencing does for engines that check fencing, which need no
	// wait-out.
	maxTimeFencing = 4
	// maxOrders bounds the orders that are under way.
	maxOrders = 2
)

var start = time.Unix(0, 0)

// message is an order on its way to the engine.
type message struct {
	sent     bool
	from     int
	fencing  lease.Fencing
	value    int
	deadline int
}

type giver struct {
	watcher lease.Watcher
	tracker order.Tracker
	// released is set once the giver has left.
	released bool
}

type state struct {
	now     int
	row     lease.Row
	givers  [givers]giver
	orders  [maxOrders]message
	value   int // the engine's state
	highest lease.Fencing
	// restarted is set once the engine has lost its state.
	restarted bool
	bad       string
}

// desired is the state that each giver wants; the engine starts with 0.
func desired(i int) int { return 2*i + 1 }

func weights(v int) order.Weights { return order.Weights{"model": strconv.Itoa(v)} }

// Model returns the model of a variant.
func Model(v Variant) explore.Model[state] {
	var first state
	for i := range first.givers {
		first.givers[i].watcher = *lease.NewWatcher(lease.Holder(fmt.Sprint("g", i)), leaseTime)
	}
	return explore.Model[state]{
		Initial:   []state{first},
		Next:      v.next,
		Key:       newKey(),
		Invariant: v.invariant,
		MaxStates: 1_000_000,
	}
}

// newKey returns a key function. It numbers the distinct states of givers and
// rows, which is faster than to print them.
func newKey() func(state) string {
	type part struct {
		giver giver
		row   lease.Row
		bad   string
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
		add(int64(s.highest))
		add(id(part{row: s.row, bad: s.bad}))
		for _, g := range s.givers {
			add(id(part{giver: g}))
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
			s.expire(v)
		})
	}
	for i := range s.givers {
		if !s.givers[i].released {
			v.leaseSteps(s, i, add)
			v.orderSteps(s, i, add)
		}
	}
	for i, m := range s.orders {
		if m.sent {
			add(fmt.Sprintf("order %d of term %d arrives", m.value, m.fencing), func(s *state) {
				if s.arrive(v, i) && !s.givers[m.from].released {
					s.givers[m.from].tracker.Accepted(m.fencing)
				}
			})
			add(fmt.Sprintf("order %d of term %d is lost", m.value, m.fencing), func(s *state) { s.orders[i] = message{} })
			add(fmt.Sprintf("order %d of term %d arrives, answer lost", m.value, m.fencing), func(s *state) { s.arrive(v, i) })
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

type adder func(string, func(*state))

func (v Variant) leaseSteps(s state, i int, add adder) {
	name := fmt.Sprint("giver ", i)
	observe := func(s *state) lease.Attempt {
		w := &s.givers[i].watcher
		w.Observe(s.row, s.time())
		a, _ := w.Next(s.time())
		return a
	}
	probe := s
	a := observe(&probe)
	if a.Next.Fencing == 0 {
		add(name+" sees the lease held", func(s *state) { observe(s) })
		return
	}
	if a.Next.Renewals > 1 {
		return // one renewal a term shows as much as many
	}
	commit := func(s *state) lease.Attempt {
		a := observe(s)
		s.row = lease.Row{Record: a.Next, Version: s.row.Version + 1}
		return a
	}
	add(name+" commits the lease", func(s *state) {
		a := commit(s)
		s.givers[i].watcher.Committed(a, s.time(), s.time())
	})
	add(name+" commits the lease, answer lost", func(s *state) { commit(s) })
	if s.givers[i].watcher.Term().Fencing != 0 {
		add(name+" releases the lease", func(s *state) { s.release(i) })
	}
}

func (s *state) release(i int) {
	if s.row.Record.Holder == s.givers[i].watcher.Holder() {
		s.row.Record.Holder = ""
		s.row.Version += platform.Version(1)
	}
	s.givers[i] = giver{released: true}
}

func (v Variant) orderSteps(s state, i int, add adder) {
	name := fmt.Sprint("giver ", i)
	a := v.decide(&s, i)
	switch a.Kind {
	case order.Read:
		add(name+" reads the engine", func(s *state) {
			v.decide(s, i)
			s.givers[i].tracker.Reported(weights(s.value), s.time())
		})
	case order.Send:
		add(name+" sends an order", func(s *state) {
			v.decide(s, i)
			s.send(v, i, a)
		})
	}
}

func (v Variant) decide(s *state, i int) order.Action {
	g := &s.givers[i]
	term := g.watcher.Term()
	if v.NoWaitOut {
		term.Since = start.Add(-time.Hour)
	}
	return g.tracker.Next(s.time(), term, v.ChecksFencing, weights(desired(i)))
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
		if v.Relative {
			s.orders[j].value = desired(i) - s.value
		}
		break
	}
	t := &s.givers[i].tracker
	t.Sent(weights(desired(i)), s.time())
	if v.NoReadBack {
		t.Reported(weights(desired(i)), s.time())
	}
}

// expire drops the orders whose time is over. An engine that checks fencing
// needs no bound.
func (s *state) expire(v Variant) {
	if v.ChecksFencing || v.UnboundedSend {
		return
	}
	for i, m := range s.orders {
		if m.sent && s.now > m.deadline {
			s.orders[i] = message{}
		}
	}
}

// arrive delivers an order and reports whether the engine accepts it.
func (s *state) arrive(v Variant, i int) bool {
	m := s.orders[i]
	s.orders[i] = message{}
	if v.ChecksFencing && m.fencing < s.highest {
		return false
	}
	if m.fencing < s.highest {
		s.bad = fmt.Sprintf("an order of term %d took effect after one of term %d", m.fencing, s.highest)
	}
	s.highest = m.fencing
	if v.Relative {
		m.value += s.value
	}
	s.value = m.value
	if s.value != desired(0) && s.value != desired(1) {
		s.bad = fmt.Sprintf("the engine has state %d, which nobody asked for", s.value)
	}
	return true
}

// invariant requires that a giver that holds the lease and believes the engine
// settled is right, unless the engine restarted.
func (v Variant) invariant(s state) error {
	if s.bad != "" {
		return errors.New(s.bad)
	}
	for i, g := range s.givers {
		term := g.watcher.Term()
		g.tracker.Next(s.time(), term, v.ChecksFencing, weights(desired(i))) // starts the term
		holds := term.Valid(s.time(), 0) && term.Fencing == s.row.Record.Fencing
		if holds && g.tracker.Settled(weights(desired(i))) && s.value != desired(i) && !s.restarted {
			return errors.Errorf("giver %d takes the engine as settled and it has state %d", i, s.value)
		}
	}
	return nil
}
