package poison

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

// Roster is the set of VMs that may run requests. Rosters with the same version
// have the same members.
type Roster struct {
	Version uint64
	Members []vm.ID
}

// Grant permits one run of a suspect on one server. It is invalid on a VM whose
// roster has another version.
type Grant struct {
	Version uint64
	Number  uint64
}

// DecisionKind is the kind of a home's decision on a request for a grant.
type DecisionKind uint8

const (
	// Pending means that the VMs in Decision.AnnounceTo must first receive the
	// evidence.
	Pending DecisionKind = iota
	// Busy means that the suspect is running, or may be running, on the VMs in
	// Decision.AnnounceTo.
	Busy
	// Stale means that the requesting VM and the home have different roster
	// versions.
	Stale
	// Granted means that the suspect may run now.
	Granted
	// Cleared means that the content is not a suspect.
	Cleared
	// Convicted means that the content must not run.
	Convicted
)

// Decision is a home's reply to a request for a grant.
type Decision struct {
	Kind  DecisionKind
	Grant Grant
	// AnnounceTo lists the VMs to which the home must send an announcement.
	AnnounceTo []vm.ID
	// Evidence is all evidence that the home has on the content.
	Evidence Evidence
	// RetryAfter is the time until the evidence of a conviction expires.
	RetryAfter time.Duration
}

// Announcement sends the evidence on a content to a VM and asks whether the VM
// is running the content.
type Announcement struct {
	Content  Content
	Version  uint64
	Evidence Evidence
	// Fence is the last grant number issued. A VM that isn't running the
	// suspect must reject grants up to this number from now on.
	Fence uint64
}

// Ack is the reply to an Announcement.
type Ack struct {
	From    vm.ID
	Version uint64
	Running bool
	// Fence is the highest grant number that the VM rejects.
	Fence uint64
	// Evidence is all evidence that the VM has on the content.
	Evidence Evidence
}

// Finish reports the end of a run of a suspect to its home.
type Finish struct {
	From     vm.ID
	Version  uint64
	Content  Content
	Evidence Evidence
	// Grant is the zero value if the run had no grant.
	Grant Grant
	// Running is set if the VM is running other copies of the content.
	Running bool
}

// HomeState holds the records of the suspects whose home is this VM. It is a
// state machine driven by messages; the caller must serialize the calls.
type HomeState struct {
	roster    Roster
	records   map[Content]*record
	lastGrant uint64
}

// record is a home's state for one suspect.
type record struct {
	evidence Evidence
	// acked are the VMs that have acknowledged all evidence.
	acked map[vm.ID]bool
	// running are the VMs that may be running copies without a grant.
	running map[vm.ID]bool
	grant   Grant
	holder  vm.ID
	expires time.Time
}

// NewHomeState returns a state without records. Grant numbers start after
// firstGrant, which must be larger than all numbers of earlier processes of the
// VM, for example the start time in nanoseconds.
func NewHomeState(firstGrant uint64) *HomeState {
	return &HomeState{records: map[Content]*record{}, lastGrant: firstGrant}
}

// SetRoster changes the roster. It discards acknowledgements, running VMs and
// grants of the old roster, because a content may have another home now.
func (h *HomeState) SetRoster(r Roster) {
	if r.Version == h.roster.Version {
		return
	}
	h.roster = r
	for _, rec := range h.records {
		rec.acked = map[vm.ID]bool{}
		rec.running = map[vm.ID]bool{}
		rec.grant = Grant{}
	}
}

// Acquire decides whether VM from may run a suspect now.
func (h *HomeState) Acquire(now time.Time, from vm.ID, version uint64, c Content, known Evidence) Decision {
	rec := h.mergeEvidence(now, c, known)
	d := Decision{Evidence: rec.evidence.Clone()}
	if version != h.roster.Version {
		d.Kind = Stale
		return d
	}
	switch n := rec.evidence.Crashes(); {
	case n >= CrashLimit:
		d.Kind = Convicted
		d.RetryAfter = rec.expires.Sub(now)
		return d
	case n == 0:
		d.Kind = Cleared
		return d
	}
	if d.AnnounceTo = h.unacked(rec); len(d.AnnounceTo) > 0 {
		return d
	}
	if d.AnnounceTo = rec.possibleRunners(); len(d.AnnounceTo) > 0 {
		d.Kind = Busy
		return d
	}
	h.lastGrant++
	rec.grant = Grant{Version: version, Number: h.lastGrant}
	rec.holder = from
	d.Kind = Granted
	d.Grant = rec.grant
	return d
}

