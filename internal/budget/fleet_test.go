package budget

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/vm"
)

const testAccount account.ID = "a"

var testContract = account.Contract{Rate: 20, Burst: 100}

// node is what the fleet drives on each VM: a Ledger or a naive version.
type node interface {
	Observe(View, time.Time) []Handover
	Apply(map[account.ID]account.Contract, config.Number, time.Time)
	Reserve(account.ID, ReservationID, float64, time.Time) Answer
	Settle(account.ID, ReservationID, float64, time.Time) bool
	Accept(Handover, time.Time) Acceptance
	// unsettled reports whether a settlement of the reservation would count.
	unsettled(ReservationID) bool
}

func (l *Ledger) unsettled(r ReservationID) bool {
	t := l.tenures[testAccount]
	return t != nil && t.bucket != nil && t.bucket.find(r) >= 0
}

// poll is a read of the roster that is under way.
type poll struct {
	node   int
	view   View
	arrive time.Time
}

// fleet runs VMs over a roster that changes by transaction. Old processes keep
// running: they model a holder that was paused.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	newNode  func(vm.VM) node
	selfs    []vm.VM
	nodes    []node
	roster   *Roster
	polls    []poll
	messages []Handover
	entries  []entry
	open     map[ReservationID]int // index in entries
	changes  []change
	seq      uint64
	polled   map[int]time.Time
	cut      map[int]time.Time
}

func newFleet(seed int64, vms int, newNode func(vm.VM) node) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewSource(seed)), now: epoch, newNode: newNode, roster: &Roster{},
		open: map[ReservationID]int{}, polled: map[int]time.Time{}, cut: map[int]time.Time{},
		changes: []change{{testContract, epoch}},
	}
	for i := range vms {
		f.join(vm.ID(fmt.Sprint("vm-", i)))
	}
	return f
}

func (f *fleet) contracts() map[account.ID]account.Contract {
	return map[account.ID]account.Contract{testAccount: f.changes[len(f.changes)-1].contract}
}

func (f *fleet) setRoster(vms []vm.VM) {
	f.roster = &Roster{Version: f.roster.Version + 1, VMs: vms}
}

// join starts a process for the VM, in place of any earlier one.
func (f *fleet) join(id vm.ID) {
	self := vm.VM{ID: id, Incarnation: vm.Incarnation(len(f.nodes) + 1)}
	n := f.newNode(self)
	n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	f.nodes = append(f.nodes, n)
	f.selfs = append(f.selfs, self)
	f.setRoster(append(f.without(id), self))
}

func (f *fleet) without(id vm.ID) []vm.VM {
	return slices.DeleteFunc(slices.Clone(f.roster.VMs), func(v vm.VM) bool { return v.ID == id })
}

func (f *fleet) changeRoster() {
	id := vm.ID(fmt.Sprint("vm-", f.rng.Intn(4)))
	switch rest := f.without(id); {
	case f.rng.Intn(2) == 0 || len(rest) == 0:
		f.join(id)
	case f.rng.Intn(2) == 0:
		f.setRoster(rest)
	default:
		vms := slices.Clone(f.roster.VMs)
		vms[f.rng.Intn(len(vms))].Leaving = true
		f.setRoster(vms)
	}
}

func (f *fleet) startPoll(i int, delay time.Duration) {
	f.polls = append(f.polls, poll{i, View{f.roster, f.now}, f.now.Add(delay)})
}

// deliverPolls hands over the answers that have arrived.
func (f *fleet) deliverPolls() {
	f.polls = slices.DeleteFunc(f.polls, func(p poll) bool {
		if p.arrive.After(f.now) {
			return false
		}
		f.messages = append(f.messages, f.nodes[p.node].Observe(p.view, f.now)...)
		return true
	})
}

func (f *fleet) deliver(h Handover) Acceptance {
	for i, self := range f.selfs {
		if self.ID == h.To.ID && self.Incarnation == h.To.Incarnation {
			return f.nodes[i].Accept(h, f.now)
		}
	}
	return Declined
}

// deliverSome delivers, repeats or loses handovers that are under way.
func (f *fleet) deliverSome() {
	for i := len(f.messages) - 1; i >= 0; i-- {
		fate := f.rng.Intn(8)
		if fate < 4 {
			f.deliver(f.messages[i])
		}
		if fate == 0 || fate == 4 {
			f.messages = slices.Delete(f.messages, i, i+1)
		}
	}
}

