package freshness

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/vm"
)

// attestedInterval is an attestation in terms of the local clock: every commit
// that the member supported and that took effect after from and up to until is
// part of head.
type attestedInterval struct {
	from  time.Time
	until time.Time
	head  head.Head
}

// Attestations holds the latest attestation of each roster member.
type Attestations struct {
	byMember map[vm.ID]attestedInterval
}

// Attestation is a member's statement that every commit it supported and that
// took effect during the last QuietFor is part of Head.
type Attestation struct {
	QuietFor time.Duration
	Head     head.Head
}

// Add records the attestation in a member's reply to a request. The request was
// sent at sent, and the reply arrived at received; for the router's own
// attestation both are the same. Because the reply may have been written at any
// time in between, the interval starts QuietFor before received and ends at sent.
// An attestation older than the recorded one is ignored.
func (a *Attestations) Add(member vm.ID, att Attestation, sent, received time.Time) {
	if old, ok := a.byMember[member]; ok && old.until.After(sent) {
		return
	}
	if a.byMember == nil {
		a.byMember = map[vm.ID]attestedInterval{}
	}
	a.byMember[member] = attestedInterval{from: received.Add(-att.QuietFor), until: sent, head: att.Head}
}

// Extend advances the evidence to the latest time up to which a majority of the
// roster attests that nothing was committed since its present time. The roster
// must be that of the evidence's head.
func (a *Attestations) Extend(e *Evidence, roster []vm.ID) {
	for {
		at, ok := a.attestedUntil(e, roster)
		if !ok || !at.After(e.at) {
			return
		}
		e.advance(at)
	}
}

// attestedUntil returns the end of the longest interval that begins at the
// evidence's time and is attested by a majority. It returns false if there is
// none.
func (a *Attestations) attestedUntil(e *Evidence, roster []vm.ID) (time.Time, bool) {
	if e.at.IsZero() || len(roster) == 0 {
		return time.Time{}, false
	}
	var ends []time.Time
	for _, id := range roster {
		interval, ok := a.byMember[id]
		if ok && beforeByBothClocks(interval.from, e.at) && e.installed.AtLeast(interval.head) {
			ends = append(ends, interval.until)
		}
	}
	need := Majority(len(roster))
	if len(ends) < need {
		return time.Time{}, false
	}
	slices.SortFunc(ends, func(x, y time.Time) int { return y.Compare(x) })
	return ends[need-1], true
}

// Majority returns the smallest number that is more than half of n members.
func Majority(n int) int { return n/2 + 1 }
