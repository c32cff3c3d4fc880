// Package budget models the deployment-wide token bucket of one client account.
// Two VMs see roster changes, slow reads and restarts, and handovers that are
// lost, delayed or repeated. The transitions are the methods of the product's
// Ledger. The home is the VM that keeps the bucket.
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
	// tick is the step of the model's time. Evidence expires after two ticks,
	// and a new home grants its first reservation after three.
	tick = freshness.Bound / 2
	// reserved and used are the tokens that each request reserves and uses.
	reserved = 1.0
	used     = 0.5
	// firstRoster is the roster version of the initial state.
	firstRoster = 2
)

var epoch = time.Unix(1000, 0)

// variant is the correct protocol, which is its zero value, or a wrong one.
type variant struct {
	desc string
	// evidenceDatedAtEnd dates evidence at the end of its read instead of at
	// its beginning.
	evidenceDatedAtEnd bool
	// skipStartWait lets a new home grant reservations without waiting first.
	skipStartWait bool
	// reuseIncarnation gives a restarted process the incarnation of the process
	// before it, so that it accepts the handovers to that one.
	reuseIncarnation bool
	// refundWithoutCap returns the unused tokens of a reservation in full, also
	// those that would have overflowed the bucket in the meantime.
	refundWithoutCap bool
	// bounds are large enough for the checker to refute the variant.
	bounds bounds
}

// bounds limit the exploration.
type bounds struct {
	ticks, changes, restarts, requests int
	// settles lets requests be settled with fewer tokens than they reserved.
	settles bool
	// rate is in tokens a tick, burst in tokens.
	rate, burst float64
}

func (b bounds) contract() account.Contract {
	return account.Contract{Rate: b.rate / tick.Seconds(), Burst: b.burst}
}

// admission is a reservation that was granted.
type admission struct {
	seq        uint64
	admittedAt int
	tokens     float64
	// settled is set if tokens is final.
	settled bool
}

type state struct {
	contract account.Contract
	now      int
	phase    phase
	roster   *roster.Roster
	ledgers  [2]*budget.Ledger
	// versions holds the roster version at the beginning of each tick.
	versions []head.RosterVersion
	// lastRead is, for each VM, the tick at which its newest completed read
	// began.
	lastRead  [2]int
	handovers []budget.Handover
	admitted  []admission
	restarts  int
}

func (s state) time() time.Time { return tickTime(s.now) }

func tickTime(n int) time.Time { return epoch.Add(time.Duration(n) * tick) }

// rosterOf returns a version of the roster. Even versions make VM 0 the home,
// odd ones VM 1.
func rosterOf(version head.RosterVersion) *roster.Roster {
	i := int(version % 2)
	return &roster.Roster{Version: version, Members: []vm.VM{vmOf(i)}}
}

func vmOf(i int) vm.VM {
	return vm.VM{ID: vm.ID(fmt.Sprint("vm-", i)), Incarnation: vm.Incarnation(i + 1)}
}

func newLedger(v vm.VM, contract account.Contract, started time.Time) *budget.Ledger {
	l := budget.NewLedger(v, started)
	l.Apply(map[account.ID]account.Contract{client: contract}, 1, epoch)
	return l
}

// initial returns a deployment in which VM 0 has been the home for a long time, so
// that no wait is pending.
func initial(contract account.Contract) state {
	const longAgo = -20
	s := state{contract: contract, roster: rosterOf(firstRoster), versions: []head.RosterVersion{firstRoster}}
	for i := range s.ledgers {
		s.ledgers[i] = newLedger(vmOf(i), contract, tickTime(longAgo))
		s.ledgers[i].Observe(budget.View{Roster: s.roster, Evidence: tickTime(longAgo)}, tickTime(longAgo))
		s.ledgers[i].Observe(budget.View{Roster: s.roster, Evidence: tickTime(0)}, tickTime(0))
	}
	return s
}

// phase orders the actions within one tick, which bounds the interleavings. A
// read may complete in the tick in which it began or in any later one. Within a
// phase the actions of one VM don't affect the other, so VM 0 always goes first.
type phase int

const (
	restartVMs phase = iota
	changeRoster
	completeReads    // by VM 0, then by VM 1
	deliverHandovers = completeReads + 2
	serveRequests    = deliverHandovers + 1 // by VM 0, then by VM 1
)

// successors collects the successors of a state. It skips those of phases that are
// over in the current tick.
type successors struct {
	from  state
	steps []explore.Step[state]
}

func (m *successors) add(p phase, action string, next state) {
	if p < m.from.phase {
		return
	}
	next.phase = p
	m.steps = append(m.steps, explore.Step[state]{Action: fmt.Sprintf("%d: %s", m.from.now, action), State: next})
}

func (v variant) next(b bounds) func(state) []explore.Step[state] {
	return func(s state) []explore.Step[state] {
		m := &successors{from: s}
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
		for i := range s.ledgers {
			v.addVMSteps(m, i, b)
		}
		for _, h := range s.handovers {
			m.add(deliverHandovers, fmt.Sprintf("handover of level %.2f under roster %d arrives", h.Level, h.Version), v.deliver(s, h))
		}
		return m.steps
	}
}

