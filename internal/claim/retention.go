package claim

import (
	"context"
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
)

// DefaultRetention is the minimum time for which the outcome of a request is
// kept.
const DefaultRetention = 24 * time.Hour

// sweepPageRows is the number of rows that one page of a sweep reads.
const sweepPageRows = 200

// Sweeper removes claim rows after the retention time. It should run on one VM
// at a time; a second one does no harm.
//
// Age is counted in epochs, whose number is stored in a row of the table. A
// Sweeper starts the next epoch once it has observed the same number for a
// quarter of the retention time on its own monotonic clock. A step of the wall
// clock therefore never removes a row too early, and the replacement of a
// Sweeper only makes an epoch longer. Every commit of a claim checks the epoch
// with which it stamps the row.
type Sweeper struct {
	table        platform.Table
	retention    time.Duration
	epochVersion platform.Version
	epochSeenAt  time.Time
	epoch        uint64
	scanAfter    string
}

// NewSweeper returns a Sweeper for the claim rows of a table.
func NewSweeper(table platform.Table, retention time.Duration) *Sweeper {
	return &Sweeper{table: table, retention: retention}
}

// Step starts a new epoch if one is due and sweeps one page of rows. now
// returns the monotonic time.
func (w *Sweeper) Step(ctx context.Context, now func() time.Time) error {
	if err := w.advanceEpoch(ctx, now); err != nil {
		return err
	}
	rows, err := w.table.Scan(ctx, Prefix, w.scanAfter, sweepPageRows)
	if err != nil {
		return err
	}
	w.scanAfter = ""
	if len(rows) == sweepPageRows {
		w.scanAfter = rows[len(rows)-1].Key
	}
	checks := []platform.Check{{Key: EpochRow, Version: w.epochVersion}}
	var writes []platform.Write
	for _, row := range rows {
		write, ok, err := w.sweep(row, now())
		if err != nil {
			return err
		}
		if ok {
			checks = append(checks, platform.Check{Key: row.Key, Version: row.Version})
			writes = append(writes, write)
		}
	}
	if len(writes) == 0 {
		return nil
	}
	return w.table.Commit(ctx, checks, writes)
}

// sweep returns the write for a row, or false if the row stays as it is.
func (w *Sweeper) sweep(row platform.Row, now time.Time) (platform.Write, bool, error) {
	r, err := Decode(row.Value)
	if err != nil {
		return platform.Write{}, false, err
	}
	next, remove, write := Sweep(r, Stamp{Now: now, Epoch: w.epoch})
	if remove {
		return platform.Write{Key: row.Key, Delete: true}, true, nil
	}
	if !write {
		return platform.Write{}, false, nil
	}
	value, err := next.Encode()
	return platform.Write{Key: row.Key, Value: value}, true, err
}

// advanceEpoch reads the epoch and starts the next one if it is due.
func (w *Sweeper) advanceEpoch(ctx context.Context, now func() time.Time) error {
	rows, err := w.table.Get(ctx, EpochRow)
	if err != nil {
		return err
	}
	row := rows[0]
	w.epoch, err = decodeEpoch(row.Value)
	if err != nil {
		return err
	}
	if w.epochSeenAt.IsZero() || row.Version != w.epochVersion {
		w.epochVersion, w.epochSeenAt = row.Version, now()
		return nil
	}
	if now().Sub(w.epochSeenAt) < w.retention/epochsPerRetention {
		return nil
	}
	value := strconv.FormatUint(w.epoch+1, 10)
	return w.table.Commit(ctx,
		[]platform.Check{{Key: EpochRow, Version: row.Version}},
		[]platform.Write{{Key: EpochRow, Value: []byte(value)}})
}
