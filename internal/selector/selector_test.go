package selector

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
)

const model = "m"

var deployment = CostModel{PrefillRate: 60_000, VersionBound: 15 * time.Second}

func engine(id string, domain string, weights uint64) *fleet.Entry {
	return &fleet.Entry{ID: backend.ID(id), Started: 1, FailureDomain: domain, Slots: 64, Weights: map[string]uint64{model: weights}}
}

func longPromptQuery() Query {
	return Query{Objective: time.Second, PromptTokens: 17_000, BodyBytes: 34_000}
}

func pick(t *testing.T, q Query, candidates ...Candidate) backend.ID {
	t.Helper()
	i, _ := deployment.Pick(q, candidates, 0.5)
	return candidates[i].Entry.ID
}

func TestPickMinimizesExpectedLoss(t *testing.T) {
	near := Candidate{Entry: engine("near", "a", 2), SameDomain: true, Latency: 150 * time.Millisecond}
	far := Candidate{Entry: engine("far", "b", 2), Latency: 150 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(near, far *Candidate)
		want   backend.ID
	}{
		{"equal except for the distance", func(_, _ *Candidate) {}, "near"},
		{"a cached prompt outweighs the distance", func(_, f *Candidate) { f.CachedTokens = 13_000 }, "far"},
		{"a queue beyond the objective outweighs the distance", func(n, _ *Candidate) { n.Backlog = 60_000 }, "far"},
		{"older weights after the grace period cost credit", func(n, _ *Candidate) { n.Staleness = 2 * time.Second }, "far"},
		{"older weights within the grace period cost nothing", func(n, _ *Candidate) { n.Staleness = time.Second }, "near"},
		{"a queue beyond the objective outweighs older weights", func(n, f *Candidate) {
			n.Staleness, f.Backlog = 5*time.Second, 70_000
		}, "near"},
		{"the version bound outweighs a queue", func(n, f *Candidate) {
			n.Staleness, f.Backlog = 14*time.Second, 30_000
		}, "far"},
		{"a failing server is avoided", func(n, _ *Candidate) { n.FailureRate = 0.4 }, "far"},
	} {
		n, f := near, far
		c.change(&n, &f)
		if got := pick(t, longPromptQuery(), n, f); got != c.want {
			t.Errorf("%s: chose %s", c.name, got)
		}
	}
	if i, _ := deployment.Pick(longPromptQuery(), nil, 0); i != -1 {
		t.Errorf("chose %d without candidates", i)
	}
}

func TestPickSpreadsLoadOverEqualServers(t *testing.T) {
	list := []Candidate{
		{Entry: engine("x", "a", 1), SameDomain: true}, {Entry: engine("y", "a", 1), SameDomain: true}, {Entry: engine("z", "a", 1), SameDomain: true},
	}
	counts := map[backend.ID]int{}
	for i := range 300 {
		j, _ := deployment.Pick(longPromptQuery(), list, float64(i)/300)
		counts[list[j].Entry.ID]++
	}
	for id, n := range counts {
		if n != 100 {
			t.Errorf("%s got %d of 300", id, n)
		}
	}
}

func TestFullServersAreAvoided(t *testing.T) {
	q := longPromptQuery()
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
	old.Staleness = deployment.VersionBound - time.Second
	if !deployment.TooOld(&old) || deployment.TooOld(&base) {
		t.Error("requests may start on weights near the version bound, or not on current ones")
	}
}

// storedTokens returns the shared tokens of a prompt in a store.
func storedTokens(s *StoreIndex, store string, p *Prompt, weights uint64) int {
	return s.Holds(store, p, weights, 100_000)
}

func TestStoreIndex(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStoreIndex(func() time.Time { return now })
	p := NewPrompt(model, "s", 12_500, []Part{{"doc", 12_000}, {"own", 500}})
	s.RecordSave("store", p, 3)
	if storedTokens(s, "store", p, 3) != 12_000 || storedTokens(s, "store", p, 4) != 0 {
		t.Error("the index confuses weights versions")
	}
	peer := NewStoreIndex(func() time.Time { return now })
	for _, k := range s.TakeUnsent() {
		peer.RecordReport(k)
	}
	if storedTokens(peer, "store", p, 3) != 12_000 || len(s.TakeUnsent()) != 0 {
		t.Error("another VM doesn't know the saved parts, or a save is announced twice")
	}
	now = now.Add(time.Second)
	s.RecordSave("store", NewPrompt(model, "s", 90_000, []Part{{"filler", 80_000}, {"own", 10_000}}), 3)
	if storedTokens(s, "store", p, 3) != 0 {
		t.Error("an evicted part counts as stored")
	}
}

// A saved part counts as held only by its own store and takes no capacity in another.
func TestStoreIndexSeparatesStores(t *testing.T) {
	now := time.Unix(1000, 0)
	s, peer := NewStoreIndex(func() time.Time { return now }), NewStoreIndex(func() time.Time { return now })
	p := NewPrompt(model, "s", 12_500, []Part{{"doc", 12_000}, {"own", 500}})
	s.RecordSave("near", p, 3)
	now = now.Add(time.Second)
	s.RecordSave("far", NewPrompt(model, "s", 90_000, []Part{{"filler", 80_000}, {"own", 10_000}}), 3)
	for _, k := range s.TakeUnsent() {
		peer.RecordReport(k)
	}
	for name, index := range map[string]*StoreIndex{"own": s, "peer": peer} {
		if storedTokens(index, "far", p, 3) != 0 {
			t.Errorf("%s: a store counts as holding a part that another one holds", name)
		}
		if storedTokens(index, "near", p, 3) != 12_000 {
			t.Errorf("%s: parts in another store evict a part", name)
		}
	}
}

