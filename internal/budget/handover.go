package budget

import (
	"math"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Handover moves an account's bucket to its new home. The old home has dropped
// the bucket before it sends the handover; the new home accepts it at most
// once.
type Handover struct {
	To      vm.VM
	Account account.ID
	// Version is the roster that makes To the home.
	Version head.RosterVersion
	// Config is the configuration that was in force at the old home.
	Config config.Number
	// Level is the balance in tokens; it may be negative.
	Level float64
	Holds []Hold
}

// Hold is an unsettled reservation within a Handover.
type Hold struct {
	ID     ReservationID
	Tokens float64
	Age    time.Duration
	// RefundLimit bounds the refund of the reservation, in tokens.
	RefundLimit float64
}

// Acceptance is the new home's reply to a handover.
type Acceptance uint8

const (
	// Later means that this VM doesn't know the roster or the configuration
	// yet; the handover is to be sent again.
	Later Acceptance = iota
	// Accepted means that the bucket is in use here.
	Accepted
	// Declined means that the handover is rejected for good, for example
	// because it came too late.
	Declined
)

// handOver returns the handover of a bucket to its new home.
func (l *Ledger) handOver(id account.ID, b *bucket, to vm.VM, now time.Time) Handover {
	b.advance(now)
	h := Handover{To: to, Account: id, Version: l.view.Roster.Version, Config: l.newestConfig, Level: b.level}
	for _, x := range b.holds {
		h.Holds = append(h.Holds, Hold{ID: x.id, Tokens: x.tokens, Age: now.Sub(x.reservedAt), RefundLimit: x.refundLimit})
	}
	return h
}

// previousHomes returns the VMs that may still hold buckets for which this VM
// waits. They are the homes under the roster before or, if this VM has just
// joined, under the roster without it.
func (l *Ledger) previousHomes(before *roster.Roster) []vm.ID {
	if before == nil {
		before = &roster.Roster{}
		for _, v := range l.view.Roster.Members {
			if !l.isSelf(v) {
				before.Members = append(before.Members, v)
			}
		}
	}
	var out []vm.ID
	for id, t := range l.tenures {
		home, ok := Home(id, before)
		if t.bucket == nil && ok && !l.isSelf(home) && !slices.Contains(out, home.ID) {
			out = append(out, home.ID)
		}
	}
	return out
}

// Accept takes over a bucket from the old home, which has stopped, so that the
// first reservation need not wait for takeoverDelay. A balance that is older
// than the last two changes of the contract is declined: the first change may
// have reduced the burst, and the second hides that.
func (l *Ledger) Accept(h Handover, now time.Time) Acceptance {
	if !l.isSelf(h.To) {
		return Declined
	}
	if l.view.Roster == nil || l.view.Roster.Version < h.Version || l.newestConfig < h.Config {
		return Later
	}
	t := l.tenures[h.Account]
	if t == nil || t.bucket != nil || h.Version < t.minHandover || math.IsNaN(h.Level) {
		return Declined
	}
	if l.changesSince(h.Account, h.Config) > 1 {
		return Declined
	}
	t.bucket = newBucket(t.contract, h.Level, now)
	for _, x := range h.Holds {
		t.bucket.holds = append(t.bucket.holds, hold{id: x.ID, tokens: x.Tokens, reservedAt: now.Add(-x.Age), refundLimit: max(0, x.RefundLimit)})
	}
	t.bucket.updateRefundLimit()
	return Accepted
}
