package gossip

import (
	"fmt"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// The size that the deployment is designed for, and what control may take of each VM's link there
// (docs/CAPACITY.md).
const (
	designVMs             = 350
	designDomains         = 4
	controlBytesPerSecond = 7000
	// digestsPerSecond is the rate of digests in a large deployment.
	digestsPerSecond = 2
)

func designMember(i int) Member {
	return Member{
		ID: vm.ID(fmt.Sprintf("edge-zone-%d-%d", i%designDomains, i/designDomains)), FailureDomain: fmt.Sprintf("zone-%d", i%designDomains),
		Caller: fmt.Sprintf("10.%d.0.%d:8606", i%designDomains, i/designDomains), Peer: fmt.Sprintf("10.%d.0.%d:7600", i%designDomains, i/designDomains), Cores: 0.192,
	}
}

// encodedSize returns the size of a datagram.
func encodedSize(t *testing.T, m message) int {
	data, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// A VM on standby at the design size hears the digests of its domain and the summaries of the others
// within its budget for control.
func TestControlTrafficFitsBudgetAtDesignSize(t *testing.T) {
	revision := platform.Revision{Version: 12345}
	d := Digest{
		Member: designMember(0), Incarnation: 1 << 62, Sequence: 100, Uptime: time.Minute, Ready: true, Calls: 0.83,
		Catalog: 14, Servers: revision, EvidenceAge: 712345678, Goals: []WeightsGoal{{Model: "m0", Version: 3, Age: time.Minute}},
	}
	bytes := float64(designVMs/designDomains-1) * digestsPerSecond * float64(encodedSize(t, message{Digest: &d}))
	s := Summary{From: designMember(1), Incarnation: 1 << 62, Sequence: 100, Forwarded: true, Uptime: time.Minute, Catalog: 14, Servers: revision, Goals: d.Goals}
	for i := 1; i < designVMs; i += designDomains {
		s.Members = append(s.Members, MemberState{Member: designMember(i), Ready: true, Calls: 0.83})
	}
	bytes += (designDomains - 1) / forwardAllInterval.Seconds() * float64(encodedSize(t, message{Summary: &s}))
	if bytes > controlBytesPerSecond {
		t.Errorf("a VM receives %.0f bytes a second at rest, want at most %d", bytes, controlBytesPerSecond)
	}
}
