package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/catalog"
)

// snapshotFor returns a configuration with one account that has the key "k".
func snapshotFor(version catalog.Version, change func(*catalog.Snapshot)) catalog.Snapshot {
	s := catalog.Snapshot{
		Version: version,
		Routes: []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, Timeout: 3 * time.Second, Objective: time.Second,
			MaxAttempts: 1, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
		}},
		Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Slots: 8, CacheTokens: 160_000, TokenBytes: 1000, LinkBitRate: 1e9}}},
		Accounts: []catalog.Account{{ID: "a", KeyHashes: []string{account.HashSecret("k")}}},
	}
	change(&s)
	return s
}

// The key is withdrawn, the route removed or the time limit shortened while the request waits for a
// place within the server's rate limit.
func TestWaitingRequestIsEvaluatedAgain(t *testing.T) {
	for _, c := range []struct {
		name, refusal string
		change        func(*catalog.Snapshot)
	}{
		{"withdrawn key", "key_unknown", func(s *catalog.Snapshot) { s.Accounts[0].KeyHashes = []string{account.HashSecret("new")} }},
		{"removed route", "route_unknown", func(s *catalog.Snapshot) { s.Routes = nil }},
		{"time limit passed", "deadline_passed", func(s *catalog.Snapshot) { s.Routes[0].Timeout = 10 * time.Millisecond }},
		{"nothing that concerns it", "", func(*catalog.Snapshot) {}},
	} {
		reached := atomic.Int32{}
		g, _ := newTestGateway(t, countingEngine(&reached))
		g.Publish(snapshotFor(2, func(*catalog.Snapshot) {}))
		limitTo(g, 5) // The place is due after about 200 ms.
		call, sink := modelCall(), &recordingSink{}
		call.Key = "k"
		time.AfterFunc(50*time.Millisecond, func() { g.Publish(snapshotFor(3, c.change)) })
		g.Serve(context.Background(), call, sink)
		got := ""
		if sink.refusal != nil {
			got = sink.refusal.Code
		}
		want := int32(0)
		if c.refusal == "" {
			want = 1
		}
		if got != c.refusal || reached.Load() != want {
			t.Errorf("%s: refused with %q, want %q; %d requests reached the server, want %d", c.name, got, c.refusal, reached.Load(), want)
		}
	}
}

// The time limit counts from the arrival, and a stream that has begun is not evaluated again.
func TestChangedTimeLimitApplies(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newTestTask(t, testEntries(1), &now)
	service := k.catalog.Service("llm")
	k.g.Publish(snapshotFor(2, func(s *catalog.Snapshot) { s.Routes[0].Timeout, s.Accounts = time.Second, nil }))
	now = now.Add(400 * time.Millisecond)
	k.begun = true
	if k.configurationChanged() {
		t.Error("a stream that has begun is evaluated again")
	}
	k.begun = false
	if _, refusal := k.reevaluate(service); refusal != nil || k.timeLeft() != 600*time.Millisecond || k.configurationChanged() {
		t.Errorf("refusal %v, %v left of a time limit of 1 s after 0.4 s", refusal, k.timeLeft())
	}
	k.call.CallerTimeout = 500 * time.Millisecond
	k.g.Publish(snapshotFor(3, func(s *catalog.Snapshot) { s.Accounts = nil }))
	if _, refusal := k.reevaluate(service); refusal != nil || k.timeLeft() != 100*time.Millisecond {
		t.Errorf("refusal %v, %v left of the caller's limit of 0.5 s", refusal, k.timeLeft())
	}
}
