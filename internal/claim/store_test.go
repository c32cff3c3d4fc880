package claim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// TestOutcomeIsKeptForRepeats stores response bodies of several sizes and reads
// them through another VM.
func TestOutcomeIsKeptForRepeats(t *testing.T) {
	s := DefaultSettings()
	tests := []struct {
		desc string
		size int
		down bool
		want error
	}{
		{"in the row", s.InlineBytes, false, nil},
		{"as an object", s.InlineBytes + 1, false, nil},
		{"object store down", s.InlineBytes + 1, true, &verdict.Error{Code: "outcome_unavailable"}},
		{"too large", s.ObjectBytes + 1, false, &verdict.Error{Code: "outcome_not_kept"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			ctx := context.Background()
			p := memplatform.New()
			first, second := startStore(t, p, p, "vm1"), startStore(t, p, p, "vm2")
			body := bytes.Repeat([]byte("x"), tt.size)
			g, err := first.Acquire(ctx, Key{Account: "a", Idempotency: "k"}, "d")
			if err != nil {
				t.Fatal(err)
			}
			g.Claim.Finish(ctx, 201, nil, body)
			g, err = second.Acquire(ctx, Key{Account: "a", Idempotency: "k"}, "d")
			if err != nil || g.Outcome == nil || g.Outcome.Status != 201 {
				t.Fatalf("Acquire = %+v, %v", g, err)
			}
			p.SetFaults(memplatform.Faults{Down: tt.down})
			got, err := second.Body(ctx, g.Outcome)
			if tt.want == nil && (err != nil || !bytes.Equal(got, body)) {
				t.Errorf("Body = %d bytes, %v", len(got), err)
			}
			if tt.want != nil && (verdict.Of(err) != verdict.Ran || verdict.AsError(err).Code != tt.want.(*verdict.Error).Code) {
				t.Errorf("Body error = %v, want %v", err, tt.want)
			}
		})
	}
}

