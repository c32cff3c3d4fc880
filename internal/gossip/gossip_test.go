package gossip

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/vm"
)

func newNode(now *time.Time) *Node {
	return &Node{opts: Options{Self: Member{ID: "self"}, Log: zap.NewNop(), Now: func() time.Time { return *now }}, peers: map[vm.ID]*Peer{}, relays: map[vm.ID]*Summary{}}
}

func digest(id vm.ID, incarnation vm.Incarnation, sequence uint64, uptime time.Duration) Digest {
	return Digest{Member: Member{ID: id, Peer: "127.0.0.1:1"}, Incarnation: incarnation, Sequence: sequence, Uptime: uptime}
}

func TestAcceptTakesNewerOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	if n.accept(digest("self", 1, 1, 0)) != nil {
		t.Error("took its own digest")
	}
	if n.accept(digest("x", 1, 5, time.Minute)) == nil || n.accept(digest("x", 1, 5, time.Minute)) != nil || n.accept(digest("x", 1, 4, time.Minute)) != nil {
		t.Error("the sequence does not decide")
	}
	now = now.Add(time.Second)
	if n.accept(digest("x", 2, 1, 100*time.Millisecond)) == nil {
		t.Error("a new process was not taken")
	}
	if n.accept(digest("x", 1, 6, time.Minute+time.Second)) != nil {
		t.Error("a digest of the process before was taken")
	}
}

func TestPeersAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	n.accept(digest("x", 1, 1, 0))
	n.Listed([]Member{{ID: "y", Peer: "127.0.0.1:2"}, {ID: "self"}})
	peers := n.Peers()
	if len(peers) != 2 {
		t.Fatalf("peers %v", peers)
	}
	for _, p := range peers {
		if p.Alive(now) != (p.ID == "x") {
			t.Errorf("%s alive: %v", p.ID, p.Alive(now))
		}
	}
	now = now.Add(SilenceLimit)
	if p := n.Peers()[0]; p.Alive(now) {
		t.Error("a silent peer counts as alive")
	}
	now = now.Add(forgetAfter)
	if len(n.Peers()) != 0 {
		t.Error("silent peers are kept")
	}
}
