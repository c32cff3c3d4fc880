package claim

import (
	"context"
	"strconv"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
)

// DefaultRetention is how long the outcome of a request is kept at least.
const DefaultRetention = 24 * time.Hour

// sweepRows is the number of rows that one page of a sweep reads.
const sweepRows = 200

// Sweeper removes claim rows after the retention time. It is to run on one VM
// at a time; a second one does no harm.
//
// Age is counted in epochs, whose number is a row of the table. A Sweeper
// starts the next epoch once it has seen the number unchanged, on its own
// monotonic clock, for a quarter of the retention time. A stepped wall clock
// therefore removes nothing early, and a replaced Sweeper only makes an epoch
// longer. Every commit of a claim checks the epoch that it stamps.
type Sweeper struct {
	table     platform.Table
	retention time.Duration
	seen      platform.Version
	seenAt    time.Time
	epoch     uint64
	after     string
}

// NewSweeper returns a Sweeper.
func NewSweeper(table platform.Table, retention time.Duration) *Sweeper {
	return &Sweeper{table: table, retention: retention}
}

// Step starts a new epoch if one is due and handles one page of rows. now
// returns the monotonic time.
func (w *Sweeper) Step(ctx context.Context, now func() time.Time) error {
	if err := w.advance(ctx, now); err != nil {
		return err
	}
	rows, err := w.table.Scan(ctx, Prefix, w.after, sweepRows)
	if err != nil {
		return err
	}
	w.after = ""
	if len(rows) == sweepRows {
		w.after = rows[len(rows)-1].Key
	}
	checks := []platform.Check{{Key: EpochRow, Version: w.seen}}
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

// advance reads the epoch and starts the next one if it is due.
func (w *Sweeper) advance(ctx context.Context, now func() time.Time) error {
	rows, err := w.table.Get(ctx, EpochRow)
	if err != nil {
		return err
	}
	row := rows[0]
	w.epoch, err = decodeEpoch(row.Value)
	if err != nil {
		return err
	}
	if w.seenAt.IsZero() || row.Version != w.seen {
		w.seen, w.seenAt = row.Version, now()
		return nil
	}
	if now().Sub(w.seenAt) < w.retention/epochsPerRetention {
		return nil
	}
	value := strconv.FormatUint(w.epoch+1, 10)
	return w.table.Commit(ctx,
		[]platform.Check{{Key: EpochRow, Version: row.Version}},
		[]platform.Write{{Key: EpochRow, Value: []byte(value)}})
}
