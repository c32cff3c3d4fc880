// Package budget models the fleet-wide token bucket of one client account: two
// VMs with roster changes, paused reads, restarts, and handovers that are lost,
// late or repeated. The transitions are the methods of the product's Ledger.
package budget

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
	"papayaspan.dev/papayaspan/spec/explore"
)

const (
	client account.ID = "a"
	// tick is the step of time. Evidence lapses at the second one, and a new
	// home starts at the third one.
	tick = freshness.Bound / 2
	// reserved and used are the tokens of each request.
	reserved = 1.0
	used     = 0.5
	// firstRoster is the version at the start.
	firstRoster = 2
)

var epoch = time.Unix(1000, 0)

// variant is the protocol or a broken form of it.
type variant struct {
	desc string
	// evidenceAtEnd takes the end of a read for the time of its evidence.
	evidenceAtEnd bool
	// startAtOnce lets a new home start without a wait.
	startAtOnce bool
	// creditAgain lets a restarted process take the handovers of the one before.
	creditAgain bool
	// refundInFull settles late reservations without regard to overflow.
	refundInFull bool
	// bounds suffice to refute it.
	bounds bounds
}

// bounds limit the exploration.
type bounds struct {
	ticks, changes, restarts, requests int
	// settles lets requests be settled with fewer tokens.
	settles bool
	// rate is in tokens a tick.
	rate, burst float64
}

func (b bounds) contract() account.Contract {
	return account.Contract{Rate: b.rate / tick.Seconds(), Burst: b.burst}
}

// admission is one reservation that was granted.
type admission struct {
	seq    uint64
	at     int
	tokens float64
	// settled is set once tokens can no longer change.
	settled bool
}

type state struct {
	contract account.Contract
	now      int
	phase    phase
	roster   *roster.Roster
	nodes    [2]*budget.Ledger
	// versions holds the roster's version at the beginning of each tick.
	versions []head.RosterVersion
	// lastRead is the tick of the newest read that each VM has.
	lastRead [2]int
	messages []budget.Handover
	admitted []admission
	restarts int
}

func (s state) time() time.Time { return at(s.now) }

func at(n int) time.Time { return epoch.Add(time.Duration(n) * tick) }

// rosterOf alternates the home: even versions make VM 0 the home, odd ones
// VM 1.
func rosterOf(version head.RosterVersion) *roster.Roster {
	i := int(version % 2)
	return &roster.Roster{Version: version, Members: []vm.VM{self(i)}}
}

func self(i int) vm.VM {
	return vm.VM{ID: vm.ID(fmt.Sprint("vm-", i)), Incarnation: vm.Incarnation(i + 1)}
}

func newLedger(v vm.VM, contract account.Contract, started time.Time) *budget.Ledger {
	l := budget.NewLedger(v, started)
	l.Apply(map[account.ID]account.Contract{client: contract}, 1, epoch)
	return l
}

// initial is a fleet with VM 0 as its home for long.
func initial(contract account.Contract) state {
	const longAgo = -20
	s := state{contract: contract, roster: rosterOf(firstRoster), versions: []head.RosterVersion{firstRoster}}
	for i := range s.nodes {
		s.nodes[i] = newLedger(self(i), contract, at(longAgo))
		s.nodes[i].Observe(budget.View{Roster: s.roster, Evidence: at(longAgo)}, at(longAgo))
		s.nodes[i].Observe(budget.View{Roster: s.roster, Evidence: at(0)}, at(0))
	}
	return s
}

// phase orders the actions within one tick, which bounds the interleavings. A
// read that ends now may have begun at any tick before. What the VMs do within
// one phase does not affect each other, so they take turns.
type phase int

const (
	restartVMs phase = iota
	changeRoster
	endReads // of VM 0, then of VM 1
	deliver  = endReads + 2
	serve    = deliver + 1 // by VM 0, then by VM 1
)

// moves collects the successors of a state in the order of the phases.
type moves struct {
	from  state
	steps []explore.Step[state]
}

