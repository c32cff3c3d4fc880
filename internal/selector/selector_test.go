package selector

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
)

const model = "m"

var deployment = Model{PrefillRate: 60_000, VersionBound: 15 * time.Second}

func engine(id string, domain string, weights uint64) *fleet.Entry {
	return &fleet.Entry{ID: backend.ID(id), Started: 1, FailureDomain: domain, Slots: 64, Weights: map[string]uint64{model: weights}}
}

func review() Query {
	return Query{Objective: time.Second, PromptTokens: 17_000, BodyBytes: 34_000}
}

func pick(t *testing.T, q Query, candidates ...Candidate) backend.ID {
	t.Helper()
	i, _ := deployment.Pick(q, candidates, 0.5)
	return candidates[i].Entry.ID
}

func TestPickWeighsWhatIsLost(t *testing.T) {
	near := Candidate{Entry: engine("near", "a", 2), SameDomain: true, Latency: 150 * time.Millisecond}
	far := Candidate{Entry: engine("far", "b", 2), Latency: 150 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(near, far *Candidate)
		want   backend.ID
	}{
		{"equal but for the distance", func(_, _ *Candidate) {}, "near"},
		{"a cached prompt is worth the distance", func(_, f *Candidate) { f.CachedTokens = 13_000 }, "far"},
		{"a queue beyond the objective is not", func(n, _ *Candidate) { n.Backlog = 60_000 }, "far"},
		{"older weights past the grace lose", func(n, _ *Candidate) { n.Behind = 2 * time.Second }, "far"},
		{"within the grace they don't", func(n, _ *Candidate) { n.Behind = time.Second }, "near"},
		{"a queue beyond the objective outweighs older weights", func(n, f *Candidate) {
			n.Behind, f.Backlog = 5*time.Second, 70_000
		}, "near"},
		{"but not the version bound", func(n, f *Candidate) {
			n.Behind, f.Backlog = 14*time.Second, 30_000
		}, "far"},
		{"a server that fails is avoided", func(n, _ *Candidate) { n.FailureRate = 0.4 }, "far"},
	} {
		n, f := near, far
		c.change(&n, &f)
		if got := pick(t, review(), n, f); got != c.want {
			t.Errorf("%s: chose %s", c.name, got)
		}
	}
	if i, _ := deployment.Pick(review(), nil, 0); i != -1 {
		t.Errorf("chose %d of none", i)
	}
}

// Equal servers share the load.
func TestPickSpreadsOverEquals(t *testing.T) {
	list := []Candidate{
		{Entry: engine("x", "a", 1), SameDomain: true}, {Entry: engine("y", "a", 1), SameDomain: true}, {Entry: engine("z", "a", 1), SameDomain: true},
	}
	counts := map[backend.ID]int{}
	for i := range 300 {
		j, _ := deployment.Pick(review(), list, float64(i)/300)
		counts[list[j].Entry.ID]++
	}
	for id, n := range counts {
		if n != 100 {
			t.Errorf("%s got %d of 300", id, n)
		}
	}
}

func TestFullServersAreAvoided(t *testing.T) {
	q := review()
	q.EngineTokens = 160_000
	base := Candidate{Entry: engine("x", "a", 1), SameDomain: true}
	other := Candidate{Entry: engine("y", "b", 1)}
	crowded, full := base, base
	crowded.Running = 64
	full.Memory = 200_000
	for name, c := range map[string]Candidate{"slots": crowded, "memory": full} {
		if got := pick(t, q, c, other); got != "y" {
			t.Errorf("%s in use: chose %s", name, got)
		}
	}
	old := base
	old.Behind = deployment.VersionBound - time.Second
	if !deployment.TooOld(&old) || deployment.TooOld(&base) {
		t.Error("weights at the version bound may still begin")
	}
}

// held returns the shared tokens of a prompt in a store.
func held(s *Shelf, store string, p *Prompt, weights uint64) int {
	return s.Holds(store, p, weights, 100_000)
}

func TestShelf(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShelf(func() time.Time { return now })
	p := NewPrompt(model, "s", 12_500, []Part{{"doc", 12_000}, {"own", 500}})
	s.Saved("store", p, 3)
	if held(s, "store", p, 3) != 12_000 || held(s, "store", p, 4) != 0 {
		t.Error("the shelf mixes up weights")
	}
	peer := NewShelf(func() time.Time { return now })
	for _, k := range s.Take() {
		peer.Heard(k)
	}
	if held(peer, "store", p, 3) != 12_000 || len(s.Take()) != 0 {
		t.Error("another VM doesn't know what was kept")
	}
	now = now.Add(time.Second)
	s.Saved("store", NewPrompt(model, "s", 90_000, []Part{{"filler", 80_000}, {"own", 10_000}}), 3)
	if held(s, "store", p, 3) != 0 {
		t.Error("counts on a part that was driven out")
	}
}

