package poison

import (
	"fmt"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Status is a VM's classification of a content that is about to run.
type Status uint8

const (
	// Unsuspected means that the content may run without a grant.
	Unsuspected Status = iota
	// Suspect means that the content needs a grant.
	Suspect
	// Blocked means that the content is convicted and must not run.
	Blocked
)

// End is the outcome of a run.
type End uint8

const (
	// Failed is an outcome that is no evidence about the content.
	Failed End = iota
	// Completed means that the server ran the content to completion.
	Completed
	// Crashed means that the server crashed or may have crashed.
	Crashed
)

// Run is one run of a content on a server. LocalState creates it.
type Run struct {
	account account.ID
	content func() Content
	server  backend.ID
	// incarnation is the server's incarnation at the start if known, otherwise
	// empty.
	incarnation backend.Incarnation
	// crashes is the number of crashes recorded for the server at the start.
	crashes int
	grant   Grant
	serial  uint64
	// traits computes the traits of the request; nil if it has no prompt. sent is when it was sent,
	// and observed the last known incarnation of the server then. The guard sets them.
	traits   func() crashcause.Traits
	sent     time.Time
	observed backend.Incarnation
}

// LocalState holds a VM's evidence and its current runs. It is a state machine;
// the caller must serialize the calls.
type LocalState struct {
	self     vm.ID
	version  uint64
	suspects map[Content]*suspectState
	// byAccount counts the suspects of each account. The digest is computed
	// only for requests of accounts that have suspects.
	byAccount map[account.ID]int
	running   map[*Run]bool
	crashes   map[backend.ID]int
	serial    uint64
}

// suspectState is a VM's evidence on one content.
type suspectState struct {
	evidence Evidence
	// fence is the highest grant number that must be rejected.
	fence   uint64
	expires time.Time
}

// NewLocalState returns the state of a VM that has just started. Serial numbers
// must not repeat between processes of the VM.
func NewLocalState(self vm.ID, serial uint64) *LocalState {
	return &LocalState{
		self:      self,
		suspects:  map[Content]*suspectState{},
		byAccount: map[account.ID]int{},
		running:   map[*Run]bool{},
		crashes:   map[backend.ID]int{},
		serial:    serial,
	}
}

// SetVersion sets the version of the roster. Grants of other versions are
// invalid.
func (l *LocalState) SetVersion(v uint64) {
	if v == l.version {
		return
	}
	l.version = v
	for _, s := range l.suspects {
		s.fence = 0
	}
}

// Version returns the version of the roster.
func (l *LocalState) Version() uint64 { return l.version }

// Check returns the status of a content, the evidence on a suspect, and for a
// blocked content the time until its evidence expires. The content is computed
// only if its account has suspects.
func (l *LocalState) Check(now time.Time, id account.ID, content func() Content) (Status, Evidence, time.Duration) {
	if l.byAccount[id] == 0 {
		return Unsuspected, nil, 0
	}
	s := l.lookup(now, content())
	if s == nil || s.evidence.Crashes() == 0 {
		return Unsuspected, nil, 0
	}
	if s.evidence.Crashes() >= CrashLimit {
		return Blocked, nil, s.expires.Sub(now)
	}
	return Suspect, s.evidence.Clone(), 0
}

// Start starts a run without a grant. It returns nil if the content has become
// a suspect.
func (l *LocalState) Start(now time.Time, id account.ID, content func() Content, server backend.ID, inc backend.Incarnation) *Run {
	if status, _, _ := l.Check(now, id, content); status != Unsuspected {
		return nil
	}
	return l.begin(&Run{account: id, content: content, server: server, incarnation: inc})
}

// StartGranted starts a run with a grant. It returns nil if the grant is
// invalid.
func (l *LocalState) StartGranted(now time.Time, id account.ID, content func() Content, server backend.ID, g Grant) *Run {
	s := l.lookup(now, content())
	if g.Version != l.version || s == nil || g.Number <= s.fence {
		return nil
	}
	s.fence = g.Number
	return l.begin(&Run{account: id, content: content, server: server, grant: g})
}

func (l *LocalState) begin(r *Run) *Run {
	l.serial++
	r.serial = l.serial
	r.crashes = l.crashes[r.server]
	l.running[r] = true
	return r
}

// End ends a run. If the content is a suspect, or this crash makes it one, it
// returns the report for the home and true.
func (l *LocalState) End(now time.Time, r *Run, end End) (Finish, bool) {
	delete(l.running, r)
	if end == Crashed {
		l.addEvidence(now, r.content(), Evidence{l.incident(r): false})
	}
	if l.byAccount[r.account] == 0 && r.grant.Number == 0 {
		return Finish{}, false
	}
	c := r.content()
	s := l.lookup(now, c)
	if s == nil || s.evidence.Crashes() == 0 && r.grant.Number == 0 {
		return Finish{}, false
	}
	if end == Completed {
		l.updateEvidence(c, s, func() { s.evidence.Clear() })
	}
	f := Finish{From: l.self, Version: l.version, Content: c, Evidence: s.evidence.Clone(), Grant: r.grant, Running: l.isRunning(c)}
	if r.grant.Version != l.version {
		f.Grant = Grant{}
	}
	return f, true
}

// incident returns the identity of the crash that ended a run. Runs on the same
// incarnation share the incident on all VMs. If the incarnation is uncertain,
// the identity is unique, so that crashes are overcounted rather than
// undercounted.
func (l *LocalState) incident(r *Run) Incident {
	if l.crashes[r.server] == r.crashes {
		l.crashes[r.server]++
	}
	if r.grant.Number == 0 && r.incarnation != "" && r.crashes == 0 {
		return Incident(fmt.Sprintf("%s/%s", r.server, r.incarnation))
	}
	return Incident(fmt.Sprintf("%s/%s/%d", r.server, l.self, r.serial))
}

// RecordRestart records that a server has a new incarnation.
func (l *LocalState) RecordRestart(server backend.ID) { delete(l.crashes, server) }

// HandleAnnouncement merges the evidence of an announcement and returns the
// acknowledgement, which says whether the content is running on this VM.
func (l *LocalState) HandleAnnouncement(now time.Time, a Announcement) Ack {
	s := l.addEvidence(now, a.Content, a.Evidence)
	running := l.isRunning(a.Content)
	if a.Version == l.version && !running {
		s.fence = max(s.fence, a.Fence)
	}
	return Ack{From: l.self, Version: l.version, Running: running, Fence: s.fence, Evidence: s.evidence.Clone()}
}

// Announcements returns all evidence.
func (l *LocalState) Announcements() []Announcement {
	out := make([]Announcement, 0, len(l.suspects))
	for c, s := range l.suspects {
		out = append(out, Announcement{Content: c, Evidence: s.evidence.Clone()})
	}
	return out
}

// MergeEvidence adds evidence received from another VM.
func (l *LocalState) MergeEvidence(now time.Time, c Content, e Evidence) { l.addEvidence(now, c, e) }

// isRunning reports whether any copy of the content is running on this VM.
func (l *LocalState) isRunning(c Content) bool {
	for r := range l.running {
		if r.account == c.Account && r.content() == c {
			return true
		}
	}
	return false
}

// lookup returns the state of a content, or nil if there is none or it has
// expired.
func (l *LocalState) lookup(now time.Time, c Content) *suspectState {
	s, ok := l.suspects[c]
	if !ok {
		return nil
	}
	if !now.Before(s.expires) {
		l.remove(c)
		return nil
	}
	return s
}

func (l *LocalState) addEvidence(now time.Time, c Content, e Evidence) *suspectState {
	s := l.lookup(now, c)
	if s == nil {
		l.evictIfFull()
		s = &suspectState{evidence: Evidence{}, expires: now.Add(EvidenceTTL)}
		l.suspects[c] = s
	}
	l.updateEvidence(c, s, func() {
		if s.evidence.Merge(e) {
			s.expires = now.Add(EvidenceTTL)
		}
	})
	return s
}

// updateEvidence applies a change of evidence and keeps byAccount up to date.
func (l *LocalState) updateEvidence(c Content, s *suspectState, apply func()) {
	before := s.evidence.Crashes() > 0
	apply()
	after := s.evidence.Crashes() > 0
	if after && !before {
		l.byAccount[c.Account]++
	}
	if before && !after {
		l.decrementSuspects(c.Account)
	}
}

// decrementSuspects decrements the number of suspects of the account.
func (l *LocalState) decrementSuspects(id account.ID) {
	l.byAccount[id]--
	if l.byAccount[id] == 0 {
		delete(l.byAccount, id)
	}
}

// Expire deletes expired evidence.
func (l *LocalState) Expire(now time.Time) {
	for c := range l.suspects {
		l.lookup(now, c)
	}
}

// evictIfFull deletes the evidence that expires first if the maximum number of
// contents is reached.
func (l *LocalState) evictIfFull() {
	if len(l.suspects) < maxContents {
		return
	}
	var oldest Content
	var expires time.Time
	for c, s := range l.suspects {
		if expires.IsZero() || s.expires.Before(expires) {
			oldest, expires = c, s.expires
		}
	}
	l.remove(oldest)
}

func (l *LocalState) remove(c Content) {
	if l.suspects[c].evidence.Crashes() > 0 {
		l.decrementSuspects(c.Account)
	}
	delete(l.suspects, c)
}
