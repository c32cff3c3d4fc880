// Package crashcause finds out which traits of requests crash backend servers: the whole
// content of a request, or one part of its prompt that other requests may share.
//
// A crash ends all requests on the server, most of which have nothing to do with it. The
// VMs therefore tell one another which requests were on a crashed server and had not begun
// a response. A trait is convicted once such requests have crashed several servers one
// after the other without any request with the trait having succeeded meanwhile. Crashes
// that a convicted trait explains don't count against others. Requests with a convicted
// trait are refused.
//
// Prompt parts that were always in the same requests can't be distinguished. They are convicted
// together: requests with all of them are refused, others show which part it is.
//
// Convictions may be wrong at first, when VMs don't have all evidence yet. One ends as soon as
// a request with its trait succeeds, or another trait explains its crashes better; it then
// takes one more crash to convict the trait again.
package crashcause

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// minCrashes is the number of crashes from which a trait is convicted. The platform's
	// rules allow three by a content and five by a part.
	minCrashes = 3
	// minPartsInARow and minContentsInARow are the numbers of those crashes that must have
	// come one after the other. Many servers that crash at once have other causes.
	minPartsInARow    = 3
	minContentsInARow = 2
	// settleTime is the time that the other VMs have to report the successes and the other
	// requests that may clear a trait. They do so with the next digest.
	settleTime = 400 * time.Millisecond
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * time.Minute
	// convictionTTL is how long a trait is refused after its last crash.
	convictionTTL = time.Hour
	// maxCrashes bounds the crashes kept, and maxRunsPerCrash the requests kept of each.
	maxCrashes      = 256
	maxRunsPerCrash = 128
	// maxParts bounds the prompt parts that are kept of a request, and maxPartsPerCrash those of
	// all requests on a server.
	maxParts         = 64
	maxPartsPerCrash = 2048
	// maxConvictions bounds the convictions kept; the oldest are dropped.
	maxConvictions = 64
	// maxSuccesses bounds the traits whose last success is kept.
	maxSuccesses = 4096
	// maxListedCrashes bounds the crashes that a conviction lists.
	maxListedCrashes = 4
)

// Trait identifies the content of a request or a part of its prompt.
type Trait uint64

// NewTrait returns the trait that is identified by the given texts and data.
func NewTrait(data []byte, texts ...string) Trait {
	h := xxhash.New()
	for _, s := range texts {
		_, _ = h.WriteString(strconv.Itoa(len(s)))
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(data)
	return Trait(h.Sum64())
}

// String returns the trait in hexadecimal.
func (t Trait) String() string { return strconv.FormatUint(uint64(t), 16) }

// MarshalText implements encoding.TextMarshaler.
func (t Trait) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Trait) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return errors.Errorf("trait %q is not a hexadecimal number", text)
	}
	*t = Trait(v)
	return nil
}

// Traits are the traits of a request.
type Traits struct {
	Content Trait
	// Parts are the parts of the prompt that other requests may share.
	Parts []Trait
}

// Has reports whether a request with these traits has the given one.
func (x Traits) Has(trait Trait) bool {
	return x.Content == trait || slices.Contains(x.Parts, trait)
}

// Run is a request on a server.
type Run struct {
	Traits
	Sent time.Time
	// Weights is the version of the server's weights; 0 if it has none.
	Weights uint64
	// Begun is set if the server had begun a response. Such a request is no evidence
	// against its parts.
	Begun bool
}

// Conviction is a trait whose requests are refused.
type Conviction struct {
	Trait Trait
	// With are further prompt parts that were in all of these requests and may be the cause as
	// well. Only requests with all of them are refused: one that has some of them succeeds, which
	// rules these out, or crashes a server, which rules out the others.
	With []Trait
	// Part is set if the trait is a prompt part, not the content of a request.
	Part bool
	// At is when the last server that it explains crashed.
	At time.Time
	// Crashes are the first server runs that crashed, at most maxListedCrashes, and
	// Contents is the number of different contents among the requests that crashed them.
	Crashes  []selector.ServerKey
	Contents int
	// Weights is the newest version of the weights of these servers.
	Weights uint64
}

