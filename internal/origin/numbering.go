package origin

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minResponses is the number of responses that show a numbering.
	minResponses = 8
	// maxServerResponses is the number from which earlier responses count half.
	maxServerResponses = 32
	// maxFirsts bounds the numbers with which a server's streams begin that are counted.
	maxFirsts = 4
	// usualFirst is the largest number with which streams usually begin.
	usualFirst = 1
	// minIrregularSteps is the share of the steps that leave numbers out, as one in so many, from which
	// a numbering is irregular. Servers that lose events now and then stay below it.
	minIrregularSteps = 16
	// maxNumberingServers bounds the servers of an origin whose responses are counted.
	maxNumberingServers = 64
	// maxNumberings bounds the numberings in a message.
	maxNumberings = 16
	// numberingInterval is how often the VMs of a failure domain announce a numbering that hasn't
	// changed. A VM to which another one reports it doesn't repeat it.
	numberingInterval = 5 * time.Second
)

// Numbering is how the servers of an origin number the events of their streams. Events are taken
// for numbered one by one, from 0 or 1, until most responses show another numbering: servers that lose
// events leave numbers out too.
type Numbering struct {
	// Irregular is set if the events aren't numbered one by one.
	Irregular bool `json:"i,omitempty"`
	// First is the number with which almost all streams begin, plus 1; 0 if that isn't known, and -1
	// if most begin with numbers above 1, but not with the same one.
	First int64 `json:"f,omitempty"`
	// Age is the time since the last response that showed it, in milliseconds.
	Age int64 `json:"a,omitempty"`
}

// String formats the numbering for logs.
func (n Numbering) String() string {
	kind := "regular"
	if n.Irregular {
		kind = "irregular"
	}
	switch n.First {
	case 0:
		return kind
	case anyFirst:
		return kind + " from any number"
	}
	return fmt.Sprintf("%s from %d", kind, n.First-1)
}

// anyFirst is First if streams may begin with any number.
const anyFirst = -1

// BeginsBefore reports whether events are missing if a stream begins with a number.
func (n Numbering) BeginsBefore(number int64) bool {
	switch n.First {
	case 0:
		return number > usualFirst
	case anyFirst:
		return false
	}
	return number > n.First-1
}

// known returns the numbering without its age.
func (n Numbering) known() Numbering {
	n.Age = 0
	return n
}

// complete adds what another report of about the same time knows: which of them is later can't be told,
// and what streams show becomes known one after the other.
func (n *Numbering) complete(other Numbering) {
	n.Irregular = n.Irregular || other.Irregular
	if n.First == 0 {
		n.First = other.First
	}
}

// NumberingNotice is the numbering of an origin's streams.
type NumberingNotice struct {
	Origin
	Numbering
}

// serverNumbers counts the responses of a server.
type serverNumbers struct {
	// responses are those with several new events, irregular those of them that leave numbers out.
	responses, irregular int
	// steps are those between two events of these responses, skips those of them that leave numbers
	// out.
	steps, skips int
	// begins counts the new streams, late those of them that began with an unusual number, and firsts
	// the numbers with which they began.
	begins, late int
	firsts       map[int64]int
}

func (s *serverNumbers) recordSteps(steps, skips int) {
	s.responses++
	if skips > 0 {
		s.irregular++
	}
	s.steps, s.skips = s.steps+steps, s.skips+skips
	if s.responses >= maxServerResponses {
		s.responses, s.irregular, s.steps, s.skips = s.responses/2, s.irregular/2, s.steps/2, s.skips/2
	}
}

func (s *serverNumbers) add(other *serverNumbers) {
	s.responses += other.responses
	s.irregular += other.irregular
	s.steps += other.steps
	s.skips += other.skips
	s.begins += other.begins
	s.late += other.late
}

// without returns the counts without those of one of the servers.
func (s serverNumbers) without(one *serverNumbers) *serverNumbers {
	s.responses -= one.responses
	s.irregular -= one.irregular
	s.steps -= one.steps
	s.skips -= one.skips
	s.begins -= one.begins
	s.late -= one.late
	return &s
}

// beginsLate reports whether at least minimum streams show that most begin with unusual numbers.
func (s *serverNumbers) beginsLate(minimum int) bool {
	return s.begins >= minimum && isMost(s.late, s.begins)
}

