package budget

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// staysWithinRate runs a fleet with pauses, lost and repeated messages, roster
// changes and restarts. It checks that no window of the granted tokens exceeds
// the rate and burst.
func staysWithinRate(newNode newNodeFunc) func(seed int64) error {
	return func(seed int64) error {
		f := newFleet(seed, 3, newNode)
		for range 600 {
			f.step()
		}
		least, _ := replay(f.admissions, f.changes, f.now)
		if least < -1e-4 {
			return errors.Errorf("a window holds %.1f tokens too many", -least)
		}
		return nil
	}
}

func newLedgerNode(self vm.VM, now time.Time) node { return NewLedger(self, now) }

// noFreshnessNode is a faulty home that always treats its evidence as fresh.
type noFreshnessNode struct{ *Ledger }

func (n noFreshnessNode) Reserve(a account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	n.view.Evidence = now
	return n.Ledger.Reserve(a, r, tokens, now)
}

// noDelayNode is a faulty new home that doesn't wait for the old one to stop.
type noDelayNode struct{ *Ledger }

func (n noDelayNode) Reserve(a account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	if t := n.tenures[a]; t != nil && t.bucket == nil {
		t.bucket = newBucket(t.contract, 0, now)
	}
	return n.Ledger.Reserve(a, r, tokens, now)
}

// missedRosterNode is a faulty home that keeps its buckets over every roster
// that makes it the home, even if it missed rosters in between.
type missedRosterNode struct{ *Ledger }

func (n missedRosterNode) Observe(v View, now time.Time) []Handover {
	if n.view.Roster != nil {
		n.view.Evidence = now
	}
	return n.Ledger.Observe(v, now)
}

// repeatedHandoverNode is a faulty new home that credits every copy of a
// handover.
type repeatedHandoverNode struct{ *Ledger }

func (n repeatedHandoverNode) Accept(h Handover, now time.Time) Acceptance {
	t := n.tenures[h.Account]
	if t != nil && t.bucket != nil {
		t.bucket.advance(now)
		t.bucket.level = min(t.bucket.burst, t.bucket.level+max(0, h.Level))
		return Accepted
	}
	return n.Ledger.Accept(h, now)
}

// fullRefundNode is a faulty home that refunds every unused token.
type fullRefundNode struct{ *Ledger }

func (n fullRefundNode) Settle(a account.ID, r ReservationID, used float64, now time.Time) bool {
	if t := n.tenures[a]; t != nil && t.bucket != nil {
		if i := t.bucket.find(r); i >= 0 {
			settleInFull(t.bucket, i, used, now)
			return true
		}
	}
	return n.Ledger.Settle(a, r, used, now)
}

// dividedRateNode is a faulty variant without homes: each VM has rate / N and
// burst / N, where N is the size of the roster that it knows.
type dividedRateNode struct {
	*Ledger
	own *bucket
}

func newDividedRateNode(_ vm.VM, now time.Time) node {
	return &dividedRateNode{Ledger: NewLedger(vm.VM{}, now), own: newBucket(testContract, 0, startTime)}
}

func (n *dividedRateNode) Observe(v View, now time.Time) []Handover {
	n.Ledger.Observe(v, now)
	n.setShare(now)
	return nil
}

func (n *dividedRateNode) Apply(contracts map[account.ID]account.Contract, number config.Number, now time.Time) {
	n.Ledger.Apply(contracts, number, now)
	n.setShare(now)
}

// setShare sets the VM's share of the contract.
func (n *dividedRateNode) setShare(now time.Time) {
	c := n.contracts[testAccount]
	if n.view.Roster != nil {
		c.Rate /= float64(len(n.view.Roster.Members))
		c.Burst /= float64(len(n.view.Roster.Members))
		n.own.setContract(c, now)
	}
}

func (n *dividedRateNode) Reserve(_ account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	if n.view.Roster == nil {
		return Answer{}
	}
	if _, ok := n.own.reserve(r, tokens, now); !ok {
		return Answer{Outcome: NoTokens}
	}
	return Answer{Outcome: Granted}
}

func (n *dividedRateNode) unsettled(ReservationID) bool { return false }

func TestFleetStaysWithinRate(t *testing.T) {
	runProperty(t, "every window holds at most rate x t + burst", 300, staysWithinRate(newLedgerNode))
	for desc, newNode := range map[string]newNodeFunc{
		"no freshness bound":         func(v vm.VM, now time.Time) node { return noFreshnessNode{NewLedger(v, now)} },
		"no takeover delay":          func(v vm.VM, now time.Time) node { return noDelayNode{NewLedger(v, now)} },
		"missed rosters ignored":     func(v vm.VM, now time.Time) node { return missedRosterNode{NewLedger(v, now)} },
		"repeated handover credited": func(v vm.VM, now time.Time) node { return repeatedHandoverNode{NewLedger(v, now)} },
		"full refunds":               func(v vm.VM, now time.Time) node { return fullRefundNode{NewLedger(v, now)} },
		"rate / N on each VM":        newDividedRateNode,
	} {
		expectRefuted(t, desc, 1000, staysWithinRate(newNode))
	}
}

