package spread

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/ticket"
	"papayaspan.dev/papayaspan/internal/vm"
)

// sweepState is the state of the VM that maintains the roster. It is used only
// by the sweep loop.
type sweepState struct {
	watch roster.Watch
	// checkpointed is the configuration number at the last successful call of
	// ticket.Store.Checkpoint. It avoids a read of the checkpoint row on every
	// sweep.
	checkpointed config.Number
	// inForceLoaded is set once lastInForce has been read from the table.
	inForceLoaded bool
	// lastInForce is the newest ticket recorded as in force everywhere.
	lastInForce config.Number
}

// sweep maintains the roster if this VM is currently the sweeper.
func (s *Spreader) sweep(ctx context.Context) {
	if !roster.IsSweeper(s.View().Roster, s.opts.Self.ID, time.Now()) {
		return
	}
	s.changeRoster(ctx, func(base head.Head, r *roster.Roster, rows []roster.Presence) roster.Change {
		now := time.Now()
		s.sweepState.watch.Observe(rows, now)
		s.deleteStalePresences(ctx, r, rows, now)
		s.recordInForce(ctx, base.Number, r, rows, now)
		c := roster.Plan(r, rows, &s.sweepState.watch, now)
		return c.ExcludeReachable(s.reachable(ctx, r, c.Expel))
	})
	s.checkpoint(ctx)
}

// reachable returns which of the members reply to an exchange.
func (s *Spreader) reachable(ctx context.Context, r *roster.Roster, members []vm.ID) map[vm.ID]bool {
	replied := map[vm.ID]bool{s.opts.Self.ID: true}
	if len(members) == 0 {
		return replied
	}
	var peers []vm.VM
	for _, id := range members {
		if m, ok := r.Get(id); ok && id != s.opts.Self.ID {
			peers = append(peers, m)
		}
	}
	for _, id := range s.exchangeAll(ctx, peers) {
		replied[id] = true
	}
	return replied
}

// deleteStalePresences deletes the presence rows of VMs that no longer exist.
func (s *Spreader) deleteStalePresences(ctx context.Context, r *roster.Roster, rows []roster.Presence, now time.Time) {
	stale := roster.StalePresences(r, rows, now)
	if len(stale) == 0 {
		return
	}
	if err := s.roster.DeletePresences(ctx, stale); err != nil {
		s.opts.Log.Debug("presences_not_deleted", zap.Error(err))
	}
}

// checkpoint stores the configuration in the object store when at least
// ticket.CheckpointInterval tickets have followed the last checkpoint.
func (s *Spreader) checkpoint(ctx context.Context) {
	s.mu.Lock()
	snap := s.state.config
	s.mu.Unlock()
	if snap.Number < s.sweepState.checkpointed+ticket.CheckpointInterval {
		return
	}
	if err := s.tickets.Checkpoint(ctx, snap); err != nil {
		s.opts.Log.Warn("checkpoint_failed", zap.Error(err))
		return
	}
	s.sweepState.checkpointed = snap.Number
}

// changeRoster reads the roster and the presence rows and commits the change
// that plan returns.
func (s *Spreader) changeRoster(ctx context.Context, plan func(head.Head, *roster.Roster, []roster.Presence) roster.Change) {
	readCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	base, r, err := s.roster.Read(readCtx)
	if err != nil {
		s.opts.Log.Debug("roster_unread", zap.Error(err))
		return
	}
	// The rows are read after the roster, because every member has had a
	// presence row before it was admitted.
	rows, err := s.roster.Presences(readCtx)
	if err != nil {
		s.opts.Log.Debug("presences_unread", zap.Error(err))
		return
	}
	c := plan(base.Head, r, rows)
	if c.Empty() {
		return
	}
	next, h, err := s.roster.Apply(ctx, base, r, c)
	if err != nil {
		s.logChange("roster_unchanged", c, err)
		return
	}
	s.logChange("roster_changed", c, nil)
	s.update(func(st *state, now time.Time) {
		st.recordSeen(h, now)
		s.installRoster(st, next, now)
	})
}

func (s *Spreader) logChange(event string, c roster.Change, err error) {
	s.opts.Log.Info(event,
		zap.String("admit", joinIDs(ids(c.Admit))),
		zap.String("remove", joinIDs(c.Remove)),
		zap.String("expel", joinIDs(c.Expel)),
		zap.Error(err))
}

// joinIDs formats IDs for a log line.
func joinIDs(ids []vm.ID) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(id))
	}
	return b.String()
}
