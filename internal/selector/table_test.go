package selector

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
)

func TestTablePredictsCachedTokens(t *testing.T) {
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
	cachedTokens := func(e *fleet.Entry, p *Prompt) float64 {
		c := Candidate{Entry: e}
		table.Fill(&c, p)
		return c.CachedTokens
	}
	run := table.Begin(&Candidate{Entry: x}, first, 60_000)
	if got := cachedTokens(x, second); got != 12_000 {
		t.Errorf("expected hit of %v tokens, want 12000", got)
	}
	if got := cachedTokens(x, other); got != 0 {
		t.Errorf("expected hit of %v tokens of another scope", got)
	}
	if got := cachedTokens(engine("x", "a", 2), second); got != 0 {
		t.Errorf("expected hit of %v tokens after a change of weights", got)
	}
	placed := table.TakePlacements()
	if len(placed) != 1 || placed[0].ID != "x" || len(table.TakePlacements()) != 0 {
		t.Fatalf("placements %v", placed)
	}
	run.FirstByte(60_000)
	run.End(Succeeded)

	// Another VM receives the placement.
	peer := NewTable(15*time.Second, func() time.Time { return now })
	peer.RecordPlacement(placed[0])
	c := Candidate{Entry: x}
	peer.Fill(&c, second)
	if c.CachedTokens != 12_000 {
		t.Errorf("expected hit of %v tokens at the peer", c.CachedTokens)
	}
	from, tokens := Source(&Candidate{Entry: engine("y", "b", 1)}, second, []Candidate{c})
	if from == nil || from.Entry.ID != "x" || tokens != 12_000 {
		t.Errorf("source %v with %d tokens", from, tokens)
	}
	if from, _ := Source(&Candidate{Entry: engine("y", "b", 2)}, second, []Candidate{c}); from != nil {
		t.Error("an engine with other weights is a source")
	}
	// Parts used later evict it.
	filler := NewPrompt(model, "s", 150_000, []Part{{"filler", 140_000}, {"own-3", 10_000}})
	filler.EngineTokens = memory
	now = now.Add(time.Second)
	table.Begin(&Candidate{Entry: x}, filler, 60_000)
	if got := cachedTokens(x, second); got != 0 {
		t.Errorf("expected hit of %v evicted tokens", got)
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
	table.UpdatePeerLoads(map[ServerKey]Report{KeyOf(x): {Running: 2, Backlog: 500}})
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
	table.UpdatePeerLoads(map[ServerKey]Report{KeyOf(x): {}})
	v := fleet.NewDirectory(time.Second).View()
	table.RemoveAbsent(v)
	if len(table.servers) != 0 {
		t.Error("a server that is not in the view is kept")
	}
}

// Until a VM has reported its load, it assumes that each other VM adds as much. Otherwise
// all of them send to the same engine at once.
func TestUnreportedLoadIsScaledBySenders(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	table.SetSenders(8)
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 1000, []Part{{"own", 1000}})
	table.Begin(&Candidate{Entry: x}, p, 60_000)
	c := Candidate{Entry: x}
	table.Fill(&c, p)
	if c.Running != 8 || c.Backlog != 8000 {
		t.Errorf("running %d, backlog %v before the load was reported", c.Running, c.Backlog)
	}
	table.Loads()
	table.Fill(&c, p)
	if c.Running != 1 || c.Backlog != 1000 {
		t.Errorf("running %d, backlog %v after it was reported", c.Running, c.Backlog)
	}
}

// A part in prefill counts as cached, with the time to its completion. A part whose
// request ended before the prefill was complete doesn't.
func TestPartsInPrefillCountAsCached(t *testing.T) {
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
	if c := state(); c.CachedTokens != 29_000 || c.Wait() != withPrefillMargin(500*time.Millisecond)-100*time.Millisecond {
		t.Errorf("cached %v, wait %v", c.CachedTokens, c.Wait())
	}
	run.End(Neutral)
	if c := state(); c.CachedTokens != 0 {
		t.Errorf("%v tokens count as cached whose prefill did not finish", c.CachedTokens)
	}
	run = table.Begin(&Candidate{Entry: x}, first, 60_000)
	now = now.Add(200 * time.Millisecond)
	run.FirstByte(60_000)
	if c := state(); c.CachedTokens != 29_000 || c.Wait() != 0 {
		t.Errorf("after the first event: cached %v, wait %v", c.CachedTokens, c.Wait())
	}
	now = now.Add(3 * time.Second)
	if got := run.SilentFor(); got != 3*time.Second {
		t.Errorf("silent for %v", got)
	}
	run.DataReceived()
	if got := run.SilentFor(); got != 0 {
		t.Errorf("silent for %v after an event", got)
	}
}

// A server that stays silent while a response is due is avoided, and one that accepts no
// connections is avoided until it accepts them again.
func TestSilentServersAreAvoided(t *testing.T) {
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
		t.Error("avoided after 200 ms, which a response may take")
	}
	now = now.Add(700 * time.Millisecond)
	if picks() != "y" {
		t.Error("not avoided after 0.9 s of silence")
	}
	run.DataReceived()
	if picks() != "x" {
		t.Error("not used again after it sent data")
	}
	run.End(Succeeded)
	now = now.Add(time.Minute)
	if picks() != "x" {
		t.Error("a server without requests in flight counts as silent")
	}
	table.Begin(&Candidate{Entry: x}, nil, 60_000).End(Unreachable)
	now = now.Add(time.Minute)
	if picks() != "y" || !table.Down(KeyOf(x)) {
		t.Error("a server that accepts no connections is used")
	}
	table.MarkReachable(KeyOf(x))
	if picks() != "x" {
		t.Error("not used again after it became reachable")
	}
	table.Begin(&Candidate{Entry: x}, nil, 60_000).End(Misdirected)
	now = now.Add(10 * time.Second)
	if picks() != "y" {
		t.Error("a server is used whose address belongs to another one")
	}
}

