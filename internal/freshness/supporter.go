package freshness

import (
	"slices"
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/head"
)

// SupportWindow bounds the time from the start of a proposal to the latest
// moment at which its commit can take effect.
const SupportWindow = 2 * time.Second

// ProposalID tells proposals apart. It is a random number.
type ProposalID uint64

// Supporter is one roster member's side of the agreement on commits. A commit
// to the head row needs the support of a majority of the roster; a member that
// gave support does not attest quiet until the commit has surely taken effect
// or failed. Because two majorities share a member, a majority that attests
// quiet proves that no commit took effect meanwhile.
//
// Nothing is kept on disk: a new process attests quiet only once every support
// that an earlier process could have given has lapsed.
type Supporter struct {
	open []support
	// quietSince is when the last support lapsed without a known outcome.
	quietSince time.Time
}

type support struct {
	id      ProposalID
	base    head.Head
	expires time.Time
}

// NewSupporter returns the state of a process that started at this time.
func NewSupporter(start time.Time) Supporter {
	return Supporter{quietSince: start.Add(SupportWindow)}
}

// Support gives support for a commit on top of base.
func (s *Supporter) Support(id ProposalID, base head.Head, now time.Time) {
	s.lapse(now)
	s.open = append(slices.Clip(s.open), support{id: id, base: base, expires: now.Add(SupportWindow)})
}

// Withdraw ends a support whose commit certainly failed or was never sent.
func (s *Supporter) Withdraw(id ProposalID, now time.Time) {
	s.lapse(now)
	s.remove(func(sp support) bool { return sp.id == id })
}

// Observe resolves the supports of commits whose base is older than a head
// that exists: they are part of that head or have failed.
func (s *Supporter) Observe(h head.Head, now time.Time) {
	s.lapse(now)
	s.remove(func(sp support) bool { return h != sp.base && h.AtLeast(sp.base) })
}

// remove drops matching supports.
func (s *Supporter) remove(match func(support) bool) {
	var kept []support
	for _, sp := range s.open {
		if !match(sp) {
			kept = append(kept, sp)
		}
	}
	s.open = kept
}

// lapse moves quietSince past supports that have expired.
func (s *Supporter) lapse(now time.Time) {
	s.remove(func(sp support) bool {
		expired := !now.Before(sp.expires)
		if expired && sp.expires.After(s.quietSince) {
			s.quietSince = sp.expires
		}
		return expired
	})
}

// Attest returns how long the member has been quiet: every commit that it
// supported and that took effect during this time is part of the newest head
// it has observed. It returns false if a support is open or one from an
// earlier process could be.
func (s *Supporter) Attest(now time.Time) (time.Duration, bool) {
	s.lapse(now)
	if len(s.open) > 0 || now.Before(s.quietSince) {
		return 0, false
	}
	return now.Sub(s.quietSince), true
}

// AppendText appends a description of the state that is the same for equal
// states. It never fails.
func (s *Supporter) AppendText(b []byte) ([]byte, error) {
	for _, sp := range s.open {
		b = strconv.AppendUint(b, uint64(sp.id), 36)
		b = append(b, ' ')
		b = appendHead(b, sp.base)
		b = appendTime(b, sp.expires)
	}
	return appendTime(b, s.quietSince), nil
}
