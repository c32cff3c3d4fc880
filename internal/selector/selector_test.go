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

func TestTableKnowsWhatEnginesHold(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(15*time.Second, func() time.Time { return now })
	x := engine("x", "a", 1)
	const memory = 160_000
	first := NewPrompt(model, "s", 12_500, []Part{{"doc", 12_000}, {"own-1", 500}})
	second := NewPrompt(model, "s", 12_700, []Part{{"doc", 12_000}, {"own-2", 700}})
	other := NewPrompt(model, "wall", 12_700, []Part{{"doc", 12_000}, {"own-2", 700}})
	for _, p := range []*Prompt{first, second, other} {
		p.EngineTokens = memory
	}
	cached := func(e *fleet.Entry, p *Prompt) float64 {
		c := Candidate{Entry: e}
		table.Fill(&c, p)
		return c.CachedTokens
	}
	run := table.Begin(&Candidate{Entry: x}, first, 60_000)
	if got := cached(x, second); got != 12_000 {
		t.Errorf("expects %v cached tokens, want 12000", got)
	}
	if got := cached(x, other); got != 0 {
		t.Errorf("expects %v tokens of another scope", got)
	}
	if got := cached(engine("x", "a", 2), second); got != 0 {
		t.Errorf("expects %v tokens after new weights", got)
	}
	placed := table.TakePlacements()
	if len(placed) != 1 || placed[0].ID != "x" || len(table.TakePlacements()) != 0 {
		t.Fatalf("placements %v", placed)
	}
	run.Answered(60_000)
	run.End(Good)

	// Another VM hears of it.
	peer := NewTable(15*time.Second, func() time.Time { return now })
	peer.Placed(placed[0])
	c := Candidate{Entry: x}
	peer.Fill(&c, second)
	if c.CachedTokens != 12_000 {
		t.Errorf("peer expects %v cached tokens", c.CachedTokens)
	}
	from, tokens := Source(&Candidate{Entry: engine("y", "b", 1)}, second, []Candidate{c})
	if from == nil || from.Entry.ID != "x" || tokens != 12_000 {
		t.Errorf("source %v with %d tokens", from, tokens)
	}
	if from, _ := Source(&Candidate{Entry: engine("y", "b", 2)}, second, []Candidate{c}); from != nil {
		t.Error("a source with other weights")
	}
	// What is used after it drives it out.
	filler := NewPrompt(model, "s", 150_000, []Part{{"filler", 140_000}, {"own-3", 10_000}})
	filler.EngineTokens = memory
	now = now.Add(time.Second)
	table.Begin(&Candidate{Entry: x}, filler, 60_000)
	if got := cached(x, second); got != 0 {
		t.Errorf("expects %v tokens that were driven out", got)
	}
}

func TestTableCountsLoadAndFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 1000, []Part{{"own", 1000}})
	state := func() Candidate {
		c := Candidate{Entry: x}
		table.Fill(&c, p)
		return c
	}
	run := table.Begin(&Candidate{Entry: x}, p, 60_000)
	table.SetPeers(map[ServerKey]Report{KeyOf(x): {Running: 2, Backlog: 500}})
	if c := state(); c.Running != 3 || c.Backlog != 1500 {
		t.Errorf("running %d, backlog %v", c.Running, c.Backlog)
	}
	run.End(Failed)
	if c := state(); c.Running != 2 || c.Backlog != 500 || c.FailureRate < 0.3 {
		t.Errorf("after a failure: %+v", c)
	}
	now = now.Add(20 * time.Second)
	if c := state(); c.FailureRate > 0.01 {
		t.Errorf("failure rate %v after 20 s", c.FailureRate)
	}
	table.SetPeers(nil)
	v := fleet.NewDirectory().View()
	table.Keep(v)
	if len(table.servers) != 0 {
		t.Error("a server that ended is kept")
	}
}

