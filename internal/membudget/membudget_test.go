package membudget

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// A reservation that is counted twice, lost on cancellation or let through over the total would let
// the process run out of memory, or refuse everything after a while.
func TestBudgetIsNeitherExceededNorLeaked(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("held bytes stay within the total and return to zero", prop.ForAll(func(steps []int64) bool {
		const total, small, kept = 1000, 50, 200
		b := New(Options{Total: total, Small: small, KeptForSmall: kept})
		var bad sync.Map
		check := func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.sum > total || b.sum < 0 || b.sum != b.held[Head]+b.held[Body]+b.held[Response] {
				bad.Store("sum", b.sum)
			}
		}
		var holders sync.WaitGroup
		for worker := range 6 {
			holders.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				r := b.Open(Kind(worker % int(kinds)))
				defer r.Close()
				own := int64(0)
				for i, n := range steps {
					switch (i + worker) % 5 {
					case 0, 1:
						if r.TryGrow(n) {
							own += n
						}
					case 2:
						if r.Grow(ctx, n, time.Millisecond) == nil {
							own += n
						}
					case 3:
						r.Shrink(n)
						own = max(0, own-n)
					default:
						if i%11 == 0 {
							cancel()
						}
					}
					if own != r.Size() {
						bad.Store("size", own)
					}
					check()
				}
			})
		}
		holders.Wait()
		check()
		empty := true
		bad.Range(func(any, any) bool { empty = false; return false })
		return empty && b.sum == 0
	}, gen.SliceOfN(40, gen.Int64Range(0, 400))))
	properties.TestingRun(t)
}

// Large bodies that fill the budget must not keep the small requests out.
func TestSmallReservationsFitBesideLargeOnes(t *testing.T) {
	b := New(Options{Total: 1000, Small: 50, KeptForSmall: 200})
	large := b.Open(Body)
	for large.TryGrow(100) {
	}
	if large.Size() != 800 {
		t.Fatalf("the large one holds %d", large.Size())
	}
	for range 4 {
		if !b.Open(Body).TryGrow(50) {
			t.Fatal("a small one did not fit")
		}
	}
	waiting := b.Open(Body)
	time.AfterFunc(5*time.Millisecond, func() { large.Close() })
	if err := waiting.Grow(context.Background(), 50, time.Minute); err != nil {
		t.Fatal(err)
	}
}
