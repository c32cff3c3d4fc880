package ticket

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
	"papayaspan.dev/papayaspan/spec/explore"
)

// Model returns the model of the scenario.
func (c Config) Model(maxStates int) explore.Model[*State] {
	return explore.Model[*State]{
		Initial:   []*State{c.initial()},
		Next:      c.next,
		Key:       (*State).key,
		Invariant: invariant,
		MaxStates: maxStates,
	}
}

// invariant checks that every VM knows all changes from before the time of its
// evidence. A VM that serves must have each ticket that was committed at least
// freshness.Bound ago or reported in force everywhere, and must not revert to an
// older ticket than it served by.
func invariant(s *State) error {
	for i := range s.nodes {
		if err := s.checkEvidence(i); err != nil {
			return err
		}
		if !s.serves(i) {
			continue
		}
		own := s.nodes[i].evidence.Head().Number
		for n, step := range s.committed {
			if step >= 0 && stepTime(s.now).Sub(stepTime(step)) >= freshness.Bound && own < config.Number(n+1) {
				return errors.Errorf("%s serves by ticket %d, but ticket %d was committed %d s ago", ids[i], own, n+1, s.now-step)
			}
		}
		if own < s.nodes[i].served {
			return errors.Errorf("%s reverted from ticket %d to %d", ids[i], s.nodes[i].served, own)
		}
		if own < s.reported {
			return errors.Errorf("%s serves by ticket %d, but ticket %d was reported in force everywhere", ids[i], own, s.reported)
		}
	}
	return nil
}

// checkEvidence checks that VM i knows every change that was committed before the
// time of its evidence.
func (s *State) checkEvidence(i int) error {
	e := &s.nodes[i].evidence
	for n, step := range s.committed {
		if step >= 0 && stepTime(step).Before(e.At()) && e.Head().Number < config.Number(n+1) {
			return errors.Errorf("%s has evidence dated %ds, but lacks ticket %d, committed at %ds", ids[i], int(e.At().Sub(epoch).Seconds()), n+1, step)
		}
	}
	if s.expelledAt >= 0 && stepTime(s.expelledAt).Before(e.At()) && e.Head().Roster == 0 {
		return errors.Errorf("%s has evidence dated %ds, but lacks the roster committed at %ds", ids[i], int(e.At().Sub(epoch).Seconds()), s.expelledAt)
	}
	return nil
}

// successors collects the successors of a state, each made from a copy of it.
type successors struct {
	from  *State
	steps []explore.Step[*State]
}

func (x *successors) add(action string, change func(*State)) {
	s := *x.from
	change(&s)
	s.recordServed()
	x.steps = append(x.steps, explore.Step[*State]{Action: fmt.Sprintf("%ds %s", s.now, action), State: &s})
}

func (c Config) next(s *State) []explore.Step[*State] {
	x := &successors{from: s}
	c.passTime(x)
	for i := range s.nodes {
		c.read(x, i)
		if target := s.nodes[i].evidence.Target(); target != s.nodes[i].evidence.Head() {
			x.add(fmt.Sprintf("%s fetches %v", ids[i], target), func(s *State) {
				s.nodes[i].evidence.Install(target)
				s.extendEvidence(i)
			})
		}
		for j := range s.nodes {
			if c.PeerLinks[i][j] {
				c.exchange(x, i, j)
			}
		}
	}
	c.propose(x)
	c.commit(x)
	c.faults(x)
	c.report(x)
	return x.steps
}

// passTime advances the time by a second, unless a commit that was sent in an
// earlier step is still undecided.
func (c Config) passTime(x *successors) {
	for _, p := range x.from.proposals[:x.from.proposalCount] {
		if p.sent >= 0 && p.sent < x.from.now {
			return
		}
	}
	if x.from.now < c.Horizon {
		x.add("tick", func(s *State) { s.now++ })
	}
}

