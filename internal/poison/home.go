package poison

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

// Roster is the set of VMs that may run requests. VMs with the same version
// have the same members.
type Roster struct {
	Version uint64
	Members []vm.ID
}

// Grant is the right to run a suspect once, on one server. It is void on a VM
// whose roster has another version.
type Grant struct {
	Version uint64
	Number  uint64
}

// DecisionKind is what a home answers to a VM that wants to run a suspect.
type DecisionKind uint8

const (
	// Pending means that VMs in Decision.Ask must be told of the suspect
	// first.
	Pending DecisionKind = iota
	// Busy means that the suspect runs, or may run, on the VMs in
	// Decision.Ask.
	Busy
	// Stale means that the two VMs have different rosters.
	Stale
	// Granted means that the suspect may run now.
	Granted
	// Cleared means that the content is no suspect.
	Cleared
	// Convicted means that the content must not run.
	Convicted
)

// Decision is a home's answer.
type Decision struct {
	Kind  DecisionKind
	Grant Grant
	Ask   []vm.ID
	// Evidence is all that the home knows.
	Evidence Evidence
	// RetryAfter is when the evidence of a conviction expires.
	RetryAfter time.Duration
}

// Announcement tells a VM of a suspect and asks whether it is running it.
type Announcement struct {
	Content  Content
	Version  uint64
	Evidence Evidence
	// Fence is the last grant number. A VM that does not run the suspect must
	// not accept a grant up to it afterwards.
	Fence uint64
}

// Ack answers an Announcement.
type Ack struct {
	From    vm.ID
	Version uint64
	Running bool
	// Fence is the last grant number that the VM does not accept any more.
	Fence uint64
	// Evidence is all that the VM knows.
	Evidence Evidence
}

// Finish tells the home that a run of a suspect ended.
type Finish struct {
	From     vm.ID
	Version  uint64
	Content  Content
	Evidence Evidence
	// Grant is the zero value if the run had none.
	Grant Grant
	// Running is set if the VM runs other copies.
	Running bool
}

// Home holds the records of the suspects whose home is this VM. It is a state
// machine that is driven by messages; its caller serializes the calls.
type Home struct {
	roster    Roster
	records   map[Content]*record
	lastGrant uint64
}

// record is what a home knows of one suspect.
type record struct {
	evidence Evidence
	// acked are the VMs that know of all evidence.
	acked map[vm.ID]bool
	// running are the VMs that may run copies without a grant.
	running map[vm.ID]bool
	grant   Grant
	holder  vm.ID
	expires time.Time
}

// NewHome returns a home without records. Grant numbers begin after
// firstGrant, which must be larger than all numbers of earlier processes of the
// VM, for example its start time in nanoseconds.
func NewHome(firstGrant uint64) *Home {
	return &Home{records: map[Content]*record{}, lastGrant: firstGrant}
}

// SetRoster changes the roster. What VMs promised under the old one is void,
// because a content may have another home now.
func (h *Home) SetRoster(r Roster) {
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
func (h *Home) Acquire(now time.Time, from vm.ID, version uint64, c Content, known Evidence) Decision {
	rec := h.learn(now, c, known)
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
	if d.Ask = h.unacked(rec); len(d.Ask) > 0 {
		return d
	}
	if d.Ask = rec.mayRun(); len(d.Ask) > 0 {
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

// Finish records the end of a run. It returns the VMs that must be told of new
// evidence.
func (h *Home) Finish(now time.Time, f Finish) (ask []vm.ID) {
	rec := h.learn(now, f.Content, f.Evidence)
	if f.Version == h.roster.Version {
		if f.Grant != (Grant{}) && f.Grant == rec.grant {
			rec.grant = Grant{}
		}
		rec.setRunning(f.From, f.Running)
	}
	return h.Unacked(f.Content)
}

// Unacked returns the VMs that must still be told of a suspect.
func (h *Home) Unacked(c Content) []vm.ID {
	rec, ok := h.records[c]
	if !ok || rec.evidence.Crashes() == 0 {
		return nil
	}
	return h.unacked(rec)
}

// Announcement returns the message for the VMs that a decision names.
func (h *Home) Announcement(c Content) Announcement {
	a := Announcement{Content: c, Version: h.roster.Version, Fence: h.lastGrant}
	if rec, ok := h.records[c]; ok {
		a.Evidence = rec.evidence.Clone()
	}
	return a
}

// Ack records a VM's answer to announcement a.
func (h *Home) Ack(now time.Time, a Announcement, ack Ack) {
	rec, ok := h.records[a.Content]
	if !ok || ack.Version != h.roster.Version || a.Version != h.roster.Version {
		return
	}
	h.lastGrant = max(h.lastGrant, ack.Fence)
	rec.learn(now, ack.Evidence)
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

// Lost records that a VM is gone: it runs nothing and need not be told.
func (h *Home) Lost(c Content, id vm.ID) {
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

// Expire forgets old evidence.
func (h *Home) Expire(now time.Time) {
	for c, rec := range h.records {
		if !now.Before(rec.expires) {
			delete(h.records, c)
		}
	}
}

// learn merges evidence into the record of a content.
func (h *Home) learn(now time.Time, c Content, known Evidence) *record {
	rec, ok := h.records[c]
	if ok && !now.Before(rec.expires) {
		ok = false
	}
	if !ok {
		h.makeRoom()
		rec = &record{evidence: Evidence{}, acked: map[vm.ID]bool{}, running: map[vm.ID]bool{}, expires: now.Add(EvidenceTTL)}
		h.records[c] = rec
	}
	rec.learn(now, known)
	return rec
}

// learn merges evidence. What is new must be announced again.
func (r *record) learn(now time.Time, known Evidence) {
	if r.evidence.Merge(known) {
		r.acked = map[vm.ID]bool{}
		r.expires = now.Add(EvidenceTTL)
	}
}

// makeRoom forgets the record that expires first when there are too many.
func (h *Home) makeRoom() {
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

func (h *Home) unacked(rec *record) []vm.ID {
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

// mayRun returns the VMs that may run the content, in order.
func (r *record) mayRun() []vm.ID {
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
