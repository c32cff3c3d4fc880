package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// inForceWithin is the target for a change of configuration.
const inForceWithin = 6 * time.Second

const (
	keyed = "/shop/status"
	open  = "/shop/public"
)

// withdrawal is the ticket that withdraws the caller's key.
func withdrawal() ticket.Ticket {
	t := ticket.Ticket{ClientID: "withdraw", Operator: "alice"}
	t.Keys.Remove = []account.KeyID{"laurentien-1"}
	return t
}

// change is a ticket that touches no key of the callers.
func change(id string) ticket.Ticket {
	t := ticket.Ticket{ClientID: id, Operator: "alice"}
	t.Models.Set = []config.Model{{Name: id, WeightsVersion: "1"}}
	return t
}

func TestTicketIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	begin := time.Now()
	rec := f.file(0, withdrawal())
	for i := range f.members {
		f.await(i, keyed, http.StatusUnauthorized, inForceWithin)
	}
	t.Logf("no VM took the key %v after the ticket was filed", time.Since(begin))
	for {
		force, _, err := f.members[1].daemon.Spread().InForce(context.Background(), rec.Number)
		if err == nil && force.Everywhere() {
			t.Logf("reported in force after %v: %s", time.Since(begin), force.Rule)
			break
		}
		if time.Since(begin) > inForceWithin {
			t.Fatalf("not reported in force: %+v, %v", force, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	store := roster.Store{Table: f.standins.Platform}
	for deadline := time.Now().Add(inForceWithin); ; time.Sleep(20 * time.Millisecond) {
		entry, err := store.Force(context.Background(), rec.Number)
		if err == nil && len(entry.Force.At) == 3 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no history entry: %+v, %v", entry, err)
		}
	}
}

func TestRouterCutFromStoreServesAndLearns(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.members[2].cut.Store(true)
	f.always(2, keyed, http.StatusOK, 2*freshness.Bound)
	f.file(0, withdrawal())
	took := f.await(2, keyed, http.StatusUnauthorized, inForceWithin)
	t.Logf("the withdrawal took effect after %v", took)
}

func TestRouterCutFromAllRefusesKeyedWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.members[2].cut.Store(true)
	f.cutPeers(2)
	took := f.await(2, keyed, http.StatusServiceUnavailable, inForceWithin)
	t.Logf("keyed work was refused after %v", took)
	f.refusedNotRun(2, keyed)
	f.always(2, open, http.StatusOK, time.Second)
	f.always(0, keyed, http.StatusOK, time.Second)
}

// settled is how long after the start of a fleet its members have attested
// quiet: the hold-off of new processes and a poll.
const settled = freshness.SupportWindow + 2*time.Second

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.always(0, keyed, http.StatusOK, settled)
	f.storeDown(true)
	f.always(0, keyed, http.StatusOK, freshness.Bound+2*time.Second)
	f.always(1, keyed, http.StatusOK, time.Second/2)

	f.members[2].daemon.Kill()
	f.start(f.members[2])
	took := f.await(2, keyed, http.StatusOK, inForceWithin)
	t.Logf("a restarted router served %v after its start, from peers alone", took)
	f.always(2, keyed, http.StatusOK, freshness.Bound)

	f.storeDown(false)
	f.file(1, withdrawal())
	for i := range f.members {
		f.await(i, keyed, http.StatusUnauthorized, inForceWithin)
	}
}

func TestAllRoutersDownAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.file(0, change("extra"))
	for _, m := range f.members {
		m.daemon.Kill()
	}
	for _, m := range f.members {
		f.start(m)
	}
	for i := range f.members {
		took := f.await(i, keyed, http.StatusOK, inForceWithin)
		t.Logf("%s served %v after its start", f.members[i].name, took)
	}
}
