// Package ticket models how a configuration change, called a ticket, is
// committed, distributed to the VMs and reported to be in force. The transitions
// call the decision functions of the packages freshness and roster. The model
// adds a store, clocks and an adversary that delays and loses messages and
// restarts VMs.
//
// Time advances in steps of one second. Between two steps the actions may occur
// in any order, within the bounds of Config. A store outage needs no action of
// its own: it is a period in which no VM reads or commits.
package ticket

import (
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// numVMs is the number of VMs in the model.
const numVMs = 3

// Config selects a scenario and bounds what the adversary may do.
type Config struct {
	// Horizon is the number of seconds explored.
	Horizon int
	// StoreLinks is set for the VMs that can reach the store.
	StoreLinks [numVMs]bool
	// PeerLinks is set at [i][j] if VM i receives replies of VM j.
	PeerLinks [numVMs][numVMs]bool
	// Collector is the VM that collects attestations, or -1 for none.
	Collector int
	// Reread lets VMs read the head row if it is unchanged. Without it, only the
	// collector does, to renew its evidence.
	Reread bool
	// Atomic lets changes be committed without the support of other VMs.
	Atomic bool
	// Tickets and Expulsions bound the proposals of each kind.
	Tickets    int
	Expulsions int
	// Proposers is set for the VMs that may propose changes.
	Proposers [numVMs]bool
	// Supporters is set for the VMs that may support proposals.
	Supporters [numVMs]bool
	// Restarts bounds the restarts of VM Restarter.
	Restarts  int
	Restarter int
	// DelayedMessages bounds the messages that are not delivered immediately. At
	// most one is in flight at a time.
	DelayedMessages int
	// Observer is the VM that reports tickets to be in force, or -1 for none.
	Observer int
	// SlowFetch makes the fetch of a change an action of its own, so that time may
	// pass after a VM has observed the new head.
	SlowFetch bool
	Broken    Broken
}

// Broken disables parts of the protocol. The checker must refute each variant.
type Broken struct {
	// NoHoldOff lets a new process attest immediately, although a proposal that its
	// predecessor supported may still be committed.
	NoHoldOff bool
	// AttestDespiteSupport lets members attest while proposals that they support
	// are open.
	AttestDespiteSupport bool
	// RelayWithoutAge treats a peer's evidence as new, whatever its age.
	RelayWithoutAge bool
	// NoEvidenceFloor lets a new process serve by evidence from before its start.
	NoEvidenceFloor bool
	// NoMajority sends commits without the support of a majority.
	NoMajority bool
	// NoDeadline sends a supported commit at any time after its proposal.
	NoDeadline bool
	// ReportOnAcksAlone reports a ticket by acknowledgements alone, even if the
	// roster changed recently.
	ReportOnAcksAlone bool
	// AttestWithoutHead leaves the head out of attestations.
	AttestWithoutHead bool
}

var ids = [numVMs]vm.ID{"a", "b", "c"}

// epoch is the time of step 0.
var epoch = time.Unix(1_000_000, 0).UTC()

func stepTime(step int) time.Time { return epoch.Add(time.Duration(step) * time.Second) }

// proposal is an attempt to commit a change.
type proposal struct {
	id      freshness.ProposalID
	base    head.Head
	next    head.Head
	started int
	votes   [numVMs]bool
	// sent is the step at which the commit was sent, -1 before, or done.
	sent int
}

// recordedAttestation is an attestation that a node has received, if ok is set.
type recordedAttestation struct {
	ok             bool
	att            freshness.Attestation
	sent, received int
}

// node is the state of one VM.
type node struct {
	evidence     freshness.Evidence
	supporter    freshness.Supporter
	attestations [numVMs]recordedAttestation
	// acked is the newest ticket that the VM has acknowledged in the store.
	acked config.Number
	// served is the newest ticket by which the VM has served, including before
	// restarts.
	served config.Number
}

// message is a reply in flight to a VM, if ok is set.
type message struct {
	ok   bool
	to   int
	from int // -1 for the store
	sent int
	// head and age are the sender's evidence; age is 0 for the store.
	head head.Head
	age  time.Duration
	// att is an attestation, if attests is set.
	attests bool
	att     freshness.Attestation
}

// State is one state of the model.
type State struct {
	now   int
	nodes [numVMs]node
	head  head.Head
	// committed holds the step at which each ticket was committed, or -1.
	committed [3]int
	// expelledAt is the step at which c was expelled, or -1.
	expelledAt    int
	proposals     [2]proposal
	proposalCount int
	delayed       message
	// reported is the newest ticket reported to be in force everywhere.
	reported config.Number

	tickets, expulsions, restarts, delayedCount int
}

// initial returns a deployment that has run for a while: every VM has just read
// the head.
func (c Config) initial() *State {
	s := &State{expelledAt: -1}
	for i := range s.committed {
		s.committed[i] = -1
	}
	for i := range s.nodes {
		n := &s.nodes[i]
		n.evidence = freshness.NewEvidence(stepTime(-10))
		n.supporter = freshness.NewSupporter(stepTime(-10))
		n.evidence.Observe(s.head, stepTime(0))
	}
	return s
}

// rosters holds both versions of the roster. Version 1 lacks the last VM.
var rosters = [2]*roster.Roster{newRoster(0), newRoster(1)}

func rosterOf(v head.RosterVersion) *roster.Roster { return rosters[v] }

func newRoster(v head.RosterVersion) *roster.Roster {
	r := &roster.Roster{Version: v}
	members := numVMs
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
	return e.Fresh(stepTime(s.now)) && rosterOf(e.Head().Roster).Contains(ids[i])
}

// observe gives VM i evidence of head h from time t.
func (c Config) observe(s *State, i int, h head.Head, t time.Time) {
	n := &s.nodes[i]
	n.evidence.Observe(h, t)
	if !c.SlowFetch {
		n.evidence.Install(n.evidence.Target())
	}
	n.supporter.Observe(h, stepTime(s.now))
	s.extendEvidence(i)
}

// extendEvidence extends the evidence of VM i by the attestations that it has
// received.
func (s *State) extendEvidence(i int) {
	n := &s.nodes[i]
	var a freshness.Attestations
	for j, r := range n.attestations {
		if r.ok {
			a.Add(ids[j], r.att, stepTime(r.sent), stepTime(r.received))
		}
	}
	a.Extend(&n.evidence, rosterOf(n.evidence.Head().Roster).IDs())
}

// recordServed updates the newest ticket by which each VM has served.
func (s *State) recordServed() {
	for i := range s.nodes {
		if s.serves(i) {
			s.nodes[i].served = max(s.nodes[i].served, s.nodes[i].evidence.Head().Number)
		}
	}
}
