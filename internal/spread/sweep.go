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

// duties is the memory of the VM that looks after the roster. Only the sweep
// loop uses it.
type duties struct {
	watch roster.Watch
	// checkpointed is the configuration last seen in the object store.
	checkpointed config.Number
	// forceKnown is set once forceRecorded was read from the table.
	forceKnown bool
	// forceRecorded is the newest ticket whose being in force is recorded.
	forceRecorded config.Number
}

// sweep looks after the roster if it is this VM's turn.
func (s *Spreader) sweep(ctx context.Context) {
	if !roster.Sweeper(s.View().Roster, s.opts.Self.ID, time.Now()) {
		return
	}
	s.change(ctx, func(base head.Head, r *roster.Roster, rows []roster.Presence) roster.Change {
		now := time.Now()
		s.duties.watch.Observe(rows, now)
		s.forget(ctx, r, rows, now)
		s.recordForce(ctx, base.Number, r, rows, now)
		return roster.Plan(r, rows, &s.duties.watch, now)
	})
	s.checkpoint(ctx)
}

// forget deletes the presence rows of VMs that are gone.
func (s *Spreader) forget(ctx context.Context, r *roster.Roster, rows []roster.Presence, now time.Time) {
	stale := roster.Stale(r, rows, now)
	if len(stale) == 0 {
		return
	}
	if err := s.roster.Forget(ctx, stale); err != nil {
		s.opts.Log.Debug("presences_not_deleted", zap.Error(err))
	}
}

// checkpoint stores the configuration in the object store when many tickets
// have followed the last checkpoint.
func (s *Spreader) checkpoint(ctx context.Context) {
	s.mu.Lock()
	snap := s.state.config
	s.mu.Unlock()
	if snap.Number < s.duties.checkpointed+ticket.CheckpointInterval {
		return
	}
	if err := s.tickets.Checkpoint(ctx, snap); err != nil {
		s.opts.Log.Warn("checkpoint_failed", zap.Error(err))
		return
	}
	s.duties.checkpointed = snap.Number
}

// change reads the roster and the presence rows and commits what plan asks
// for.
func (s *Spreader) change(ctx context.Context, plan func(head.Head, *roster.Roster, []roster.Presence) roster.Change) {
	readCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	base, r, err := s.roster.Read(readCtx)
	if err != nil {
		s.opts.Log.Debug("roster_unread", zap.Error(err))
		return
	}
	// The rows are read after the roster: every member of it has had one.
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
		st.sight(h, now)
		s.installRoster(st, next, now)
	})
}

func (s *Spreader) logChange(event string, c roster.Change, err error) {
	s.opts.Log.Info(event,
		zap.String("admit", join(ids(c.Admit))),
		zap.String("remove", join(c.Remove)),
		zap.String("expel", join(c.Expel)),
		zap.Error(err))
}

// join lists IDs for a log line.
func join(ids []vm.ID) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(id))
	}
	return b.String()
}
