package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

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

// namedGoal is a row that keeps when weights were named: the operator's row
// doesn't say, and after a restart of all VMs nobody would know.
type namedGoal struct {
	Model   string        `json:"model"`
	Version uint64        `json:"version"`
	Named   time.Duration `json:"named"` // By the store's steady clock.
}

// goalKey returns the key of a model's row, beside those of the members.
func (n *Node) goalKey(model string) string { return n.opts.MemberTable + "/weights:" + model }

// keepGoals writes when the newest weights were named. The holder of the lease
// does it for all.
func (n *Node) keepGoals(ctx context.Context) {
	for model, list := range n.goals.All() {
		goal := list[len(list)-1]
		named, ok := n.storeClock.from(goal.Since)
		if !ok || n.keptGoals[model] >= goal.Version {
			continue
		}
		value, err := json.Marshal(namedGoal{Model: model, Version: goal.Version, Named: named})
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
			err = n.opts.Table.Commit(callCtx, nil, []platform.Write{{Key: n.goalKey(model), Value: value}})
			cancel()
		}
		if err != nil {
			n.log.Info("goal_not_kept", zap.String("model", model), zap.Uint64("version", goal.Version), logging.Error(err))
			return // The next step tries again.
		}
		n.keptGoals[model] = goal.Version
	}
}

// readGoals takes over when weights were named.
func (n *Node) readGoals(r platform.Row) {
	var g namedGoal
	if err := json.Unmarshal(r.Value, &g); err != nil || g.Model == "" {
		n.log.Warn("goal_row_malformed", zap.String("key", r.Key), logging.Error(err))
		return
	}
	since, ok := n.storeClock.at(g.Named)
	if !ok || since.After(n.now()) {
		return
	}
	n.setGoal(g.Model, fleet.Goal{Version: g.Version, Since: since}, "store, as kept")
}
