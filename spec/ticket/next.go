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

// Model returns the transition system.
func (c Config) Model(maxStates int) explore.Model[*State] {
	return explore.Model[*State]{
		Initial:   []*State{c.initial()},
		Next:      c.next,
		Key:       (*State).key,
		Invariant: invariant,
		MaxStates: maxStates,
	}
}

// invariant is what must hold in every state.
func invariant(s *State) error {
	for i := range s.nodes {
		if err := s.truthful(i); err != nil {
			return err
		}
		if !s.serves(i) {
			continue
		}
		own := s.nodes[i].evidence.Head().Number
		for n, step := range s.committed {
			if step >= 0 && at(s.now).Sub(at(step)) >= freshness.Bound && own < config.Number(n+1) {
				return errors.Errorf("%s serves by %d, ticket %d was committed %d s ago", ids[i], own, n+1, s.now-step)
			}
		}
		if own < s.nodes[i].served {
			return errors.Errorf("%s reverted from %d to %d", ids[i], s.nodes[i].served, own)
		}
		if own < s.reported {
			return errors.Errorf("%s serves by %d, ticket %d was reported in force everywhere", ids[i], own, s.reported)
		}
	}
	return nil
}

// truthful checks the meaning of evidence: the VM has every change that was
// committed before the evidence's time.
func (s *State) truthful(i int) error {
	e := &s.nodes[i].evidence
	for n, step := range s.committed {
		if step >= 0 && at(step).Before(e.At()) && e.Head().Number < config.Number(n+1) {
			return errors.Errorf("%s has evidence from %ds without ticket %d of %ds", ids[i], int(e.At().Sub(epoch).Seconds()), n+1, step)
		}
	}
	if s.expelledAt >= 0 && at(s.expelledAt).Before(e.At()) && e.Head().Roster == 0 {
		return errors.Errorf("%s has evidence from %ds without the roster of %ds", ids[i], int(e.At().Sub(epoch).Seconds()), s.expelledAt)
	}
	return nil
}

// successors collects steps; each starts from a copy of the state.
type successors struct {
	from  *State
	steps []explore.Step[*State]
}

func (x *successors) add(action string, change func(*State)) {
	s := *x.from
	change(&s)
	s.note()
	x.steps = append(x.steps, explore.Step[*State]{Action: fmt.Sprintf("%ds %s", s.now, action), State: &s})
}