func (m *moves) add(p phase, action string, next state) {
	if p < m.from.phase {
		return
	}
	next.phase = p
	m.steps = append(m.steps, explore.Step[state]{Action: fmt.Sprintf("%d: %s", m.from.now, action), State: next})
}

func (v variant) next(b bounds) func(state) []explore.Step[state] {
	return func(s state) []explore.Step[state] {
		m := &moves{from: s}
		if s.now < b.ticks {
			n := s
			n.now++
			m.steps = append(m.steps, explore.Step[state]{Action: "time passes", State: n})
			m.steps[0].State.phase = restartVMs
			m.steps[0].State.versions = append(slices.Clip(s.versions), s.roster.Version)
		}
		if s.roster.Version < head.RosterVersion(firstRoster+b.changes) {
			n := s
			n.roster = rosterOf(s.roster.Version + 1)
			m.add(changeRoster, fmt.Sprintf("roster %d makes VM %d the home", n.roster.Version, n.roster.Version%2), n)
		}
		for i := range s.nodes {
			v.nodeMoves(m, i, b)
		}
		for _, h := range s.messages {
			m.add(deliver, fmt.Sprintf("handover of %.2f by roster %d arrives", h.Level, h.Version), v.deliver(s, h))
		}
		return m.steps
	}
}

// nodeMoves adds what VM i may do.
func (v variant) nodeMoves(m *moves, i int, b bounds) {
	s := m.from
	for began := s.lastRead[i] + 1; began <= s.now; began++ {
		m.add(endReads+phase(i), fmt.Sprintf("VM %d ends a read of tick %d", i, began), v.endRead(s, i, began))
	}
	if s.restarts < b.restarts {
		m.add(restartVMs, fmt.Sprintf("VM %d restarts", i), v.restart(s, i))
	}
	if len(s.admitted) < b.requests {
		if n, ok := reserve(s, i, b.settles); ok {
			m.add(serve+phase(i), fmt.Sprintf("VM %d admits", i), n)
		}
	}
	for k, a := range s.admitted {
		if a.settled {
			continue
		}
		if n, ok := v.settle(s, i, k); ok {
			m.add(serve+phase(i), fmt.Sprintf("VM %d settles %d", i, a.seq), n)
		}
	}
}

// endRead lets VM i learn the roster of an earlier tick, before any change in
// it, or the present one.
func (v variant) endRead(s state, i, began int) state {
	s.lastRead[i] = began
	evidence := at(began)
	seen := s.roster
	if began < s.now {
		seen = rosterOf(s.versions[began])
	}
	if v.evidenceAtEnd {
		evidence = s.time()
	}
	l := s.nodes[i].Clone()
	s.nodes[i] = l
	learned := s.time()
	if v.startAtOnce {
		learned = learned.Add(-2*tick - tick/2)
	}
	out := l.Observe(budget.View{Roster: seen, Evidence: evidence}, learned)
	s.messages = append(slices.Clip(s.messages), out...)
	return s
}

func (v variant) restart(s state, i int) state {
	s.restarts++
	s.lastRead[i] = s.now - 1
	process := self(i)
	if !v.creditAgain {
		process.Incarnation += vm.Incarnation(10 * s.restarts)
	}
	s.nodes[i] = newLedger(process, s.contract, s.time())
	return s
}

func reserve(s state, i int, settles bool) (state, bool) {
	l := s.nodes[i].Clone()
	s.nodes[i] = l
	seq := uint64(len(s.admitted) + 1)
	answer := l.Reserve(client, budget.ReservationID{Seq: seq}, reserved, s.time())
	s.admitted = append(slices.Clip(s.admitted), admission{seq: seq, at: s.now, tokens: reserved, settled: !settles})
	return s, answer.Outcome == budget.Granted
}

