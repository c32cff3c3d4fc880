package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

// storeClock relates the store's steady clock to this VM's.
type storeClock struct {
	mu sync.Mutex
	// offset is the VM's time at which the store's clock was zero.
	offset time.Time
}

func (c *storeClock) set(store time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = now.Add(-store)
}

// forget drops the relation: another copy of the store may have another clock.
func (c *storeClock) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = time.Time{}
}

// at returns this VM's time for a time of the store; ok is false before the
// store's clock is known.
func (c *storeClock) at(store time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset.Add(store), !c.offset.IsZero()
}

// from returns the store's time for a time of this VM.
func (c *storeClock) from(t time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.Sub(c.offset), !c.offset.IsZero()
}

// namedGoal is a row that keeps when the weights of a model were named: the
// operator's row doesn't say, and after a restart of all VMs nobody would know.
type namedGoal struct {
	Model   string   `json:"model"`
	Namings []naming `json:"namings"`
}

// naming is when a version was named.
type naming struct {
	Version uint64        `json:"version"`
	Named   time.Duration `json:"named"` // By the store's steady clock.
}

// goalKey returns the key of a model's row, beside those of the members.
func (n *Node) goalKey(model string) string { return n.opts.MemberTable + "/weights:" + model }

const (
	// keepStagger is the time between the VMs of a failure domain that read the store,
	// in which the first of them has most likely kept a naming.
	keepStagger = 150 * time.Millisecond
	// keepRetry is the pause after a failed attempt.
	keepRetry = 300 * time.Millisecond
)

// keepNamings keeps in the store when weights were named, as soon as this VM hears of
// it: all VMs may be killed right after.
func (n *Node) keepNamings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.named:
		}
		stagger := time.Duration((float64(n.gossip.Rank()) + rand.Float64()/2) * float64(keepStagger))
		for n.Following() && clock.Sleep(ctx, stagger) && !n.keepGoals(ctx) {
			stagger = keepRetry
		}
	}
}

// keepGoals writes when weights were named, if that isn't kept yet. It returns false
// if it must be tried again.
func (n *Node) keepGoals(ctx context.Context) bool {
	era, _ := n.era()
	if n.keptEra != era {
		n.keptEra = era
		clear(n.keptGoals)
	}
	for model, list := range n.goals.All() {
		newest := list[len(list)-1].Version
		if n.keptGoals[model] >= newest {
			continue
		}
		if err := n.keepGoal(ctx, model, list); err != nil {
			n.log.Info("goal_not_kept", zap.String("model", model), zap.Uint64("version", newest), logging.Error(err))
			return false
		}
		n.keptGoals[model] = newest
	}
	return true
}

// keepGoal adds what is known of a model to its row. Engines may be several versions
// behind, so that the times of older versions count as well.
func (n *Node) keepGoal(ctx context.Context, model string, list []fleet.Goal) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	key := n.goalKey(model)
	rows, err := n.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	check := platform.Check{Key: key}
	if len(rows) == 1 {
		if !n.sawEra(rows[0].Era, "store") {
			return errors.Errorf("the answer is of the earlier era %d", rows[0].Era)
		}
		check.Version, check.Era = rows[0].Version, rows[0].Era
	}
	if len(rows) == 1 && rows[0].Value != nil {
		kept := n.readGoals(rows[0])
		list = n.goals.All()[model]
		if n.keeps(kept, list) {
			return nil
		}
	}
	row := namedGoal{Model: model}
	for _, goal := range list {
		if goal.Since.IsZero() {
			return errors.Errorf("the time of naming of version %d is not known", goal.Version)
		}
		if named, ok := n.storeClock.from(goal.Since); ok {
			row.Namings = append(row.Namings, naming{Version: goal.Version, Named: named})
		}
	}
	if len(row.Namings) == 0 {
		return errors.New("the store's clock is not known")
	}
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode namings")
	}
	if err := n.opts.Table.Commit(ctx, []platform.Check{check}, []platform.Write{{Key: key, Value: value}}); err != nil {
		return err
	}
	n.recovered(n.keptEra, func(r *recovery) { r.namings++ })
	return nil
}

// keeps reports whether a row tells all that is known of a model's newest version, and no
// later time for one that it names.
func (n *Node) keeps(row namedGoal, list []fleet.Goal) bool {
	kept := map[uint64]time.Duration{}
	for _, g := range row.Namings {
		kept[g.Version] = g.Named
	}
	for i, goal := range list {
		at, found := kept[goal.Version]
		named, ok := n.storeClock.from(goal.Since)
		switch {
		case !found && i == len(list)-1:
			return false
		case found && ok && !goal.Since.IsZero() && at-named >= namingError:
			return false
		}
	}
	return true
}

// namingError is the least difference of two times of naming that counts: they are read
// over a network.
const namingError = 100 * time.Millisecond

// dateGoals dates the versions that were named at an unknown time, once the rows
// that keep such times were read after the operator's. What they lack was named when
// no VM was there to keep it, or right before.
func (n *Node) dateGoals() {
	for model, list := range n.goals.All() {
		for _, goal := range list {
			if goal.Since.IsZero() {
				n.setGoal(model, fleet.Goal{Version: goal.Version, Since: n.now().Add(-unkeptAge)}, "not kept")
			}
		}
	}
}

// unkeptAge is how long ago weights were named whose time no VM has kept. VMs keep it
// within a second, and the platform starts processes again after a short delay.
const unkeptAge = 5 * time.Second

// readGoals takes over when weights were named, and returns the row.
func (n *Node) readGoals(r platform.Row) namedGoal {
	var row namedGoal
	if err := json.Unmarshal(r.Value, &row); err != nil || row.Model == "" {
		n.log.Warn("goal_row_malformed", zap.String("key", r.Key), logging.Error(err))
		return namedGoal{}
	}
	for _, g := range row.Namings {
		if since, ok := n.storeClock.at(g.Named); ok && !since.After(n.now()) {
			n.setGoal(row.Model, fleet.Goal{Version: g.Version, Since: since}, "store, as kept")
		}
	}
	return row
}
