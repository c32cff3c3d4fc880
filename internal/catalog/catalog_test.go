package catalog

import (
	"strconv"
	"testing"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/rendezvous"
)

func TestLookups(t *testing.T) {
	c := New(Snapshot{
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/"},
			{Name: "long", Host: "h", Prefix: "/a/b/"},
			{Name: "other", Host: "g", Prefix: "/"},
		},
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{ID: "x", KeyHashes: []string{account.HashSecret("k1"), account.HashSecret("k2")}}},
	})
	for _, x := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "long"}, {"h", "/a/b", "short"}, {"h", "/a/", "short"}, {"h", "/a", ""}, {"h", "/", ""}, {"g", "/a", "other"}, {"i", "/a/b/", ""},
	} {
		got := ""
		if r := c.Route(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s matches route %q, want %q", x.host, x.path, got, x.want)
		}
	}
	if a := c.Account("k2"); a == nil || a.ID != "x" || c.Account("") != nil || c.Account("k3") != nil {
		t.Error("keys map to the wrong accounts")
	}
	if c.Service("s") == nil || c.Service("t") != nil || !c.HasAccounts() {
		t.Error("services or accounts are not found")
	}
	for _, x := range []struct {
		r    Route
		want bool
	}{{Route{Kind: Idempotent}, true}, {Route{Kind: AtMostOnce}, false}, {Route{Kind: Stream}, false}, {Route{Kind: Stream, Resumable: true}, true}} {
		if x.r.Repeatable() != x.want {
			t.Errorf("%+v repeatable: %v", x.r, x.r.Repeatable())
		}
	}
}

// All VMs look for a prompt in the same store, and the prompts are spread evenly over the
// stores.
func TestStoresShareThePrompts(t *testing.T) {
	store := func(name, domain string) Service {
		return Service{Name: name, KVStore: &KVStore{Address: name + ":1", FailureDomain: domain}}
	}
	a := New(Snapshot{Services: []Service{store("x", "a"), store("y", "b"), store("z", "c"), {Name: "app"}}})
	b := New(Snapshot{Services: []Service{store("z", "c"), {Name: "app"}, store("x", "a"), store("y", "b")}})
	count := map[string]int{}
	for i := range 3000 {
		key := rendezvous.NewKey(strconv.Itoa(i))
		if a.Store(key).Address != b.Store(key).Address {
			t.Fatal("two VMs look in different stores")
		}
		count[a.Store(key).Address]++
	}
	for address, n := range count {
		if len(count) != 3 || n < 850 || n > 1150 { // A third is 1000; 150 are 5 standard deviations.
			t.Errorf("%s has %d of 3000 prompts", address, n)
		}
	}
	if New(Snapshot{}).Store(1) != nil {
		t.Error("Store isn't nil in a catalog without stores")
	}
}