// Finish records the end of a run. It returns the VMs that have not
// acknowledged all evidence.
func (h *HomeState) Finish(now time.Time, f Finish) (unacked []vm.ID) {
	rec := h.mergeEvidence(now, f.Content, f.Evidence)
	if f.Version == h.roster.Version {
		if f.Grant != (Grant{}) && f.Grant == rec.grant {
			rec.grant = Grant{}
		}
		rec.setRunning(f.From, f.Running)
	}
	return h.Unacked(f.Content)
}

// Unacked returns the VMs that have not acknowledged all evidence on a suspect.
func (h *HomeState) Unacked(c Content) []vm.ID {
	rec, ok := h.records[c]
	if !ok || rec.evidence.Crashes() == 0 {
		return nil
	}
	return h.unacked(rec)
}

// Announcement returns the message for the VMs in Decision.AnnounceTo.
func (h *HomeState) Announcement(c Content) Announcement {
	a := Announcement{Content: c, Version: h.roster.Version, Fence: h.lastGrant}
	if rec, ok := h.records[c]; ok {
		a.Evidence = rec.evidence.Clone()
	}
	return a
}

// Ack records a VM's reply to announcement a.
func (h *HomeState) Ack(now time.Time, a Announcement, ack Ack) {
	rec, ok := h.records[a.Content]
	if !ok || ack.Version != h.roster.Version || a.Version != h.roster.Version {
		return
	}
	h.lastGrant = max(h.lastGrant, ack.Fence)
	rec.mergeEvidence(now, ack.Evidence)
	if !a.Evidence.Clone().Merge(rec.evidence) {
		rec.acked[ack.From] = true
	}
	if rec.holder == ack.From && rec.grant.Number != 0 {
		if !ack.Running && ack.Fence >= rec.grant.Number {
			rec.grant = Grant{}
		}
		return
	}
	rec.setRunning(ack.From, ack.Running)
}

// MarkUnreachable records that a VM is treated as gone: it runs no copy of the
// content and needs no announcement.
func (h *HomeState) MarkUnreachable(c Content, id vm.ID) {
	rec, ok := h.records[c]
	if !ok {
		return
	}
	rec.acked[id] = true
	delete(rec.running, id)
	if rec.holder == id {
		rec.grant = Grant{}
	}
}

// Expire deletes expired records.
func (h *HomeState) Expire(now time.Time) {
	for c, rec := range h.records {
		if !now.Before(rec.expires) {
			delete(h.records, c)
		}
	}
}

// mergeEvidence merges evidence into the record of a content, which it creates
// if there is none.
func (h *HomeState) mergeEvidence(now time.Time, c Content, known Evidence) *record {
	rec, ok := h.records[c]
	if ok && !now.Before(rec.expires) {
		ok = false
	}
	if !ok {
		h.evictIfFull()
		rec = &record{evidence: Evidence{}, acked: map[vm.ID]bool{}, running: map[vm.ID]bool{}, expires: now.Add(EvidenceTTL)}
		h.records[c] = rec
	}
	rec.mergeEvidence(now, known)
	return rec
}

// mergeEvidence merges evidence into the record. If there is a new crash, it
// discards the acknowledgements, because the evidence must be announced again.
func (r *record) mergeEvidence(now time.Time, known Evidence) {
	if r.evidence.Merge(known) {
		r.acked = map[vm.ID]bool{}
		r.expires = now.Add(EvidenceTTL)
	}
}

// evictIfFull deletes the record that expires first if the maximum number of
// records is reached.
func (h *HomeState) evictIfFull() {
	if len(h.records) < maxContents {
		return
	}
	var oldest Content
	var expires time.Time
	for c, rec := range h.records {
		if expires.IsZero() || rec.expires.Before(expires) {
			oldest, expires = c, rec.expires
		}
	}
	delete(h.records, oldest)
}

func (h *HomeState) unacked(rec *record) []vm.ID {
	var out []vm.ID
	for _, id := range h.roster.Members {
		if !rec.acked[id] {
			out = append(out, id)
		}
	}
	return out
}

func (r *record) setRunning(id vm.ID, running bool) {
	if running {
		r.running[id] = true
		return
	}
	delete(r.running, id)
}

// possibleRunners returns the sorted IDs of the VMs that may be running the
// content.
func (r *record) possibleRunners() []vm.ID {
	var out []vm.ID
	for id := range r.running {
		out = append(out, id)
	}
	if r.grant.Number != 0 && !r.running[r.holder] {
		out = append(out, r.holder)
	}
	slices.Sort(out)
	return out
}
