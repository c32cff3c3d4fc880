package budget

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/roster"
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

// newNodeFunc starts a process at a time.
type newNodeFunc func(vm.VM, time.Time) node

// poll is a read of the roster that is under way.
type poll struct {
	node   int
	view   View
	arrive time.Time
}

// fleet runs VMs over a roster that changes by transaction. Old processes keep
// running: they model a holder that was paused.
type fleet struct {
	rng          *rand.Rand
	now          time.Time
	newNode      newNodeFunc
	selfs        []vm.VM
	nodes        []node
	roster       *roster.Roster
	polls        []poll
	messages     []Handover
	entries      []entry
	open         map[ReservationID]int // index in entries
	changes      []change
	seq          uint64
	incarnations vm.Incarnation
	polled       map[int]time.Time
	cut          map[int]time.Time
	// unread marks processes that have not read the roster yet.
	unread map[int]bool
}

func newFleet(seed int64, vms int, newNode newNodeFunc) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewSource(seed)), now: epoch, newNode: newNode, roster: &roster.Roster{},
		open: map[ReservationID]int{}, polled: map[int]time.Time{}, cut: map[int]time.Time{}, unread: map[int]bool{},
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
	slices.SortFunc(vms, func(a, b vm.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	f.roster = &roster.Roster{Version: f.roster.Version + 1, Members: vms}
}

func (f *fleet) nextIncarnation() vm.Incarnation {
	f.incarnations++
	return f.incarnations
}

// kill ends a process: it learns nothing any more.
func (f *fleet) kill(i int) {
	f.cut[i] = f.now.Add(24 * time.Hour)
	f.polls = slices.DeleteFunc(f.polls, func(p poll) bool { return p.node == i })
}

// join starts a process for the VM. An earlier one goes on as a paused holder
// would, unless it has not read the roster yet: two processes must not start
// at once under one name.
func (f *fleet) join(id vm.ID) {
	for i, self := range f.selfs {
		if self.ID == id && f.unread[i] {
			f.kill(i)
		}
	}
	self := vm.VM{ID: id, Incarnation: f.nextIncarnation()}
	n := f.newNode(self, f.now)
	n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	f.unread[len(f.nodes)] = true
	f.nodes = append(f.nodes, n)
	f.selfs = append(f.selfs, self)
	f.setRoster(append(f.without(id), self))
}

// restart replaces the process of a VM and leaves the roster as it is. It does
// nothing if another process goes by the VM's name.
func (f *fleet) restart(i int) {
	self := f.selfs[i]
	for j, other := range f.selfs {
		if j != i && other.ID == self.ID {
			return
		}
	}
	self.Incarnation = f.nextIncarnation()
	n := f.newNode(self, f.now)
	n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	f.nodes[i] = n
	f.selfs[i] = self
	f.polls = slices.DeleteFunc(f.polls, func(p poll) bool { return p.node == i })
	f.unread[i] = true
}

func (f *fleet) without(id vm.ID) []vm.VM {
	return slices.DeleteFunc(slices.Clone(f.roster.Members), func(v vm.VM) bool { return v.ID == id })
}

func (f *fleet) changeRoster() {
	id := vm.ID(fmt.Sprint("vm-", f.rng.Intn(4)))
	switch rest := f.without(id); {
	case f.rng.Intn(2) == 0 || len(rest) == 0:
		f.join(id)
	case f.rng.Intn(2) == 0:
		f.setRoster(rest)
	default:
		vms := slices.Clone(f.roster.Members)
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
		f.unread[p.node] = false
		f.messages = append(f.messages, f.nodes[p.node].Observe(p.view, f.now)...)
		return true
	})
}

func (f *fleet) deliver(h Handover) Acceptance {
	for i, self := range f.selfs {
		if self.ID == h.To.ID {
			if a := f.nodes[i].Accept(h, f.now); a != Declined {
				return a
			}
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
		until := f.now.Add(time.Duration(f.rng.Intn(12)) * time.Second)
		if until.After(f.cut[i]) {
			f.cut[i] = until
		}
	case op < 56:
		f.changeContract()
	case op < 58:
		f.changeRoster()
	case op < 59:
		f.restart(i)
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
	return slices.IndexFunc(f.selfs, func(v vm.VM) bool { return v.ID == home.ID })
}