// read lets VM i read the head row, whose response may be delayed, and acknowledge its
// newest ticket.
func (c Config) read(x *successors, i int) {
	if !c.StoreLinks[i] {
		return
	}
	m := message{ok: true, to: i, from: -1, sent: x.from.now, head: x.from.head}
	if c.Reread || i == c.Collector || m.head != x.from.nodes[i].evidence.Head() {
		c.send(x, fmt.Sprintf("%s reads %v", ids[i], m.head), m)
	}
	if own := x.from.nodes[i].evidence.Head().Number; own > x.from.nodes[i].acked && c.Observer >= 0 {
		x.add(fmt.Sprintf("%s acknowledges %d", ids[i], own), func(s *State) { s.nodes[i].acked = own })
	}
}

// exchange lets VM j reply to VM i with its evidence and its attestation.
func (c Config) exchange(x *successors, i, j int) {
	n := x.from.nodes[j]
	now := stepTime(x.from.now)
	m := message{ok: true, to: i, from: j, sent: x.from.now}
	m.head, m.age = n.evidence.Head(), now.Sub(n.evidence.At())
	if n.evidence.At().IsZero() {
		m.age = time.Hour
	}
	if i == c.Collector {
		m.att, m.attests = c.attest(&n, now)
	}
	c.send(x, fmt.Sprintf("%s receives from %s: %v age %v attests %t %v", ids[i], ids[j], m.head, m.age, m.attests, m.att), m)
}

// attest returns the attestation that a node can give, if any.
func (c Config) attest(n *node, now time.Time) (freshness.Attestation, bool) {
	if c.Broken.AttestDespiteSupport {
		return freshness.Attestation{QuietFor: time.Hour}, true
	}
	quietFor, ok := n.supporter.Attest(now)
	a := freshness.Attestation{QuietFor: quietFor, Head: n.evidence.Target()}
	if c.Broken.AttestWithoutHead {
		a.Head = head.Head{}
	}
	return a, ok
}

// send delivers a message immediately or, within the bound, delays it.
func (c Config) send(x *successors, action string, m message) {
	x.add(action, func(s *State) { c.receive(s, m) })
	if !x.from.delayed.ok && x.from.delayedCount < c.DelayedMessages {
		x.add(action+" (delayed)", func(s *State) {
			s.delayed = m
			s.delayedCount++
		})
	}
}

// receive delivers a message at the current time. The collector also records its own
// attestation.
func (c Config) receive(s *State, m message) {
	if m.attests {
		s.nodes[m.to].attestations[m.from] = recordedAttestation{true, m.att, m.sent, s.now}
	}
	self := &s.nodes[m.to]
	if a, ok := c.attest(self, stepTime(s.now)); ok && m.to == c.Collector {
		self.attestations[m.to] = recordedAttestation{true, a, s.now, s.now}
	}
	when := freshness.Relayed(stepTime(m.sent), m.age)
	if c.Broken.RelayWithoutAge {
		when = stepTime(s.now)
	}
	c.observe(s, m.to, m.head, when)
}

// propose lets proposers start proposals and supporters support them.
func (c Config) propose(x *successors) {
	s := x.from
	for i := range s.nodes {
		if s.proposalCount == len(s.proposals) || !c.StoreLinks[i] || !c.Proposers[i] {
			continue
		}
		next := s.head
		if s.tickets < c.Tickets {
			next.Number++
			x.add(fmt.Sprintf("%s proposes ticket %d", ids[i], next.Number), func(s *State) {
				s.tickets++
				s.startProposal(next)
			})
		}
		if s.expulsions < c.Expulsions && s.head.Roster == 0 {
			next := s.head
			next.Roster++
			x.add(fmt.Sprintf("%s proposes to expel c", ids[i]), func(s *State) {
				s.expulsions++
				s.startProposal(next)
			})
		}
	}
	for k, p := range s.proposals[:s.proposalCount] {
		if p.sent != -1 || c.Atomic {
			continue
		}
		for j := range s.nodes {
			if c.Supporters[j] && !p.votes[j] && rosterOf(p.base.Roster).Contains(ids[j]) {
				x.add(fmt.Sprintf("%s supports %v", ids[j], p.next), func(s *State) {
					s.nodes[j].supporter.Support(p.id, p.base, stepTime(s.now))
					s.proposals[k].votes[j] = true
				})
			}
		}
	}
}