// Until a VM has told of its load, it expects the other VMs to do alike: without
// that all of them rush to the same engine.
func TestUntoldLoadCountsForAllVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	table.SetSenders(8)
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 1000, []Part{{"own", 1000}})
	table.Begin(&Candidate{Entry: x}, p, 60_000)
	c := Candidate{Entry: x}
	table.Fill(&c, p)
	if c.Running != 8 || c.Backlog != 8000 {
		t.Errorf("running %d, backlog %v before the load was told", c.Running, c.Backlog)
	}
	table.Loads()
	table.Fill(&c, p)
	if c.Running != 1 || c.Backlog != 1000 {
		t.Errorf("running %d, backlog %v after it was told", c.Running, c.Backlog)
	}
}

// A part that is still being read is counted on, with the time that it takes;
// one whose request ended before it was read isn't.
func TestPartsThatAreBeingRead(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	first := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own-1", 1000}})
	second := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own-2", 1000}})
	first.EngineTokens, second.EngineTokens = 160_000, 160_000
	state := func() Candidate {
		c := Candidate{Entry: x}
		table.Fill(&c, second)
		return c
	}
	run := table.Begin(&Candidate{Entry: x}, first, 60_000)
	now = now.Add(100 * time.Millisecond)
	if c := state(); c.CachedTokens != 29_000 || c.Wait() != margin(500*time.Millisecond)-100*time.Millisecond {
		t.Errorf("cached %v, wait %v", c.CachedTokens, c.Wait())
	}
	run.End(Neutral)
	if c := state(); c.CachedTokens != 0 {
		t.Errorf("counts on %v tokens that were not read", c.CachedTokens)
	}
	run = table.Begin(&Candidate{Entry: x}, first, 60_000)
	now = now.Add(200 * time.Millisecond)
	run.Answered(60_000)
	if c := state(); c.CachedTokens != 29_000 || c.Wait() != 0 {
		t.Errorf("after the first event: cached %v, wait %v", c.CachedTokens, c.Wait())
	}
	now = now.Add(3 * time.Second)
	if got := run.SilentFor(); got != 3*time.Second {
		t.Errorf("silent for %v", got)
	}
	run.Heard()
	if got := run.SilentFor(); got != 0 {
		t.Errorf("silent for %v after an event", got)
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

// A server that owes an answer and stays silent is left, one that takes no
// connection until it does again.
func TestSilentServersAreLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x, y := engine("x", "a", 1), engine("y", "a", 1)
	picks := func() string {
		candidates := []Candidate{{Entry: x, SameDomain: true}, {Entry: y, SameDomain: true, Running: 3}}
		table.Fill(&candidates[0], nil)
		i, _ := deployment.Pick(Query{Objective: time.Second}, candidates, 0)
		return string(candidates[i].Entry.ID)
	}
	run := table.Begin(&Candidate{Entry: x}, nil, 60_000)
	now = now.Add(200 * time.Millisecond)
	if picks() != "x" {
		t.Error("left after 200 ms, which an answer may take")
	}
	now = now.Add(700 * time.Millisecond)
	if picks() != "y" {
		t.Error("not left after 0.9 s of silence")
	}
	run.Heard()
	if picks() != "x" {
		t.Error("not used again once heard")
	}
	run.End(Good)
	now = now.Add(time.Minute)
	if picks() != "x" {
		t.Error("a server that owes nothing counts as silent")
	}
	table.Begin(&Candidate{Entry: x}, nil, 60_000).End(Unreachable)
	now = now.Add(time.Minute)
	if picks() != "y" || !table.Down(KeyOf(x)) {
		t.Error("a server that takes no connection is used")
	}
	table.Reachable(KeyOf(x))
	if picks() != "x" {
		t.Error("not used again once reachable")
	}
	table.Begin(&Candidate{Entry: x}, nil, 60_000).End(Misdirected)
	now = now.Add(10 * time.Second)
	if picks() != "y" {
		t.Error("a server is used whose address another one has")
	}
}

// VMs tell each other of silent servers; an own answer counts for more, and a VM
// that hears of hardly any server doesn't blame them.
func TestSilenceIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := NewTable(time.Minute, clock), NewTable(time.Minute, clock)
	x := engine("x", "a", 1)
	silence := func(table *Table) time.Duration {
		c := Candidate{Entry: x}
		table.Fill(&c, nil)
		return c.Silent
	}
	silence(b) // b has to know the server.
	a.Begin(&Candidate{Entry: x}, nil, 60_000)
	for i := range 4 {
		a.Begin(&Candidate{Entry: engine(fmt.Sprint("good-", i), "a", 1)}, nil, 60_000).Heard()
	}
	now = now.Add(290 * time.Millisecond)
	for i := range 4 {
		a.Begin(&Candidate{Entry: engine(fmt.Sprint("good-", i), "a", 1)}, nil, 60_000).Heard()
	}
	now = now.Add(200 * time.Millisecond)
	b.SetPeers(a.Loads())
	if got := silence(b); got != 490*time.Millisecond {
		t.Errorf("told of %v of silence", got)
	}
	b.Begin(&Candidate{Entry: x}, nil, 60_000).Heard()
	if got := silence(b); got != 0 {
		t.Errorf("%v of silence in spite of an own answer", got)
	}
	now = now.Add(time.Second)
	for key, r := range a.Loads() {
		if r.Silent > 0 {
			t.Errorf("a VM that hears from none blames %v", key)
		}
	}
}

