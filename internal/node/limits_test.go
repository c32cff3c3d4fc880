package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/vm"
)

// All VMs, active or not, must agree on which VMs share a server's rate; otherwise the shares
// don't add up to the rate.
func TestVMsAgreeOnActiveVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		calls []float64
		want  int
	}{
		"no calls yet": {calls: []float64{0, 0, 0}, want: 3},
		"few calls":    {calls: []float64{1.9, 3, 0.5, 0.2}, want: 3},
		"standby VMs":  {calls: []float64{40, 41, 0.8, 0.8, 0.9, 39}, want: 3},
		"a new VM":     {calls: []float64{40, 40, 0}, want: 2},
	} {
		var first []vm.ID
		for self := range c.calls {
			var peers []gossip.Peer
			for i, calls := range c.calls {
				if i != self {
					p := gossip.Peer{At: now.Add(-time.Second)}
					p.ID, p.Calls = vm.ID(fmt.Sprint(i)), calls
					peers = append(peers, p)
				}
			}
			gone := gossip.Peer{At: now.Add(-9 * time.Second)}
			gone.ID, gone.Calls = "gone", 90
			got := activeVMs(vm.ID(fmt.Sprint(self)), c.calls[self], seqOf(append(peers, gone)), now, 8*time.Second)
			slices.Sort(got)
			if first == nil {
				first = got
			}
			if len(got) != c.want || !slices.Equal(got, first) {
				t.Errorf("%s: VM %d considers %v active, want %d VMs; VM 0 considers %v active", name, self, got, c.want, first)
			}
		}
	}
}
