package freshness

import (
	"slices"
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/head"
)

// SupportWindow bounds the time from the start of a proposal to the latest time
// at which its commit can take effect.
const SupportWindow = 2 * time.Second

// ProposalID identifies a proposal. It is a random number.
type ProposalID uint64

// Supporter is the state of one roster member in the agreement on commits. A
// commit to the head row needs the support of a majority of the roster. A member
// that gave support makes no attestation until the commit has certainly taken
// effect or failed. Because two majorities share a member, attestations of a
// majority for an interval prove that no commit took effect in it.
//
// No state is kept on disk: a new process makes an attestation only after every
// support that an earlier process could have given has expired.
type Supporter struct {
	openSupports []support
	// quietSince is the start of the attested time: the latest expiry of a
	// support whose commit had no known outcome, of this or an earlier process.
	quietSince time.Time
}

// support is the support for one commit on top of base.
type support struct {
	id      ProposalID
	base    head.Head
	expires time.Time
}

// NewSupporter returns the state of a process that started at time start.
func NewSupporter(start time.Time) Supporter {
	return Supporter{quietSince: start.Add(SupportWindow)}
}

// Support records that the member gives support for a commit on top of base.
func (s *Supporter) Support(id ProposalID, base head.Head, now time.Time) {
	s.removeExpired(now)
	s.openSupports = append(slices.Clip(s.openSupports), support{id: id, base: base, expires: now.Add(SupportWindow)})
}

// Withdraw ends a support whose commit certainly failed or was never sent.
func (s *Supporter) Withdraw(id ProposalID, now time.Time) {
	s.removeExpired(now)
	s.remove(func(sp support) bool { return sp.id == id })
}

// Observe removes the supports of commits whose base is older than the observed
// head h: these commits are part of h or have failed.
func (s *Supporter) Observe(h head.Head, now time.Time) {
	s.removeExpired(now)
	s.remove(func(sp support) bool { return h != sp.base && h.AtLeast(sp.base) })
}

// remove removes the supports that match.
func (s *Supporter) remove(match func(support) bool) {
	var kept []support
	for _, sp := range s.openSupports {
		if !match(sp) {
			kept = append(kept, sp)
		}
	}
	s.openSupports = kept
}

// removeExpired removes the supports that have expired and moves quietSince to
// the latest of their expiry times.
func (s *Supporter) removeExpired(now time.Time) {
	s.remove(func(sp support) bool {
		expired := !now.Before(sp.expires)
		if expired && sp.expires.After(s.quietSince) {
			s.quietSince = sp.expires
		}
		return expired
	})
}

// Attest returns the QuietFor of an attestation at time now: every commit that
// the member supported and that took effect during this time is part of the
// newest head that it has observed. It returns false if a support is open or if
// one given by an earlier process could be.
func (s *Supporter) Attest(now time.Time) (time.Duration, bool) {
	s.removeExpired(now)
	if len(s.openSupports) > 0 || now.Before(s.quietSince) {
		return 0, false
	}
	return now.Sub(s.quietSince), true
}

// AppendText appends a text that is the same for equal states. It never fails.
func (s *Supporter) AppendText(b []byte) ([]byte, error) {
	for _, sp := range s.openSupports {
		b = strconv.AppendUint(b, uint64(sp.id), 36)
		b = append(b, ' ')
		b = appendHead(b, sp.base)
		b = appendTime(b, sp.expires)
	}
	return appendTime(b, s.quietSince), nil
}
