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

// headObservation is the head at a time, as read by a router.
type headObservation struct {
	head head.Head
	at   time.Time
}

// runHistory commits a change each second. A router observes the heads in random
// order and installs a head after each observation. It reports whether the
// router's head reverted, and whether its evidence was unsound: the head lacked a
// change committed by the time of the evidence.
func runHistory(seed int64, install func(*Evidence, head.Head)) (reverted, unsound bool) {
	rng := rand.New(rand.NewSource(seed))
	const changes = 8
	var observations []headObservation
	for range 30 {
		s := rng.Float64() * changes
		observations = append(observations, headObservation{number(int(s)), at(s)})
	}
	e := NewEvidence(at(-1))
	for _, a := range observations {
		before := e.Head()
		e.Observe(a.head, a.at)
		if rng.Intn(2) == 0 {
			install(&e, e.Target())
		} else {
			install(&e, observations[rng.Intn(len(observations))].head)
		}
		current := number(int(e.At().Sub(t0).Seconds()))
		reverted = reverted || !e.Head().AtLeast(before)
		unsound = unsound || !e.At().IsZero() && !e.Head().AtLeast(current)
	}
	return reverted, unsound
}

func TestEvidenceIsSoundAndNeverReverts(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("observations in any order", prop.ForAll(func(seed int64) bool {
		reverted, unsound := runHistory(seed, func(e *Evidence, h head.Head) { e.Install(h) })
		return !reverted && !unsound
	}, gen.Int64()))
	properties.TestingRun(t)

	installAny := func(e *Evidence, h head.Head) { e.installed = h }
	anyReverted := false
	for seed := range int64(20) {
		reverted, _ := runHistory(seed, installAny)
		anyReverted = anyReverted || reverted
	}
	if !anyReverted {
		t.Error("no seed refutes a router that installs every head")
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

// TestEvidenceExpiresWhileVMIsFrozen checks that evidence expires by the wall
// clock if the monotonic clock stops, as it does while a VM is frozen.
func TestEvidenceExpiresWhileVMIsFrozen(t *testing.T) {
	observed := time.Now()
	resumed := observed.Add(time.Minute).Round(0)
	if Fresh(observed, resumed) {
		t.Error("evidence is valid after the VM was frozen for longer than the bound")
	}
}

func TestMajorityOfAttestationsExtendsEvidence(t *testing.T) {
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
		{"one supported a recent commit", map[vm.ID]Attestation{"a": minute, "b": minute, "c": {QuietFor: 2 * time.Second}}, 1},
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