// isIrregular reports whether at least minimum responses show an irregular numbering.
func (s *serverNumbers) isIrregular(minimum int) bool {
	return s.responses >= minimum && isMost(s.irregular, s.responses) && minIrregularSteps*s.skips >= s.steps
}

func (s *serverNumbers) recordFirst(first int64) {
	if s.firsts == nil {
		s.firsts = map[int64]int{}
	}
	s.begins++
	if first > usualFirst {
		s.late++
	}
	if s.firsts[first] > 0 || len(s.firsts) < maxFirsts {
		s.firsts[first]++
	}
	if s.begins < maxServerResponses {
		return
	}
	s.begins, s.late = s.begins/2, s.late/2
	for number, n := range s.firsts {
		if s.firsts[number] = n / 2; n < 2 {
			delete(s.firsts, number)
		}
	}
}

// numbering is what is known of an origin's numbering.
type numbering struct {
	servers map[string]*serverNumbers
	// steps is set once the servers' responses tell whether the events are numbered one by one, and
	// begins once they tell with which number streams begin.
	steps, begins bool
	own           Numbering
	ownAt         time.Time
	reported      Numbering
	// reportedAt is when a response showed what other VMs report.
	reportedAt time.Time
	// lateAt is when a server last went on with a stream too late.
	lateAt time.Time
	// repeatedAt is when the numbering was last announced to, or reported by, each audience.
	repeatedAt [audiences]time.Time
	announced  [audiences]Numbering
}

// value returns the numbering, and when a response last showed it. A VM that has seen enough
// responses itself doesn't go by others.
func (n *numbering) value() (Numbering, time.Time) {
	v, at := n.own, n.ownAt
	if !n.steps {
		v.Irregular = n.reported.Irregular
	}
	if !n.begins {
		v.First = n.reported.First
	}
	if n.reportedAt.After(at) {
		at = n.reportedAt
	}
	return v, at
}

// conclude derives the numbering from the servers' responses. A single server proves neither an
// irregular numbering nor that streams begin with unusual numbers, unless the version has no other one;
// then others' reports decide.
func (n *numbering) conclude(servers int) {
	var all, skipping, late serverNumbers
	firsts := map[int64]int{}
	for _, s := range n.servers {
		all.add(s)
		if s.irregular >= skipping.irregular {
			skipping = *s
		}
		if s.late >= late.late {
			late = *s
		}
		for number, count := range s.firsts {
			firsts[number] += count
		}
	}
	alone := len(n.servers) == 1 && servers <= 1
	irregular := all.isIrregular(minResponses)
	n.own.Irregular = irregular && (alone || all.without(&skipping).isIrregular(minResponses/2))
	n.steps = all.responses >= minResponses && n.own.Irregular == irregular
	lateBegins := all.beginsLate(minResponses)
	lateIsUsual := lateBegins && (alone || all.without(&late).beginsLate(minResponses/2))
	n.begins = all.begins >= minResponses && lateIsUsual == lateBegins
	n.own.First = 0
	if !n.begins {
		return
	}
	if lateIsUsual {
		n.own.First = anyFirst
	}
	for number, count := range firsts {
		if isAlmostAll(count, all.begins) && (number <= usualFirst || lateIsUsual) {
			n.own.First = number + 1
		}
	}
}

// isMost reports whether a part is so large that the rest may be faulty.
func isMost(part, all int) bool { return 4*part >= 3*all }

// isAlmostAll reports whether a part is so large that the rest is faulty.
func isAlmostAll(part, all int) bool { return 10*part >= 9*all }

func (t *Table) ensureNumbering(o Origin) *numbering {
	n := t.numberings[o]
	if n == nil {
		n = &numbering{servers: map[string]*serverNumbers{}}
		t.numberings[o] = n
	}
	return n
}

// recordNumbers records something of a server's response, unless its version has had no servers for
// long.
func (t *Table) recordNumbers(o Origin, server string, record func(*serverNumbers)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.versions[o] == nil {
		return
	}
	n := t.ensureNumbering(o)
	before, _ := n.value()
	s := n.servers[server]
	if s == nil {
		for other := range n.servers {
			if len(n.servers) < maxNumberingServers {
				break
			}
			delete(n.servers, other)
		}
		s = &serverNumbers{}
		n.servers[server] = s
	}
	record(s)
	n.conclude(t.servers[o])
	n.ownAt = t.now()
	after, _ := n.value()
	t.numberingChanged = t.numberingChanged || after.known() != before.known()
}

