package selector

import (
	"fmt"
	"testing"
	"time"
)

// Simulates short prompts with shared parts of a few hundred tokens, each sent through a
// different one of several VMs every second, and counts how often engines prefill the
// shared parts.
func TestShortSharedPartsArePrefilledOnce(t *testing.T) {
	const vms, subjects, shared, rounds = 4, 20, 568, 8
	now := time.Unix(1000, 0)
	var tables []*Table
	for range vms {
		tables = append(tables, NewTable(10*time.Second, func() time.Time { return now }))
	}
	engines := []Candidate{{Entry: engine("x", "a", 1)}, {Entry: engine("y", "a", 1)}, {Entry: engine("z", "a", 1)}}
	prefills := 0
	for round := range rounds {
		for subject := range subjects {
			table := tables[(round+subject)%vms]
			p := NewPrompt(model, "s", shared+1800, []Part{{fmt.Sprint("subject", subject), shared}, {fmt.Sprint(round, subject), 1800}})
			p.EngineTokens = 280_000
			list := append([]Candidate(nil), engines...)
			for i := range list {
				table.Fill(&list[i], p)
				list[i].SameDomain = true
			}
			for i := range list {
				if from, tokens := Source(&list[i], p, list); from != nil {
					list[i].Fetch = Fetch{Tokens: float64(tokens), FailureDomain: "a", Rate: 1e6}
				}
			}
			i, _ := deployment.Pick(Query{Objective: 300 * time.Millisecond, PromptTokens: p.Tokens, SharedTokens: shared}, list, float64(subject)/subjects)
			if list[i].CachedTokens+list[i].Fetch.Tokens < shared {
				prefills++
			}
			run := table.Begin(&list[i], p, deployment.PrefillRate)
			run.FirstByte(deployment.PrefillRate)
			run.End(Succeeded)
		}
		now = now.Add(time.Second)
		for _, from := range tables {
			for _, placed := range from.TakePlacements() {
				for _, to := range tables {
					to.RecordPlacement(placed)
				}
			}
		}
	}
	if prefills != subjects {
		t.Errorf("engines prefilled shared parts %d times for %d subjects", prefills, subjects)
	}
}
