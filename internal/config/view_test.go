package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
)

// testSnapshot returns a configuration with the given number of client accounts,
// each with one key, 600 engines and 11 models.
func testSnapshot(accounts int) *Snapshot {
	const engines, models = 600, 11
	s := Empty()
	s.Number = 1
	for i := range accounts {
		id := account.ID(fmt.Sprintf("account-%d", i))
		s.Accounts[id] = account.Account{ID: id, Contract: account.Contract{Rate: 1000, Burst: 10000}}
		k := account.KeyID(fmt.Sprintf("key-%d", i))
		s.Keys[k] = account.Key{ID: k, Account: id, Hash: account.HashSecret(string(k))}
	}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		s.Models[name] = Model{Name: name, WeightsVersion: "v1"}
	}
	for i := range engines {
		id := backend.ID(fmt.Sprintf("engine-%d", i))
		s.Servers[id] = backend.Server{ID: id, Kind: backend.Engine, URL: "http://127.0.0.1:1", FailureDomain: "a", Models: []string{fmt.Sprintf("model-%d", i%models)}}
	}
	return s
}

func TestView(t *testing.T) {
	s := testSnapshot(3)
	s.Routes["short"] = Route{ID: "short", PathPrefix: "/a/"}
	s.Routes["long"] = Route{ID: "long", PathPrefix: "/a/b/"}
	v := NewView(s)
	if r, ok := v.Route("/a/b/c"); !ok || r.ID != "long" {
		t.Errorf("route %q, want the longest prefix", r.ID)
	}
	if _, ok := v.Route("/x"); ok {
		t.Error("found a route for a path that no prefix matches")
	}
	if k, ok := v.Authenticate("key-1"); !ok || k.Account != "account-1" {
		t.Errorf("key of %q", k.Account)
	}
	if _, ok := v.Authenticate("key-9"); ok {
		t.Error("an unknown secret was accepted")
	}
	if n := len(v.Engines("model-0")); n != 55 {
		t.Errorf("%d engines of model-0, want 55", n)
	}
}

// BenchmarkView measures the cost of a change of the configuration: the time and
// memory to build a view, and the size of the snapshot that a starting router
// reads.
func BenchmarkView(b *testing.B) {
	for _, accounts := range []int{2100, 4200, 8400} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s := testSnapshot(accounts)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := NewView(s)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(v)
			data, err := json.Marshal(s)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				NewView(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap_bytes")
			b.ReportMetric(float64(len(data)), "snapshot_bytes")
		})
	}
}
