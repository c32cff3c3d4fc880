package steer

import (
	"fmt"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/saturation"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	simStep = 50 * time.Millisecond
	// simCallers is the number of callers of a domain. Every third keeps addresses for 3 s, the
	// others for 1 s.
	simCallers = 60
	// simSaturated is the bound on the time for which a VM's calls wait longer than simWait, where
	// there is capacity: addresses are kept for 1 s after a second of measuring, and then the wait
	// has to drain.
	simSaturated = 2500 * time.Millisecond
	simWait      = 100 * time.Millisecond
)

// simVM is a VM in the simulation: a queue of work that is done at the speed of its processor.
type simVM struct {
	VM
	domain  int
	backlog float64
	done    []float64
	arrived float64
	meter   Meter
	calls   int64
	// longSince is since when the wait exceeds simWait, longest the longest time for which it did.
	longSince, longest time.Duration
}

type simCaller struct {
	addresses []VM
	expires   time.Duration
	age       time.Duration
}

// simulation replays calls of several domains against their VMs.
type simulation struct {
	vms     []*simVM
	callers [][]simCaller
	pick    func(domain int, near, far []VM, now time.Time) []VM
	now     time.Duration
	// changes counts, by domain, the changes of the number of addresses; last holds that number.
	changes []int
	last    []int
	// reported are the reports of all VMs as the others know them.
	reported []VM
	reportAt time.Duration
}

func newSimulation(domains, strong, weak int, pick func(int, []VM, []VM, time.Time) []VM) *simulation {
	s := &simulation{pick: pick, changes: make([]int, domains), last: make([]int, domains)}
	for d := range domains {
		for _, v := range makeVMs(strong, weak, 0) {
			v.ID = vm.ID(fmt.Sprintf("%d-%s", d, v.ID))
			if v.Cores == 0.2 {
				v.Cores = 0.192
			}
			s.vms = append(s.vms, &simVM{VM: v, domain: d})
		}
		callers := make([]simCaller, simCallers)
		for i := range callers {
			callers[i].age = time.Second
			if i%3 == 0 {
				callers[i].age = 3 * time.Second
			}
			callers[i].expires = time.Duration(i) * callers[i].age / simCallers
		}
		s.callers = append(s.callers, callers)
	}
	s.report()
	return s
}

// report publishes the loads; others see them until the next time, half a second later.
func (s *simulation) report() {
	s.reportAt = s.now
	s.reported = s.reported[:0]
	at := time.Unix(1000, 0).Add(s.now)
	for _, v := range s.vms {
		out := v.VM
		out.Calls = v.meter.Rate(v.calls, at)
		recent := v.done[max(0, len(v.done)-int(time.Second/simStep)):]
		used := 0.0
		for _, d := range recent {
			used += d
		}
		if len(recent) > 0 {
			out.Load = &saturation.Load{Utilization: used / (float64(len(recent)) * simStep.Seconds() * v.Cores), WaitMS: int(1000 * v.backlog / v.Cores)}
		}
		s.reported = append(s.reported, out)
	}
}

func (s *simulation) domainVMs(domain int) (near, far []VM) {
	for i, v := range s.reported {
		if s.vms[i].domain == domain {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	return near, far
}

// run advances the simulation. Rate and cost are the calls per second and the processor time of a
// call of a domain.
func (s *simulation) run(d time.Duration, rate func(domain int) float64, cost float64) {
	for end := s.now + d; s.now < end; s.now += simStep {
		if s.now-s.reportAt >= 500*time.Millisecond {
			s.report()
		}
		byID := map[vm.ID]*simVM{}
		for _, v := range s.vms {
			byID[v.ID] = v
		}
		for domain := range s.callers {
			near, far := s.domainVMs(domain)
			picked := s.pick(domain, near, far, time.Unix(1000, 0).Add(s.now))
			if s.last[domain] != 0 && s.last[domain] != len(picked) {
				s.changes[domain]++
			}
			s.last[domain] = len(picked)
			for i := range s.callers[domain] {
				c := &s.callers[domain][i]
				if s.now >= c.expires {
					c.addresses, c.expires = slices.Clone(picked), s.now+c.age
				}
				if len(c.addresses) == 0 {
					c.addresses = slices.Clone(picked)
				}
				share := rate(domain) / simCallers * simStep.Seconds() / float64(len(c.addresses))
				for _, a := range c.addresses {
					byID[a.ID].arrived += share
				}
			}
		}
		for _, v := range s.vms {
			v.step(s.now, cost)
		}
	}
}

func (v *simVM) step(now time.Duration, cost float64) {
	whole := int64(v.arrived)
	v.calls += whole
	v.arrived -= float64(whole)
	v.backlog += float64(whole) * cost
	work := min(v.backlog, v.Cores*simStep.Seconds())
	v.backlog -= work
	v.done = append(v.done, work)
	if v.backlog/v.Cores < simWait.Seconds() {
		v.longSince = now
	}
	v.longest = max(v.longest, now-v.longSince)
}

// worst returns the longest time for which a VM was saturated, and resets the times.
func (s *simulation) worst() (longest time.Duration) {
	for _, v := range s.vms {
		longest = max(longest, v.longest)
		v.longest, v.longSince = 0, s.now
	}
	return longest
}

func pickers(domains int) (func(int, []VM, []VM, time.Time) []VM, []*Picker) {
	var list []*Picker
	for d := range domains {
		list = append(list, NewPicker(fmt.Sprint("zone-", d)))
	}
	return func(d int, near, far []VM, now time.Time) []VM { return list[d].Pick(near, far, now) }, list
}

// today is the choice by the rate of calls alone.
func today(_ int, near, _ []VM, _ time.Time) []VM { return Pick(near) }

func constant(rate float64) func(int) float64 { return func(int) float64 { return rate } }
