package crashcause

import (
	"cmp"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// announceTime is the time for which new evidence is in every message, because several
	// messages in a row may be lost.
	announceTime = 1500 * time.Millisecond
	// repeatInterval is the interval at which evidence is repeated after that, for VMs that
	// missed it, and repeatTime the age until which crashes and successes are.
	repeatInterval = 2 * time.Second
	repeatTime     = 30 * time.Second
	// maxNoticeRuns, maxNoticeParts, maxNoticeSuccesses and maxNoticeConvictions bound a message. A request
	// takes about 80 bytes, and all gossip of a VM has to fit into 7 kB a second
	// (docs/CAPACITY.md).
	maxNoticeRuns        = 24
	maxNoticeParts       = 384
	maxNoticeSuccesses   = 16
	maxNoticeConvictions = 4
	// ageTolerance is the smallest difference between two reported times of the same event
	// that counts: their ages grow on the way.
	ageTolerance = time.Second
)

// Scope selects the VMs that a message is for.
type Scope uint8

const (
	// OwnDomain are the VMs of the own failure domain.
	OwnDomain Scope = iota
	// OtherDomains are those of the others, which learn from the relays of a domain.
	OtherDomains
	scopes
)

// origin is where a piece of evidence comes from: this VM, another one of its failure domain,
// or another domain.
type origin uint8

const (
	own origin = iota
	domainPeer
	otherDomain
)

// announcement is when a piece of evidence was and is to be announced in each scope.
type announcement struct {
	since  time.Time
	origin origin
	last   [scopes]time.Time
}

// renew announces the evidence again. Evidence that this VM has found out stays its own.
func (a *announcement) renew(now time.Time, from origin) {
	if a.since.IsZero() || from < a.origin {
		a.origin = from
	}
	a.since = now
	a.last = [scopes]time.Time{}
}

// due reports whether the evidence belongs into the next message of a scope: at first if the
// scope can't have it from another VM, and later if this VM is to repeat evidence.
func (a *announcement) due(now time.Time, scope Scope, repeat bool) bool {
	if a.since.IsZero() {
		return false
	}
	if now.Sub(a.since) < announceTime {
		return a.origin == own || a.origin == domainPeer && scope == OtherDomains
	}
	return repeat && now.Sub(a.last[scope]) >= repeatInterval
}

// RunNotice is a request in a CrashNotice.
type RunNotice struct {
	Content Trait   `json:"c"`
	Parts   []Trait `json:"p,omitempty"`
	// SentBefore is the time from the send of the request to the crash, in milliseconds.
	SentBefore int64  `json:"b"`
	Weights    uint64 `json:"w,omitempty"`
	Begun      bool   `json:"n,omitempty"`
}

// CrashNotice is a crash as gossiped between VMs.
type CrashNotice struct {
	selector.ServerKey
	// Age is the time since the crash, in milliseconds.
	Age  int64       `json:"a"`
	Runs []RunNotice `json:"r"`
}

// SuccessNotice is a success of a suspected trait as gossiped between VMs.
type SuccessNotice struct {
	Trait Trait `json:"t"`
	// Age is the time since the success, in milliseconds.
	Age     int64  `json:"a"`
	Weights uint64 `json:"w,omitempty"`
}

// ConvictionNotice is a conviction as gossiped between VMs.
type ConvictionNotice struct {
	Trait Trait `json:"t"`
	Part  bool  `json:"p,omitempty"`
	// With has the same meaning as in a Conviction. Sole is set if there are none, which earlier
	// builds don't say.
	With []Trait `json:"v,omitempty"`
	Sole bool    `json:"o,omitempty"`
	// Age is the time since the last crash, in milliseconds.
	Age      int64                `json:"a"`
	Crashes  []selector.ServerKey `json:"x,omitempty"`
	Contents int                  `json:"n,omitempty"`
	Weights  uint64               `json:"w,omitempty"`
}

// Notices is the evidence in a message between VMs.
type Notices struct {
	Crashes     []CrashNotice      `json:"x,omitempty"`
	Successes   []SuccessNotice    `json:"s,omitempty"`
	Convictions []ConvictionNotice `json:"c,omitempty"`
}