// addVMSteps adds the steps that VM i can take.
func (v variant) addVMSteps(m *successors, i int, b bounds) {
	s := m.from
	for startTick := s.lastRead[i] + 1; startTick <= s.now; startTick++ {
		m.add(completeReads+phase(i), fmt.Sprintf("VM %d completes a read begun at tick %d", i, startTick), v.completeRead(s, i, startTick))
	}
	if s.restarts < b.restarts {
		m.add(restartVMs, fmt.Sprintf("VM %d restarts", i), v.restart(s, i))
	}
	if len(s.admitted) < b.requests {
		if n, ok := reserve(s, i, b.settles); ok {
			m.add(serveRequests+phase(i), fmt.Sprintf("VM %d admits", i), n)
		}
	}
	for k, a := range s.admitted {
		if a.settled {
			continue
		}
		if n, ok := v.settle(s, i, k); ok {
			m.add(serveRequests+phase(i), fmt.Sprintf("VM %d settles %d", i, a.seq), n)
		}
	}
}

// completeRead completes a read by VM i that began at startTick. The read returns
// the current roster or, if it began in an earlier tick, the roster at the beginning
// of that tick.
func (v variant) completeRead(s state, i, startTick int) state {
	s.lastRead[i] = startTick
	evidence := tickTime(startTick)
	seen := s.roster
	if startTick < s.now {
		seen = rosterOf(s.versions[startTick])
	}
	if v.evidenceDatedAtEnd {
		evidence = s.time()
	}
	l := s.ledgers[i].Clone()
	s.ledgers[i] = l
	learned := s.time()
	if v.skipStartWait {
		learned = learned.Add(-2*tick - tick/2)
	}
	handovers := l.Observe(budget.View{Roster: seen, Evidence: evidence}, learned)
	s.handovers = append(slices.Clip(s.handovers), handovers...)
	return s
}

func (v variant) restart(s state, i int) state {
	s.restarts++
	s.lastRead[i] = s.now - 1
	process := vmOf(i)
	if !v.reuseIncarnation {
		process.Incarnation += vm.Incarnation(10 * s.restarts)
	}
	s.ledgers[i] = newLedger(process, s.contract, s.time())
	return s
}

func reserve(s state, i int, settles bool) (state, bool) {
	l := s.ledgers[i].Clone()
	s.ledgers[i] = l
	seq := uint64(len(s.admitted) + 1)
	answer := l.Reserve(client, budget.ReservationID{Seq: seq}, reserved, s.time())
	s.admitted = append(slices.Clip(s.admitted), admission{seq: seq, admittedAt: s.now, tokens: reserved, settled: !settles})
	return s, answer.Outcome == budget.Granted
}

// settle settles admission k at VM i, if the VM has its reservation.
func (v variant) settle(s state, i, k int) (state, bool) {
	a := s.admitted[k]
	l := s.ledgers[i].Clone()
	s.ledgers[i] = l
	id := budget.ReservationID{Seq: a.seq}
	if !strings.Contains(l.Key(s.time()), fmt.Sprintf(" %d:", a.seq)) || !l.Settle(client, id, used, s.time()) {
		return s, false
	}
	if v.refundWithoutCap {
		refund := budget.ReservationID{Seq: 100 + a.seq}
		l.Reserve(client, refund, 0, s.time())
		l.Settle(client, refund, used-reserved, s.time())
	}
	s.admitted = slices.Clone(s.admitted)
	s.admitted[k].tokens = used
	s.admitted[k].settled = true
	return s, true
}

// deliver delivers a handover and keeps it, so that it may be repeated. It goes to
// the VM's current process, even if it was sent to an earlier one.
func (v variant) deliver(s state, h budget.Handover) state {
	i := int(h.Version % 2)
	l := s.ledgers[i].Clone()
	s.ledgers[i] = l
	l.Accept(h, s.time())
	return s
}

var variants = []variant{
	{desc: "evidence dated at the end of a read", evidenceDatedAtEnd: true, bounds: bounds{ticks: 6, changes: 1, requests: 2, rate: 1, burst: 1}},
	{desc: "new home without a wait", skipStartWait: true, bounds: bounds{ticks: 3, changes: 1, requests: 2, rate: 1, burst: 1}},
	{desc: "incarnation reused after a restart", reuseIncarnation: true, bounds: bounds{ticks: 2, changes: 1, restarts: 1, requests: 2, rate: 0.5, burst: 1}},
	{desc: "refund without a cap", refundWithoutCap: true, bounds: bounds{ticks: 2, requests: 3, settles: true, rate: 1, burst: 2}},
}

func key(s state) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d/%d v%d %v %v r%d", s.now, s.phase, s.roster.Version, s.versions, s.lastRead, s.restarts)
	for _, l := range s.ledgers {
		fmt.Fprintf(&b, " [%s]", l.Key(s.time()))
	}
	for _, h := range s.handovers {
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

// replay applies the admissions to one exact bucket that starts full. It returns
// the lowest level, 0 if it was never negative, and the current level.
func (s state) replay() (least, level float64) {
	contract := s.contract
	level = contract.Burst
	last := 0
	refill := func(to int) {
		level = min(contract.Burst, level+contract.Rate*tickTime(to).Sub(tickTime(last)).Seconds())
		last = to
	}
	for _, a := range s.admitted {
		refill(a.admittedAt)
		level -= a.tokens
		least = min(least, level)
	}
	refill(s.now)
	return least, level
}

func withinContract(s state) error {
	if least, _ := s.replay(); least < -1e-6 {
		return errors.Errorf("admissions exceed rate x t + burst by %.1f tokens", -least)
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
			t.Errorf("correct protocol: %v", r)
		}
	}
	for _, v := range variants {
		r := check(v, v.bounds)
		t.Logf("%s: %v", v.desc, r)
		if r.Violation == nil {
			t.Errorf("%s: not refuted", v.desc)
		}
	}
}
