package freshness

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/vm"
)

// quiet is an attestation on the local clock: every commit that the member
// supported and that took effect after from and up to until is part of head.
type quiet struct {
	from  time.Time
	until time.Time
	head  head.Head
}

// Attestations collects what roster members attest.
type Attestations struct {
	byMember map[vm.ID]quiet
}

// Attestation is a member's statement that every commit it supported and that
// took effect during the last QuietFor is part of Head.
type Attestation struct {
	QuietFor time.Duration
	Head     head.Head
}

// Add records the attestation that a member gave in reply to a request sent at
// sent, whose reply was received at received. For the router's own attestation
// both are the same. The interval is shortened by the time in which the reply
// may have been written.
func (a *Attestations) Add(member vm.ID, att Attestation, sent, received time.Time) {
	if old, ok := a.byMember[member]; ok && old.until.After(sent) {
		return
	}
	if a.byMember == nil {
		a.byMember = map[vm.ID]quiet{}
	}
	a.byMember[member] = quiet{from: received.Add(-att.QuietFor), until: sent, head: att.Head}
}

// Extend moves the evidence to the latest time up to which a majority of the
// roster attests that nothing was committed since. The roster must be that of
// the evidence's head.
func (a *Attestations) Extend(e *Evidence, roster []vm.ID) {
	for {
		at, ok := a.extension(e, roster)
		if !ok || !at.After(e.at) {
			return
		}
		e.advance(at)
	}
}

// extension returns the end of the longest interval that starts before the
// evidence and that a majority attests.
func (a *Attestations) extension(e *Evidence, roster []vm.ID) (time.Time, bool) {
	if e.at.IsZero() || len(roster) == 0 {
		return time.Time{}, false
	}
	var ends []time.Time
	for _, id := range roster {
		q, ok := a.byMember[id]
		if ok && before(q.from, e.at) && e.own.AtLeast(q.head) {
			ends = append(ends, q.until)
		}
	}
	need := Majority(len(roster))
	if len(ends) < need {
		return time.Time{}, false
	}
	slices.SortFunc(ends, func(x, y time.Time) int { return y.Compare(x) })
	return ends[need-1], true
}

// Majority returns the least number of members that is more than half of n.
func Majority(n int) int { return n/2 + 1 }
