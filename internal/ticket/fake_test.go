package ticket

import (
	"context"
	"math/rand"
	"sort"
	"strings"
	"sync"

	"papayaspan.dev/papayaspan/internal/platform"
)

// fakeTable is a table and object store in memory. It loses answers of commits
// and refuses calls with the given probabilities.
type fakeTable struct {
	mu          sync.Mutex
	rng         *rand.Rand
	rows        map[string]platform.Row
	objects     map[string][]byte
	lost        float64
	unavailable float64
}

func newFakeTable(seed int64) *fakeTable {
	return &fakeTable{
		rng:     rand.New(rand.NewSource(seed)),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
	}
}

func (f *fakeTable) down() bool { return f.rng.Float64() < f.unavailable }

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down() {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = f.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down() {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) && k > after && r.Value != nil {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, checks []platform.Check, writes []platform.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down() {
		return platform.ErrUnavailable
	}
	lose := f.rng.Float64() < f.lost
	if lose && f.rng.Intn(2) == 0 {
		return platform.ErrOutcomeUnknown
	}
	for _, c := range checks {
		if f.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	for _, w := range writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.rows[w.Key].Version + 1, Value: w.Value}
	}
	if lose {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

type fakeObjects struct{ *fakeTable }

func (f fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = data
	return nil
}

func (f fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}
