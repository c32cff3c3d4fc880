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
	// keptRecords bounds the ticket records kept for peers.
	keptRecords = 256
	// keptSightings bounds the heads whose first sight is remembered.
	keptSightings = 64
)

// sighting is when a head was first known to be committed.
type sighting struct {
	head head.Head
	at   time.Time
}

// state is everything that the loops share. It is guarded by Spreader.mu.
type state struct {
	self    vm.ID
	started time.Time

	evidence     freshness.Evidence
	supporter    freshness.Supporter
	attestations freshness.Attestations

	config  *config.Snapshot
	records []ticket.Record
	roster  *roster.Roster
	// rosterAt is when this version of the roster was installed here.
	rosterAt  time.Time
	sightings []sighting
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

// view returns the immutable view of the state.
func (st *state) view() *View {
	return &View{
		Head:       st.evidence.Head(),
		Roster:     st.roster,
		EvidenceAt: st.evidence.ServableAt(),
		Member:     st.roster.Contains(st.self),
	}
}

// Fresh reports whether the view lets this VM serve keyed requests.
func (v *View) Fresh(now time.Time) bool {
	return v.Member && freshness.Fresh(v.EvidenceAt, now)
}

// observe takes in that the head was h at time at.
func (st *state) observe(h head.Head, at, now time.Time) {
	st.evidence.Observe(h, at)
	st.supporter.Observe(h, now)
	st.sight(h, now)
}

// sight remembers when a head was first known.
func (st *state) sight(h head.Head, now time.Time) {
	if n := len(st.sightings); n > 0 && st.sightings[n-1].head.AtLeast(h) {
		return
	}
	st.sightings = append(st.sightings, sighting{h, now})
	if len(st.sightings) > keptSightings {
		st.sightings = slices.Delete(st.sightings, 0, 1)
	}
}

// knownFor returns how long a ticket is known to be committed, or zero.
func (st *state) knownFor(n config.Number, now time.Time) time.Duration {
	for _, s := range st.sightings {
		if s.head.Number >= n {
			return now.Sub(s.at)
		}
	}
	return 0
}

// attestAge is the age of evidence from which attestations are evaluated.
const attestAge = 1 * time.Second

// attest records this router's own attestation and extends the evidence, if
// that is getting old.
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

// installConfig takes a newer configuration. It reports false for an older.
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
	st.keep(records)
	return true
}

// keep appends records that continue those kept.
func (st *state) keep(records []ticket.Record) {
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
	if extra := len(st.records) - keptRecords; extra > 0 {
		st.records = slices.Delete(st.records, 0, extra)
	}
}

// recordsAfter returns the records after n, or false if they are not kept.
func (st *state) recordsAfter(n config.Number) ([]ticket.Record, bool) {
	if n >= st.config.Number {
		return nil, true
	}
	if len(st.records) == 0 || st.records[0].Number > n+1 {
		return nil, false
	}
	return slices.Clone(st.records[n+1-st.records[0].Number:]), true
}

// installRoster takes a newer roster. It reports false for an older.
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
