package freshness

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/vm"
)

var t0 = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return t0.Add(time.Duration(seconds * float64(time.Second)))
}

func number(n int) head.Head { return head.Head{Number: config.Number(n)} }

// observation is one answer that arrives at a router, in any order.
type observation struct {
	head head.Head
	at   time.Time
}

// history commits a change at each second and lets a router learn of them by
// answers that arrive in random order, with installs of random heads between.
func history(seed int64, install func(*Evidence, head.Head)) (reverted, untrue bool) {
	rng := rand.New(rand.NewSource(seed))
	const changes = 8
	var answers []observation
	for range 30 {
		s := rng.Float64() * changes
		answers = append(answers, observation{number(int(s)), at(s)})
	}
	e := NewEvidence(at(-1))
	for _, a := range answers {
		before := e.Head()
		e.Observe(a.head, a.at)
		if rng.Intn(2) == 0 {
			install(&e, e.Target())
		} else {
			install(&e, answers[rng.Intn(len(answers))].head)
		}
		current := number(int(e.At().Sub(t0).Seconds()))
		reverted = reverted || !e.Head().AtLeast(before)
		untrue = untrue || !e.At().IsZero() && !e.Head().AtLeast(current)
	}
	return reverted, untrue
}

func TestEvidenceNeverRevertsAndIsTrue(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("answers in any order", prop.ForAll(func(seed int64) bool {
		reverted, untrue := history(seed, func(e *Evidence, h head.Head) { e.Install(h) })
		return !reverted && !untrue
	}, gen.Int64()))
	properties.TestingRun(t)

	naive := func(e *Evidence, h head.Head) { e.own = h }
	refuted := false
	for seed := range int64(20) {
		reverted, _ := history(seed, naive)
		refuted = refuted || reverted
	}
	if !refuted {
		t.Error("installing whatever arrives last was not refuted")
	}
}

func TestFresh(t *testing.T) {
	tests := []struct {
		desc  string
		start float64
		at    float64
		now   float64
		want  bool
	}{
		{"recent", 0, 1, 4.9, true},
		{"at the bound", 0, 1, 5, false},
		{"older than the process", 2, 1, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			e := NewEvidence(at(tt.start))
			e.Observe(head.Head{}, at(tt.at))
			if got := e.Fresh(at(tt.now)); got != tt.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// TestFrozenVM lets the wall clock pass while the monotonic clock stands.
func TestFrozenVM(t *testing.T) {
	read := time.Now()
	woken := read.Add(time.Minute).Round(0)
	if Fresh(read, woken) {
		t.Error("evidence survived the freeze")
	}
}

func TestAttestationsOfMajority(t *testing.T) {
	roster := []vm.ID{"a", "b", "c", "d"}
	minute := Attestation{QuietFor: time.Minute}
	tests := []struct {
		desc string
		by   map[vm.ID]Attestation
		want float64
	}{
		{"three of four", map[vm.ID]Attestation{"a": minute, "b": minute, "c": minute}, 9},
		{"half", map[vm.ID]Attestation{"a": minute, "b": minute}, 1},
		{"not on the roster", map[vm.ID]Attestation{"a": minute, "b": minute, "x": minute}, 1},
		{"one supported a commit", map[vm.ID]Attestation{"a": minute, "b": minute, "c": {QuietFor: 2 * time.Second}}, 1},
		{"one has a newer head", map[vm.ID]Attestation{"a": minute, "b": minute, "c": {QuietFor: time.Minute, Head: number(1)}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			e := NewEvidence(t0)
			e.Observe(head.Head{}, at(1))
			var a Attestations
			for id, att := range tt.by {
				a.Add(id, att, at(9), at(9.5))
			}
			a.Extend(&e, roster)
			if !e.At().Equal(at(tt.want)) {
				t.Errorf("evidence from %v, want %v", e.At().Sub(t0), tt.want)
			}
		})
	}
}