func (f *fleet) reserve(i int, tokens float64) Answer {
	f.seq++
	return f.reserveAs(i, ReservationID{Seq: f.seq}, tokens)
}

func (f *fleet) reserveAs(i int, id ReservationID, tokens float64) Answer {
	before := f.nodes[i].unsettled(id)
	answer := f.nodes[i].Reserve(testAccount, id, tokens, f.now)
	if answer.Outcome == Granted && !before {
		f.open[id] = len(f.entries)
		f.entries = append(f.entries, entry{id, tokens, f.now})
	}
	return answer
}

// repeat sends a reservation again. One that another process or a message
// still holds is left alone, so that each ID stands for one open entry.
func (f *fleet) repeat(i int, e entry) {
	for j, n := range f.nodes {
		if j != i && n.unsettled(e.id) {
			return
		}
	}
	for _, h := range f.messages {
		if slices.ContainsFunc(h.Holds, func(x Hold) bool { return x.ID == e.id }) {
			return
		}
	}
	f.reserveAs(i, e.id, e.tokens)
}

func (f *fleet) settle(i int, id ReservationID, used float64) {
	counts := f.nodes[i].unsettled(id)
	if f.nodes[i].Settle(testAccount, id, used, f.now) && counts {
		f.entries[f.open[id]].tokens = used
	}
}

func (f *fleet) changeContract() {
	c := account.Contract{Rate: 10 + f.rng.Float64()*20, Burst: 50 + f.rng.Float64()*100}
	f.changes = append(f.changes, change{c, f.now})
	for _, n := range f.nodes {
		n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	}
}

// pollAll starts the periodic reads of the VMs that are not cut off. A paused
// VM gets its answer late.
func (f *fleet) pollAll() {
	for i := range f.nodes {
		if f.now.Before(f.cut[i]) || f.now.Sub(f.polled[i]) < 700*time.Millisecond {
			continue
		}
		delay := f.rng.Intn(500)
		if f.rng.Intn(20) == 0 {
			delay = f.rng.Intn(8000)
		}
		f.polled[i] = f.now
		f.startPoll(i, time.Duration(delay)*time.Millisecond)
	}
}

// demand asks every process for tokens until each has refused.
func (f *fleet) demand() {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		for f.reserve(i, 1+f.rng.Float64()*20).Outcome == Granted {
		}
	}
}

// step runs one random event.
func (f *fleet) step() {
	f.now = f.now.Add(time.Duration(1+f.rng.Intn(400)) * time.Millisecond)
	f.deliverPolls()
	f.pollAll()
	i := f.rng.Intn(len(f.nodes))
	switch op := f.rng.Intn(60); {
	case op < 20:
		f.demand()
	case op < 24 && len(f.entries) > 0:
		f.repeat(i, f.entries[f.rng.Intn(len(f.entries))])
	case op < 44 && len(f.entries) > 0:
		e := f.entries[max(0, len(f.entries)-1-f.rng.Intn(20))]
		for i := range f.nodes {
			f.settle(i, e.id, f.rng.Float64()*e.tokens)
		}
	case op < 52:
		f.deliverSome()
	case op < 55:
		f.cut[i] = f.now.Add(time.Duration(f.rng.Intn(12)) * time.Second)
	case op < 56:
		f.changeContract()
	case op < 58:
		f.changeRoster()
	}
}

// neverOver runs a fleet under pauses, lost and repeated messages, roster
// changes and restarts, and checks every window of the admitted tokens.
func neverOver(newNode func(vm.VM) node) func(seed int64) error {
	return func(seed int64) error {
		f := newFleet(seed, 3, newNode)
		for range 600 {
			f.step()
		}
		least, _ := replay(f.entries, f.changes, f.now)
		if least < -1e-4 {
			return errors.Errorf("a window holds %.1f tokens too many", -least)
		}
		return nil
	}
}

func newLedgerNode(self vm.VM) node { return NewLedger(self) }

// trusting is the naive home that never doubts what it knows of the roster.
type trusting struct{ *Ledger }

func (n trusting) Reserve(a account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	n.view.Evidence = now
	return n.Ledger.Reserve(a, r, tokens, now)
}

// hasty is the naive new home that does not wait for the old one to stop.
type hasty struct{ *Ledger }

