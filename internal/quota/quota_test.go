package quota

import (
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

const id account.ID = "a"

var settings = Settings{Window: 8 * time.Second, Overshoot: 0.1, Slack: 190_000}

var bound = Bound{Rate: 50_000, Burst: 50_000}

// fleet simulates several VMs that exchange counts.
type fleet struct {
	now      time.Time
	ledgers  []*Ledger
	started  []time.Time
	process  []Process
	admitted []event
}

type event struct {
	at    time.Time
	units float64
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for i := range n {
		f.ledgers = append(f.ledgers, nil)
		f.started = append(f.started, time.Time{})
		f.process = append(f.process, Process{VM: vm.ID(strconv.Itoa(i))})
		f.start(i, true)
	}
	return f
}

func (f *fleet) start(i int, fresh bool) {
	f.ledgers[i] = NewLedger(settings, fresh, func() time.Time { return f.now })
	f.ledgers[i].SetMembers(len(f.ledgers))
	f.started[i] = f.now
	f.process[i].Incarnation++
}

// exchange delivers the counts between all VMs for which up returns true.
func (f *fleet) exchange(up func(i int) bool) {
	for i, from := range f.ledgers {
		for j, to := range f.ledgers {
			if i != j && up(i) && up(j) {
				to.Record(Report{From: f.process[i], Uptime: f.now.Sub(f.started[i]), Usages: from.Usages()})
			}
		}
	}
}

func (f *fleet) admit(i int, units float64) bool {
	v := f.ledgers[i].Admit(id, bound, units)
	if v.Admitted {
		f.admitted = append(f.admitted, event{f.now, units})
	}
	return v.Admitted
}

// maxInWindow returns the largest number of units admitted in any window.
func (f *fleet) maxInWindow() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, e := range f.admitted {
		sum += e.units
		for e.at.Sub(f.admitted[first].at) >= settings.Window {
			sum -= f.admitted[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// permitted returns the units that the fleet may admit in a window.
func permitted() float64 {
	return (bound.Rate*settings.Window.Seconds()+bound.Burst)*(1+settings.Overshoot) + settings.Slack
}

func TestFleetKeepsBoundUnderOverload(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("no window exceeds the bound under overload, missing reports and restarts", prop.ForAll(
		func(seed int64, vms int, restartAll bool) bool {
			rng := rand.New(rand.NewSource(seed))
			f := newFleet(vms)
			for tick := range 1200 {
				f.now = f.now.Add(25 * time.Millisecond)
				// Four times the rate, over all VMs.
				for range 4 {
					f.admit(rng.Intn(vms), 400+rng.Float64()*2000)
				}
				if tick%10 == 0 {
					silent := rng.Intn(vms * 3)
					f.exchange(func(i int) bool { return i != silent })
				}
				if tick == 600 {
					for i := range vms {
						if restartAll || i == 0 {
							f.start(i, false)
						}
					}
				}
			}
			return f.maxInWindow() <= permitted()
		},
		gen.Int64(), gen.IntRange(2, 9), gen.Bool()))
	properties.TestingRun(t)
}

// Without failures, an account within its rate is never refused, even if all its
// callers use one VM.
func TestWithinRateIsAdmitted(t *testing.T) {
	for _, spread := range []bool{false, true} {
		f := newFleet(6)
		for tick := range 1600 {
			f.now = f.now.Add(25 * time.Millisecond)
			i := 0
			if spread {
				i = tick % 6
			}
			if !f.admit(i, bound.Rate*0.45/40) || tick%20 == 0 && !f.admit(i, bound.Rate*0.5/2) {
				t.Fatalf("spread %v: refused at tick %d", spread, tick)
			}
			if tick%10 == 0 {
				f.exchange(func(int) bool { return true })
			}
		}
	}
}

// After a restart of all VMs, no request of an account at half its rate is refused.
func TestRestartOfAllVMsRefusesNothingWithinRate(t *testing.T) {
	f := newFleet(6)
	refused := 0
	for tick := range 1200 {
		if tick == 400 {
			f.now = f.now.Add(time.Second)
			for i := range 6 {
				f.start(i, false)
			}
		}
		f.now = f.now.Add(25 * time.Millisecond) // No request comes before the start.
		if !f.admit(tick%6, bound.Rate*0.5/40) {
			refused++
		}
		if tick%10 == 0 {
			f.exchange(func(int) bool { return true })
		}
	}
	if refused > 0 {
		t.Errorf("%d requests within the rate were refused", refused)
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	f := newFleet(1)
	for f.admit(0, 10_000) {
	}
	v := f.ledgers[0].Admit(id, bound, 10_000)
	if v.Admitted || v.RetryAfter <= 0 || v.RetryAfter > settings.Window {
		t.Errorf("verdict %+v", v)
	}
	if !f.ledgers[0].Admit(id, Bound{}, 1e12).Admitted {
		t.Error("an account without a quota was refused")
	}
	f.ledgers[0].Return(id, 200_000)
	if !f.admit(0, 10_000) {
		t.Error("refused although units were returned")
	}
}

// If an account sends large requests at four times its rate, its small requests,
// which amount to a tenth of its rate, are still admitted.
func TestSmallRequestsAreAdmittedUnderOverload(t *testing.T) {
	f := newFleet(6)
	refused := 0
	for tick := range 1200 {
		f.now = f.now.Add(25 * time.Millisecond)
		f.admit(tick%6, bound.Rate*4/40)
		if !f.admit((tick+3)%6, bound.Rate*0.1/40) {
			refused++
		}
		if tick%10 == 0 {
			f.exchange(func(int) bool { return true })
		}
	}
	if refused > 0 {
		t.Errorf("%d of 1200 small requests refused", refused)
	}
	if f.maxInWindow() > permitted() {
		t.Errorf("%v admitted in a window, permitted %v", f.maxInWindow(), permitted())
	}
}

// Shares between accounts are decided on the usage over all VMs: without the counts of the others, of VMs that
// have ended or of other domains an account would seem small.
func TestRatesCoverAllVMs(t *testing.T) {
	f := newFleet(3)
	f.admit(0, 800)
	f.admit(1, 1600)
	f.exchange(func(int) bool { return true })
	f.ledgers[0].Record(Report{From: Process{VM: "domain"}, Domain: true, Members: 3, Usages: map[account.ID]Usage{id: {Window: 4000}}})
	if got, want := f.ledgers[0].Rates()[id], 6400/settings.Window.Seconds(); got != want {
		t.Errorf("%v units per second, want %v", got, want)
	}
	f.now = f.now.Add(settings.Window + time.Second)
	if got := f.ledgers[0].Rates()[id]; got != 0 {
		t.Errorf("%v units per second after the window", got)
	}
}