// RecordFirst records the number with which a server began a new stream.
func (t *Table) RecordFirst(o Origin, server string, number int64) {
	t.recordNumbers(o, server, func(s *serverNumbers) { s.recordFirst(number) })
}

// RecordSteps records the number of steps between the events of a server's response, and how many of
// them left numbers out.
func (t *Table) RecordSteps(o Origin, server string, steps, skips int) {
	t.recordNumbers(o, server, func(s *serverNumbers) { s.recordSteps(steps, skips) })
}

// RecordLate records that a server went on with a stream too late, behind events that it left out.
func (t *Table) RecordLate(o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.versions[o] != nil {
		t.ensureNumbering(o).lateAt = t.now()
	}
}

// GoesOnLate reports whether servers of an origin may go on with streams too late: some did in the
// recent past, or their numbers wouldn't tell.
func (t *Table) GoesOnLate(o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.numberings[o]
	if n == nil {
		return false
	}
	v, _ := n.value()
	return v.Irregular || !n.lateAt.IsZero() && t.now().Sub(n.lateAt) < Horizon
}

// Numbering returns how the events of an origin's streams are numbered.
func (t *Table) Numbering(o Origin) Numbering {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.numberings[o]; n != nil {
		v, _ := n.value()
		return v.known()
	}
	return Numbering{}
}

// notice returns the numbering of an origin for other VMs and the store, and false if nothing is
// known.
func (n *numbering) notice(o Origin, now time.Time) (NumberingNotice, bool) {
	v, at := n.value()
	if len(n.servers) == 1 { // That server may be faulty.
		v, at = n.reported, n.reportedAt
	}
	if v.known() == (Numbering{}) {
		return NumberingNotice{}, false
	}
	v.Age = max(0, now.Sub(at).Milliseconds())
	return NumberingNotice{Origin: o, Numbering: v}, true
}

// numberingsFor returns the numberings for the next message to an audience: those that have
// changed, or that no VM has announced for some time.
func (t *Table) numberingsFor(to Audience, now time.Time) []NumberingNotice {
	if to == ActiveVMs {
		return nil
	}
	var out []NumberingNotice
	for o, n := range t.numberings {
		notice, ok := n.notice(o, now)
		changed := notice.known() != n.announced[to]
		if !ok || !changed && now.Sub(n.repeatedAt[to]) < numberingInterval || len(out) == maxNumberings {
			continue
		}
		n.announced[to], n.repeatedAt[to] = notice.known(), now
		out = append(out, notice)
	}
	return out
}

// Numberings returns all known numberings, for the store.
func (t *Table) Numberings() []NumberingNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allNumberings(t.now())
}

func (t *Table) allNumberings(now time.Time) []NumberingNotice {
	var out []NumberingNotice
	for o, n := range t.numberings {
		if notice, ok := n.notice(o, now); ok {
			out = append(out, notice)
		}
	}
	return out
}

// applyNumberings applies what other VMs know. The latest response counts.
func (t *Table) applyNumberings(list []NumberingNotice, sameDomain bool, now time.Time) bool {
	changed := false
	for _, notice := range list {
		at := now.Add(-time.Duration(max(0, notice.Age)) * time.Millisecond)
		if t.versions[notice.Origin] == nil {
			continue
		}
		n := t.ensureNumbering(notice.Origin)
		before, _ := n.value()
		switch age := at.Sub(n.reportedAt); {
		case n.reportedAt.IsZero() || age > ageTolerance:
			n.reported, n.reportedAt = notice.known(), at
		case age >= -ageTolerance:
			n.reported.complete(notice.Numbering)
		}
		after, _ := n.value()
		changed = changed || after.known() != before.known()
		if sameDomain && notice.known() == after.known() {
			n.announced[Domain], n.repeatedAt[Domain] = notice.known(), now // The others know it too.
		}
	}
	return changed
}

// RestoreNumberings applies stored numberings.
func (t *Table) RestoreNumberings(list []NumberingNotice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyNumberings(list, false, t.now())
}

// CoversNumberings reports whether stored numberings have all that this VM knows.
func CoversNumberings(stored, known []NumberingNotice) bool {
	for _, k := range known {
		if !slices.ContainsFunc(stored, func(s NumberingNotice) bool {
			return s.Origin == k.Origin && s.known() == k.known()
		}) {
			return false
		}
	}
	return true
}