// Concerns reports whether requests with these traits are refused.
func (c *Conviction) Concerns(x Traits) bool {
	return x.Has(c.Trait) && !slices.ContainsFunc(c.With, func(part Trait) bool { return !x.Has(part) })
}

// Label identifies the traits of the conviction: two convictions with the same label refuse the
// same requests.
func (c *Conviction) Label() string {
	label := c.Trait.String()
	for _, part := range c.With {
		label += "+" + part.String()
	}
	return label
}

// expired reports whether requests with the trait are accepted again.
func (c *Conviction) expired(now time.Time) bool { return now.Sub(c.At) >= convictionTTL }

// Change is a change of the convictions.
type Change struct {
	Conviction
	// Lifted is set if the conviction has ended before its time.
	Lifted bool
	// Source is the VM or store from which the conviction was received; empty if it
	// follows from this VM's evidence.
	Source string
}

// crash is one crash of a server run.
type crash struct {
	server selector.ServerKey
	at     time.Time
	runs   []Run
	// parts is the number of parts that are kept of all runs.
	parts int
	// changedAt is when the last request was added.
	changedAt time.Time
	report    announcement
}

// success is the last success of a request with a trait.
type success struct {
	at      time.Time
	weights uint64
	report  announcement
}

// conviction is a conviction that is in force.
type conviction struct {
	Conviction
	report announcement
}

// Table holds the evidence and the convictions that a VM knows. It is safe for concurrent
// use.
type Table struct {
	now     func() time.Time
	changed func(Change)

	mu          sync.Mutex
	crashes     map[selector.ServerKey]*crash
	successes   *lru.Cache[Trait, *success]
	convictions map[Trait]*conviction
	// probation holds when a conviction ended because another one explains the crashes.
	probation map[Trait]time.Time
	// suspected are the traits with evidence that no success has cleared.
	suspected map[Trait]bool
	// explained holds the convicted trait that explains a crash.
	explained map[selector.ServerKey]Trait
	// unsettled is set if there are crashes that don't count yet.
	unsettled bool
	// dirty is set if evidence has changed since the convictions were last derived, at derivedAt.
	dirty     bool
	derivedAt time.Time
	// pending are the convictions that are expected once the evidence has settled; nil if they have
	// to be derived again.
	pending []Conviction
}

// NewTable returns an empty table. changed is called, without a lock, with each change of
// the convictions.
func NewTable(now func() time.Time, changed func(Change)) *Table {
	successes, err := lru.New[Trait, *success](maxSuccesses)
	if err != nil {
		panic(err) // The size is positive.
	}
	return &Table{
		now: now, changed: changed,
		crashes: map[selector.ServerKey]*crash{}, successes: successes, convictions: map[Trait]*conviction{},
		probation: map[Trait]time.Time{},
	}
}

// RecordCrash records that a server run crashed with the given requests on it.
func (t *Table) RecordCrash(server selector.ServerKey, at time.Time, runs []Run) {
	t.update("", func() bool { return t.addCrash(server, at, runs, own) })
}

// RecordSuccess records that a server has completed a request, which proves that none of
// its traits crashes servers with these weights.
func (t *Table) RecordSuccess(traits Traits, weights uint64) {
	t.update("", func() bool {
		now := t.now()
		concerned := t.addPartSuccesses(traits, now, weights)
		if t.matters(traits.Content) {
			concerned = t.addSuccess(traits.Content, now, weights, own) || concerned
		}
		return concerned
	})
}

// RecordBegun records that a server has survived the begin of the response to a request, which
// proves that none of its prompt parts crashes servers with these weights.
func (t *Table) RecordBegun(traits Traits, weights uint64) {
	t.update("", func() bool { return t.addPartSuccesses(traits, t.now(), weights) })
}

func (t *Table) addPartSuccesses(traits Traits, at time.Time, weights uint64) (concerned bool) {
	for _, part := range traits.Parts {
		concerned = t.addSuccess(part, at, weights, own) || concerned
	}
	return concerned
}

// Settle derives the convictions again if crashes that were too recent may count now. It is
// to be called several times a second.
func (t *Table) Settle() {
	t.update("", func() bool { return t.unsettled })
}

