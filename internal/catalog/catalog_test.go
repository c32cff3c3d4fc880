package catalog

import (
	"testing"

	"papayaspan.dev/papayaspan/internal/account"
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
			t.Errorf("%s%s leads to %q, want %q", x.host, x.path, got, x.want)
		}
	}
	if a := c.Account("k2"); a == nil || a.ID != "x" || c.Account("") != nil || c.Account("k3") != nil {
		t.Error("keys lead to the wrong accounts")
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
