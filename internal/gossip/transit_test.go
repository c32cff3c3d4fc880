package gossip

import (
	"testing"
	"time"
)

func TestMessagesReadAfterStandstillCountAsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	started := now
	n := newNode(&now)
	receive := func(sequence uint64, sent time.Time) *Peer {
		return n.accept(Digest{Member: Member{ID: "p"}, Incarnation: 1, Sequence: sequence, Uptime: sent.Sub(started)})
	}
	now = now.Add(time.Second)
	receive(1, now.Add(-3*time.Millisecond))
	now = now.Add(time.Second)
	if p := receive(2, now.Add(-time.Millisecond)); p.Delay != 0 {
		t.Errorf("a fast digest has the delay %v", p.Delay)
	}
	sent := now.Add(250 * time.Millisecond)
	now = now.Add(4 * time.Second) // This VM stands still.
	if p := receive(3, sent); p.Delay < 3600*time.Millisecond || p.Delay > 3800*time.Millisecond || p.Alive(now) {
		t.Errorf("a digest that waited 3.75 s has the delay %v, alive %v", p.Delay, p.Alive(now))
	}
	if p := receive(4, now.Add(-2*time.Millisecond)); p.Delay > 10*time.Millisecond || !p.Alive(now) {
		t.Errorf("the next digest has the delay %v, alive %v", p.Delay, p.Alive(now))
	}
}

func TestClockDriftIsNoDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	var tr transit
	uptime := time.Second
	for range 100_000 {
		now, uptime = now.Add(time.Second), uptime+time.Second-time.Second/2000
		if d := tr.delay(1, uptime, now); d > 10*time.Millisecond {
			t.Fatalf("a slower clock looks like a delay of %v", d)
		}
	}
}

func TestSummaryReadAfterStandstillCountsAsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNode(&now)
	summary := func(sequence uint64, uptime time.Duration) *Summary {
		s := &Summary{From: Member{ID: "r", FailureDomain: "b"}, Incarnation: 1, Sequence: sequence, RelayUptime: uptime, Members: []MemberState{{Member: Member{ID: "r", FailureDomain: "b"}}}}
		n.acceptSummary(s)
		return s
	}
	summary(1, time.Second)
	now = now.Add(5 * time.Second)
	if s := summary(2, 2*time.Second); s.Delay < 3900*time.Millisecond {
		t.Errorf("delay %v of a summary that waited 4 s", s.Delay)
	}
	earlier := &Summary{From: Member{ID: "e", FailureDomain: "b"}, Incarnation: 1, Sequence: 1}
	if n.acceptSummary(earlier); earlier.Delay != 0 {
		t.Errorf("delay %v of a summary of an earlier build", earlier.Delay)
	}
}
