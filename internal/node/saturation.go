package node

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/saturation"
	"papayaspan.dev/papayaspan/internal/steer"
)

// steerInterval is the time between two decisions on the addresses of the own domain. They are taken
// also while this VM gets no look-ups, so that it knows which VMs were needed lately.
const steerInterval = 250 * time.Millisecond

// steering holds what the choice of the addresses for callers depends on.
type steering struct {
	// meter measures the load of this VM's processor; nil if it isn't measured.
	meter *saturation.Meter
	mu    sync.Mutex
	// pickers holds one picker for each failure domain that has VMs.
	pickers map[string]*steer.Picker
	// decidedAt is when the digest loop last decided on the addresses of the own domain, decided the
	// result; used by that loop only.
	decidedAt time.Time
	decided   steer.Decision
}

// MeasureProcessor lets the node measure the load of its processor. It must be called before Start, and
// only if the process is the only one on its VM and runs no other node.
func (n *Node) MeasureProcessor(source saturation.Source) {
	m := saturation.NewMeter(n.opts.VM.Cores, source)
	n.steering.meter = m
	for name, value := range map[string]func(saturation.Measured) int64{
		"processor_utilization_percent": func(l saturation.Measured) int64 { return int64(100*l.Utilization + 0.5) },
		"processor_wait_ms":             func(l saturation.Measured) int64 { return int64(l.WaitMS) },
		"processor_us_per_call":         func(l saturation.Measured) int64 { return l.PerCall.Microseconds() },
	} {
		n.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 { return value(m.Last()) }))
	}
}

// measureLoad returns the load of the processor to report to other VMs, or nil.
func (n *Node) measureLoad(now time.Time) *saturation.Load {
	n.steering.meter.Update(n.Gateway.Calls(), now)
	return n.steering.meter.Report()
}

// picker returns the picker of a failure domain.
func (s *steering) picker(domain string) *steer.Picker {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pickers[domain]
	if p == nil {
		if s.pickers == nil {
			s.pickers = map[string]*steer.Picker{}
		}
		p = steer.NewPicker(domain)
		s.pickers[domain] = p
	}
	return p
}

// pick returns the VMs for the callers of a domain, and those of other domains that are ready.
func (n *Node) pick(domain string) (picked, far []steer.VM) {
	near, far := n.vmsFor(domain)
	if len(near) == 0 {
		return nil, far // Callers may name any domain.
	}
	return n.steering.picker(domain).Pick(near, far, n.now()), far
}

// decideAddresses decides on the addresses of the own domain if that is due.
func (n *Node) decideAddresses(now time.Time) {
	s := &n.steering
	if now.Sub(s.decidedAt) < steerInterval {
		return
	}
	s.decidedAt = now
	domain := n.opts.VM.FailureDomain
	if picked, _ := n.pick(domain); len(picked) == 0 {
		return
	}
	d, old := s.picker(domain).Decision(), s.decided
	s.decided = d
	added, addedBefore := d.Own-d.Base, old.Own-old.Base
	metrics.GetOrRegisterGauge("vms_added", n.metrics).Update(int64(added))
	metrics.GetOrRegisterGauge("vms_of_other_domains_added", n.metrics).Update(int64(d.Spilled))
	if added != addedBefore || d.Spilled != old.Spilled {
		n.log.Info("vms_for_callers_changed", zap.Int("by_rate", d.Base), zap.Int("used", d.Own), zap.Int("of_other_domains", d.Spilled),
			zap.Int("saturated", d.Saturated), zap.Float64("work_cores", d.Work), zap.Float64("background_cores", d.Background), zap.Float64("expected_utilization", d.Utilization))
	}
}

// vmsFor returns the ready VMs of a failure domain and those of the others. VMs without a path of their
// own to the servers are among them only if there are no others.
func (n *Node) vmsFor(domain string) (near, far []steer.VM) {
	vms := n.readyVMs()
	withPath := slices.ContainsFunc(vms, func(v readyVM) bool { return !v.stranded })
	for _, v := range vms {
		switch {
		case withPath && v.stranded:
		case v.domain == domain:
			near = append(near, v.VM)
		default:
			far = append(far, v.VM)
		}
	}
	return near, far
}
