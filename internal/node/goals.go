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

// storeClock converts between the store's monotonic clock and this VM's.
type storeClock struct {
	mu sync.Mutex
	// epoch is this VM's time at which the store's clock was zero.
	epoch time.Time
}

func (c *storeClock) synchronize(store time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = now.Add(-store)
}

// reset discards the relation: another copy of the store may have another clock.
func (c *storeClock) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = time.Time{}
}

// toLocal converts a time of the store to this VM's clock; ok is false before the store's clock
// is known.
func (c *storeClock) toLocal(store time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch.Add(store), !c.epoch.IsZero()
}

// toStore converts a time of this VM to the store's clock; ok is false before that clock is
// known.
func (c *storeClock) toStore(t time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.Sub(c.epoch), !c.epoch.IsZero()
}

// namingRow is a row that stores when the weights of a model were named. The operator's row
// doesn't contain that time, so it would be lost when all VMs restart.
type namingRow struct {
	Model   string   `json:"model"`
	Namings []naming `json:"namings"`
}

// naming is the time at which a version was named.
type naming struct {
	Version uint64        `json:"version"`
	Named   time.Duration `json:"named"` // By the store's monotonic clock.
}

// namingRowKey returns the key of a model's row, in the table of the members.
func (n *Node) namingRowKey(model string) string { return n.opts.MemberTable + "/weights:" + model }

const (
	// persistStagger is the delay between the VMs of a failure domain that follow the store: by
	// the time of the second, the first has most likely stored a naming time.
	persistStagger = 150 * time.Millisecond
	// persistRetryDelay is the delay after a failed attempt.
	persistRetryDelay = 300 * time.Millisecond
)

// persistNamings stores when weights were named as soon as this VM learns of a naming, because
// all VMs may be killed right after it.
func (n *Node) persistNamings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.goalsChanged:
		}
		stagger := time.Duration((float64(n.gossip.Rank()) + rand.Float64()/2) * float64(persistStagger))
		for n.Following() && clock.Sleep(ctx, stagger) && !n.persistGoals(ctx) {
			stagger = persistRetryDelay
		}
	}
}

// persistGoals stores naming times that are not stored yet. It returns false if it must be
// retried.
func (n *Node) persistGoals(ctx context.Context) bool {
	era, _ := n.era()
	if n.persistedEra != era {
		n.persistedEra = era
		clear(n.persistedGoals)
	}
	for model, list := range n.goals.All() {
		newest := list[len(list)-1].Version
		if n.persistedGoals[model] >= newest {
			continue
		}
		if err := n.persistGoal(ctx, model, list); err != nil {
			n.log.Info("goal_not_kept", zap.String("model", model), zap.Uint64("version", newest), logging.Error(err))
			return false
		}
		n.persistedGoals[model] = newest
	}
	return true
}

// persistGoal writes the known naming times of a model to its row. They include those of older
// versions, because engines may be several versions behind.
func (n *Node) persistGoal(ctx context.Context, model string, list []fleet.Goal) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	key := n.namingRowKey(model)
	rows, err := n.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	check := platform.Check{Key: key}
	if len(rows) == 1 {
		if !n.observeEra(rows[0].Era, "store") {
			return errors.Errorf("the answer belongs to the earlier era %d", rows[0].Era)
		}
		check.Version, check.Era = rows[0].Version, rows[0].Era
	}
	if len(rows) == 1 && rows[0].Value != nil {
		kept := n.applyNamingRow(rows[0])
		list = n.goals.All()[model]
		if n.covers(kept, list) {
			return nil
		}
	}
	row := namingRow{Model: model}
	for _, goal := range list {
		if goal.Since.IsZero() {
			return errors.Errorf("the naming time of version %d is not known", goal.Version)
		}
		if named, ok := n.storeClock.toStore(goal.Since); ok {
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
	n.updateRecovery(n.persistedEra, func(r *recovery) { r.namingsWritten++ })
	return nil
}

// covers reports whether a row contains the newest known version of a model, and no later
// naming time than the known one for any version.
func (n *Node) covers(row namingRow, list []fleet.Goal) bool {
	kept := map[uint64]time.Duration{}
	for _, g := range row.Namings {
		kept[g.Version] = g.Named
	}
	for i, goal := range list {
		at, found := kept[goal.Version]
		named, ok := n.storeClock.toStore(goal.Since)
		switch {
		case !found && i == len(list)-1:
			return false
		case found && ok && !goal.Since.IsZero() && at-named >= namingTolerance:
			return false
		}
	}
	return true
}

// namingTolerance is the smallest difference between two naming times that counts: they are
// read over a network.
const namingTolerance = 100 * time.Millisecond

// dateUnknownGoals assumes a naming time for the versions that have none, once the rows of
// naming times were read after the operator's rows. A version without a stored time was named
// while no VM was running to store it, or just before.
func (n *Node) dateUnknownGoals() {
	for model, list := range n.goals.All() {
		for _, goal := range list {
			if goal.Since.IsZero() {
				n.setGoal(model, fleet.Goal{Version: goal.Version, Since: n.now().Add(-assumedNamingAge)}, "not kept")
			}
		}
	}
}

// assumedNamingAge is the assumed age of a naming whose time no VM has stored. VMs store it
// within a second, and the platform restarts processes after a short delay.
const assumedNamingAge = 5 * time.Second

// applyNamingRow applies the naming times of a row, and returns the row.
func (n *Node) applyNamingRow(r platform.Row) namingRow {
	var row namingRow
	if err := json.Unmarshal(r.Value, &row); err != nil || row.Model == "" {
		n.log.Warn("goal_row_malformed", zap.String("key", r.Key), logging.Error(err))
		return namingRow{}
	}
	for _, g := range row.Namings {
		if since, ok := n.storeClock.toLocal(g.Named); ok && !since.After(n.now()) {
			n.setGoal(row.Model, fleet.Goal{Version: g.Version, Since: since}, "store, as kept")
		}
	}
	return row
}