func (c Config) next(s *State) []explore.Step[*State] {
	x := &successors{from: s}
	c.clock(x)
	for i := range s.nodes {
		c.read(x, i)
		if target := s.nodes[i].evidence.Target(); target != s.nodes[i].evidence.Head() {
			x.add(fmt.Sprintf("%s fetches %v", ids[i], target), func(s *State) {
				s.nodes[i].evidence.Install(target)
				s.extend(i)
			})
		}
		for j := range s.nodes {
			if c.Hears[i][j] {
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

// clock lets a second pass, unless a sent commit must be decided first.
func (c Config) clock(x *successors) {
	for _, p := range x.from.prop[:x.from.props] {
		if p.sent >= 0 && p.sent < x.from.now {
			return
		}
	}
	if x.from.now < c.Horizon {
		x.add("tick", func(s *State) { s.now++ })
	}
}

// read lets a VM read the head row, with the answer at once or late.
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
	now := at(x.from.now)
	m := message{ok: true, to: i, from: j, sent: x.from.now}
	m.head, m.age = n.evidence.Head(), now.Sub(n.evidence.At())
	if n.evidence.At().IsZero() {
		m.age = time.Hour
	}
	if i == c.Collector {
		m.att, m.attests = c.attest(&n, now)
	}
	c.send(x, fmt.Sprintf("%s hears %s: %v age %v attests %t %v", ids[i], ids[j], m.head, m.age, m.attests, m.att), m)
}

func (c Config) attest(n *node, now time.Time) (freshness.Attestation, bool) {
	if c.Broken.BlindAttest {
		return freshness.Attestation{QuietFor: time.Hour}, true
	}
	quietFor, ok := n.supporter.Attest(now)
	a := freshness.Attestation{QuietFor: quietFor, Head: n.evidence.Target()}
	if c.Broken.Uncovered {
		a.Head = head.Head{}
	}
	return a, ok
}

// send delivers a message now, or keeps it for later within the budget.
func (c Config) send(x *successors, action string, m message) {
	x.add(action, func(s *State) { c.receive(s, m) })
	if !x.from.late.ok && x.from.lates < c.Late {
		x.add(action+" (late)", func(s *State) {
			s.late = m
			s.lates++
		})
	}
}

// receive takes a message in at the current time.
func (c Config) receive(s *State, m message) {
	if m.attests {
		s.nodes[m.to].attested[m.from] = attested{true, m.att, m.sent, s.now}
	}
	self := &s.nodes[m.to]
	if a, ok := c.attest(self, at(s.now)); ok && m.to == c.Collector {
		self.attested[m.to] = attested{true, a, s.now, s.now}
	}
	when := freshness.Relayed(at(m.sent), m.age)
	if c.Broken.RelayWithoutAge {
		when = at(s.now)
	}
	c.observe(s, m.to, m.head, when)
}

// propose lets VMs start proposals and support them.
func (c Config) propose(x *successors) {
	s := x.from
	for i := range s.nodes {
		if s.props == len(s.prop) || !c.StoreLinks[i] || !c.Proposers[i] {
			continue
		}
		next := s.head
		if s.tickets < c.Tickets {
			next.Number++
			x.add(fmt.Sprintf("%s proposes ticket %d", ids[i], next.Number), func(s *State) {
				s.tickets++
				s.start(next)
			})
		}
		if s.expulsions < c.Expulsions && s.head.Roster == 0 {
			next := s.head
			next.Roster++
			x.add(fmt.Sprintf("%s proposes to expel c", ids[i]), func(s *State) {
				s.expulsions++
				s.start(next)
			})
		}
	}
	for k, p := range s.prop[:s.props] {
		if p.sent != -1 || c.Atomic {
			continue
		}
		for j := range s.nodes {
			if c.Supporters[j] && !p.votes[j] && rosterOf(p.base.Roster).Contains(ids[j]) {
				x.add(fmt.Sprintf("%s supports %v", ids[j], p.next), func(s *State) {
					s.nodes[j].supporter.Support(p.id, p.base, at(s.now))
					s.prop[k].votes[j] = true
				})
			}
		}
	}
}

func (s *State) start(next head.Head) {
	s.prop[s.props] = proposal{id: freshness.ProposalID(s.props), base: s.head, next: next, started: s.now, sent: -1}
	s.props++
}

// maySend asks the product's proposal.
func (c Config) maySend(s *State, p proposal) bool {
	started := p.started
	if c.Broken.NoDeadline {
		started = s.now
	}
	q := freshness.NewProposal(p.id, p.base, rosterOf(p.base.Roster).IDs(), at(started))
	for j, voted := range p.votes {
		if voted || c.Broken.NoMajority || c.Atomic {
			q.Supported(ids[j])
		}
	}
	return q.MaySend(at(s.now))
}

// done marks a proposal whose commit has been decided.
const done = -2

// commit lets a supported commit be sent, and a sent one take effect or not.
// Its answer is always lost; readers find out.
func (c Config) commit(x *successors) {
	for k, p := range x.from.prop[:x.from.props] {
		switch {
		case p.sent == -1 && c.maySend(x.from, p):
			x.add(fmt.Sprintf("commit of %v sent", p.next), func(s *State) { s.prop[k].sent = s.now })
		case p.sent >= 0:
			x.add(fmt.Sprintf("commit of %v dropped", p.next), func(s *State) { s.prop[k] = proposal{sent: done} })
			if x.from.head == p.base {
				x.add(fmt.Sprintf("commit of %v takes effect", p.next), func(s *State) { s.apply(k) })
			}
		}
	}
}

func (s *State) apply(k int) {
	p := s.prop[k]
	if p.next.Number > s.head.Number {
		s.committed[p.next.Number-1] = s.now
	}
	if p.next.Roster > s.head.Roster {
		s.expelledAt = s.now
	}
	s.head = p.next
	s.prop[k] = proposal{sent: done}
}

// faults restarts a VM and delivers a late message.
func (c Config) faults(x *successors) {
	if x.from.late.ok {
		x.add("late message arrives", func(s *State) {
			m := s.late
			s.late = message{}
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

func (c Config) restart(s *State, i int) {
	n := node{served: s.nodes[i].served, acked: s.nodes[i].acked}
	start := at(s.now)
	n.evidence = freshness.NewEvidence(start)
	n.supporter = freshness.NewSupporter(start)
	if c.Broken.NoFloor {
		n.evidence = freshness.NewEvidence(at(-10))
	}
	if c.Broken.NoHoldOff {
		n.supporter = freshness.NewSupporter(at(-10))
	}
	s.nodes[i] = n
	if s.late.to == i {
		s.late = message{}
	}
}

// report lets the observer say that the newest ticket is in force everywhere.
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
	if s.expelledAt >= 0 && !c.Broken.HastyReport {
		rosterFor = at(s.now).Sub(at(s.expelledAt))
	}
	f := roster.InForce(n, rosterOf(s.head.Roster), rows, at(s.now).Sub(at(s.committed[n-1])), rosterFor)
	if f.Everywhere() {
		x.add(fmt.Sprintf("ticket %d reported in force: %s", n, f.Rule), func(s *State) { s.reported = n })
	}
}