// grantsFullRate sends all requests of an account through one VM of a healthy
// fleet. They stay within the rate and burst of an exact bucket; it fails if
// one is refused.
func grantsFullRate(newNode newNodeFunc) func(seed int64) error {
	return func(seed int64) error {
		f := newFleet(seed, 3, newNode)
		f.awaitFullBuckets()
		level, at := 0.0, f.now
		var running []admission
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
				running = append(running, f.admissions[len(f.admissions)-1])
			}
			if len(running) > 0 && f.rng.Intn(3) == 0 {
				f.settle(f.home(), running[0].id, running[0].tokens*f.rng.Float64())
				running = running[1:]
			}
		}
		return nil
	}
}

func TestFleetGrantsFullRateThroughOneVM(t *testing.T) {
	runProperty(t, "no request within the rate is refused", 100, grantsFullRate(newLedgerNode))
	expectRefuted(t, "rate / N on each VM", 5, grantsFullRate(newDividedRateNode))
}

// TestLeavingHomeHandsOver checks that a leaving home hands over its whole
// balance and its unsettled reservations, and that the new home grants at once.
func TestLeavingHomeHandsOver(t *testing.T) {
	f := newFleet(1, 3, newLedgerNode)
	f.awaitFullBuckets()
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
	vms := slices.Clone(f.roster.Members)
	for i := range vms {
		vms[i].Leaving = vms[i] == f.vms[old]
	}
	f.setRoster(vms)
	for i := range f.nodes {
		f.startPoll(i, 0)
	}
	f.deliverPolls()
	if len(f.handovers) != 1 || f.deliver(f.handovers[0]) != Accepted || f.deliver(f.handovers[0]) != Declined {
		t.Fatalf("handovers %+v", f.handovers)
	}
	if got := f.reserve(old, 1).Outcome; got != NotHome {
		t.Errorf("the old home returns %v", got)
	}
	f.settle(f.home(), id, 4)
	bucket := f.nodes[f.home()].(*Ledger).tenures[testAccount].bucket
	if math.Abs(bucket.level-level-6) > 1e-6 {
		t.Errorf("level %v after handover and a refund of 6, was %v", bucket.level, level)
	}
	if got := f.reserve(f.home(), level); got.Outcome != Granted {
		t.Errorf("the new home returns %+v", got)
	}
}

// TestAccountAddedByTicket checks that an account added by a ticket can use its
// burst at once if the roster has been stable for a while, and that removing
// and adding it again doesn't give it a second burst.
func TestAccountAddedByTicket(t *testing.T) {
	f := newFleet(1, 1, newLedgerNode)
	f.awaitFullBuckets()
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
		t.Errorf("added again: %+v", got)
	}
}

// TestHandoverUnderFirstRoster covers a process whose first roster already
// lists it. A process that has just joined accepts the handover, even if it
// missed the roster that added it. A restarted one must wait, because its
// predecessor may have accepted the handover.
func TestHandoverUnderFirstRoster(t *testing.T) {
	const late = takeoverDelay + time.Second
	self := vm.VM{ID: "vm-1", Incarnation: 7}
	for _, c := range []struct {
		desc        string
		listed      vm.Incarnation
		readAfter   time.Duration
		want        Acceptance
		wantOutcome Outcome
	}{
		{"joined", 7, time.Second, Accepted, Granted},
		{"joined long before the read", 7, late, Declined, Unavailable},
		{"restarted", 6, time.Second, Declined, Unavailable},
	} {
		t.Run(c.desc, func(t *testing.T) {
			l := NewLedger(self, startTime)
			l.Apply(map[account.ID]account.Contract{testAccount: testContract}, 1, startTime)
			l.Observe(View{Roster: &roster.Roster{}}, startTime)
			now := startTime.Add(c.readAfter)
			r := &roster.Roster{Version: 6, Members: []vm.VM{{ID: "vm-1", Incarnation: c.listed}}}
			l.Observe(View{Roster: r, Evidence: now}, now)
			h := Handover{To: r.Members[0], Account: testAccount, Version: 5, Config: 1, Level: 50}
			if got := l.Accept(h, now); got != c.want {
				t.Errorf("the handover: %v, want %v", got, c.want)
			}
			if got := l.Reserve(testAccount, ReservationID{Seq: 1}, 1, now).Outcome; got != c.wantOutcome {
				t.Errorf("the first reservation: %v, want %v", got, c.wantOutcome)
			}
			now = now.Add(late)
			l.Observe(View{Roster: r, Evidence: now}, now)
			if got := l.Reserve(testAccount, ReservationID{Seq: 2}, 1, now).Outcome; got != Granted {
				t.Errorf("after the wait: %v", got)
			}
		})
	}
}
