package steer

import (
	"slices"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/rendezvous"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// addTarget is the expected utilization above which VMs are added, and up to which they are
	// filled. Above it, waits at an M/M/1 queue exceed one and a half times the service time.
	addTarget = 0.6
	// keepTarget is the expected utilization that the VMs must stay below without the added ones
	// before those are released. Between the two targets nothing changes.
	keepTarget = 0.45
	// spillTarget is the expected utilization of a domain's VMs above which VMs of other domains are
	// added: there, the wait for the processor exceeds the 1 to 3 ms of the path to another domain.
	spillTarget = 0.85
	// saturatedGrowth is the ratio of the work that callers are assumed to send to a saturated VM to
	// what it does: it does no more than it can, and the rest waits.
	saturatedGrowth = 1.5
	// backgroundGrowth is how much more digests take once further VMs take calls and report what they do.
	backgroundGrowth = 2
	// maxBackground is the part of a VM's capacity that digests may then take for it to be added.
	maxBackground = 0.4
	// minTakenCalls and minTakenShare tell the VMs that callers use from those that get the
	// platform's health checks only, about one a second.
	minTakenCalls = 2
	minTakenShare = 0.1
	// updateInterval is the minimum time between two decisions. VMs report every 250 ms or less often.
	updateInterval = 200 * time.Millisecond
	// minSpill is the number of VMs of other domains that may be added for a domain with few VMs.
	// Otherwise at most as many are added as the domain itself uses.
	minSpill = 2
)

// Decision is the outcome of a Picker, with the figures that it is based on.
type Decision struct {
	// Base is the number of VMs by the rate of calls alone, Own the number used, Spilled that of VMs
	// of other domains.
	Base, Own, Spilled int
	// Work is the processor time per second that the callers of the domain need, in cores.
	Work float64
	// Background is the processor time per second that a VM on standby uses, in cores.
	Background float64
	// Utilization is the highest utilization that is expected of a VM in use.
	Utilization float64
	// Saturated is the number of saturated VMs among those that take calls.
	Saturated int
}

// Picker decides which VMs the callers of one failure domain are sent to. Until a VM that takes calls
// is saturated, the result is that of Pick. It adds VMs at once and releases them once they have not
// been needed for some seconds. It is safe for concurrent use.
type Picker struct {
	domain rendezvous.Key

	mu        sync.Mutex
	updatedAt time.Time
	decision  Decision
	own, far  recentMax
	// spilled are the VMs of other domains in use.
	spilled []vm.ID
	// share is the mean rate of calls of the domain's VMs that take calls, perCall the processor
	// time of a call.
	share, perCall float64
}

// NewPicker returns a picker for the callers of a domain.
func NewPicker(domain string) *Picker { return &Picker{domain: rendezvous.NewKey(domain)} }

// Pick returns the VMs that callers are sent to, out of those of their domain (near) and those of
// other domains (far) that are ready.
func (p *Picker) Pick(near, far []VM, now time.Time) []VM {
	ordered := order(near)
	base := count(ordered)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.updatedAt) >= updateInterval {
		p.update(ordered, far, base, now)
	}
	// Base follows the rate of calls at each look-up, as it would without a Picker.
	picked := ordered[:min(len(ordered), max(base, p.own.value(now)))]
	for _, id := range p.spilled {
		if i := slices.IndexFunc(far, func(v VM) bool { return v.ID == id }); i >= 0 {
			picked = append(slices.Clip(picked), far[i])
		}
	}
	return picked
}

// Decision returns the last decision.
func (p *Picker) Decision() Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decision
}

func (p *Picker) update(ordered, far []VM, base int, now time.Time) {
	p.updatedAt = now
	d := Decision{Base: base}
	used := min(len(ordered), max(base, p.own.value(now)))
	p.measure(ordered, far, &d)
	if d.Saturated > 0 || used > base {
		p.own.record(now, wanted(base, used, func(target float64) int { return enough(ordered, base, d.Work, d.Background, target) }))
	}
	d.Own = min(len(ordered), max(base, p.own.value(now)))
	d.Utilization = worst(ordered[:d.Own], d.Work, d.Background, d.Own)

	p.spill(ordered[:d.Own], far, &d, now)
	d.Spilled = len(p.spilled)
	p.decision = d
}

