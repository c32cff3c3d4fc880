package ticket

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

func acct(id string) account.Account {
	return account.Account{ID: account.ID(id), Contract: account.Contract{Rate: 10, Burst: 100}}
}

func key(id, acct, secret string) account.Key {
	return account.Key{ID: account.KeyID(id), Account: account.ID(acct), Hash: account.HashSecret(secret)}
}

func service(id string) backend.Server {
	return backend.Server{ID: backend.ID(id), Kind: backend.Service, URL: "http://127.0.0.1:1", FailureDomain: "a"}
}

// baseTicket returns a ticket that creates account a with key k1, model m,
// engine e, service s and route r.
func baseTicket() Ticket {
	t := Ticket{ClientID: "base", Operator: "olga"}
	t.Accounts.Set = []account.Account{acct("a")}
	t.Keys.Set = []account.Key{key("k1", "a", "secret-1")}
	t.Models.Set = []config.Model{{Name: "m", WeightsVersion: "1"}}
	t.Servers.Set = []backend.Server{
		{ID: "e", Kind: backend.Engine, URL: "http://127.0.0.1:1", FailureDomain: "a", Models: []string{"m"}},
		service("s"),
	}
	t.Routes.Set = []config.Route{{ID: "r", PathPrefix: "/svc/", Servers: []backend.ID{"s"}}}
	return t
}

func TestApplyReportsEveryProblem(t *testing.T) {
	base, problems := Apply(config.Empty(), baseTicket())
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	tests := []struct {
		desc   string
		change func(*Ticket)
		want   []string
	}{
		{"nothing", func(*Ticket) {}, []string{"the ticket changes nothing"}},
		{"no operator", func(t *Ticket) { t.Operator = ""; t.Keys.Remove = []account.KeyID{"k1"} }, []string{"operator: "}},
		{"unknown account and short hash", func(t *Ticket) {
			t.Keys.Set = []account.Key{{ID: "k2", Account: "b", Hash: "12"}}
		}, []string{"key/k2.hash: ", `key/k2.account: client account "b" does not exist`}},
		{"duplicate hash", func(t *Ticket) {
			t.Keys.Set = []account.Key{key("k2", "a", "secret-1")}
		}, []string{"key/k2.hash: is the same as that of key/k1"}},
		{"upper-case hash", func(t *Ticket) {
			k := key("k2", "a", "x")
			k.Hash = strings.ToUpper(k.Hash)
			t.Keys.Set = []account.Key{k}
		}, []string{"key/k2.hash: must be in lower case"}},
		{"set and removed", func(t *Ticket) {
			t.Keys.Set = []account.Key{key("k1", "a", "x")}
			t.Keys.Remove = []account.KeyID{"k1"}
		}, []string{"key/k1: is named twice"}},
		{"remove what does not exist", func(t *Ticket) { t.Models.Remove = []string{"x"} }, []string{"model/x: does not exist"}},
		{"remove what is in use", func(t *Ticket) {
			t.Accounts.Remove = []account.ID{"a"}
			t.Models.Remove = []string{"m"}
			t.Servers.Remove = []backend.ID{"s"}
		}, []string{"key/k1.account: ", "server/e.models: ", "route/r.servers: "}},
		{"bad rate", func(t *Ticket) {
			a := acct("b")
			a.Contract = account.Contract{Rate: -1, Burst: 0}
			t.Accounts.Set = []account.Account{a}
		}, []string{"account/b.contract.rate: ", "account/b.contract.burst: "}},
		{"route to an engine and to nothing", func(t *Ticket) {
			t.Routes.Set = []config.Route{{ID: "q", PathPrefix: "/v1/x", Class: "fast", Servers: []backend.ID{"e", "z"}}}
		}, []string{"route/q.path_prefix: ", "route/q.class: ", `"e" is not a plain service`, `"z" does not exist`}},
		{"same prefix", func(t *Ticket) {
			t.Routes.Set = []config.Route{{ID: "q", PathPrefix: "/svc/", Servers: []backend.ID{"s"}}}
		}, []string{"route/r.path_prefix: is the same as that of route/q"}},
		{"bad server", func(t *Ticket) {
			t.Servers.Set = []backend.Server{{ID: "x y", Kind: backend.Service, URL: "ftp://u@h/?q", Models: []string{"m", "m"}}}
		}, []string{"the ID must match", "failure_domain: ", "url: ", "plain services serve no models", `names "m" twice`}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tk := Ticket{ClientID: "c", Operator: "olga"}
			tt.change(&tk)
			next, problems := Apply(base, tk)
			if next != nil {
				t.Error("the ticket was accepted")
			}
			all := fmt.Sprint(problems)
			for _, want := range tt.want {
				if !strings.Contains(all, want) {
					t.Errorf("no problem %q in %s", want, all)
				}
			}
			if len(problems) != len(tt.want) {
				t.Errorf("%d problems, want %d: %s", len(problems), len(tt.want), all)
			}
		})
	}
	if len(base.Keys) != 1 || base.Number != 1 {
		t.Error("the base snapshot was modified")
	}
}

