package freshness

import (
	"time"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// maxProposalTime bounds the time from the start of a proposal to the sending of
// its commit, so that the call ends within SupportWindow.
const maxProposalTime = SupportWindow - platform.CallTimeout

// Proposal collects the support for one commit to the head row.
type Proposal struct {
	ID   ProposalID
	Base head.Head

	started        time.Time
	electorateSize int
	missing        map[vm.ID]bool
}

// NewProposal returns a proposal that starts at time now. The electorate is the
// roster of the base head without members that no longer exist.
func NewProposal(id ProposalID, base head.Head, electorate []vm.ID, now time.Time) *Proposal {
	p := &Proposal{ID: id, Base: base, started: now, electorateSize: len(electorate), missing: map[vm.ID]bool{}}
	for _, m := range electorate {
		p.missing[m] = true
	}
	return p
}

// Supported records the support of a member.
func (p *Proposal) Supported(by vm.ID) {
	delete(p.missing, by)
}

// MaySend reports whether the commit may be sent at time now: a majority supports
// it, and it takes effect or is dropped before the supports expire.
func (p *Proposal) MaySend(now time.Time) bool {
	return p.hasMajority() && Age(p.started, now) <= maxProposalTime
}

// hasMajority reports whether a majority supports the commit. An empty
// electorate, as before the first join, needs no support.
func (p *Proposal) hasMajority() bool {
	support := p.electorateSize - len(p.missing)
	return p.electorateSize == 0 || support >= Majority(p.electorateSize)
}
