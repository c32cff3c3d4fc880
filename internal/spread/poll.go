package spread

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// update changes the state and publishes the new view. A changed configuration
// is put in force before the view is published.
func (s *Spreader) update(change func(st *state, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.config
	change(&s.state, time.Now())
	if s.state.config != before {
		s.opts.Publish(s.state.config)
		s.opts.Log.Info("configuration_in_force", zap.Uint64("number", uint64(s.state.config.Number)))
	}
	s.view.Store(s.state.view())
}

// poll reads the head row and fetches the configuration and roster if the row
// shows newer ones.
func (s *Spreader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	begin := time.Now()
	read, err := head.Get(ctx, s.opts.Table)
	if err != nil {
		s.opts.Log.Debug("head_unread", zap.Error(err))
		return
	}
	behind := false
	s.update(func(st *state, now time.Time) {
		st.observe(read.Head, begin, now)
		behind = st.behind()
	})
	if behind {
		s.fetchFromStore(ctx)
	}
}

// Refresh reads the head row and any newer roster or configuration that it
// shows. It returns early if the store is unreachable.
func (s *Spreader) Refresh(ctx context.Context) { s.poll(ctx) }

// fetchFromStore reads the missing tickets and the roster from the platform.
func (s *Spreader) fetchFromStore(ctx context.Context) {
	s.mu.Lock()
	own, target, snap := s.state.evidence.Head(), s.state.evidence.Target(), s.state.config
	s.mu.Unlock()
	if target.Roster > own.Roster {
		s.fetchRoster(ctx)
	}
	if target.Number > own.Number {
		s.fetchConfig(ctx, snap, target.Number)
	}
}

func (s *Spreader) fetchRoster(ctx context.Context) {
	begin := time.Now()
	read, r, err := s.roster.Read(ctx)
	if err != nil {
		s.opts.Log.Warn("roster_unread", zap.Error(err))
		return
	}
	s.update(func(st *state, now time.Time) {
		st.observe(read.Head, begin, now)
		s.installRoster(st, r, now)
	})
}

func (s *Spreader) installRoster(st *state, r *roster.Roster, now time.Time) {
	if st.installRoster(r, now) {
		s.opts.Log.Info("roster_in_force",
			zap.Uint64("version", uint64(r.Version)),
			zap.Int("members", len(r.Members)),
			zap.Bool("member", r.Contains(s.opts.Self.ID)))
	}
}

// fetchConfig reads the tickets after the snapshot up to target. If there are
// more than maxRecords, it starts from the newest checkpoint.
func (s *Spreader) fetchConfig(ctx context.Context, snap *config.Snapshot, target config.Number) {
	next, records, err := s.readTickets(ctx, snap, target)
	if err != nil {
		s.opts.Log.Warn("tickets_unread", zap.Error(err))
		return
	}
	s.tickets.SetLatest(next)
	s.update(func(st *state, _ time.Time) { st.installConfig(next, records) })
}

func (s *Spreader) readTickets(ctx context.Context, snap *config.Snapshot, target config.Number) (*config.Snapshot, []ticket.Record, error) {
	missing := target - snap.Number
	if missing > maxRecords {
		next, err := s.tickets.Load(ctx, snap)
		return next, nil, err
	}
	records, err := s.tickets.List(ctx, snap.Number, int(missing))
	if err != nil {
		return nil, nil, err
	}
	next, err := ticket.Replay(snap, records)
	return next, records, err
}
