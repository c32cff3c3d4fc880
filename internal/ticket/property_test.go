package ticket

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
)

// randomTicket returns a ticket over a small set of IDs, so that tickets often
// change the same objects.
func randomTicket(rng *rand.Rand) Ticket {
	id := func(kind string) string { return fmt.Sprintf("%s%d", kind, rng.Intn(3)) }
	t := Ticket{ClientID: fmt.Sprint(rng.Int63()), Operator: "olga"}
	for range 1 + rng.Intn(3) {
		switch rng.Intn(9) {
		case 0:
			t.Accounts.Set = append(t.Accounts.Set, acct(id("a")))
		case 1:
			t.Keys.Set = append(t.Keys.Set, key(id("k"), id("a"), id("secret")))
		case 2:
			t.Models.Set = append(t.Models.Set, config.Model{Name: id("m"), WeightsVersion: "1"})
		case 3:
			t.Servers.Set = append(t.Servers.Set, service(id("s")))
		case 4:
			t.Routes.Set = append(t.Routes.Set, config.Route{ID: id("r"), PathPrefix: "/" + id("p"), Servers: []backend.ID{backend.ID(id("s"))}})
		case 5:
			t.Accounts.Remove = append(t.Accounts.Remove, account.ID(id("a")))
		case 6:
			t.Keys.Remove = append(t.Keys.Remove, account.KeyID(id("k")))
		case 7:
			t.Servers.Remove = append(t.Servers.Remove, backend.ID(id("s")))
		default:
			t.Models.Remove = append(t.Models.Remove, id("m"))
		}
	}
	return t
}

// consistent reports whether every reference resolves and no hash or path
// prefix occurs twice.
func consistent(s *config.Snapshot) bool {
	hashes := map[string]bool{}
	for _, k := range s.Keys {
		if _, ok := s.Accounts[k.Account]; !ok || hashes[k.Hash] {
			return false
		}
		hashes[k.Hash] = true
	}
	prefixes := map[string]bool{}
	for _, r := range s.Routes {
		if _, ok := s.Servers[r.Servers[0]]; !ok || prefixes[r.PathPrefix] {
			return false
		}
		prefixes[r.PathPrefix] = true
	}
	return true
}

func encode(t *testing.T, s *config.Snapshot) string {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// applyRandomTickets applies a sequence of random tickets. It returns how many
// were accepted. ok is false if a configuration was inconsistent, a base was
// modified, or a replay of the records gave another configuration.
func applyRandomTickets(t *testing.T, seed int64, apply func(*config.Snapshot, Ticket) (*config.Snapshot, []Problem)) (accepted int, ok bool) {
	rng := rand.New(rand.NewSource(seed))
	snap := config.Empty()
	var records []Record
	for range 40 {
		before := encode(t, snap)
		tk := randomTicket(rng)
		next, problems := apply(snap, tk)
		if encode(t, snap) != before {
			return accepted, false
		}
		rec := Record{Number: snap.Number + 1, Ticket: tk, Status: Accepted}
		if len(problems) > 0 {
			rec.Status = Refused
			next = renumber(snap)
		} else {
			accepted++
		}
		records = append(records, rec)
		snap = next
		if !consistent(snap) {
			return accepted, false
		}
	}
	replayed, err := Replay(config.Empty(), records)
	return accepted, err == nil && encode(t, replayed) == encode(t, snap)
}

func TestApplyKeepsConfigurationConsistent(t *testing.T) {
	total := 0
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("random tickets", prop.ForAll(func(seed int64) bool {
		accepted, ok := applyRandomTickets(t, seed, Apply)
		total += accepted
		return ok
	}, gen.Int64()))
	properties.TestingRun(t)
	if total == 0 {
		t.Error("no ticket was accepted")
	}
	applyUnchecked := func(s *config.Snapshot, tk Ticket) (*config.Snapshot, []Problem) { return merge(s, tk), nil }
	if _, ok := applyRandomTickets(t, 1, applyUnchecked); ok {
		t.Error("merging tickets without checks passed the property")
	}
}
