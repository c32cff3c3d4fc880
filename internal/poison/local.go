package poison

import (
	"fmt"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Status is what a VM knows of a content that it is about to run.
type Status uint8

const (
	// Unsuspected means that the content may run freely.
	Unsuspected Status = iota
	// Suspect means that the content needs a grant.
	Suspect
	// Guilty means that the content must not run.
	Guilty
)

// End is the way in which a run ended.
type End uint8

const (
	// Failed says nothing about the content.
	Failed End = iota
	// Completed means that the server ran the content to its end.
	Completed
	// Crashed means that the server crashed, or may have.
	Crashed
)

// Run is one run of a content on a server, begun by Local.
type Run struct {
	account account.ID
	content func() Content
	server  backend.ID
	// incarnation is the server's as known at the start; empty if unknown.
	incarnation backend.Incarnation
	// crashes is the number of crashes seen of the server at the start.
	crashes int
	grant   Grant
	serial  uint64
}

// Local is a VM's own knowledge of suspects and of what it is running. It is a
// state machine; its caller serializes the calls.
type Local struct {
	self     vm.ID
	version  uint64
	suspects map[Content]*suspicion
	// byAccount counts the suspects of each account that are not cleared, so
	// that the digest is computed only for requests of accounts with any.
	byAccount map[account.ID]int
	running   map[*Run]bool
	crashes   map[backend.ID]int
	serial    uint64
}

type suspicion struct {
	evidence Evidence
	// fence is the last grant number that must not be accepted.
	fence   uint64
	expires time.Time
}

// NewLocal returns the knowledge of a VM that has just started. Serial must not
// repeat between processes.
func NewLocal(self vm.ID, serial uint64) *Local {
	return &Local{
		self:      self,
		suspects:  map[Content]*suspicion{},
		byAccount: map[account.ID]int{},
		running:   map[*Run]bool{},
		crashes:   map[backend.ID]int{},
		serial:    serial,
	}
}

// SetVersion sets the version of the roster. Grants of other versions are void.
func (l *Local) SetVersion(v uint64) {
	if v == l.version {
		return
	}
	l.version = v
	for _, s := range l.suspects {
		s.fence = 0
	}
}

// Version returns the version of the roster.
func (l *Local) Version() uint64 { return l.version }

// Check tells what is known of a content. The content is computed only if its
// account has suspects.
func (l *Local) Check(now time.Time, id account.ID, content func() Content) (Status, Evidence, time.Duration) {
	if l.byAccount[id] == 0 {
		return Unsuspected, nil, 0
	}
	s := l.lookup(now, content())
	if s == nil || s.evidence.Crashes() == 0 {
		return Unsuspected, nil, 0
	}
	if s.evidence.Crashes() >= CrashLimit {
		return Guilty, nil, s.expires.Sub(now)
	}
	return Suspect, s.evidence.Clone(), 0
}

// Start begins a run without a grant. It returns nil if the content has become
// a suspect.
func (l *Local) Start(now time.Time, id account.ID, content func() Content, server backend.ID, inc backend.Incarnation) *Run {
	if status, _, _ := l.Check(now, id, content); status != Unsuspected {
		return nil
	}
	return l.begin(&Run{account: id, content: content, server: server, incarnation: inc})
}

// StartGranted begins a run with a grant. It returns nil if the grant is void.
func (l *Local) StartGranted(now time.Time, id account.ID, content func() Content, server backend.ID, g Grant) *Run {
	s := l.lookup(now, content())
	if g.Version != l.version || s == nil || g.Number <= s.fence {
		return nil
	}
	s.fence = g.Number
	return l.begin(&Run{account: id, content: content, server: server, grant: g})
}

func (l *Local) begin(r *Run) *Run {
	l.serial++
	r.serial = l.serial
	r.crashes = l.crashes[r.server]
	l.running[r] = true
	return r
}

// End ends a run. If the content is a suspect, or has become one by this, it
// returns the message for its home.
func (l *Local) End(now time.Time, r *Run, end End) (Finish, bool) {
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
		l.change(c, s, func() { s.evidence.Clear() })
	}
	f := Finish{From: l.self, Version: l.version, Content: c, Evidence: s.evidence.Clone(), Grant: r.grant, Running: l.runs(c)}
	if r.grant.Version != l.version {
		f.Grant = Grant{}
	}
	return f, true
}

