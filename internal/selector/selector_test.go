package selector

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
)

const model = "m"

var deployment = Model{PrefillRate: 60_000, TransferRate: 600_000, VersionBound: 15 * time.Second}

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
	first := NewPrompt(model, "s", 12_500, []Part{{"doc", 12_000}, {"own-1", 500}})
	second := NewPrompt(model, "s", 12_700, []Part{{"doc", 12_000}, {"own-2", 700}})
	other := NewPrompt(model, "wall", 12_700, []Part{{"doc", 12_000}, {"own-2", 700}})
	cached := func(e *fleet.Entry, p *Prompt) float64 {
		c := Candidate{Entry: e}
		table.Fill(&c, p)
		return c.CachedTokens
	}
	run := table.Begin(&Candidate{Entry: x}, first)
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
	if from == nil || from.ID != "x" || tokens != 12_000 {
		t.Errorf("source %v with %d tokens", from, tokens)
	}
	if from, _ := Source(&Candidate{Entry: engine("y", "b", 2)}, second, []Candidate{c}); from != nil {
		t.Error("a source with other weights")
	}
	now = now.Add(16 * time.Second)
	if got := cached(x, second); got != 0 {
		t.Errorf("expects %v tokens that weren't used for 16 s", got)
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
	run := table.Begin(&Candidate{Entry: x}, p)
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
