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

// neverOver runs a fleet under pauses, lost and repeated messages, roster
// changes and restarts, and checks every window of the admitted tokens.
func neverOver(newNode newNodeFunc) func(seed int64) error {
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

func newLedgerNode(self vm.VM, now time.Time) node { return NewLedger(self, now) }

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

func newDividing(_ vm.VM, now time.Time) node {
	return &dividing{Ledger: NewLedger(vm.VM{}, now), own: newBucket(testContract, 0, epoch)}
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
		c.Rate /= float64(len(n.view.Roster.Members))
		c.Burst /= float64(len(n.view.Roster.Members))
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
	for desc, newNode := range map[string]newNodeFunc{
		"no freshness bound":     func(v vm.VM, now time.Time) node { return trusting{NewLedger(v, now)} },
		"no wait of a new home":  func(v vm.VM, now time.Time) node { return hasty{NewLedger(v, now)} },
		"missed rosters ignored": func(v vm.VM, now time.Time) node { return forgetful{NewLedger(v, now)} },
		"handover credited anew": func(v vm.VM, now time.Time) node { return crediting{NewLedger(v, now)} },
		"full refunds":           func(v vm.VM, now time.Time) node { return refunding{NewLedger(v, now)} },
		"rate / N on each VM":    newDividing,
	} {
		expectRefuted(t, desc, 1000, neverOver(newNode))
	}
}

// wholeRate sends all requests of an account through one VM of a healthy
// fleet, never above its rate and burst by an exact bucket, and fails if one
// is refused.
func wholeRate(newNode newNodeFunc) func(seed int64) error {
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
	vms := slices.Clone(f.roster.Members)
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

// TestFirstRoster shows what a process does that finds itself on the roster:
// one that just joined takes the balance, also if it missed the roster that
// admitted it; a restarted one waits, because its predecessor may have taken it.
func TestFirstRoster(t *testing.T) {
	const late = startDelay + time.Second
	self := vm.VM{ID: "vm-1", Incarnation: 7}
	for _, c := range []struct {
		desc   string
		listed vm.Incarnation
		learns time.Duration
		want   Acceptance
		after  Outcome
	}{
		{"joined", 7, time.Second, Accepted, Granted},
		{"joined long ago", 7, late, Declined, Unavailable},
		{"restarted", 6, time.Second, Declined, Unavailable},
	} {
		t.Run(c.desc, func(t *testing.T) {
			l := NewLedger(self, epoch)
			l.Apply(map[account.ID]account.Contract{testAccount: testContract}, 1, epoch)
			l.Observe(View{Roster: &roster.Roster{}}, epoch)
			now := epoch.Add(c.learns)
			r := &roster.Roster{Version: 6, Members: []vm.VM{{ID: "vm-1", Incarnation: c.listed}}}
			l.Observe(View{Roster: r, Evidence: now}, now)
			h := Handover{To: r.Members[0], Account: testAccount, Version: 5, Config: 1, Level: 50}
			if got := l.Accept(h, now); got != c.want {
				t.Errorf("the handover: %v, want %v", got, c.want)
			}
			if got := l.Reserve(testAccount, ReservationID{Seq: 1}, 1, now).Outcome; got != c.after {
				t.Errorf("the first reservation: %v, want %v", got, c.after)
			}
			now = now.Add(late)
			l.Observe(View{Roster: r, Evidence: now}, now)
			if got := l.Reserve(testAccount, ReservationID{Seq: 2}, 1, now).Outcome; got != Granted {
				t.Errorf("after the wait: %v", got)
			}
		})
	}
}
