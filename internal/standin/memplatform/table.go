// Package memplatform is an in-memory test double of the platform's table
// service, object store, membership list and weight store, with faults that
// tests can inject. Only tests and the demo commands use it.
package memplatform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// Faults are the failures injected into a Platform. The zero value injects none.
type Faults struct {
	// Down makes every table and object call fail without effect.
	Down bool `json:"down"`
	// LoseAnswers is the number of following writes that take effect but whose
	// response is lost.
	LoseAnswers int `json:"lose_answers"`
	// DropWrites is the number of following table writes that have no effect and
	// whose response is lost.
	DropWrites int `json:"drop_writes"`
	// DelayMillis is the delay added to every table and object call.
	DelayMillis int `json:"delay_ms"`
}

// Counts are the numbers of table and object calls served.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Platform is the in-memory platform. It implements platform.Table,
// platform.Membership and platform.Weights; its method Objects returns the
// object store.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	members map[string]platform.Member
	weights map[string][]string
	faults  Faults
	counts  Counts
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		members: map[string]platform.Member{},
		weights: map[string][]string{},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the number of calls served since the platform was created.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// beginCall waits for the injected delay and returns ErrUnavailable if the
// platform is down.
func (p *Platform) beginCall(ctx context.Context) error {
	p.mu.Lock()
	delay := time.Duration(p.faults.DelayMillis) * time.Millisecond
	down := p.faults.Down
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
	}
	if down {
		return errors.WithStack(platform.ErrUnavailable)
	}
	return nil
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := p.beginCall(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = p.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

// Scan implements platform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := p.beginCall(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	var rows []platform.Row
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if p.faults.DropWrites > 0 {
		p.faults.DropWrites--
		return errors.WithStack(platform.ErrOutcomeUnknown)
	}
	for _, c := range checks {
		if p.rows[c.Key].Version != c.Version {
			return errors.Wrapf(platform.ErrConflict, "row %s", c.Key)
		}
	}
	for _, w := range writes {
		p.apply(w)
	}
	return p.writeResult()
}

func (p *Platform) apply(w platform.Write) {
	if w.Delete {
		delete(p.rows, w.Key)
		return
	}
	p.rows[w.Key] = platform.Row{
		Key:     w.Key,
		Version: p.rows[w.Key].Version + 1,
		Value:   append([]byte(nil), w.Value...),
	}
}

// writeResult returns the result of a write that took effect: nil, or
// ErrOutcomeUnknown if its response is to be lost.
func (p *Platform) writeResult() error {
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return errors.WithStack(platform.ErrOutcomeUnknown)
	}
	return nil
}
