package crashcause

import (
	"cmp"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/selector"
)

// incident is a crash of a server that had requests with a trait.
type incident struct {
	server selector.ServerKey
	at     time.Time
	// sent is when the last of these requests was sent.
	sent     time.Time
	contents []Trait
	// companions are the other suspected parts that were in all of these requests.
	companions []Trait
	weights    uint64
}

// suspect is a trait with the crashes that it may have caused, in chronological order.
type suspect struct {
	trait     Trait
	part      bool
	incidents []incident
	// succeeded is set if a request with the trait has ever succeeded.
	succeeded bool
	// onProbation is set if a conviction of the trait has ended because another one explains
	// the crashes. Its incidents are then those since the end.
	onProbation bool
}

// inARow returns the largest number of crashes of which each began with a request that was
// sent after the crash before: several servers that crash at once count as one.
func (s *suspect) inARow() int {
	n := 0
	var last time.Time
	for _, x := range s.incidents {
		if n == 0 || !x.sent.Before(last) {
			n, last = n+1, x.at
		}
	}
	return n
}

// contents returns the number of different contents among the requests, and whether one of
// them was on every server that crashed.
func (s *suspect) contents() (n int, oneInAll bool) {
	crashes := map[Trait]int{}
	for _, x := range s.incidents {
		slices.Sort(x.contents)
		for _, c := range slices.Compact(x.contents) {
			crashes[c]++
		}
	}
	for _, n := range crashes {
		oneInAll = oneInAll || n == len(s.incidents)
	}
	return len(crashes), oneInAll
}

// guilty reports whether the evidence suffices for a conviction. A content that is on every
// server that crashed explains more than a part of its prompt. A trait on probation is
// convicted by one crash.
func (s *suspect) guilty() bool {
	switch _, oneInAll := s.contents(); {
	case s.onProbation:
		return len(s.incidents) > 0
	case len(s.incidents) < minCrashes:
		return false
	case s.part:
		return s.inARow() >= minPartsInARow && !oneInAll
	default:
		return s.inARow() >= minContentsInARow
	}
}

// compareGuilt orders guilty suspects, the most likely cause first: the one that explains
// most crashes; of these one that never succeeded, then the rarest, because a common trait is
// more often on a crashed server by chance.
func compareGuilt(a, b *suspect) int {
	contentsA, _ := a.contents()
	contentsB, _ := b.contents()
	return cmp.Or(
		cmp.Compare(len(b.incidents), len(a.incidents)),
		cmp.Compare(rank(a.succeeded), rank(b.succeeded)),
		cmp.Compare(contentsA, contentsB),
		cmp.Compare(rank(b.part), rank(a.part)),
		cmp.Compare(a.trait, b.trait),
	)
}

// companions returns the other parts that were in every request with the trait, and so may have
// caused the crashes as well.
func (s *suspect) companions() []Trait {
	if !s.part || len(s.incidents) == 0 {
		return nil
	}
	out := s.incidents[0].companions
	for _, x := range s.incidents[1:] {
		out = intersection(out, x.companions)
	}
	return out
}