// Notices returns the evidence for the next message of a scope; nil if there is none. A VM
// for which repeat is set also repeats what is older. If there is too much, what was
// announced least recently goes first.
func (t *Table) Notices(scope Scope, repeat bool) *Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 && len(t.convictions) == 0 {
		return nil
	}
	now := t.now()
	n := &Notices{Crashes: t.crashNotices(now, scope, repeat)}
	for _, trait := range t.successes.Keys() {
		s, _ := t.successes.Peek(trait)
		if len(n.Successes) < maxNoticeSuccesses && now.Sub(s.report.since) < repeatTime && s.report.due(now, scope, repeat) {
			s.report.last[scope] = now
			n.Successes = append(n.Successes, SuccessNotice{Trait: trait, Age: now.Sub(s.at).Milliseconds(), Weights: s.weights})
		}
	}
	for _, c := range t.dueConvictions(now, scope, repeat) {
		c.report.last[scope] = now
		n.Convictions = append(n.Convictions, c.notice(now))
	}
	if len(n.Crashes)+len(n.Successes)+len(n.Convictions) == 0 {
		return nil
	}
	return n
}

// notice returns the conviction as gossiped.
func (c *Conviction) notice(now time.Time) ConvictionNotice {
	return ConvictionNotice{
		Trait: c.Trait, Part: c.Part, With: c.With, Sole: len(c.With) == 0, Age: now.Sub(c.At).Milliseconds(),
		Crashes: c.Crashes, Contents: c.Contents, Weights: c.Weights,
	}
}

// AllConvictions returns the convictions in force for a VM that may have missed some; nil if there
// are none.
func (t *Table) AllConvictions() *Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.convictions) == 0 {
		return nil
	}
	n, now := &Notices{}, t.now()
	for _, c := range t.sortedConvictions() {
		n.Convictions = append(n.Convictions, c.notice(now))
	}
	return n
}

// crashNotices returns the notices of crashes with evidence that no success has cleared.
func (t *Table) crashNotices(now time.Time, scope Scope, repeat bool) []CrashNotice {
	var due []*crash
	for _, c := range t.crashes {
		if now.Sub(c.at) < repeatTime && c.report.due(now, scope, repeat) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *crash) int {
		return cmp.Or(a.report.last[scope].Compare(b.report.last[scope]), a.at.Compare(b.at))
	})
	crashesOf := map[Trait]int{}
	for _, c := range t.crashes {
		for i := range c.runs {
			crashesOf[c.runs[i].Content]++
		}
	}
	var out []CrashNotice
	runs, parts := 0, 0
	for _, c := range due {
		x := CrashNotice{ServerKey: c.server, Age: now.Sub(c.at).Milliseconds()}
		for i := range c.runs {
			if c.runs[i].Begun && crashesOf[c.runs[i].Content] == 1 {
				continue // Most likely a bystander; only a content that was repeated matters.
			}
			if run, open := t.openEvidence(&c.runs[i]); open && runs+len(x.Runs) < maxNoticeRuns && parts+len(run.Parts) <= maxNoticeParts {
				run.SentBefore = c.at.Sub(c.runs[i].Sent).Milliseconds()
				x.Runs = append(x.Runs, run)
				parts += len(run.Parts)
			}
		}
		c.report.last[scope] = now
		if runs += len(x.Runs); len(x.Runs) > 0 {
			out = append(out, x)
		}
		if runs >= maxNoticeRuns || parts >= maxNoticeParts {
			break
		}
	}
	return out
}

// openEvidence returns a request without the parts that a success has cleared, and false if
// nothing is left of it.
func (t *Table) openEvidence(run *Run) (RunNotice, bool) {
	n := RunNotice{Content: run.Content, Weights: run.Weights, Begun: run.Begun}
	if !run.Begun {
		for _, part := range run.Parts {
			if !t.cleared(part, run) {
				n.Parts = append(n.Parts, part)
			}
		}
	}
	return n, len(n.Parts) > 0 || !t.cleared(run.Content, run)
}

func (t *Table) dueConvictions(now time.Time, scope Scope, repeat bool) []*conviction {
	var due []*conviction
	for _, c := range t.convictions {
		if !c.expired(now) && c.report.due(now, scope, repeat) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *conviction) int {
		return cmp.Or(a.report.last[scope].Compare(b.report.last[scope]), cmp.Compare(a.Trait, b.Trait))
	})
	return due[:min(len(due), maxNoticeConvictions)]
}