func (n hasty) Reserve(a account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	if t := n.tenures[a]; t != nil && t.bucket == nil {
		t.bucket = newBucket(t.contract, 0, now)
	}
	return n.Ledger.Reserve(a, r, tokens, now)
}

// forgetful keeps its buckets over every roster that names it, whatever it
// missed in between.
type forgetful struct{ *Ledger }

func (n forgetful) Observe(v View, now time.Time) []Handover {
	if n.view.Roster != nil {
		n.view.Evidence = now
	}
	return n.Ledger.Observe(v, now)
}

// crediting is the naive new home that credits every copy of a handover.
type crediting struct{ *Ledger }

func (n crediting) Accept(h Handover, now time.Time) Acceptance {
	t := n.tenures[h.Account]
	if t != nil && t.bucket != nil {
		t.bucket.advance(now)
		t.bucket.level = min(t.bucket.burst, t.bucket.level+max(0, h.Level))
		return Accepted
	}
	return n.Ledger.Accept(h, now)
}

// refunding is the naive home that returns every unused token.
type refunding struct{ *Ledger }

func (n refunding) Settle(a account.ID, r ReservationID, used float64, now time.Time) bool {
	if t := n.tenures[a]; t != nil && t.bucket != nil {
		if i := t.bucket.find(r); i >= 0 {
			settleInFull(t.bucket, i, used, now)
			return true
		}
	}
	return n.Ledger.Settle(a, r, used, now)
}

// dividing is the naive version without homes: each VM has rate / N and
// burst / N by the roster that it knows.
type dividing struct {
	*Ledger
	own *bucket
}

func newDividing(vm.VM) node {
	return &dividing{Ledger: NewLedger(vm.VM{}), own: newBucket(testContract, 0, epoch)}
}

func (n *dividing) Observe(v View, now time.Time) []Handover {
	n.Ledger.Observe(v, now)
	n.share(now)
	return nil
}

func (n *dividing) Apply(contracts map[account.ID]account.Contract, number config.Number, now time.Time) {
	n.Ledger.Apply(contracts, number, now)
	n.share(now)
}

func (n *dividing) share(now time.Time) {
	c := n.contracts[testAccount]
	if n.view.Roster != nil {
		c.Rate /= float64(len(n.view.Roster.VMs))
		c.Burst /= float64(len(n.view.Roster.VMs))
		n.own.setContract(c, now)
	}
}

func (n *dividing) Reserve(_ account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	if n.view.Roster == nil {
		return Answer{}
	}
	if _, ok := n.own.reserve(r, tokens, now); !ok {
		return Answer{Outcome: NoTokens}
	}
	return Answer{Outcome: Granted}
}

func (n *dividing) unsettled(ReservationID) bool { return false }

func TestFleetNeverOverRate(t *testing.T) {
	runProperty(t, "every window holds at most rate x t + burst", 300, neverOver(newLedgerNode))
	for desc, newNode := range map[string]func(vm.VM) node{
		"no freshness bound":     func(v vm.VM) node { return trusting{NewLedger(v)} },
		"no wait of a new home":  func(v vm.VM) node { return hasty{NewLedger(v)} },
		"missed rosters ignored": func(v vm.VM) node { return forgetful{NewLedger(v)} },
		"handover credited anew": func(v vm.VM) node { return crediting{NewLedger(v)} },
		"full refunds":           func(v vm.VM) node { return refunding{NewLedger(v)} },
		"rate / N on each VM":    newDividing,
	} {
		expectRefuted(t, desc, 1000, neverOver(newNode))
	}
}

// wholeRate sends all requests of an account through one VM of a healthy
// fleet, never above its rate and burst by an exact bucket, and fails if one
// is refused.
func wholeRate(newNode func(vm.VM) node) func(seed int64) error {
	return func(seed int64) error {
		f := newFleet(seed, 3, newNode)
		f.settleRoster()
		level, at := 0.0, f.now
		var running []entry
		for range 400 {
			f.now = f.now.Add(time.Duration(f.rng.Intn(500)) * time.Millisecond)
			f.deliverPolls()
			for i := range f.nodes {
				f.startPoll(i, time.Duration(f.rng.Intn(500))*time.Millisecond)
			}
			level = min(testContract.Burst, level+testContract.Rate*f.now.Sub(at).Seconds())
			at = f.now
			if tokens := 1 + f.rng.Float64()*40; tokens <= level {
				level -= tokens
				if answer := f.reserve(f.home(), tokens); answer.Outcome != Granted {
					return errors.Errorf("refused within the rate: %+v", answer)
				}
				running = append(running, f.entries[len(f.entries)-1])
			}
			if len(running) > 0 && f.rng.Intn(3) == 0 {
				f.settle(f.home(), running[0].id, running[0].tokens*f.rng.Float64())
				running = running[1:]
			}
		}
		return nil
	}
}

