package freshness

import (
	"time"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// proposalTime bounds the time from the start of a proposal to the sending of
// its commit.
const proposalTime = SupportWindow - platform.CallTimeout

// Proposal collects the support for one commit to the head row.
type Proposal struct {
	ID   ProposalID
	Base head.Head

	started    time.Time
	electorate int
	missing    map[vm.ID]bool
}

// NewProposal starts a proposal at this time. The electorate is the roster of
// the base head without members that no longer exist.
func NewProposal(id ProposalID, base head.Head, electorate []vm.ID, now time.Time) *Proposal {
	p := &Proposal{ID: id, Base: base, started: now, electorate: len(electorate), missing: map[vm.ID]bool{}}
	for _, m := range electorate {
		p.missing[m] = true
	}
	return p
}

// Supported records that a member gave its support.
func (p *Proposal) Supported(by vm.ID) {
	delete(p.missing, by)
}

// MaySend reports whether the commit may be sent at this time: a majority
// supports it and it takes effect, or is dropped, before the supports lapse.
func (p *Proposal) MaySend(now time.Time) bool {
	return p.granted() && Age(p.started, now) <= proposalTime
}

// granted reports whether a majority supports the commit. An empty electorate,
// as before the first join, needs no support.
func (p *Proposal) granted() bool {
	support := p.electorate - len(p.missing)
	return p.electorate == 0 || support >= Majority(p.electorate)
}
