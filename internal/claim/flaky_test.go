package claim

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// flakyTable is a table that loses responses, refuses calls, and applies some
// commits late or never.
type flakyTable struct {
	platform.Table
	mu  sync.Mutex
	rnd *rand.Rand
}

func (f *flakyTable) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.Float64()
}

func (f *flakyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if f.draw() < 0.1 {
		return nil, platform.ErrUnavailable
	}
	return f.Table.Get(ctx, keys...)
}

func (f *flakyTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	switch x := f.draw(); {
	case x < 0.1:
		return platform.ErrUnavailable
	case x < 0.2:
		return platform.ErrOutcomeUnknown
	case x < 0.3:
		if err := f.Table.Commit(ctx, checks, writes); err != nil {
			return err
		}
		return platform.ErrOutcomeUnknown
	case x < 0.4:
		time.AfterFunc(time.Duration(f.draw()*float64(50*time.Millisecond)), func() {
			_ = f.Table.Commit(context.Background(), checks, writes)
		})
		return platform.ErrOutcomeUnknown
	}
	return f.Table.Commit(ctx, checks, writes)
}

// newStore returns a Store without a pause between transactions.
func newStore(table platform.Table, p *memplatform.Platform, id vm.ID) *Store {
	s := DefaultSettings()
	s.TableWrites = 1e6
	return NewStore(table, p.Objects(), Owner{VM: id}, s)
}

// runStore runs a Store until the test ends.
func runStore(t testing.TB, st *Store) {
	ctx, cancel := context.WithCancel(context.Background())
	go st.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-st.stopped
	})
}

func startStore(t testing.TB, table platform.Table, p *memplatform.Platform, id vm.ID) *Store {
	st := newStore(table, p, id)
	runStore(t, st)
	return st
}

func unavailable(err error) bool { return errors.Is(err, platform.ErrUnavailable) }
