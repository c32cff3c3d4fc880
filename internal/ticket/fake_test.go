package ticket

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// flakyTable is an in-memory table that refuses calls and loses responses with
// the given probabilities. A commit whose response is lost takes effect
// immediately, after a delay or never, each with the same probability.
type flakyTable struct {
	*memplatform.Platform
	lossRate        float64
	unavailableRate float64

	mu          sync.Mutex
	rng         *rand.Rand
	lateCommits sync.WaitGroup
}

func newFlakyTable(seed int64) *flakyTable {
	return &flakyTable{Platform: memplatform.New(), rng: rand.New(rand.NewSource(seed))}
}

func (f *flakyTable) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *flakyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if f.random() < f.unavailableRate {
		return nil, platform.ErrUnavailable
	}
	return f.Platform.Get(ctx, keys...)
}

func (f *flakyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if f.random() < f.unavailableRate {
		return nil, platform.ErrUnavailable
	}
	return f.Platform.Scan(ctx, prefix, after, limit)
}

func (f *flakyTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	if f.random() < f.unavailableRate {
		return platform.ErrUnavailable
	}
	if f.random() >= f.lossRate {
		return f.Platform.Commit(ctx, checks, writes)
	}
	switch x := f.random(); {
	case x < 1.0/3:
		_ = f.Platform.Commit(ctx, checks, writes)
	case x < 2.0/3:
		delay := time.Duration(f.random() * float64(2*time.Millisecond))
		f.lateCommits.Go(func() {
			time.Sleep(delay)
			_ = f.Platform.Commit(context.Background(), checks, writes)
		})
	}
	return platform.ErrOutcomeUnknown
}