// A part that was driven out and is read again counts as held only once it was
// read, and other VMs are told of the new reading.
func TestPartThatIsReadAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own", 1000}})
	p.EngineTokens = 160_000
	read := func(prompt *Prompt) {
		c := Candidate{Entry: x}
		table.Fill(&c, prompt)
		run := table.Begin(&c, prompt, 60_000)
		now = now.Add(600 * time.Millisecond)
		run.Answered(60_000)
		run.End(Good)
	}
	read(p)
	for i := range 5 {
		filler := NewPrompt(model, "s", 31_000, []Part{{fmt.Sprint("other-", i), 30_000}, {"own", 1000}})
		filler.EngineTokens = p.EngineTokens
		read(filler)
	}
	c := Candidate{Entry: x}
	table.Fill(&c, p)
	if c.CachedTokens != 0 {
		t.Fatalf("%v tokens are still held", c.CachedTokens)
	}
	table.TakePlacements()
	table.Begin(&c, p, 60_000)
	table.Fill(&c, p)
	if c.CachedTokens < 29_000 || c.Wait() < margin(500*time.Millisecond) {
		t.Errorf("%v tokens held, to wait for %v", c.CachedTokens, c.Wait())
	}
	if placed := table.TakePlacements(); len(placed) != 1 || placed[0].ReadIn != c.Wait() {
		t.Errorf("told %+v", placed)
	}
}

// Other VMs hear when a part was read, and wait no longer.
func TestReadingIsToldWhenOver(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := NewTable(time.Minute, clock), NewTable(time.Minute, clock)
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own", 1000}})
	p.EngineTokens = 160_000
	exchange := func() {
		for _, placed := range a.TakePlacements() {
			b.Placed(placed)
		}
	}
	wait := func() time.Duration {
		c := Candidate{Entry: x}
		b.Fill(&c, p)
		if c.CachedTokens != 29_000 {
			t.Errorf("%v tokens expected", c.CachedTokens)
		}
		return c.Wait()
	}
	run := a.Begin(&Candidate{Entry: x}, p, 60_000)
	exchange()
	if got := wait(); got != margin(500*time.Millisecond) {
		t.Errorf("waits for %v", got)
	}
	now = now.Add(300 * time.Millisecond)
	run.Answered(60_000)
	exchange()
	if got := wait(); got != 0 {
		t.Errorf("waits for %v more although the part was read", got)
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

// An engine that is silent is no source of cached parts.
func TestSilentEnginesAreNoSources(t *testing.T) {
	p := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own", 1000}})
	to := &Candidate{Entry: engine("to", "a", 1)}
	sources := []Candidate{
		{Entry: engine("dark", "a", 1), CachedTokens: 29_000, Silent: 2 * time.Second},
		{Entry: engine("far", "b", 1), CachedTokens: 29_000},
	}
	if s, tokens := Source(to, p, sources); s == nil || s.Entry.ID != "far" || tokens != 29_000 {
		t.Errorf("fetches %d tokens from %+v", tokens, s)
	}
	if s, _ := Source(to, p, sources[:1]); s != nil {
		t.Errorf("fetches from %s", s.Entry.ID)
	}
}