// TestClaimIsReleasedAfterCallerLeaves cancels a caller while its claim is
// being committed. The claim must be released, so that the caller can retry.
func TestClaimIsReleasedAfterCallerLeaves(t *testing.T) {
	p := memplatform.New()
	st := startStore(t, p, p, "vm1")
	p.SetFaults(memplatform.Faults{DelayMillis: 50})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := st.Acquire(ctx, Key{Account: "a", Idempotency: "k"}, "d")
	if verdict.Of(err) != verdict.NotRun {
		t.Fatalf("Acquire = %v, want not run", err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for p.Counts().Writes == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	for {
		g, err := st.Acquire(context.Background(), Key{Account: "a", Idempotency: "k"}, "d")
		if err == nil && g.Claim != nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the claim was not released: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestClaimOfDepartedOwnerIsAbandoned checks that a claim is reported as
// abandoned once its writer has left, but not before every VM would know the
// writer had it just joined. A writer that was only paused can still record its
// outcome.
func TestClaimOfDepartedOwnerIsAbandoned(t *testing.T) {
	ctx := context.Background()
	p := memplatform.New()
	first := startStore(t, p, p, "vm1")
	later := func(d time.Duration) *Store {
		st := newStore(p, p, "vm2")
		st.SetOwnerGone(func(o Owner) bool { return o.VM == "vm1" })
		st.batcher.now = func() time.Time { return time.Now().Add(d) }
		runStore(t, st)
		return st
	}
	key := Key{Account: "a", Idempotency: "k"}
	held, err := first.Acquire(ctx, key, "d")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc  string
		store *Store
		code  string
	}{
		{"the writer may have just joined", later(departedAbandonAfter / 2), "request_in_progress"},
		{"the writer has left", later(departedAbandonAfter), "outcome_unknown"},
		{"read again", later(0), "outcome_unknown"},
	}
	for _, tt := range tests {
		if _, err := tt.store.Acquire(ctx, key, "d"); verdict.AsError(err).Code != tt.code {
			t.Errorf("%s: Acquire = %v, want %s", tt.desc, err, tt.code)
		}
	}
	held.Claim.Finish(ctx, 201, nil, nil)
	if g, err := tests[2].store.Acquire(ctx, key, "d"); err != nil || g.Outcome == nil {
		t.Errorf("Acquire = %+v, %v, want the outcome", g, err)
	}
}

// TestRetention runs sweepers that are replaced at random, with steps of the
// wall clock, and checks that no row is removed within the retention time of
// its last change.
func TestRetention(t *testing.T) {
	const (
		retention = 24 * time.Hour
		steps     = 200
	)
	ctx := context.Background()
	for seed := range int64(8) {
		rnd := rand.New(rand.NewSource(seed))
		p := memplatform.New()
		elapsed := time.Now() // monotonic time of the simulation
		now := func() time.Time { return elapsed }
		written := map[string]time.Time{}
		w := NewSweeper(p, retention)
		var wall time.Time
		b := &batcher{table: p, now: func() time.Time { return wall }}
		for i := range steps {
			elapsed = elapsed.Add(time.Duration(rnd.Int63n(int64(2 * time.Hour))))
			if rnd.Intn(8) == 0 {
				w = NewSweeper(p, retention)
			}
			if err := w.Step(ctx, now); err != nil && !errors.Is(err, platform.ErrConflict) {
				t.Fatal(err)
			}
			row := fmt.Sprint(Prefix, i)
			wall = elapsed.Add(time.Duration(rnd.Intn(200)-100) * time.Hour)
			writeRow(t, b, row)
			written[row] = elapsed
			checkKept(t, p, written, elapsed, retention)
		}
		if len(written) == steps {
			t.Errorf("seed %d: nothing was ever removed", seed)
		}
	}
}

// writeRow commits a finished claim through a batcher, as a router does.
func writeRow(t *testing.T, b *batcher, row string) {
	t.Helper()
	o := &op{row: row, result: make(chan error, 1), apply: func(_ Record, s Stamp) (Record, bool) {
		return Record{Digest: "d"}.withState(Done, s), true
	}}
	b.commit([]*op{o})
	if err := <-o.result; err != nil {
		t.Fatal(err)
	}
}

// checkKept fails the test if a row was removed within the retention time. It
// deletes the rows that were removed later from written.
func checkKept(t *testing.T, p *memplatform.Platform, written map[string]time.Time, now time.Time, retention time.Duration) {
	t.Helper()
	rows, err := p.Scan(context.Background(), Prefix, "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	kept := map[string]bool{}
	for _, r := range rows {
		kept[r.Key] = true
	}
	for row, at := range written {
		if kept[row] {
			continue
		}
		if age := now.Sub(at); age < retention {
			t.Fatalf("row %s was removed at age %v", row, age)
		}
		delete(written, row)
	}
}

// TestAbandonedClaimIsGrantedToItsOwnAttempt marks a claim as abandoned while
// its writer is still reading back a lost response. The writer, and no other
// attempt, may proceed.
func TestAbandonedClaimIsGrantedToItsOwnAttempt(t *testing.T) {
	a, other := Attempt{Digest: "d", Nonce: "n1"}, Attempt{Digest: "d", Nonce: "n2"}
	r, _, _ := Acquire(Record{}, a, time.Hour, Stamp{})
	r, _ = Abandon(r, Hold{Attempt: 1, Nonce: "n1"}, Stamp{})
	if _, d, write := Acquire(r, other, time.Hour, Stamp{}); d != Unresolved || write {
		t.Errorf("another attempt: %d, write %t", d, write)
	}
	next, d, write := Acquire(r, a, time.Hour, Stamp{})
	if d != Granted || !write || next.State != Claimed {
		t.Errorf("the writer: %d, write %t, state %q", d, write, next.State)
	}
}
