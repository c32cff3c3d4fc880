// Package ticket is a model of how a change is accepted, spread and reported
// to be in force. The transitions call the decision functions of the packages
// freshness and roster; the model adds a store, clocks and an adversary that
// delays, loses and restarts.
//
// Time passes in steps of one second. Between two steps anything may happen in
// any order, within the budgets of Config. A store outage needs no action of
// its own: it is a time in which no VM reads or commits.
package ticket

import (
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// vms is the number of VMs in the model.
const vms = 3

// Config bounds the adversary.
type Config struct {
	// Horizon is the number of seconds explored.
	Horizon int
	// StoreLinks tells which VMs can ever reach the store.
	StoreLinks [vms]bool
	// Hears tells whose replies a VM receives: Hears[i][j] is i asking j.
	Hears [vms][vms]bool
	// Collector is the VM that collects attestations, or -1.
	Collector int
	// Reread lets VMs read the head row when it shows nothing new. Without it
	// only the collector's evidence is renewed.
	Reread bool
	// Atomic commits changes in one step, without support.
	Atomic bool
	// Tickets and Expulsions bound the proposals of each kind.
	Tickets    int
	Expulsions int
	// Proposers tells which VMs may propose.
	Proposers [vms]bool
	// Supporters tells which VMs answer proposals.
	Supporters [vms]bool
	Restarts   int
	// Restarter is the VM that may restart.
	Restarter int
	// Late bounds the messages that are delivered later than they were sent.
	Late int
	// Observer is the VM that reports tickets to be in force, or -1.
	Observer int
	// SlowFetch lets time pass between learning of a change and having it.
	SlowFetch bool
	Broken    Broken
}

// Broken switches off one part of the protocol, for the checker to refute.
type Broken struct {
	// NoHoldOff lets a new process attest quiet at once.
	NoHoldOff bool
	// BlindAttest lets members attest quiet in spite of open supports.
	BlindAttest bool
	// RelayWithoutAge takes a peer's evidence as new.
	RelayWithoutAge bool
	// NoFloor lets a new process serve on evidence older than itself.
	NoFloor bool
	// NoMajority commits without support.
	NoMajority bool
	// NoDeadline sends a supported commit at any time.
	NoDeadline bool
	// HastyReport trusts acknowledgements alone, with a roster of any age.
	HastyReport bool
	// Uncovered ignores the head that belongs to an attestation.
	Uncovered bool
}

var ids = [vms]vm.ID{"a", "b", "c"}

// epoch is the time of step 0.
var epoch = time.Unix(1_000_000, 0).UTC()

func at(step int) time.Time { return epoch.Add(time.Duration(step) * time.Second) }

// proposal is one VM's attempt to commit a change.
type proposal struct {
	id      freshness.ProposalID
	base    head.Head
	next    head.Head
	started int
	votes   [vms]bool
	// sent is the step at which the commit was sent, or -1.
	sent int
}

// attested is one recorded attestation.
type attested struct {
	ok             bool
	att            freshness.Attestation
	sent, received int
}

// node is the state of one VM.
type node struct {
	evidence  freshness.Evidence
	supporter freshness.Supporter
	attested  [vms]attested
	// acked is the acknowledgement in the store.
	acked config.Number
	// served is the newest ticket that the VM has served by, over restarts.
	served config.Number
}

// message is a reply on its way to a VM.
type message struct {
	ok   bool
	to   int
	from int
	sent int
	// head and age are evidence; age is 0 for the store.
	head head.Head
	age  time.Duration
	// att is an attestation, if attests is set.
	attests bool
	att     freshness.Attestation
}

// State is one state of the model.
type State struct {
	now   int
	nodes [vms]node
	head  head.Head
	// committed holds the step of each committed ticket; -1 is none.
	committed [3]int
	// changed is the step of the last roster change.
	expelledAt int
	prop       [2]proposal
	props      int
	late       message
	// reported is the newest ticket reported to be in force everywhere.
	reported config.Number

	tickets, expulsions, restarts, lates int
}

// initial is a settled deployment: every VM has just read the head.
func (c Config) initial() *State {
	s := &State{expelledAt: -1}
	for i := range s.committed {
		s.committed[i] = -1
	}
	for i := range s.nodes {
		n := &s.nodes[i]
		n.evidence = freshness.NewEvidence(at(-10))
		n.supporter = freshness.NewSupporter(at(-10))
		n.evidence.Observe(s.head, at(0))
	}
	return s
}

// rosters holds both versions of the roster: version 1 lacks the last VM.
var rosters = [2]*roster.Roster{newRoster(0), newRoster(1)}

func rosterOf(v head.RosterVersion) *roster.Roster { return rosters[v] }

func newRoster(v head.RosterVersion) *roster.Roster {
	r := &roster.Roster{Version: v}
	members := vms
	if v > 0 {
		members--
	}
	for _, id := range ids[:members] {
		r.Members = append(r.Members, vm.VM{ID: id})
	}
	return r
}

// serves reports whether a VM accepts keyed requests.
func (s *State) serves(i int) bool {
	e := &s.nodes[i].evidence
	return e.Fresh(at(s.now)) && rosterOf(e.Head().Roster).Contains(ids[i])
}

// observe takes evidence into a node.
func (c Config) observe(s *State, i int, h head.Head, t time.Time) {
	n := &s.nodes[i]
	n.evidence.Observe(h, t)
	if !c.SlowFetch {
		n.evidence.Install(n.evidence.Target())
	}
	n.supporter.Observe(h, at(s.now))
	s.extend(i)
}

// extend applies the recorded attestations of a node.
func (s *State) extend(i int) {
	n := &s.nodes[i]
	var a freshness.Attestations
	for j, r := range n.attested {
		if r.ok {
			a.Add(ids[j], r.att, at(r.sent), at(r.received))
		}
	}
	a.Extend(&n.evidence, rosterOf(n.evidence.Head().Roster).IDs())
}

// note updates what each VM has served by.
func (s *State) note() {
	for i := range s.nodes {
		if s.serves(i) {
			s.nodes[i].served = max(s.nodes[i].served, s.nodes[i].evidence.Head().Number)
		}
	}
}