func newTestStore(f *flakyTable, self string) *Store {
	now := func() time.Time { return time.Unix(1000, 0) }
	return NewStore(f, f.Objects(), head.Direct{Table: f}, vm.ID(self), now)
}

func keyTicket(i int) Ticket {
	t := Ticket{ClientID: fmt.Sprintf("c%d", i), Operator: "olga"}
	t.Keys.Set = []account.Key{key(fmt.Sprintf("key-%d", i), "a", fmt.Sprint(i))}
	return t
}

func TestFileHistory(t *testing.T) {
	ctx := context.Background()
	f := newFlakyTable(1)
	s := newTestStore(f, "vm1")
	first, err := s.File(ctx, baseTicket())
	if err != nil || first.Number != 1 || first.Status != Accepted {
		t.Fatalf("%+v, %v", first, err)
	}
	again, err := newTestStore(f, "vm2").File(ctx, baseTicket())
	if err != nil || again.Number != 1 || again.FiledThrough != "vm1" {
		t.Errorf("filed again: %+v, %v", again, err)
	}
	other := baseTicket()
	other.Comment = "changed"
	if _, err := s.File(ctx, other); !errors.Is(err, ErrReused) {
		t.Errorf("other content: %v", err)
	}
	bad := Ticket{ClientID: "bad", Operator: "olga"}
	bad.Keys.Remove = []account.KeyID{"none"}
	refused, err := s.File(ctx, bad)
	if err != nil || refused.Status != Refused || refused.Number != 2 {
		t.Errorf("refused: %+v, %v", refused, err)
	}
	got, err := s.Get(ctx, 2)
	if err != nil || len(got.Problems) != 1 {
		t.Errorf("get: %+v, %v", got, err)
	}
	for i := range 3 * CheckpointInterval {
		if _, err := s.File(ctx, keyTicket(i)); err != nil {
			t.Fatal(err)
		}
		if i == 2*CheckpointInterval {
			if err := s.Checkpoint(ctx, s.Latest()); err != nil {
				t.Fatal(err)
			}
		}
	}
	fresh := newTestStore(f, "vm3")
	snap, err := fresh.Load(ctx, nil)
	if err != nil || snap.Number != 2+3*CheckpointInterval || len(snap.Keys) != 1+3*CheckpointInterval {
		t.Fatalf("load: %v", err)
	}
	if _, err := f.Objects().Get(ctx, checkpointName(2*CheckpointInterval+3)); err != nil {
		t.Errorf("no checkpoint: %v", err)
	}
	since, err := fresh.Since(ctx, 190)
	if err != nil || len(since) != 4 {
		t.Errorf("since: %d, %v", len(since), err)
	}
	if _, err := fresh.Get(ctx, 999); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("absent: %v", err)
	}
}

func TestFileAfterLostAnswers(t *testing.T) {
	ctx := context.Background()
	f := newFlakyTable(7)
	s := newTestStore(f, "vm1")
	if _, err := s.File(ctx, baseTicket()); err != nil {
		t.Fatal(err)
	}
	f.lossRate, f.unavailableRate = 0.5, 0.1
	const tickets = 200
	for i := range tickets {
		for {
			rec, err := s.File(ctx, keyTicket(i))
			if err == nil {
				if rec.Number != config.Number(i+2) {
					t.Fatalf("ticket %d has number %d", i, rec.Number)
				}
				break
			}
			if !errors.Is(err, platform.ErrOutcomeUnknown) && !errors.Is(err, platform.ErrUnavailable) {
				t.Fatal(err)
			}
		}
	}
	f.lateCommits.Wait()
	f.lossRate, f.unavailableRate = 0, 0
	all, err := s.Since(ctx, 0)
	if err != nil || len(all) != tickets+1 {
		t.Errorf("%d records, %v", len(all), err)
	}
}