// Under overload, long prompts are refused and short ones accepted, and the length of a
// long prompt doesn't affect the decision.
func TestAdmitUnderOverload(t *testing.T) {
	queue := func(tokens float64) Candidate {
		return Candidate{Entry: engine("x", "a", 1), SameDomain: true, Backlog: tokens, KnownBacklog: tokens}
	}
	long, longer, short := longPromptQuery(), longPromptQuery(), longPromptQuery()
	longer.PromptTokens, short.PromptTokens = 60_000, 400
	full, free := queue(60_000), queue(6_000)
	for _, c := range []struct {
		name       string
		q          Query
		candidates []Candidate
		want       int
		ok         bool
	}{
		{"short queue", long, []Candidate{free}, 0, true},
		{"short queue, longer prompt", longer, []Candidate{free}, 0, true},
		{"long queues", long, []Candidate{full, full}, 0, false},
		{"long queue, longer prompt", longer, []Candidate{full}, 0, false},
		{"another engine has a short queue", long, []Candidate{full, free}, 1, true},
		{"a short prompt is admitted", short, []Candidate{full}, 0, true},
	} {
		got, ok := deployment.Admit(c.q, c.candidates, 0)
		if ok != c.ok || ok && got != c.want {
			t.Errorf("%s: engine %d, admitted %v", c.name, got, ok)
		}
	}
	busy := queue(0)
	busy.KnownRunning = 64
	if _, ok := deployment.Admit(long, []Candidate{busy}, 0); ok {
		t.Error("a long prompt was admitted to a server with all slots in use")
	}
}

// Simulates long prompts at one and a half times an engine's prefill capacity with short
// prompts between them, and compares the responses on time with and without admission
// control.
func TestAdmissionServesMoreOnTimeUnderOverload(t *testing.T) {
	simulate := func(admit bool) (inTime, short int) {
		const step = 10 * time.Millisecond
		backlog := 0.0
		for i := range 3000 {
			backlog = max(0, backlog-deployment.PrefillRate*step.Seconds())
			c := Candidate{Entry: engine("x", "a", 1), Backlog: backlog, KnownBacklog: backlog, SameDomain: true}
			q := longPromptQuery()
			if i%4 != 0 {
				q.PromptTokens = 400
			} else {
				q.PromptTokens = 3600
			}
			if _, ok := deployment.Admit(q, []Candidate{c}, 0); admit && !ok {
				continue
			}
			if deployment.TimeToFirstByte(q, &c) <= q.Objective {
				inTime++
				if q.PromptTokens == 400 {
					short++
				}
			}
			backlog += float64(q.PromptTokens)
		}
		return inTime, short
	}
	without, shortWithout := simulate(false)
	with, shortWith := simulate(true)
	if with < 2*without || shortWith < 2*shortWithout || shortWith != 2250 {
		t.Errorf("responses on time: %d with admission control, %d without; of short prompts %d and %d of 2250", with, without, shortWith, shortWithout)
	}
}

// The prefill rate is estimated from prompts without a queue ahead of them, and excludes
// the time that a first token takes without any prefill.
func TestPrefillRateIsEstimated(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	respond := func(tokens int, took time.Duration, ahead float64) {
		p := NewPrompt(model, "s", tokens, []Part{{fmt.Sprint(now.UnixNano()), tokens}})
		run := table.Begin(&Candidate{Entry: x, Backlog: ahead}, p, 60_000)
		now = now.Add(took)
		run.FirstByte(60_000)
		run.End(Succeeded)
	}
	if got := table.PrefillRate(60_000); got != 60_000 {
		t.Errorf("%v tokens per second before the first sample", got)
	}
	for range 200 {
		respond(200, 100*time.Millisecond, 0)
		respond(16_000, 500*time.Millisecond, 0) // 40,000 tokens per second.
		respond(16_000, 3*time.Second, 100_000)  // Behind a queue.
	}
	if got := table.PrefillRate(60_000); got < 39_000 || got > 41_000 {
		t.Errorf("estimated %v tokens per second, want 40,000", got)
	}
}

// The margin before the version bound scales with the bound, which differs by deployment.
// Near a short bound engines on older weights must still serve; otherwise none would
// between two version changes in quick succession.
func TestVersionBoundMarginIsProportional(t *testing.T) {
	for _, bound := range []time.Duration{6 * time.Second, 20 * time.Second} {
		m := CostModel{PrefillRate: 60_000, VersionBound: bound}
		early, late := Candidate{Staleness: bound * 8 / 10}, Candidate{Staleness: bound * 19 / 20}
		if m.TooOld(&early) || !m.TooOld(&late) {
			t.Errorf("bound %v: too old after %v: %v, after %v: %v", bound, early.Staleness, m.TooOld(&early), late.Staleness, m.TooOld(&late))
		}
	}
}
