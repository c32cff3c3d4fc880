package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
)

// InForce returns where a ticket is in force. If the store is unreachable, it
// can still determine whether every VM without the ticket has lost its
// permission to serve.
func (s *Spreader) InForce(ctx context.Context, n config.Number) (roster.InForceStatus, []roster.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	rows, err := s.roster.Presences(ctx)
	var read head.Read
	var r *roster.Roster
	if err == nil {
		read, r, err = s.roster.Read(ctx)
	}
	if err != nil {
		return s.inForceStatus(n, s.View().Roster, nil, time.Now()), nil, err
	}
	if read.Head.Number < n {
		return roster.InForceStatus{}, rows, errors.Wrapf(platform.ErrNotFound, "ticket %d", n)
	}
	return s.inForceStatus(n, r, rows, time.Now()), rows, nil
}

// Force returns the history entry that records when a ticket came into force
// everywhere, or platform.ErrNotFound.
func (s *Spreader) Force(ctx context.Context, n config.Number) (roster.InForceRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return s.roster.InForceRecord(ctx, n)
}

// inForceStatus determines where a ticket is in inForceStatus, using this process's own
// observations as well.
func (s *Spreader) inForceStatus(n config.Number, r *roster.Roster, rows []roster.Presence, now time.Time) roster.InForceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rosterFor time.Duration
	if r.Version == s.state.roster.Version {
		rosterFor = now.Sub(s.state.rosterAt)
	}
	return roster.InForce(n, r, rows, s.state.committedFor(n, now), rosterFor)
}

// recordInForce records in the history which tickets up to newest are now in
// force everywhere, at most maxRecorded per sweep. The roster must have been
// read together with newest.
func (s *Spreader) recordInForce(ctx context.Context, newest config.Number, r *roster.Roster, rows []roster.Presence, now time.Time) {
	const maxRecorded = 16
	d := &s.sweepState
	if !d.inForceLoaded {
		last, err := s.roster.LastInForceRecord(ctx, newest)
		if err != nil {
			return
		}
		d.inForceLoaded, d.lastInForce = true, last
	}
	last := min(newest, d.lastInForce+maxRecorded)
	for n := d.lastInForce + 1; n <= last; n++ {
		f := s.inForceStatus(n, r, rows, now)
		if !f.Everywhere() {
			return
		}
		err := s.roster.RecordInForce(ctx, roster.InForceRecord{Number: n, Status: f, KnownAt: now.UTC().Round(0)})
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			s.opts.Log.Debug("force_not_recorded", zap.Error(err))
			return
		}
		s.opts.Log.Info("ticket_in_force", zap.Uint64("number", uint64(n)), zap.String("rule", string(f.Rule)))
		d.lastInForce = n
	}
}
