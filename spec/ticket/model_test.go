package ticket

import (
	"testing"

	"papayaspan.dev/papayaspan/spec/explore"
)

// maxStates bounds each exploration.
const maxStates = 200_000

var everyVM = [numVMs]bool{true, true, true}

// acceptance: a proposes a ticket that a and b support. c renews its evidence by
// their attestations and replies.
var acceptance = Config{
	Horizon:    3,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [numVMs]bool{true},
	Supporters: [numVMs]bool{true, true},
	Collector:  2,
	PeerLinks:  [numVMs][numVMs]bool{2: {true, true}},
	Observer:   -1,
}

// longAcceptance: like acceptance, over a longer time. c receives replies of b
// only.
var longAcceptance = Config{
	Horizon:    5,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [numVMs]bool{true},
	Supporters: [numVMs]bool{true, true},
	Collector:  2,
	PeerLinks:  [numVMs][numVMs]bool{2: {false, true}},
	Observer:   -1,
}

// restart: like acceptance, and the supporter b may restart.
var restart = Config{
	Horizon:    2,
	StoreLinks: everyVM,
	Tickets:    1,
	Proposers:  [numVMs]bool{true},
	Supporters: [numVMs]bool{true, true},
	Collector:  2,
	PeerLinks:  [numVMs][numVMs]bool{2: {true, true}},
	Restarts:   1,
	Restarter:  1,
	Observer:   -1,
}

// slowFetch: like longAcceptance, but time may pass between the observation and
// the fetch of a change, and one message may arrive late.
var slowFetch = Config{
	Horizon:         1,
	StoreLinks:      everyVM,
	Tickets:         1,
	Proposers:       [numVMs]bool{true},
	Supporters:      [numVMs]bool{true, true},
	Collector:       2,
	PeerLinks:       [numVMs][numVMs]bool{2: {false, true}},
	DelayedMessages: 1,
	Observer:        -1,
	SlowFetch:       true,
}

// race: a and b may propose tickets based on the same head.
var race = Config{
	Horizon:    1,
	StoreLinks: everyVM,
	Tickets:    2,
	Proposers:  [numVMs]bool{true, true},
	Supporters: [numVMs]bool{true, true},
	Collector:  2,
	PeerLinks:  [numVMs][numVMs]bool{2: {true, true}},
	Observer:   -1,
}

// expulsion: c is expelled and a ticket is committed. c can't reach the store and
// receives both from a only.
var expulsion = Config{
	Horizon:    4,
	StoreLinks: [numVMs]bool{true, true, false},
	Tickets:    1,
	Expulsions: 1,
	Proposers:  [numVMs]bool{true},
	Collector:  -1,
	Atomic:     true,
	PeerLinks:  [numVMs][numVMs]bool{2: {true, false}},
	Observer:   0,
}

// spread: only a reaches the store. b receives replies of a and c, c those of b.
// c may restart.
var spread = Config{
	Horizon:    5,
	StoreLinks: [numVMs]bool{true, false, false},
	Reread:     true,
	Tickets:    1,
	Proposers:  [numVMs]bool{true},
	Collector:  -1,
	Atomic:     true,
	PeerLinks:  [numVMs][numVMs]bool{1: {true, false, true}, 2: {false, true, false}},
	Restarts:   1,
	Restarter:  2,
	Observer:   0,
}

// report: every VM reaches the store and acknowledges tickets. c may restart and
// then receive its evidence from b.
var report = Config{
	Horizon:         2,
	StoreLinks:      everyVM,
	Tickets:         1,
	Proposers:       [numVMs]bool{true},
	Collector:       -1,
	Atomic:          true,
	PeerLinks:       [numVMs][numVMs]bool{2: {false, true}},
	DelayedMessages: 1,
	Restarts:        1,
	Restarter:       2,
	Observer:        0,
}

// TestAcceptanceSpreadAndReport explores each scenario completely and checks that
// each broken variant is refuted.
func TestAcceptanceSpreadAndReport(t *testing.T) {
	tests := []struct {
		desc   string
		config Config
		broken map[string]Broken
	}{
		{"acceptance", acceptance, map[string]Broken{
			"attest despite open support": {AttestDespiteSupport: true},
			"relay without age":           {RelayWithoutAge: true},
			"commit without majority":     {NoMajority: true},
		}},
		{"acceptance over a longer time", longAcceptance, map[string]Broken{"commit without deadline": {NoDeadline: true}}},
		{"restart of a supporter", restart, map[string]Broken{"attest without hold-off": {NoHoldOff: true}}},
		{"slow fetch and late messages", slowFetch, map[string]Broken{"attestation without its head": {AttestWithoutHead: true}}},
		{"racing operators", race, map[string]Broken{"commit without majority": {NoMajority: true}}},
		{"expulsion", expulsion, map[string]Broken{"report by acknowledgements alone": {ReportOnAcksAlone: true}}},
		{"spread through peers", spread, map[string]Broken{"relay without age": {RelayWithoutAge: true}}},
		{"report and restart", report, map[string]Broken{"serve by evidence from before the start": {NoEvidenceFloor: true}}},
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