// What one store keeps is not looked for in another, and takes no room there.
func TestShelfTellsStoresApart(t *testing.T) {
	now := time.Unix(1000, 0)
	s, peer := NewShelf(func() time.Time { return now }), NewShelf(func() time.Time { return now })
	p := NewPrompt(model, "s", 12_500, []Part{{"doc", 12_000}, {"own", 500}})
	s.Saved("near", p, 3)
	now = now.Add(time.Second)
	s.Saved("far", NewPrompt(model, "s", 90_000, []Part{{"filler", 80_000}, {"own", 10_000}}), 3)
	for _, k := range s.Take() {
		peer.Heard(k)
	}
	for name, shelf := range map[string]*Shelf{"own": s, "peer": peer} {
		if held(shelf, "far", p, 3) != 0 {
			t.Errorf("%s: a store is taken to hold what another keeps", name)
		}
		if held(shelf, "near", p, 3) != 12_000 {
			t.Errorf("%s: parts of another store drive out a part", name)
		}
	}
}

// At an overload long prompts are refused, short ones pass, and the length of a
// prompt doesn't decide.
func TestAdmitUnderOverload(t *testing.T) {
	queue := func(tokens float64) Candidate {
		return Candidate{Entry: engine("x", "a", 1), SameDomain: true, Backlog: tokens, KnownBacklog: tokens}
	}
	long, longer, short := review(), review(), review()
	longer.PromptTokens, short.PromptTokens = 60_000, 400
	full, free := queue(60_000), queue(6_000)
	for _, c := range []struct {
		name       string
		q          Query
		candidates []Candidate
		want       int
		ok         bool
	}{
		{"room", long, []Candidate{free}, 0, true},
		{"room for a larger prompt", longer, []Candidate{free}, 0, true},
		{"no room", long, []Candidate{full, full}, 0, false},
		{"no room for a larger prompt", longer, []Candidate{full}, 0, false},
		{"another engine has room", long, []Candidate{full, free}, 1, true},
		{"a short prompt passes", short, []Candidate{full}, 0, true},
	} {
		got, ok := deployment.Admit(c.q, c.candidates, 0)
		if ok != c.ok || ok && got != c.want {
			t.Errorf("%s: engine %d, admitted %v", c.name, got, ok)
		}
	}
	busy := queue(0)
	busy.KnownRunning = 64
	if _, ok := deployment.Admit(long, []Candidate{busy}, 0); ok {
		t.Error("a long prompt took the last slot")
	}
}

// Plays an overload of long prompts at one engine, half as many again as it can
// read, with short ones between: what callers get with and without the refusal.
func TestOverloadServesMoreInTime(t *testing.T) {
	play := func(admit bool) (inTime, short int) {
		const step = 10 * time.Millisecond
		backlog := 0.0
		for i := range 3000 {
			backlog = max(0, backlog-deployment.PrefillRate*step.Seconds())
			c := Candidate{Entry: engine("x", "a", 1), Backlog: backlog, KnownBacklog: backlog, SameDomain: true}
			q := review()
			if i%4 != 0 {
				q.PromptTokens = 400
			} else {
				q.PromptTokens = 3600
			}
			if _, ok := deployment.Admit(q, []Candidate{c}, 0); admit && !ok {
				continue
			}
			if deployment.Expected(q, &c) <= q.Objective {
				inTime++
				if q.PromptTokens == 400 {
					short++
				}
			}
			backlog += float64(q.PromptTokens)
		}
		return inTime, short
	}
	without, shortWithout := play(false)
	with, shortWith := play(true)
	if with < 2*without || shortWith < 2*shortWithout || shortWith != 2250 {
		t.Errorf("answers in time: %d with the refusal, %d without; of short prompts %d and %d of 2250", with, without, shortWith, shortWithout)
	}
}

// The speed of reading is learnt from prompts without a queue before them, apart
// from the time that a first token takes anyway.
func TestSpeedIsLearnt(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	answer := func(tokens int, took time.Duration, ahead float64) {
		p := NewPrompt(model, "s", tokens, []Part{{fmt.Sprint(now.UnixNano()), tokens}})
		run := table.Begin(&Candidate{Entry: x, Backlog: ahead}, p, 60_000)
		now = now.Add(took)
		run.Answered(60_000)
		run.End(Good)
	}
	if got := table.PrefillRate(60_000); got != 60_000 {
		t.Errorf("%v before anything was seen", got)
	}
	for range 200 {
		answer(200, 100*time.Millisecond, 0)
		answer(16_000, 500*time.Millisecond, 0) // 40,000 tokens a second.
		answer(16_000, 3*time.Second, 100_000)  // Behind a queue.
	}
	if got := table.PrefillRate(60_000); got < 39_000 || got > 41_000 {
		t.Errorf("learnt %v tokens a second, want 40,000", got)
	}
}

// Bounds of versions differ by deployment: near a short one engines on older weights still
// serve, or none would between two namings in quick succession.
func TestMarginBeforeTheVersionBoundIsAShareOfIt(t *testing.T) {
	for _, bound := range []time.Duration{6 * time.Second, 20 * time.Second} {
		m := Model{PrefillRate: 60_000, VersionBound: bound}
		early, late := Candidate{Behind: bound * 8 / 10}, Candidate{Behind: bound * 19 / 20}
		if m.TooOld(&early) || !m.TooOld(&late) {
			t.Errorf("bound %v: too old after %v: %v, after %v: %v", bound, early.Behind, m.TooOld(&early), late.Behind, m.TooOld(&late))
		}
	}
}
