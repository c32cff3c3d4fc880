package canary

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever the load, and also if messages are lost, a VM ends or the holder changes, the new version
// never has more requests than the exposure of the requests so far until the last step. A new holder
// that started afresh, or trusted only the reports of the VMs that are left, would pass it.
func TestExposureHolds(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("exposure", prop.ForAll(func(seed uint64, vms int, rate, lossy, restart float64, seconds int) bool {
		s := newSim(seed, vms, rate, time.Duration(seconds)*time.Second)
		s.lossy = lossy
		swing := make([]float64, seconds+7)
		for i := range swing {
			swing[i] = 0.3 + s.rng.Float64()
		}
		s.rate = func(at time.Duration) float64 { return rate * swing[int(at.Seconds())] }
		if restart < 0.8 {
			s.restartAt, s.holderless = part(s.order.Duration, restart), time.Second
			s.restarted = func() {
				if s.restartAt > 0 && s.record != nil && len(s.vms) > 1 {
					s.vms = s.vms[1:] // its counts are lost
				}
			}
		}
		s.run()
		if s.over > 0 {
			t.Logf("passed by %.0f: %v", s.over, s)
		}
		return s.over <= 0
	}, gen.UInt64(), gen.IntRange(1, 60), gen.Float64Range(1, 500), gen.Float64Range(0, 0.3), gen.Float64Range(0, 1), gen.IntRange(4, 40)))
	properties.TestingRun(t)
}

// A new holder that read the record of a roll-back, through the store's encoding, must not run the
// order again; an order that was written again starts afresh.
func TestRollBackIsNotRevived(t *testing.T) {
	s := newSim(3, 4, 200, 12*time.Second)
	s.answers = func(_ int, n bool, _ time.Duration, _ float64) answer { return answer{failed: n} }
	s.run().expect(t, RolledBack)
	data, err := json.Marshal(s.record)
	if err != nil {
		t.Fatal(err)
	}
	var stored Record
	if err := json.Unmarshal(data, &stored); err != nil {
		t.Fatal(err)
	}
	in := Input{Old: ServerGroup{4, 64}, New: ServerGroup{4, 64}, Members: 4}
	now := epoch.Add(s.finalAt)
	if d := NewController(testSettings, s.order, &stored, now).Step(now, in); d.Announcement.Phase != RolledBack || d.Reason == "" {
		t.Errorf("the new holder announced %+v, reason %q", d.Announcement, d.Reason)
	}
	again := s.order
	again.Revision.Version++
	again.At = now
	if d := NewController(testSettings, again, &stored, now).Step(now, in); d.Announcement.Phase != Running || d.Record.Exposed >= stored.Exposed {
		t.Errorf("the order written again got %+v", d)
	}
}

// Orders that can't be carried out must end, and leave the traffic where it is.
func TestImpossibleOrdersAreRolledBack(t *testing.T) {
	for name, set := range map[string]func(s *sim){
		"no duration":       func(s *sim) { s.order.Duration = 0 },
		"no version":        func(s *sim) { s.order.To = "" },
		"no service":        func(s *sim) { s.order.Service = "" },
		"no servers at all": func(s *sim) { s.servers = func(time.Duration) int { return 0 } },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 3, 100, 12*time.Second)
			set(s)
			s.run()
			if s.ended.Announcement.Phase != RolledBack || s.ended.Reason == "" || s.exposed > 0 {
				t.Errorf("%v", s)
			}
		})
	}
}

// A version whose servers appear late must wait for them and still complete.
func TestServersThatStartLate(t *testing.T) {
	s := newSim(1, 4, 100, 20*time.Second)
	s.servers = func(at time.Duration) int { return int(min(4, at.Seconds()/2)) }
	s.run().expect(t, Completed)
}

// The binomial tail decides on roll-backs; these are values of the distribution.
func TestBinomialTail(t *testing.T) {
	for _, c := range []struct{ n, k, mean, want float64 }{
		{10, 10, 5, math.Pow(0.5, 10)}, {4, 1, 0.4, 1 - math.Pow(0.9, 4)}, {20, 3, 4, 1}, {0, 0, 0, 1}, {5, 2, 0, 0},
	} {
		if got := binomialTail(c.n, c.k, c.mean); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("binomialTail(%v, %v, %v) = %v, want %v", c.n, c.k, c.mean, got, c.want)
		}
	}
}
