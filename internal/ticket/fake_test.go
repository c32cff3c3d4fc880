package ticket

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// flakyTable is a table in memory that refuses calls and loses answers with
// the given probabilities. A commit whose answer is lost takes effect at once,
// late or never.
type flakyTable struct {
	*memplatform.Platform
	lost        float64
	unavailable float64

	mu   sync.Mutex
	rng  *rand.Rand
	late sync.WaitGroup
}

func newFlakyTable(seed int64) *flakyTable {
	return &flakyTable{Platform: memplatform.New(), rng: rand.New(rand.NewSource(seed))}
}

func (f *flakyTable) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *flakyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if f.draw() < f.unavailable {
		return nil, platform.ErrUnavailable
	}
	return f.Platform.Get(ctx, keys...)
}

func (f *flakyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if f.draw() < f.unavailable {
		return nil, platform.ErrUnavailable
	}
	return f.Platform.Scan(ctx, prefix, after, limit)
}

func (f *flakyTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	if f.draw() < f.unavailable {
		return platform.ErrUnavailable
	}
	if f.draw() >= f.lost {
		return f.Platform.Commit(ctx, checks, writes)
	}
	switch x := f.draw(); {
	case x < 1.0/3:
		_ = f.Platform.Commit(ctx, checks, writes)
	case x < 2.0/3:
		delay := time.Duration(f.draw() * float64(2*time.Millisecond))
		f.late.Go(func() {
			time.Sleep(delay)
			_ = f.Platform.Commit(context.Background(), checks, writes)
		})
	}
	return platform.ErrOutcomeUnknown
}