// Apply merges evidence from another VM. sameDomain is set if that VM belongs to the own
// failure domain. It reports whether this VM has successes that the others should learn of
// soon.
func (t *Table) Apply(n *Notices, from string, sameDomain bool) (reply bool) {
	if n == nil {
		return false
	}
	origin := otherDomain
	if sameDomain {
		origin = domainPeer
	}
	t.update(from, func() bool {
		now := t.now()
		grew := false
		for _, s := range n.Successes {
			grew = t.addSuccess(s.Trait, now.Add(-milliseconds(s.Age)), s.Weights, origin) || grew
		}
		for _, x := range n.Crashes {
			at := now.Add(-milliseconds(x.Age))
			var runs []Run
			for _, r := range x.Runs[:min(len(x.Runs), maxRunsPerCrash)] {
				runs = append(runs, Run{
					Traits: Traits{Content: r.Content, Parts: r.Parts}, Sent: at.Add(-milliseconds(r.SentBefore)), Weights: r.Weights, Begun: r.Begun,
				})
			}
			if t.addCrash(x.ServerKey, at, runs, origin) {
				grew = true
				reply = t.announceSuccesses(runs) || reply
			}
		}
		return grew
	})
	now := t.now()
	for _, x := range n.Convictions {
		t.adopt(Conviction{
			Trait: x.Trait, Part: x.Part, With: x.With[:min(len(x.With), maxParts)], At: now.Add(-milliseconds(x.Age)), Crashes: x.Crashes, Contents: x.Contents, Weights: x.Weights,
		}, x.Sole, from, origin)
	}
	return reply
}

// Restore puts a conviction in force that was stored, unless it is known or the evidence of
// this VM contradicts it. sole has the same meaning as in a ConvictionNotice.
func (t *Table) Restore(c Conviction, sole bool, source string) {
	t.mu.Lock()
	_, known := t.convictions[c.Trait]
	t.mu.Unlock()
	if !known {
		t.adopt(c, sole, source, own)
	}
}

// adopt puts a conviction in force or extends it, unless the evidence of this VM contradicts
// it. An earlier build doesn't say which other parts may be the cause as well; those are then
// taken from the evidence of this VM.
func (t *Table) adopt(c Conviction, sole bool, source string, from origin) {
	t.mu.Lock()
	known := t.convictions[c.Trait]
	accepted := known == nil && !c.expired(t.now()) && !t.exonerated(&c) && !t.explainedByOthers(&c)
	narrowed := false
	switch {
	case accepted:
		if len(c.With) == 0 && !sole && c.Part {
			c.With = t.companionsIn(c.Crashes, c.Trait)
		}
		t.keep(c, from)
	case known != nil:
		if c.At.Sub(known.At) > ageTolerance {
			known.At = c.At
		}
		if with := intersection(known.With, c.With); len(with) < len(known.With) && (sole || len(c.With) > 0) {
			known.With, narrowed = with, true
			known.report.renew(t.now(), from)
			c = known.Conviction
		}
	}
	t.mu.Unlock()
	if accepted || narrowed {
		t.changed(Change{Conviction: c, Source: source})
	}
}

// companionsIn returns the other parts that were in all known requests with a part on some servers
// that crashed.
func (t *Table) companionsIn(servers []selector.ServerKey, part Trait) []Trait {
	var out []Trait
	first := true
	for _, server := range servers {
		c := t.crashes[server]
		if c == nil {
			continue
		}
		for i := range c.runs {
			switch run := &c.runs[i]; {
			case run.Begun || !run.Has(part):
			case first:
				out, first = t.companions(run, part), false
			default:
				out = intersection(out, t.companions(run, part))
			}
		}
	}
	return out
}

// announceSuccesses announces the successes of the parts of requests that another VM has
// reported, and reports whether there are any. An earlier success clears nothing, but tells
// a part that has always crashed servers from others.
func (t *Table) announceSuccesses(runs []Run) bool {
	found := false
	for i := range runs {
		for _, part := range runs[i].Parts {
			if s, ok := t.successes.Peek(part); ok && !runs[i].Begun {
				s.report.renew(t.now(), own)
				found = true
			}
		}
	}
	return found
}

// milliseconds returns a non-negative duration.
func milliseconds(ms int64) time.Duration { return time.Duration(max(0, ms)) * time.Millisecond }
