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

// node is the implementation that the fleet runs on each VM: a Ledger or a
// faulty variant.
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

// newNodeFunc creates the node of a VM whose process starts at a given time.
type newNodeFunc func(vm.VM, time.Time) node

// poll is a read of the roster that is in flight.
type poll struct {
	node   int
	view   View
	arrive time.Time
}

// fleet simulates VMs under a roster that changes by transaction. Replaced
// processes keep running, as a holder that was paused would.
type fleet struct {
	rng               *rand.Rand
	now               time.Time
	newNode           newNodeFunc
	vms               []vm.VM
	nodes             []node
	roster            *roster.Roster
	polls             []poll
	handovers         []Handover
	admissions        []admission
	admissionOf       map[ReservationID]int // index in entries
	changes           []contractChange
	seq               uint64
	incarnations      vm.Incarnation
	lastPoll          map[int]time.Time
	disconnectedUntil map[int]time.Time
	// unread marks the processes that have not read the roster yet.
	unread map[int]bool
}

func newFleet(seed int64, vms int, newNode newNodeFunc) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewSource(seed)), now: startTime, newNode: newNode, roster: &roster.Roster{},
		admissionOf: map[ReservationID]int{}, lastPoll: map[int]time.Time{}, disconnectedUntil: map[int]time.Time{}, unread: map[int]bool{},
		changes: []contractChange{{testContract, startTime}},
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

// kill ends a process: it receives no further roster.
func (f *fleet) kill(i int) {
	f.disconnectedUntil[i] = f.now.Add(24 * time.Hour)
	f.polls = slices.DeleteFunc(f.polls, func(p poll) bool { return p.node == i })
}

// join starts a process for the VM and adds it to the roster. An earlier
// process of the VM keeps running as a paused holder would, unless it has not
// read the roster yet: two processes of one ID must not be starting at the same
// time.
func (f *fleet) join(id vm.ID) {
	for i, self := range f.vms {
		if self.ID == id && f.unread[i] {
			f.kill(i)
		}
	}
	self := vm.VM{ID: id, Incarnation: f.nextIncarnation()}
	n := f.newNode(self, f.now)
	n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	f.unread[len(f.nodes)] = true
	f.nodes = append(f.nodes, n)
	f.vms = append(f.vms, self)
	f.setRoster(append(f.without(id), self))
}

// restart replaces the process of a VM and leaves the roster unchanged. It does
// nothing if there is another process with the VM's ID.
func (f *fleet) restart(i int) {
	self := f.vms[i]
	for j, other := range f.vms {
		if j != i && other.ID == self.ID {
			return
		}
	}
	self.Incarnation = f.nextIncarnation()
	n := f.newNode(self, f.now)
	n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	f.nodes[i] = n
	f.vms[i] = self
	f.polls = slices.DeleteFunc(f.polls, func(p poll) bool { return p.node == i })
	f.unread[i] = true
}

func (f *fleet) without(id vm.ID) []vm.VM {
	return slices.DeleteFunc(slices.Clone(f.roster.Members), func(v vm.VM) bool { return v.ID == id })
}

// changeRoster adds a VM, removes one or marks one as leaving, at random.
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

// deliverPolls applies the reads of the roster that have arrived.
func (f *fleet) deliverPolls() {
	f.polls = slices.DeleteFunc(f.polls, func(p poll) bool {
		if p.arrive.After(f.now) {
			return false
		}
		f.unread[p.node] = false
		f.handovers = append(f.handovers, f.nodes[p.node].Observe(p.view, f.now)...)
		return true
	})
}

// deliver sends a handover to all processes of the new home until one doesn't
// decline it.
func (f *fleet) deliver(h Handover) Acceptance {
	for i, self := range f.vms {
		if self.ID == h.To.ID {
			if a := f.nodes[i].Accept(h, f.now); a != Declined {
				return a
			}
		}
	}
	return Declined
}

// deliverSome delivers, repeats or loses handovers in flight.
func (f *fleet) deliverSome() {
	for i := len(f.handovers) - 1; i >= 0; i-- {
		fate := f.rng.Intn(8)
		if fate < 4 {
			f.deliver(f.handovers[i])
		}
		if fate == 0 || fate == 4 {
			f.handovers = slices.Delete(f.handovers, i, i+1)
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
		f.admissionOf[id] = len(f.admissions)
		f.admissions = append(f.admissions, admission{id, tokens, f.now})
	}
	return answer
}

// repeatReservation sends a reservation again. It does nothing if another
// process or a handover holds the reservation, so that each ID belongs to one
// unsettled admission.
func (f *fleet) repeatReservation(i int, e admission) {
	for j, n := range f.nodes {
		if j != i && n.unsettled(e.id) {
			return
		}
	}
	for _, h := range f.handovers {
		if slices.ContainsFunc(h.Holds, func(x Hold) bool { return x.ID == e.id }) {
			return
		}
	}
	f.reserveAs(i, e.id, e.tokens)
}

func (f *fleet) settle(i int, id ReservationID, used float64) {
	counts := f.nodes[i].unsettled(id)
	if f.nodes[i].Settle(testAccount, id, used, f.now) && counts {
		f.admissions[f.admissionOf[id]].tokens = used
	}
}

func (f *fleet) changeContract() {
	c := account.Contract{Rate: 10 + f.rng.Float64()*20, Burst: 50 + f.rng.Float64()*100}
	f.changes = append(f.changes, contractChange{c, f.now})
	for _, n := range f.nodes {
		n.Apply(f.contracts(), config.Number(len(f.changes)), f.now)
	}
}

// pollAll starts the periodic reads of the VMs that are connected. Some responses
// arrive late, as on a VM that was paused.
func (f *fleet) pollAll() {
	for i := range f.nodes {
		if f.now.Before(f.disconnectedUntil[i]) || f.now.Sub(f.lastPoll[i]) < 700*time.Millisecond {
			continue
		}
		delay := f.rng.Intn(500)
		if f.rng.Intn(20) == 0 {
			delay = f.rng.Intn(8000)
		}
		f.lastPoll[i] = f.now
		f.startPoll(i, time.Duration(delay)*time.Millisecond)
	}
}

// reserveUntilRefused reserves tokens at each process until it refuses.
func (f *fleet) reserveUntilRefused() {
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
		f.reserveUntilRefused()
	case op < 24 && len(f.admissions) > 0:
		f.repeatReservation(i, f.admissions[f.rng.Intn(len(f.admissions))])
	case op < 44 && len(f.admissions) > 0:
		e := f.admissions[max(0, len(f.admissions)-1-f.rng.Intn(20))]
		for i := range f.nodes {
			f.settle(i, e.id, f.rng.Float64()*e.tokens)
		}
	case op < 52:
		f.deliverSome()
	case op < 55:
		until := f.now.Add(time.Duration(f.rng.Intn(12)) * time.Second)
		if until.After(f.disconnectedUntil[i]) {
			f.disconnectedUntil[i] = until
		}
	case op < 56:
		f.changeContract()
	case op < 58:
		f.changeRoster()
	case op < 59:
		f.restart(i)
	}
}

// awaitFullBuckets polls until the homes have started and their buckets are
// full.
func (f *fleet) awaitFullBuckets() {
	for range 30 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.deliverPolls()
		for i := range f.nodes {
			f.startPoll(i, 100*time.Millisecond)
		}
	}
}

// home returns the index of the account's home.
func (f *fleet) home() int {
	home, _ := Home(testAccount, f.roster)
	return slices.IndexFunc(f.vms, func(v vm.VM) bool { return v.ID == home.ID })
}