// settle settles admission k at VM i, if the VM holds it.
func (v variant) settle(s state, i, k int) (state, bool) {
	a := s.admitted[k]
	l := s.nodes[i].Clone()
	s.nodes[i] = l
	id := budget.ReservationID{Seq: a.seq}
	if !strings.Contains(l.Key(s.time()), fmt.Sprintf(" %d:", a.seq)) || !l.Settle(client, id, used, s.time()) {
		return s, false
	}
	if v.refundInFull {
		refund := budget.ReservationID{Seq: 100 + a.seq}
		l.Reserve(client, refund, 0, s.time())
		l.Settle(client, refund, used-reserved, s.time())
	}
	s.admitted = slices.Clone(s.admitted)
	s.admitted[k].tokens = used
	s.admitted[k].settled = true
	return s, true
}

// deliver hands over and keeps the message, so that it may come again. The
// process that is there now gets it, whichever it was sent to.
func (v variant) deliver(s state, h budget.Handover) state {
	i := int(h.Version % 2)
	l := s.nodes[i].Clone()
	s.nodes[i] = l
	l.Accept(h, s.time())
	return s
}

var variants = []variant{
	{desc: "evidence dated at the end of a read", evidenceAtEnd: true, bounds: bounds{ticks: 6, changes: 1, requests: 2, rate: 1, burst: 1}},
	{desc: "no wait of a new home", startAtOnce: true, bounds: bounds{ticks: 3, changes: 1, requests: 2, rate: 1, burst: 1}},
	{desc: "handovers credited again", creditAgain: true, bounds: bounds{ticks: 2, changes: 1, restarts: 1, requests: 2, rate: 0.5, burst: 1}},
	{desc: "unused tokens returned in full", refundInFull: true, bounds: bounds{ticks: 2, requests: 3, settles: true, rate: 1, burst: 2}},
}

func key(s state) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d/%d v%d %v %v r%d", s.now, s.phase, s.roster.Version, s.versions, s.lastRead, s.restarts)
	for _, l := range s.nodes {
		fmt.Fprintf(&b, " [%s]", l.Key(s.time()))
	}
	for _, h := range s.messages {
		fmt.Fprintf(&b, " m%d:%.4f:%v", h.Version, h.Level, h.Holds)
	}
	_, level := s.replay()
	fmt.Fprintf(&b, " n%d level%.4f", len(s.admitted), level)
	open := slices.IndexFunc(s.admitted, func(a admission) bool { return !a.settled })
	if open >= 0 {
		fmt.Fprintf(&b, " %v", s.admitted[open:])
	}
	return b.String()
}

// replay runs the admissions through one exact bucket that starts full. It
// returns the least level and the present one.
func (s state) replay() (least, level float64) {
	contract := s.contract
	level = contract.Burst
	last := 0
	refill := func(to int) {
		level = min(contract.Burst, level+contract.Rate*at(to).Sub(at(last)).Seconds())
		last = to
	}
	for _, a := range s.admitted {
		refill(a.at)
		level -= a.tokens
		least = min(least, level)
	}
	refill(s.now)
	return least, level
}

func withinContract(s state) error {
	if least, _ := s.replay(); least < -1e-6 {
		return errors.Errorf("%.1f tokens over rate x t + burst", -least)
	}
	return nil
}

func check(v variant, b bounds) explore.Result {
	return explore.Run(explore.Model[state]{
		Initial:   []state{initial(b.contract())},
		Next:      v.next(b),
		Key:       key,
		Invariant: withinContract,
		MaxStates: 400_000,
	})
}

func TestBudgetModel(t *testing.T) {
	for _, b := range []bounds{
		{ticks: 6, changes: 1, requests: 2, rate: 1, burst: 1},
		{ticks: 4, changes: 2, requests: 2, rate: 1, burst: 1},
		{ticks: 3, changes: 1, restarts: 1, requests: 2, rate: 0.5, burst: 1},
		{ticks: 2, changes: 1, requests: 3, settles: true, rate: 1, burst: 2},
	} {
		r := check(variant{}, b)
		t.Logf("%+v: %v", b, r)
		if r.Violation != nil || !r.Complete {
			t.Errorf("the protocol: %v", r)
		}
	}
	for _, v := range variants {
		r := check(v, v.bounds)
		t.Logf("%s: %v", v.desc, r)
		if r.Violation == nil {
			t.Errorf("%s is not refuted", v.desc)
		}
	}
}
