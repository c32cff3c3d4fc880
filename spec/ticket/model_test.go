package ticket

import (
	"testing"

	"papayaspan.dev/papayaspan/spec/explore"
)

// maxStates bounds each exploration.
const maxStates = 200_000

var everyVM = [vms]bool{true, true, true}

// acceptance: a proposes a ticket that a and b support, while c follows by
// attestations and by what it hears.
var acceptance = Config{
	Horizon:    3,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [vms]bool{true},
	Supporters: [vms]bool{true, true},
	Collector:  2,
	Hears:      [vms][vms]bool{2: {true, true}},
	Observer:   -1,
}

// longAcceptance: as acceptance, over a longer time; c hears b alone.
var longAcceptance = Config{
	Horizon:    5,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [vms]bool{true},
	Supporters: [vms]bool{true, true},
	Collector:  2,
	Hears:      [vms][vms]bool{2: {false, true}},
	Observer:   -1,
}

// restart: as acceptance, and a supporter restarts.
var restart = Config{
	Horizon:    2,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [vms]bool{true},
	Supporters: [vms]bool{true, true},
	Collector:  2,
	Hears:      [vms][vms]bool{2: {true, true}},
	Restarts:   1,
	Restarter:  1,
	Observer:   -1,
}

// slowFetch: as longAcceptance, with time between learning of a change and having
// it, and one message that arrives late.
var slowFetch = Config{
	Horizon:    1,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [vms]bool{true},
	Supporters: [vms]bool{true, true},
	Collector:  2,
	Hears:      [vms][vms]bool{2: {false, true}},
	Late:       1,
	Observer:   -1,
	SlowFetch:  true,
}

// race: two VMs propose tickets on the same head.
var race = Config{
	Horizon:    1,
	StoreLinks: everyVM,
	Tickets:    2,
	Proposers:  [vms]bool{true, true},
	Supporters: [vms]bool{true, true},
	Collector:  2,
	Hears:      [vms][vms]bool{2: {true, true}},
	Observer:   -1,
}

// expulsion: c is expelled and a ticket follows; c sees neither in the store.
var expulsion = Config{
	Horizon:    4,
	StoreLinks: [vms]bool{true, true, false},
	Tickets:    1,
	Expulsions: 1,
	Proposers:  [vms]bool{true},
	Collector:  -1,
	Atomic:     true,
	Hears:      [vms][vms]bool{2: {true, false}},
	Observer:   0,
}

// spread: only a reaches the store; b and c hear each other and a; c restarts.
var spread = Config{
	Horizon:    5,
	StoreLinks: [vms]bool{true, false, false},
	Reread:     true,
	Tickets:    1,
	Proposers:  [vms]bool{true},
	Collector:  -1,
	Atomic:     true,
	Hears:      [vms][vms]bool{1: {true, false, true}, 2: {false, true, false}},
	Restarts:   1,
	Restarter:  2,
	Observer:   0,
}

// report: all reach the store and acknowledge; c restarts from what b says.
var report = Config{
	Horizon:    2,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [vms]bool{true},
	Collector:  -1,
	Atomic:     true,
	Hears:      [vms][vms]bool{2: {false, true}},
	Late:       1,
	Restarts:   1,
	Restarter:  2,
	Observer:   0,
}

// TestAcceptanceSpreadAndReport explores each scenario to its end and has the
// checker refute each broken variant.
func TestAcceptanceSpreadAndReport(t *testing.T) {
	tests := []struct {
		desc   string
		config Config
		broken map[string]Broken
	}{
		{"acceptance", acceptance, map[string]Broken{
			"attest in spite of support": {BlindAttest: true},
			"relay without age":          {RelayWithoutAge: true},
			"commit without majority":    {NoMajority: true},
		}},
		{"acceptance over a longer time", longAcceptance, map[string]Broken{"commit without deadline": {NoDeadline: true}}},
		{"restart of a supporter", restart, map[string]Broken{"attest without hold-off": {NoHoldOff: true}}},
		{"slow fetch and late messages", slowFetch, map[string]Broken{"attestation without its head": {Uncovered: true}}},
		{"racing operators", race, map[string]Broken{"commit without majority": {NoMajority: true}}},
		{"expulsion", expulsion, map[string]Broken{"report on acknowledgements alone": {HastyReport: true}}},
		{"spread through peers", spread, map[string]Broken{"relay without age": {RelayWithoutAge: true}}},
		{"report and restart", report, map[string]Broken{"serve on evidence older than the process": {NoFloor: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			r := explore.Run(tt.config.Model(maxStates))
			t.Log(r)
			if r.Violation != nil || !r.Complete {
				t.Error("the protocol was refuted or not explored to its end")
			}
			for desc, b := range tt.broken {
				c := tt.config
				c.Broken = b
				r := explore.Run(c.Model(maxStates))
				t.Logf("%s: %v", desc, r)
				if r.Violation == nil {
					t.Errorf("%s: not refuted", desc)
				}
			}
		})
	}
}
