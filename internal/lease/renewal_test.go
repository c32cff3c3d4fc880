package lease

import (
	"context"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// failingTable is a table whose writes can be made to fail.
type failingTable struct {
	platform.Table
	fail bool
}

func (t *failingTable) Commit(ctx context.Context, c []platform.Check, w []platform.Write) error {
	if t.fail {
		return platform.ErrUnavailable
	}
	return t.Table.Commit(ctx, c, w)
}

// A claim is announced before its renewal is written, which may fail and be tried again later.
func TestClaimOfFailedRenewalDoesNotCoverItsRepetition(t *testing.T) {
	const ttl = 3 * time.Second
	now := time.Unix(1000, 0)
	store := memplatform.New()
	table := &failingTable{Table: store}
	a := NewKeeperWithClock(table, "r", "a", ttl, func() time.Time { return now })
	b := NewKeeperWithClock(store, "r", "b", ttl, func() time.Time { return now })
	a.SetRenewing(func(c Claim) { b.RecordClaim(c) }) // Each claim arrives at once.
	step := func(k *Keeper) { _ = k.Step(context.Background()) }
	step(a)
	b.RecordClaim(a.Claim())
	now = now.Add(time.Second)
	table.fail = true // The store is away for all VMs, so that the holder doesn't resign.
	step(a)
	now = now.Add(1500 * time.Millisecond)
	table.fail = false
	step(a)
	b.RecordClaim(a.Claim())
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		step(b)
		if a.Term().Valid(now, time.Second) && b.Term().Valid(now, time.Second) {
			t.Fatalf("both may act, a for %v more", a.Term().Until.Sub(now))
		}
	}
}