// intersection returns the traits that are in both lists, in the order of the first.
func intersection(a, b []Trait) []Trait {
	var out []Trait
	for _, x := range a {
		if slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// reconsider derives the convictions from the evidence and returns the changes. Crashes that
// a conviction in force explains don't count against other traits, unless one of these
// explains them better. A content explains nothing that a part may have caused, because the
// request would have the part as well.
func (t *Table) reconsider() []Change {
	t.expire()
	changes := t.liftIf(t.exonerated)
	changes = append(changes, t.narrowConvictions()...)
	t.pending = nil
	suspects := t.suspects(false)
	replaced := t.replacedConvictions(suspects)
	t.explained = map[selector.ServerKey]Trait{}
	for _, part := range []bool{true, false} {
		for _, c := range slices.Backward(t.sortedConvictions()) {
			if c.Part != part || replaced[c.Trait] {
				continue
			}
			for _, server := range c.Crashes {
				t.explain(server, c.Trait)
			}
		}
		var others []*suspect
		for _, s := range suspects {
			switch {
			case s.part != part:
			case t.convictions[s.trait] != nil && !replaced[s.trait]:
				if t.convict(s) {
					changes = append(changes, Change{Conviction: t.convictions[s.trait].Conviction})
				}
			default:
				others = append(others, s)
			}
		}
		changes = append(changes, t.convictGuilty(others)...)
	}
	return append(changes, t.liftIf(t.explainedByOthers)...)
}

// pendingConvictions returns the convictions that would follow if the evidence that isn't settled
// yet counted already.
func (t *Table) pendingConvictions() []Conviction {
	out := []Conviction{}
	for _, s := range t.suspects(true) {
		s.incidents = slices.DeleteFunc(s.incidents, func(x incident) bool {
			_, explained := t.explained[x.server]
			return explained
		})
		if t.convictions[s.trait] == nil && s.guilty() {
			out = append(out, Conviction{Trait: s.trait, With: s.companions(), Part: s.part})
		}
	}
	t.unsettled = true // Until reconsider has derived the convictions, even if the time has just passed.
	return out
}

// convictGuilty convicts the guilty of some suspects, the most likely cause first, and
// returns the new convictions.
func (t *Table) convictGuilty(suspects []*suspect) []Change {
	var changes []Change
	for {
		suspects = slices.DeleteFunc(suspects, func(s *suspect) bool {
			s.incidents = slices.DeleteFunc(s.incidents, func(x incident) bool {
				_, explained := t.explained[x.server]
				return explained
			})
			return !s.guilty()
		})
		if len(suspects) == 0 {
			return changes
		}
		worst := slices.MinFunc(suspects, compareGuilt)
		if t.convict(worst) {
			changes = append(changes, Change{Conviction: t.convictions[worst.trait].Conviction})
		}
	}
}

// narrowConvictions removes the parts that successes rule out from the convictions that are due to
// one of several parts, and returns the changes.
func (t *Table) narrowConvictions() []Change {
	var changes []Change
	for _, c := range t.convictions {
		with := slices.DeleteFunc(slices.Clone(c.With), func(part Trait) bool {
			other := c.Conviction
			other.Trait = part
			return t.exonerated(&other)
		})
		if len(with) < len(c.With) {
			c.With = with
			c.report.renew(t.now(), own)
			changes = append(changes, Change{Conviction: c.Conviction})
		}
	}
	return changes
}

// liftIf ends the convictions that meet a condition and returns the changes. Without a success
// that exonerates it, a trait is on probation afterwards. With one, a part that may be the cause as
// well takes its place.
func (t *Table) liftIf(condition func(*Conviction) bool) []Change {
	var changes []Change
	var heirs []Conviction
	for trait, c := range t.convictions {
		if !condition(&c.Conviction) {
			continue
		}
		delete(t.convictions, trait)
		changes = append(changes, Change{Conviction: c.Conviction, Lifted: true})
		if !t.exonerated(&c.Conviction) {
			t.probation[trait] = t.now()
			continue
		}
		for i, part := range c.With {
			next := c.Conviction
			next.Trait, next.With = part, slices.Clone(c.With[i+1:])
			if t.convictions[part] == nil && !t.exonerated(&next) {
				heirs = append(heirs, next)
				break
			}
		}
	}
	for _, next := range heirs {
		if t.convictions[next.Trait] == nil {
			t.keep(next, own)
			changes = append(changes, Change{Conviction: next})
		}
	}
	return changes
}

// explain records that a trait explains a crash, unless another one does.
func (t *Table) explain(server selector.ServerKey, trait Trait) {
	if _, explained := t.explained[server]; !explained {
		t.explained[server] = trait
	}
}

// replacedConvictions returns the convicted traits whose crashes another suspect explains
// better: it explains more crashes, among them all of these, and is no more common there.
func (t *Table) replacedConvictions(suspects []*suspect) map[Trait]bool {
	replaced := map[Trait]bool{}
	for _, s := range suspects {
		if t.convictions[s.trait] == nil {
			continue
		}
		replaced[s.trait] = slices.ContainsFunc(suspects, func(other *suspect) bool {
			return other.part == s.part && t.convictions[other.trait] == nil && len(other.incidents) > len(s.incidents) && other.guilty() && other.covers(s)
		})
	}
	return replaced
}

// covers reports whether every incident of another suspect is also one of this one, with no
// more contents.
func (s *suspect) covers(other *suspect) bool {
	contents := map[selector.ServerKey][]Trait{}
	for _, x := range s.incidents {
		contents[x.server] = x.contents
	}
	own, others := map[Trait]bool{}, map[Trait]bool{}
	for _, x := range other.incidents {
		shared, ok := contents[x.server]
		if !ok {
			return false
		}
		for _, c := range shared {
			own[c] = true
		}
		for _, c := range x.contents {
			others[c] = true
		}
	}
	return len(own) <= len(others)
}

// convict puts a conviction in force, or extends it to the suspect's last crash. It reports
// whether the conviction is new or refuses more requests.
func (t *Table) convict(s *suspect) bool {
	next := Conviction{Trait: s.trait, Part: s.part, At: s.incidents[len(s.incidents)-1].at}
	next.Contents, _ = s.contents()
	next.With = s.companions()
	for i, x := range s.incidents {
		t.explain(x.server, s.trait)
		if i < maxListedCrashes {
			next.Crashes = append(next.Crashes, x.server)
		}
		next.Weights = max(next.Weights, x.weights)
	}
	if c := t.convictions[s.trait]; c != nil {
		if next.At.After(c.At) {
			c.At = next.At
		}
		c.Weights = max(c.Weights, next.Weights)
		with := intersection(c.With, next.With)
		narrower := len(with) < len(c.With)
		if c.With = with; narrower {
			c.report.renew(t.now(), own)
		}
		return narrower
	}
	t.keep(next, own)
	return true
}

// keep puts a conviction in force and drops the oldest one if there are too many.
func (t *Table) keep(c Conviction, from origin) {
	delete(t.probation, c.Trait)
	k := &conviction{Conviction: c}
	k.report.renew(t.now(), from)
	t.convictions[c.Trait] = k
	if len(t.convictions) <= maxConvictions {
		return
	}
	all := t.sortedConvictions()
	delete(t.convictions, all[len(all)-1].Trait)
}

// exonerated reports whether requests with a convicted trait have succeeded since its last
// crash, or while the servers ran that it is said to have crashed.
func (t *Table) exonerated(c *Conviction) bool {
	if s, ok := t.successes.Peek(c.Trait); ok && s.at.After(c.At) && s.weights >= c.Weights {
		return true
	}
	return len(c.Crashes) > 0 && !slices.ContainsFunc(c.Crashes, func(server selector.ServerKey) bool { return !t.clearedOf(server, c.Trait) })
}

// clearedOf reports whether successes clear all requests with a trait on a server that
// crashed.
func (t *Table) clearedOf(server selector.ServerKey, trait Trait) bool {
	c := t.crashes[server]
	if c == nil {
		return false
	}
	cleared := false
	for i := range c.runs {
		if !c.runs[i].Has(trait) {
			continue
		}
		if !t.cleared(trait, &c.runs[i]) {
			return false
		}
		cleared = true
	}
	return cleared
}

// explainedByOthers reports whether other traits explain all crashes behind a conviction.
func (t *Table) explainedByOthers(c *Conviction) bool {
	return len(c.Crashes) > 0 && !slices.ContainsFunc(c.Crashes, func(server selector.ServerKey) bool {
		cause, ok := t.explained[server]
		return !ok || cause == c.Trait
	})
}

// suspects returns the traits with evidence that no success has cleared, and updates suspected and
// unsettled. Evidence that isn't settled yet counts only if early is set.
func (t *Table) suspects(early bool) []*suspect {
	byTime := make([]*crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		byTime = append(byTime, c)
	}
	slices.SortFunc(byTime, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server.ID, b.server.ID), cmp.Compare(a.server.Started, b.server.Started))
	})
	t.suspected, t.unsettled = map[Trait]bool{}, false
	now := t.now()
	found := map[Trait]*suspect{}
	var out []*suspect
	add := func(c *crash, run *Run, trait Trait, part bool, companions []Trait) {
		if t.cleared(trait, run) {
			return
		}
		t.suspected[trait] = true
		if now.Sub(c.changedAt) < settleTime {
			t.unsettled = true
			if !early {
				return
			}
		}
		if since, onProbation := t.probation[trait]; onProbation && run.Sent.Before(since) {
			return
		}
		s := found[trait]
		if s == nil {
			_, onProbation := t.probation[trait]
			s = &suspect{trait: trait, part: part, succeeded: t.successes.Contains(trait), onProbation: onProbation}
			found[trait] = s
			out = append(out, s)
		}
		if n := len(s.incidents); n == 0 || s.incidents[n-1].server != c.server {
			s.incidents = append(s.incidents, incident{server: c.server, at: c.at, sent: run.Sent, companions: companions})
		}
		x := &s.incidents[len(s.incidents)-1]
		x.weights = max(x.weights, run.Weights)
		x.contents = append(x.contents, run.Content)
		x.companions = intersection(x.companions, companions)
		if run.Sent.After(x.sent) {
			x.sent = run.Sent
		}
	}
	for _, c := range byTime {
		for i := range c.runs {
			run := &c.runs[i]
			add(c, run, run.Content, false, nil)
			if run.Begun {
				continue
			}
			for _, part := range run.Parts {
				add(c, run, part, true, t.companions(run, part))
			}
		}
	}
	return out
}

// companions returns the other parts of a request that may have crashed its server if this one
// may. A part that has succeeded before is less likely than one that never has.
func (t *Table) companions(run *Run, part Trait) []Trait {
	var out []Trait
	for _, other := range run.Parts {
		if other != part && !t.cleared(other, run) && (t.successes.Contains(part) || !t.successes.Contains(other)) {
			out = append(out, other)
		}
	}
	return out
}

// expire drops evidence and convictions that no longer count.
func (t *Table) expire() {
	now := t.now()
	for key, c := range t.crashes {
		if now.Sub(c.at) >= evidenceTTL {
			delete(t.crashes, key)
		}
	}
	for trait, c := range t.convictions {
		if c.expired(now) {
			delete(t.convictions, trait)
		}
	}
	for trait, since := range t.probation {
		s, ok := t.successes.Peek(trait)
		if ok && s.at.After(since) || now.Sub(since) >= evidenceTTL {
			delete(t.probation, trait)
		}
	}
}
