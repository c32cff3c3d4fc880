package node

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/saturation"
)

// Reports of saturated VMs that don't reach the choice of addresses, or get lost on the way to other domains, would
// leave the VMs on standby unused.
func TestReportedSaturationBringsVMsIn(t *testing.T) {
	c := newCrowd(t, 100)
	for _, datagram := range c.round(t) {
		c.receive(t, datagram)
	}
	domain := member(0).FailureDomain
	atRest := len(c.node.Addresses(domain))
	time.Sleep(steerInterval) // The last decision is used until then.
	for i := largeDomains; i < 5*largeDomains; i += largeDomains {
		c.sequence++
		c.receive(t, c.encode(t, map[string]any{"d": gossip.Digest{
			Member: member(i), Incarnation: 1, Sequence: c.sequence, Uptime: c.node.now().Sub(c.began), Ready: true, Calls: 50,
			Load: &saturation.Load{Utilization: 1, WaitMS: 100},
		}}))
	}
	if got := len(c.node.Addresses(domain)); got <= atRest {
		t.Errorf("%d addresses beside saturated VMs, %d at rest", got, atRest)
	}
	reported := 0
	for _, m := range c.node.summary(c.node.digest()).Members {
		if m.Load.Saturated() {
			reported++
		}
	}
	if reported != 4 {
		t.Errorf("the summary for other domains shows %d saturated VMs, want 4", reported)
	}
}

// The load that a VM measures must be in its digests.
func TestMeasuredLoadIsReported(t *testing.T) {
	c := newCrowd(t, 1)
	used := time.Duration(0)
	c.node.MeasureProcessor(func(r *saturation.Reading) {
		r.ProcessorTime = used
		used += time.Hour
	})
	c.node.digest()
	time.Sleep(steerInterval)
	if d := c.node.digest(); !d.Load.Saturated() {
		t.Errorf("the digest reports %+v", d.Load)
	}
}