func (s *State) startProposal(next head.Head) {
	s.proposals[s.proposalCount] = proposal{id: freshness.ProposalID(s.proposalCount), base: s.head, next: next, started: s.now, sent: -1}
	s.proposalCount++
}

// maySend reports whether the product would send the commit of a proposal.
func (c Config) maySend(s *State, p proposal) bool {
	started := p.started
	if c.Broken.NoDeadline {
		started = s.now
	}
	q := freshness.NewProposal(p.id, p.base, rosterOf(p.base.Roster).IDs(), stepTime(started))
	for j, voted := range p.votes {
		if voted || c.Broken.NoMajority || c.Atomic {
			q.Supported(ids[j])
		}
	}
	return q.MaySend(stepTime(s.now))
}

// done is the value of proposal.sent once its commit took effect or was lost.
const done = -2

// commit lets a supported commit be sent, and a sent one take effect or be lost.
// Its response is always lost; VMs observe the change by reading.
func (c Config) commit(x *successors) {
	for k, p := range x.from.proposals[:x.from.proposalCount] {
		switch {
		case p.sent == -1 && c.maySend(x.from, p):
			x.add(fmt.Sprintf("commit of %v is sent", p.next), func(s *State) { s.proposals[k].sent = s.now })
		case p.sent >= 0:
			x.add(fmt.Sprintf("commit of %v is lost", p.next), func(s *State) { s.proposals[k] = proposal{sent: done} })
			if x.from.head == p.base {
				x.add(fmt.Sprintf("commit of %v takes effect", p.next), func(s *State) { s.apply(k) })
			}
		}
	}
}

func (s *State) apply(k int) {
	p := s.proposals[k]
	if p.next.Number > s.head.Number {
		s.committed[p.next.Number-1] = s.now
	}
	if p.next.Roster > s.head.Roster {
		s.expelledAt = s.now
	}
	s.head = p.next
	s.proposals[k] = proposal{sent: done}
}

// faults delivers the delayed message and restarts a VM.
func (c Config) faults(x *successors) {
	if x.from.delayed.ok {
		x.add("delayed message arrives", func(s *State) {
			m := s.delayed
			s.delayed = message{}
			c.receive(s, m)
		})
	}
	if x.from.restarts < c.Restarts {
		x.add(fmt.Sprintf("%s restarts", ids[c.Restarter]), func(s *State) {
			s.restarts++
			c.restart(s, c.Restarter)
		})
	}
}

// restart replaces the process of VM i. A delayed message to the old one is lost.
func (c Config) restart(s *State, i int) {
	n := node{served: s.nodes[i].served, acked: s.nodes[i].acked}
	start := stepTime(s.now)
	n.evidence = freshness.NewEvidence(start)
	n.supporter = freshness.NewSupporter(start)
	if c.Broken.NoEvidenceFloor {
		n.evidence = freshness.NewEvidence(stepTime(-10))
	}
	if c.Broken.NoHoldOff {
		n.supporter = freshness.NewSupporter(stepTime(-10))
	}
	s.nodes[i] = n
	if s.delayed.to == i {
		s.delayed = message{}
	}
}

// report lets the observer report that the newest ticket is in force everywhere, if
// the product's rule allows it.
func (c Config) report(x *successors) {
	s := x.from
	if c.Observer < 0 || s.head.Number == 0 || s.head.Number == s.reported {
		return
	}
	n := s.head.Number
	var rows []roster.Presence
	for i, node := range s.nodes {
		rows = append(rows, roster.Presence{VM: vm.VM{ID: ids[i]}, Head: head.Head{Number: node.acked}})
	}
	rosterFor := time.Hour
	if s.expelledAt >= 0 && !c.Broken.ReportOnAcksAlone {
		rosterFor = stepTime(s.now).Sub(stepTime(s.expelledAt))
	}
	f := roster.InForce(n, rosterOf(s.head.Roster), rows, stepTime(s.now).Sub(stepTime(s.committed[n-1])), rosterFor)
	if f.Everywhere() {
		x.add(fmt.Sprintf("ticket %d is reported in force: %s", n, f.Rule), func(s *State) { s.reported = n })
	}
}