// Convicted returns the conviction because of which a request with these traits is refused,
// and the time until it ends.
func (t *Table) Convicted(traits Traits) (c Conviction, remaining time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.convictions) == 0 {
		return Conviction{}, 0, false
	}
	now := t.now()
	for _, trait := range append([]Trait{traits.Content}, traits.Parts...) {
		if c := t.convictions[trait]; c != nil && !c.expired(now) && c.Concerns(traits) {
			return c.Conviction, c.At.Add(convictionTTL).Sub(now), true
		}
	}
	return Conviction{}, 0, false
}

// Pending reports whether a request with these traits would be refused if the latest evidence were
// settled already. A VM that holds such requests back until then neither refuses them for evidence
// that others are about to contradict nor has them crash more servers.
func (t *Table) Pending(traits Traits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unsettled {
		return false
	}
	if t.pending == nil {
		t.pending = t.pendingConvictions()
	}
	return slices.ContainsFunc(t.pending, func(c Conviction) bool { return c.Concerns(traits) })
}

// Convictions returns the convictions in force, the latest first.
func (t *Table) Convictions() []Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sortedConvictions()
}

func (t *Table) sortedConvictions() []Conviction {
	now := t.now()
	out := make([]Conviction, 0, len(t.convictions))
	for _, c := range t.convictions {
		if !c.expired(now) {
			out = append(out, c.Conviction)
		}
	}
	slices.SortFunc(out, func(a, b Conviction) int { return b.At.Compare(a.At) })
	return out
}

// addCrash merges requests into a crash and reports whether any is new.
func (t *Table) addCrash(server selector.ServerKey, at time.Time, runs []Run, from origin) bool {
	if t.now().Sub(at) >= evidenceTTL {
		return false
	}
	c := t.crashes[server]
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			t.dropOldestCrash()
		}
		c = &crash{server: server, at: at}
		t.crashes[server] = c
	}
	if at.Before(c.at) {
		c.at = at // Another VM has noticed it earlier.
	}
	grew := false
	for _, run := range runs {
		if len(c.runs) >= maxRunsPerCrash || slices.ContainsFunc(c.runs, func(r Run) bool { return r.Content == run.Content }) {
			continue
		}
		run.Parts = t.mostSuspect(run.Parts, min(maxParts, maxPartsPerCrash-c.parts))
		c.runs = append(c.runs, run)
		c.parts += len(run.Parts)
		grew = true
	}
	if grew {
		c.changedAt = t.now()
		c.report.renew(c.changedAt, from)
	}
	return grew
}

// mostSuspect returns a copy of at most n parts. Parts that have never succeeded go first if there
// are too many.
func (t *Table) mostSuspect(parts []Trait, n int) []Trait {
	out := slices.Clone(parts)
	if len(out) > n {
		slices.SortStableFunc(out, func(a, b Trait) int {
			return cmp.Compare(rank(t.successes.Contains(a)), rank(t.successes.Contains(b)))
		})
		out = out[:n]
	}
	return out
}

// rank orders false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (t *Table) dropOldestCrash() {
	var oldest *crash
	for _, c := range t.crashes {
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
	}
	delete(t.crashes, oldest.server)
}

// addSuccess records a success and reports whether it concerns a suspected or convicted
// trait. Of different weights, the newest count: older ones are about to be replaced.
func (t *Table) addSuccess(trait Trait, at time.Time, weights uint64, from origin) bool {
	s, known := t.successes.Get(trait)
	if known && (weights < s.weights || weights == s.weights && !at.After(s.at)) {
		return false
	}
	if !known {
		s = &success{}
		t.successes.Add(trait, s)
	}
	s.at, s.weights = at, weights
	if !t.matters(trait) {
		return false
	}
	s.report.renew(t.now(), from)
	return true
}

// matters reports whether a trait is suspected or convicted, alone or with others.
func (t *Table) matters(trait Trait) bool {
	if t.suspected[trait] || t.convictions[trait] != nil {
		return true
	}
	for _, c := range t.convictions {
		if slices.Contains(c.With, trait) {
			return true
		}
	}
	return false
}

// cleared reports whether a success proves that a trait did not crash the server of a run.
func (t *Table) cleared(trait Trait, run *Run) bool {
	s, ok := t.successes.Peek(trait)
	return ok && !s.at.Before(run.Sent) && s.weights >= run.Weights
}
