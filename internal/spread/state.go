package spread

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/ticket"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// maxRecords is the maximum number of ticket records retained for peers.
	maxRecords = 256
	// maxSeenHeads is the maximum number of heads whose first observation is
	// retained.
	maxSeenHeads = 64
)

// seenHead is a committed head and the time at which this process first
// observed it.
type seenHead struct {
	head head.Head
	at   time.Time
}

// state is shared by the loops and guarded by Spreader.mu.
type state struct {
	self    vm.ID
	started time.Time

	evidence     freshness.Evidence
	supporter    freshness.Supporter
	attestations freshness.Attestations

	config  *config.Snapshot
	records []ticket.Record
	roster  *roster.Roster
	// rosterAt is when the current roster version was installed in this
	// process.
	rosterAt  time.Time
	seenHeads []seenHead
	absence   roster.Absence
	// listed is the platform's membership list.
	listed []platform.Member
}

func newState(self vm.ID, now time.Time) state {
	return state{
		self:      self,
		started:   now,
		evidence:  freshness.NewEvidence(now),
		supporter: freshness.NewSupporter(now),
		config:    config.Empty(),
		roster:    &roster.Roster{},
		rosterAt:  now,
	}
}

// view returns an immutable view of the state.
func (st *state) view() *View {
	return &View{
		Head:       st.evidence.Head(),
		Roster:     st.roster,
		EvidenceAt: st.evidence.ServableAt(),
		Member:     st.roster.Contains(st.self),
	}
}

// Fresh reports whether the view allows this VM to serve keyed requests.
func (v *View) Fresh(now time.Time) bool {
	return v.Member && freshness.Fresh(v.EvidenceAt, now)
}

// observe records that h was the head at time at.
func (st *state) observe(h head.Head, at, now time.Time) {
	st.evidence.Observe(h, at)
	st.supporter.Observe(h, now)
	st.recordSeen(h, now)
}

// recordSeen records when a head was first observed.
func (st *state) recordSeen(h head.Head, now time.Time) {
	if n := len(st.seenHeads); n > 0 && st.seenHeads[n-1].head.AtLeast(h) {
		return
	}
	st.seenHeads = append(st.seenHeads, seenHead{h, now})
	if len(st.seenHeads) > maxSeenHeads {
		st.seenHeads = slices.Delete(st.seenHeads, 0, 1)
	}
}

// committedFor returns the time since this process first observed that ticket n
// was committed, or zero if it hasn't.
func (st *state) committedFor(n config.Number, now time.Time) time.Duration {
	for _, s := range st.seenHeads {
		if s.head.Number >= n {
			return now.Sub(s.at)
		}
	}
	return 0
}

// attestAge is the minimum age of the evidence at which attestations are
// evaluated.
const attestAge = 1 * time.Second

// attest adds this router's own attestation and extends the evidence from all
// attestations, if the evidence is at least attestAge old.
func (st *state) attest(now time.Time) {
	if freshness.Age(st.evidence.At(), now) < attestAge {
		return
	}
	if quietFor, ok := st.supporter.Attest(now); ok {
		att := freshness.Attestation{QuietFor: quietFor, Head: st.evidence.Target()}
		st.attestations.Add(st.self, att, now, now)
	}
	st.attestations.Extend(&st.evidence, st.roster.IDs())
}

// behind reports whether a newer head is known than the one in force.
func (st *state) behind() bool {
	return st.evidence.Target() != st.evidence.Head()
}

// installConfig installs a configuration and reports whether it was newer than
// the current one.
func (st *state) installConfig(snap *config.Snapshot, records []ticket.Record) bool {
	h := st.evidence.Head()
	if snap.Number <= h.Number {
		return false
	}
	h.Number = snap.Number
	if !st.evidence.Install(h) {
		return false
	}
	st.config = snap
	st.appendRecords(records)
	return true
}

// appendRecords appends records that continue the retained sequence. It drops
// the retained records if there is a gap or if they don't end at the current
// configuration.
func (st *state) appendRecords(records []ticket.Record) {
	for _, r := range records {
		if n := len(st.records); n > 0 && st.records[n-1].Number+1 != r.Number {
			if r.Number <= st.records[n-1].Number {
				continue
			}
			st.records = nil
		}
		st.records = append(st.records, r)
	}
	if n := len(st.records); n > 0 && st.records[n-1].Number != st.config.Number {
		st.records = nil
	}
	if extra := len(st.records) - maxRecords; extra > 0 {
		st.records = slices.Delete(st.records, 0, extra)
	}
}

// recordsAfter returns the records after n. It returns false if some of them
// are no longer retained.
func (st *state) recordsAfter(n config.Number) ([]ticket.Record, bool) {
	if n >= st.config.Number {
		return nil, true
	}
	if len(st.records) == 0 || st.records[0].Number > n+1 {
		return nil, false
	}
	return slices.Clone(st.records[n+1-st.records[0].Number:]), true
}

// installRoster installs a roster and reports whether it was newer than the
// current one.
func (st *state) installRoster(r *roster.Roster, now time.Time) bool {
	h := st.evidence.Head()
	if r.Version <= h.Roster {
		return false
	}
	h.Roster = r.Version
	if !st.evidence.Install(h) {
		return false
	}
	st.roster = r
	st.rosterAt = now
	return true
}