// incident names the crash that ended a run. Copies that ran on the same
// incarnation share the name, on all VMs. Where that cannot be known the name
// is unique, which counts a crash too many rather than one too few.
func (l *Local) incident(r *Run) Incident {
	if l.crashes[r.server] == r.crashes {
		l.crashes[r.server]++
	}
	if r.grant.Number == 0 && r.incarnation != "" && r.crashes == 0 {
		return Incident(fmt.Sprintf("%s/%s", r.server, r.incarnation))
	}
	return Incident(fmt.Sprintf("%s/%s/%d", r.server, l.self, r.serial))
}

// Restarted records that a server has a new incarnation.
func (l *Local) Restarted(server backend.ID) { delete(l.crashes, server) }

// Announce takes in what a home tells and answers whether the content runs
// here.
func (l *Local) Announce(now time.Time, a Announcement) Ack {
	s := l.addEvidence(now, a.Content, a.Evidence)
	running := l.runs(a.Content)
	if a.Version == l.version && !running {
		s.fence = max(s.fence, a.Fence)
	}
	return Ack{From: l.self, Version: l.version, Running: running, Fence: s.fence, Evidence: s.evidence.Clone()}
}

// Suspects returns all evidence.
func (l *Local) Suspects() []Announcement {
	out := make([]Announcement, 0, len(l.suspects))
	for c, s := range l.suspects {
		out = append(out, Announcement{Content: c, Evidence: s.evidence.Clone()})
	}
	return out
}

// Learn takes in the evidence of another VM.
func (l *Local) Learn(now time.Time, c Content, e Evidence) { l.addEvidence(now, c, e) }

// runs reports whether any copy of the content runs here.
func (l *Local) runs(c Content) bool {
	for r := range l.running {
		if r.account == c.Account && r.content() == c {
			return true
		}
	}
	return false
}

// lookup returns the suspicion of a content unless it has expired.
func (l *Local) lookup(now time.Time, c Content) *suspicion {
	s, ok := l.suspects[c]
	if !ok {
		return nil
	}
	if !now.Before(s.expires) {
		l.forget(c)
		return nil
	}
	return s
}

func (l *Local) addEvidence(now time.Time, c Content, e Evidence) *suspicion {
	s := l.lookup(now, c)
	if s == nil {
		l.makeRoom()
		s = &suspicion{evidence: Evidence{}, expires: now.Add(EvidenceTTL)}
		l.suspects[c] = s
	}
	l.change(c, s, func() {
		if s.evidence.Merge(e) {
			s.expires = now.Add(EvidenceTTL)
		}
	})
	return s
}

// change applies a change of evidence and keeps byAccount up to date.
func (l *Local) change(c Content, s *suspicion, apply func()) {
	before := s.evidence.Crashes() > 0
	apply()
	after := s.evidence.Crashes() > 0
	if after && !before {
		l.byAccount[c.Account]++
	}
	if before && !after {
		l.release(c.Account)
	}
}

// release counts one suspect of the account less.
func (l *Local) release(id account.ID) {
	l.byAccount[id]--
	if l.byAccount[id] == 0 {
		delete(l.byAccount, id)
	}
}

// Expire forgets old evidence.
func (l *Local) Expire(now time.Time) {
	for c := range l.suspects {
		l.lookup(now, c)
	}
}

// makeRoom forgets the suspicion that expires first when there are too many.
func (l *Local) makeRoom() {
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
	l.forget(oldest)
}

func (l *Local) forget(c Content) {
	if l.suspects[c].evidence.Crashes() > 0 {
		l.release(c.Account)
	}
	delete(l.suspects, c)
}