// settleRoster polls until the homes have started and are as full as can be.
func (f *fleet) settleRoster() {
	for range 30 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.deliverPolls()
		for i := range f.nodes {
			f.startPoll(i, 100*time.Millisecond)
		}
	}
}

func (f *fleet) home() int {
	home, _ := Home(testAccount, f.roster)
	return slices.IndexFunc(f.selfs, func(v vm.VM) bool { return v == home })
}

func TestFleetWholeRateThroughOneVM(t *testing.T) {
	runProperty(t, "nothing within the rate is refused", 100, wholeRate(newLedgerNode))
	expectRefuted(t, "rate / N on each VM", 5, wholeRate(newDividing))
}

// TestLeavingHomeHandsOver shows that a home that leaves in order moves its
// whole balance, with what is reserved, and that nobody waits for it.
func TestLeavingHomeHandsOver(t *testing.T) {
	f := newFleet(1, 3, newLedgerNode)
	f.settleRoster()
	f.now = f.now.Add(time.Second)
	f.deliverPolls()
	old := f.home()
	for f.reserve(old, 10).Outcome != Granted {
		f.now = f.now.Add(time.Second)
		f.startPoll(old, 0)
		f.deliverPolls()
	}
	id := ReservationID{Seq: f.seq}
	level := f.nodes[old].(*Ledger).tenures[testAccount].bucket.level
	vms := slices.Clone(f.roster.VMs)
	for i := range vms {
		vms[i].Leaving = vms[i] == f.selfs[old]
	}
	f.setRoster(vms)
	for i := range f.nodes {
		f.startPoll(i, 0)
	}
	f.deliverPolls()
	if len(f.messages) != 1 || f.deliver(f.messages[0]) != Accepted || f.deliver(f.messages[0]) != Declined {
		t.Fatalf("handovers %+v", f.messages)
	}
	if got := f.reserve(old, 1).Outcome; got != NotHome {
		t.Errorf("the old home answers %v", got)
	}
	f.settle(f.home(), id, 4)
	bucket := f.nodes[f.home()].(*Ledger).tenures[testAccount].bucket
	if math.Abs(bucket.level-level-6) > 1e-6 {
		t.Errorf("level %v after handover and a refund of 6, was %v", bucket.level, level)
	}
	if got := f.reserve(f.home(), level); got.Outcome != Granted {
		t.Errorf("the new home answers %+v", got)
	}
}

// TestAccountByTicket shows that an account that comes by ticket has its burst
// at once in a fleet that has stood for a while, and that removing and filing
// it again gives no second burst.
func TestAccountByTicket(t *testing.T) {
	f := newFleet(1, 1, newLedgerNode)
	f.settleRoster()
	l := f.nodes[0].(*Ledger)
	b := map[account.ID]account.Contract{testAccount: testContract, "b": testContract}
	id := func() ReservationID { f.seq++; return ReservationID{Seq: f.seq} }
	if got := l.Reserve("b", id(), 1, f.now).Outcome; got != NotHome {
		t.Errorf("before the ticket: %v", got)
	}
	l.Apply(b, 2, f.now)
	if got := l.Reserve("b", id(), testContract.Burst+1, f.now).Outcome; got != OverBurst {
		t.Errorf("over the burst: %v", got)
	}
	if got := l.Reserve("b", id(), testContract.Burst, f.now).Outcome; got != Granted {
		t.Errorf("the burst after the ticket: %v", got)
	}
	l.Apply(f.contracts(), 3, f.now)
	if got := l.Reserve("b", id(), 1, f.now).Outcome; got != NotHome {
		t.Errorf("after removal: %v", got)
	}
	l.Apply(b, 4, f.now)
	if got := l.Reserve("b", id(), 1, f.now); got.Outcome != NoTokens || got.RetryAfter <= 0 {
		t.Errorf("filed again: %+v", got)
	}
}
