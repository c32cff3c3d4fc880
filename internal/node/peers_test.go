package node

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
)

// seqOf iterates over peers as a node does over those that it knows.
func seqOf(peers []gossip.Peer) peerSeq {
	return func(yield func(*gossip.Peer) bool) {
		for i := range peers {
			if !yield(&peers[i]) {
				return
			}
		}
	}
}

// Standby VMs don't choose engines and use no rate. Counting them made each VM expect seventy
// others to make the same choice.
func TestStandbyVMsAreNotCountedAsSenders(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := make([]gossip.Peer, 72)
	for i := range peers {
		peers[i].At = now.Add(-time.Second)
	}
	if members, senders := countMembers(seqOf(peers), now, 8*time.Second); members != 73 || senders != 73 {
		t.Errorf("%d VMs, %d senders before any calls", members, senders)
	}
	for i := range peers {
		peers[i].Calls = 0.8 // The platform's own checks.
	}
	if _, senders := countMembers(seqOf(peers), now, 8*time.Second); senders != 73 {
		t.Errorf("%d senders while there are only checks", senders)
	}
	for i := range 11 {
		peers[6*i].Calls = 40
	}
	peers[1].At = now.Add(-9 * time.Second)
	if members, senders := countMembers(seqOf(peers), now, 8*time.Second); members != 72 || senders != 12 {
		t.Errorf("%d VMs, %d senders, want 72 and 12", members, senders)
	}
}
