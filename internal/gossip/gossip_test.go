package gossip

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/vm"
)

func newNode(now *time.Time) *Node {
	return &Node{opts: Options{Self: Member{ID: "self"}, Log: zap.NewNop(), Now: func() time.Time { return *now }}, peers: map[vm.ID]*Peer{}, relays: map[vm.ID]*Summary{}, transits: map[vm.ID]transit{}, forwardedAt: map[string]time.Time{}}
}

func digest(id vm.ID, incarnation vm.Incarnation, sequence uint64, uptime time.Duration) Digest {
	return Digest{Member: Member{ID: id, Peer: "127.0.0.1:1"}, Incarnation: incarnation, Sequence: sequence, Uptime: uptime}
}

func TestAcceptTakesNewerOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	if n.accept(digest("self", 1, 1, 0)) != nil {
		t.Error("accepted a digest of its own VM")
	}
	if n.accept(digest("x", 1, 5, time.Minute)) == nil || n.accept(digest("x", 1, 5, time.Minute)) != nil || n.accept(digest("x", 1, 4, time.Minute)) != nil {
		t.Error("digests of one process are not accepted by sequence")
	}
	now = now.Add(time.Second)
	if n.accept(digest("x", 2, 1, 100*time.Millisecond)) == nil {
		t.Error("a digest of a new process was not accepted")
	}
	if n.accept(digest("x", 1, 6, time.Minute+time.Second)) != nil {
		t.Error("a digest of the previous process was accepted")
	}
}

func TestSilentPeersAreRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	n.accept(digest("x", 1, 1, 0))
	n.RecordListed([]Member{{ID: "y", Peer: "127.0.0.1:2"}, {ID: "self"}})
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
		t.Error("silent peers were not removed")
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range []message{
		{Digest: &Digest{Member: Member{ID: "x"}, Sequence: 7}},
		{Summary: &Summary{From: Member{ID: "x"}, Sequence: 8, Reserved: []backend.ID{"e"}}},
		{Summary: &Summary{From: Member{ID: "x"}, Sequence: 9, Forwarded: true}},
	} {
		data, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(data)
		if err != nil || !reflect.DeepEqual(*got, m) {
			t.Errorf("decoded %+v of %+v, err %v", got, m, err)
		}
	}
	for _, bad := range []string{"", "{", "\x01\x02", "[]"} {
		if m, err := decode([]byte(bad)); err == nil {
			t.Errorf("%q decoded to %+v", bad, m)
		}
	}
}

// A relay's summary updates the peers that it lists. A repeated summary and one of the
// own domain are rejected.
func TestSummaryUpdatesPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	n.opts.Self.FailureDomain = "a"
	s := &Summary{From: Member{ID: "r", FailureDomain: "b"}, Sequence: 5, Members: []MemberState{{Member: Member{ID: "r", FailureDomain: "b"}, Ready: true}, {Member: Member{ID: "q", FailureDomain: "b"}, Leaving: true}}}
	if !n.acceptSummary(s) || n.acceptSummary(s) {
		t.Error("a summary was not accepted exactly once")
	}
	if own := (&Summary{From: Member{ID: "o", FailureDomain: "a"}, Sequence: 1}); n.acceptSummary(own) {
		t.Error("accepted a summary of its own domain")
	}
	alive := 0
	for _, p := range n.Peers() {
		if p.Alive(now) && p.FailureDomain == "b" {
			alive++
		}
	}
	if alive != 2 || n.Rank() != 0 || len(n.recipients(Everyone)) != 0 {
		t.Errorf("%d VMs of the other domain alive, rank %d", alive, n.Rank())
	}
}

// Prompt placements go to the relays and to the VMs that receive client requests, not
// to the many idle ones. The VMs with the most cores are the relays.
func TestPlacementsGoToBusyVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	n.opts.Self.FailureDomain, n.opts.Self.Cores = "a", 0.2
	for i := range 20 {
		d := digest(vm.ID(fmt.Sprintf("vm-%02d", i)), 1, 1, time.Minute)
		d.FailureDomain, d.Cores, d.Calls = "a", 0.2, 0.8 // The platform's health checks.
		switch i {
		case 7, 9:
			d.Cores = 0.8
		case 12, 13, 14:
			d.Calls = 30
		}
		n.accept(d)
	}
	var got []string
	for _, p := range n.recipients(Busy) {
		got = append(got, string(p.ID))
	}
	if want := []string{"vm-07", "vm-09", "vm-12", "vm-13", "vm-14"}; !slices.Equal(slices.Sorted(slices.Values(got)), want) {
		t.Errorf("placements go to %v, want %v", got, want)
	}
	if all := n.recipients(Everyone); len(all) != 20 || n.IsRelay() {
		t.Errorf("%d VMs in all, this one is a relay: %v", len(all), n.IsRelay())
	}
}

// Summaries of a domain are forwarded to idle VMs only a few times a second.
func TestForwardingIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	all := 0
	for range 100 { // Over ten seconds.
		if n.forwardAudience("b") == Everyone {
			all++
		}
		now = now.Add(100 * time.Millisecond)
	}
	if all < 15 || all > 25 {
		t.Errorf("%d of 100 summaries go to all VMs", all)
	}
}

// Each relay of a domain gets the summaries of one relay of another domain. Idle VMs don't need both
// streams; one relay goes on when the other one has failed.
func TestRelaysForwardInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	relays := []*Node{newNode(&now), newNode(&now)}
	for _, r := range relays {
		r.opts.Self.FailureDomain = "a"
	}
	toAll := [2]int{}
	for step := range 100 { // Ten seconds each with both relays and with one.
		for i, r := range relays {
			s := Summary{From: Member{ID: vm.ID(fmt.Sprint("b", i)), FailureDomain: "b"}, Sequence: uint64(step + 1)}
			if i == 1 && step >= 50 || !r.acceptSummary(&s) {
				continue
			}
			s.Forwarded, s.ToAll = true, r.forwardAudience("b") == Everyone
			if s.ToAll {
				toAll[step/50]++
			}
			relays[1-i].acceptSummary(&s)
		}
		now = now.Add(200 * time.Millisecond)
	}
	for i, n := range toAll {
		if n < 24 || n > 26 {
			t.Errorf("%d summaries in 10 s go to all VMs with %d relays, want 25", n, 2-i)
		}
	}
}