// spill decides on the VMs of other domains.
func (p *Picker) spill(own, far []VM, d *Decision, now time.Time) {
	held := p.far.value(now)
	if len(own) == 0 || d.Saturated == 0 && held == 0 {
		p.spilled = nil
		return
	}
	candidates, need := p.candidates(far), 0
	switch {
	case d.Utilization > spillTarget:
		need = enoughFar(own, candidates, d.Work)
	case len(p.spilled) > 0 && d.Utilization > addTarget:
		need = min(len(p.spilled), enoughFar(own, candidates, d.Work))
	}
	p.far.record(now, need)
	p.spilled = p.spilled[:0]
	for _, c := range candidates[:min(len(candidates), max(held, need))] {
		p.spilled = append(p.spilled, c.id)
	}
}

// wanted returns the number of VMs that the work needs: more than are used only if they would exceed
// addTarget, and fewer only as far as those would stay below keepTarget. 0 means that the rate of calls
// alone decides.
func wanted(base, used int, enough func(target float64) int) int {
	if add := enough(addTarget); add > base && add >= used {
		return add
	}
	if used <= base {
		return 0
	}
	if keep := min(used, enough(keepTarget)); keep > base {
		return keep
	}
	return 0
}

// measure determines the work that the callers of the domain send: what its VMs do for calls, and what
// the added VMs of other domains do for these callers.
func (p *Picker) measure(ordered, far []VM, d *Decision) {
	busiest := 0.0
	for i := range ordered {
		busiest = max(busiest, ordered[i].Calls)
	}
	calls, takers, standby := 0.0, 0.0, 0.0
	for i := range ordered {
		v := &ordered[i]
		if v.Calls < max(minTakenCalls, minTakenShare*busiest) {
			standby++
			if v.Load != nil {
				d.Background += v.Load.Utilization * v.cores()
			}
			continue
		}
		calls += v.Calls
		takers++
		d.Work += v.work()
		if v.Load.Saturated() {
			d.Saturated++
		}
	}
	if standby > 0 {
		d.Background /= standby
	}
	d.Work = max(0, d.Work-takers*d.Background)
	p.share, p.perCall = 0, 0
	if takers == 0 {
		return
	}
	p.share, p.perCall = calls/takers, d.Work/calls
	for i := range far {
		if slices.Contains(p.spilled, far[i].ID) {
			d.Work += p.foreignWork(&far[i])
		}
	}
}

// foreignWork estimates the work that a VM of another domain does for the callers of this one. They use
// each address equally often.
func (p *Picker) foreignWork(v *VM) float64 { return p.perCall * min(v.Calls, p.share) }

// work returns the processor time per second that the VM's calls need, in cores.
func (v *VM) work() float64 {
	if v.Load == nil {
		return v.Calls * callCPUTime.Seconds()
	}
	work := v.Load.Utilization * v.cores()
	if v.Load.Saturated() {
		work *= saturatedGrowth
	}
	return work
}

// worst returns the highest utilization of VMs, the weakest of which is last, if work is spread over a
// number of VMs. Callers choose uniformly among the addresses, so that weak and strong VMs get the same.
// The digests that a VM on standby hears can take a quarter of a weak one, more while servers crash.
func worst(vms []VM, work, background float64, number int) float64 {
	if len(vms) == 0 {
		return 0
	}
	return (work/float64(number) + background) / vms[len(vms)-1].cores()
}

// enough returns the least number of VMs, from a number on, that stay below a utilization. If none do, it
// returns the number with the lowest one. A few weak VMs beside strong ones would get more than they can
// do, so that weak ones are added only if there are enough of them; strong ones are always kept, as each
// address lowers the share of all. VMs that digests alone would keep busy aren't added: without processor
// time they learn of new configurations too late.
func enough(ordered []VM, from int, work, background, target float64) int {
	best, lowest := from, worst(ordered[:from], work, background, from)
	if lowest <= target {
		return from
	}
	grown := backgroundGrowth * background
	for n := from + 1; n <= len(ordered); n++ {
		if grown > maxBackground*ordered[n-1].cores() {
			break // The following VMs are not stronger.
		}
		u := worst(ordered[:n], work, grown, n)
		if u <= target {
			return n
		}
		if u < lowest {
			best, lowest = n, u
		}
	}
	return best
}
