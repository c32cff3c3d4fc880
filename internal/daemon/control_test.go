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

// inForceTarget is the target time within which a configuration change is in
// force on every VM.
const inForceTarget = 6 * time.Second

const (
	keyedPath  = "/shop/status"
	publicPath = "/shop/public"
)

// keyWithdrawal returns the ticket that withdraws the caller's key.
func keyWithdrawal() ticket.Ticket {
	t := ticket.Ticket{ClientID: "withdraw", Operator: "alice"}
	t.Keys.Remove = []account.KeyID{"laurentien-1"}
	return t
}

// modelChange returns a ticket that changes no caller's key.
func modelChange(id string) ticket.Ticket {
	t := ticket.Ticket{ClientID: id, Operator: "alice"}
	t.Models.Set = []config.Model{{Name: id, WeightsVersion: "1"}}
	return t
}

func TestTicketIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	begin := time.Now()
	rec := f.fileTicket(0, keyWithdrawal())
	for i := range f.members {
		f.await(i, keyedPath, http.StatusUnauthorized, inForceTarget)
	}
	t.Logf("no VM accepted the key %v after the ticket was filed", time.Since(begin))
	for {
		status, _, err := f.members[1].daemon.Spread().InForce(context.Background(), rec.Number)
		if err == nil && status.Everywhere() {
			t.Logf("reported in force after %v: %s", time.Since(begin), status.Rule)
			break
		}
		if time.Since(begin) > inForceTarget {
			t.Fatalf("not reported in force: %+v, %v", status, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	store := roster.Store{Table: f.standins.Platform}
	for deadline := time.Now().Add(inForceTarget); ; time.Sleep(20 * time.Millisecond) {
		entry, err := store.InForceRecord(context.Background(), rec.Number)
		if err == nil && len(entry.Status.At) == 3 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no history entry: %+v, %v", entry, err)
		}
	}
}

func TestRouterWithoutStoreServesAndUpdates(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.members[2].platformDown.Store(true)
	f.assertAlways(2, keyedPath, http.StatusOK, 2*freshness.Bound)
	f.fileTicket(0, keyWithdrawal())
	took := f.await(2, keyedPath, http.StatusUnauthorized, inForceTarget)
	t.Logf("the withdrawal took effect after %v", took)
}

func TestIsolatedRouterRefusesKeyedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.members[2].platformDown.Store(true)
	f.partition(2)
	took := f.await(2, keyedPath, http.StatusServiceUnavailable, inForceTarget)
	t.Logf("keyed requests were refused after %v", took)
	f.assertRefusedNotRun(2, keyedPath)
	f.assertAlways(2, publicPath, http.StatusOK, time.Second)
	f.assertAlways(0, keyedPath, http.StatusOK, time.Second)
}

// settleTime is the time after the start of a fleet by which its members can
// attest that they know every committed change: the hold-off of new processes
// and one poll.
const settleTime = freshness.SupportWindow + 2*time.Second

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.assertAlways(0, keyedPath, http.StatusOK, settleTime)
	f.setStoreDown(true)
	f.assertAlways(0, keyedPath, http.StatusOK, freshness.Bound+2*time.Second)
	f.assertAlways(1, keyedPath, http.StatusOK, time.Second/2)

	f.members[2].daemon.Kill()
	f.restart(f.members[2])
	took := f.await(2, keyedPath, http.StatusOK, inForceTarget)
	t.Logf("a restarted router served %v after its start, with data from peers only", took)
	f.assertAlways(2, keyedPath, http.StatusOK, freshness.Bound)

	f.setStoreDown(false)
	f.fileTicket(1, keyWithdrawal())
	for i := range f.members {
		f.await(i, keyedPath, http.StatusUnauthorized, inForceTarget)
	}
}

func TestAllRoutersRestartAtOnce(t *testing.T) {
	tests := []struct {
		desc  string
		start func(*fleet, *member)
	}{
		{"at the same addresses", (*fleet).restart},
		{"at new addresses", (*fleet).start},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.fileTicket(0, modelChange("extra"))
			for _, m := range f.members {
				m.daemon.Kill()
			}
			for _, m := range f.members {
				tt.start(f, m)
			}
			for i := range f.members {
				took := f.await(i, keyedPath, http.StatusOK, inForceTarget)
				t.Logf("%s served %v after its start", f.members[i].name, took)
			}
		})
	}
}
