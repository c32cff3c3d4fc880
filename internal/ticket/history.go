package ticket

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
)

// Get returns the record of a ticket, or platform.ErrNotFound.
func (s *Store) Get(ctx context.Context, n config.Number) (Record, error) {
	rows, err := s.table.Get(ctx, recordKey(n))
	if err != nil {
		return Record{}, errors.Wrapf(err, "read ticket %d", n)
	}
	if rows[0].Version == 0 {
		return Record{}, errors.Wrapf(platform.ErrNotFound, "ticket %d", n)
	}
	return decodeRecord(rows[0])
}

// List returns up to limit records with numbers above after, oldest first.
func (s *Store) List(ctx context.Context, after config.Number, limit int) ([]Record, error) {
	rows, err := s.table.Scan(ctx, recordPrefix, recordKey(after), limit)
	if err != nil {
		return nil, errors.Wrapf(err, "read tickets after %d", after)
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		r, err := decodeRecord(row)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Since returns every record with a number above n, oldest first.
func (s *Store) Since(ctx context.Context, n config.Number) ([]Record, error) {
	var all []Record
	for {
		page, err := s.List(ctx, n, scanLimit)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < scanLimit {
			return all, nil
		}
		n = page[len(page)-1].Number
	}
}

func decodeRecord(row platform.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, errors.Wrapf(err, "decode %s", row.Key)
}

// Load returns the newest configuration. It replays the tickets after from or
// after the latest configuration that this store holds, whichever is newer.
// If these are far behind, it starts from the newest checkpoint. from may be
// nil. The result is never older than from.
func (s *Store) Load(ctx context.Context, from *config.Snapshot) (*config.Snapshot, error) {
	if from != nil {
		s.SetLatest(from)
	}
	h, err := head.Get(ctx, s.table)
	if err != nil {
		return nil, err
	}
	if latest := s.Latest(); latest.Number > h.Head.Number {
		return latest, nil
	}
	return s.loadTo(ctx, h.Head.Number)
}

// loadTo returns the configuration with exactly the number n, which must have
// been read from the head row.
func (s *Store) loadTo(ctx context.Context, n config.Number) (*config.Snapshot, error) {
	snap := s.Latest()
	if snap.Number > n {
		// Another goroutine of this router has loaded a newer configuration.
		return nil, errors.Wrap(platform.ErrConflict, "the configuration changed during the read")
	}
	if n-snap.Number > CheckpointInterval {
		snap = s.checkpointOrBase(ctx, snap)
	}
	for snap.Number < n {
		records, err := s.List(ctx, snap.Number, int(min(n-snap.Number, scanLimit)))
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			return nil, errors.Errorf("ticket %d is missing from the history", snap.Number+1)
		}
		snap, err = Replay(snap, records)
		if err != nil {
			return nil, err
		}
	}
	if snap.Number != n {
		return nil, errors.Wrap(platform.ErrConflict, "the configuration changed during the read")
	}
	s.SetLatest(snap)
	return snap, nil
}

// Latest returns the newest configuration that this store holds.
func (s *Store) Latest() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// SetLatest makes the snapshot the latest configuration, from which later loads
// start, unless the store already has a newer one.
func (s *Store) SetLatest(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Number > s.latest.Number {
		s.latest = snap
	}
}