// VMs report silent servers to each other. A VM's own recent response from a server
// overrides a report, and a VM that receives data from hardly any server reports none.
func TestSilenceIsReportedToPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := NewTable(time.Minute, clock), NewTable(time.Minute, clock)
	x := engine("x", "a", 1)
	silence := func(table *Table) time.Duration {
		c := Candidate{Entry: x}
		table.Fill(&c, nil)
		return c.Silent
	}
	silence(b) // Adds the server to b, which otherwise ignores reports of it.
	a.Begin(&Candidate{Entry: x}, nil, 60_000)
	for i := range 4 {
		a.Begin(&Candidate{Entry: engine(fmt.Sprint("good-", i), "a", 1)}, nil, 60_000).DataReceived()
	}
	now = now.Add(290 * time.Millisecond)
	for i := range 4 {
		a.Begin(&Candidate{Entry: engine(fmt.Sprint("good-", i), "a", 1)}, nil, 60_000).DataReceived()
	}
	now = now.Add(200 * time.Millisecond)
	b.UpdatePeerLoads(a.Loads())
	if got := silence(b); got != 490*time.Millisecond {
		t.Errorf("a silence of %v was reported, want 490ms", got)
	}
	b.Begin(&Candidate{Entry: x}, nil, 60_000).DataReceived()
	if got := silence(b); got != 0 {
		t.Errorf("silence of %v after a response to this VM", got)
	}
	now = now.Add(time.Second)
	for key, r := range a.Loads() {
		if r.Silent > 0 {
			t.Errorf("a VM that receives data from no server reports %v as silent", key)
		}
	}
}

// An evicted part that is sent again is expected to be available only after its second
// prefill, and the second prefill is announced to other VMs.
func TestEvictedPartIsPrefilledAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own", 1000}})
	p.EngineTokens = 160_000
	prefill := func(prompt *Prompt) {
		c := Candidate{Entry: x}
		table.Fill(&c, prompt)
		run := table.Begin(&c, prompt, 60_000)
		now = now.Add(600 * time.Millisecond)
		run.FirstByte(60_000)
		run.End(Succeeded)
	}
	prefill(p)
	for i := range 5 {
		filler := NewPrompt(model, "s", 31_000, []Part{{fmt.Sprint("other-", i), 30_000}, {"own", 1000}})
		filler.EngineTokens = p.EngineTokens
		prefill(filler)
	}
	c := Candidate{Entry: x}
	table.Fill(&c, p)
	if c.CachedTokens != 0 {
		t.Fatalf("%v tokens still count as cached", c.CachedTokens)
	}
	table.TakePlacements()
	table.Begin(&c, p, 60_000)
	table.Fill(&c, p)
	if c.CachedTokens < 29_000 || c.Wait() < withPrefillMargin(500*time.Millisecond) {
		t.Errorf("%v tokens cached, wait %v", c.CachedTokens, c.Wait())
	}
	if placed := table.TakePlacements(); len(placed) != 1 || placed[0].ReadyIn != c.Wait() {
		t.Errorf("announced %+v", placed)
	}
}

// The completion of a prefill is announced, and other VMs stop waiting for it.
func TestPrefillCompletionIsAnnounced(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := NewTable(time.Minute, clock), NewTable(time.Minute, clock)
	x := engine("x", "a", 1)
	p := NewPrompt(model, "s", 30_000, []Part{{"doc", 29_000}, {"own", 1000}})
	p.EngineTokens = 160_000
	exchange := func() {
		for _, placed := range a.TakePlacements() {
			b.RecordPlacement(placed)
		}
	}
	wait := func() time.Duration {
		c := Candidate{Entry: x}
		b.Fill(&c, p)
		if c.CachedTokens != 29_000 {
			t.Errorf("expected hit of %v tokens", c.CachedTokens)
		}
		return c.Wait()
	}
	run := a.Begin(&Candidate{Entry: x}, p, 60_000)
	exchange()
	if got := wait(); got != withPrefillMargin(500*time.Millisecond) {
		t.Errorf("wait %v", got)
	}
	now = now.Add(300 * time.Millisecond)
	run.FirstByte(60_000)
	exchange()
	if got := wait(); got != 0 {
		t.Errorf("wait %v after the prefill was complete", got)
	}
}

// An unresponsive engine is no source of cached parts.
func TestSilentEnginesAreNotFetchSources(t *testing.T) {
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

// Other VMs may report load on a server before this VM has used it.
func TestPeerLoadCountsForServerThatIsUsedLater(t *testing.T) {
	table := NewTable(10*time.Second, time.Now)
	key := ServerKey{ID: "s", Started: 1}
	table.UpdatePeerLoads(map[ServerKey]Report{key: {Running: 3}})
	c := Candidate{Entry: &fleet.Entry{ID: "s", Started: 1}}
	if table.Fill(&c, nil); c.KnownRunning != 3 {
		t.Errorf("%d running requests, want 3", c.KnownRunning)
	}
	table.UpdatePeerLoads(map[ServerKey]Report{key: {}})
	if table.Fill(&c, nil); c.KnownRunning != 0 {
		t.Errorf("%d running requests after they have ended", c.KnownRunning)
	}
}
