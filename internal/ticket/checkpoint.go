package ticket

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/platform"
)

// CheckpointInterval is the minimum number of tickets between two checkpoints.
const CheckpointInterval = 64

// checkpointKey is the row that names the newest checkpoint.
const checkpointKey = "checkpoint"

// checkpoint is the row under checkpointKey.
type checkpoint struct {
	Number config.Number `json:"number"`
}

func checkpointName(n config.Number) string {
	return fmt.Sprintf("snapshot/%020d", n)
}

// Checkpoint stores the snapshot in the object store if it is at least
// CheckpointInterval tickets newer than the newest checkpoint. Any router may
// call it at any time: the name of an object determines its content, and the
// number in the checkpoint row never decreases.
func (s *Store) Checkpoint(ctx context.Context, snap *config.Snapshot) error {
	rows, err := s.table.Get(ctx, checkpointKey)
	if err != nil {
		return errors.Wrap(err, "read checkpoint row")
	}
	last, err := decodeCheckpoint(rows[0])
	if err != nil {
		return err
	}
	if snap.Number < last.Number+CheckpointInterval {
		return nil
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return errors.Wrap(err, "encode checkpoint")
	}
	if err := s.objects.Put(ctx, checkpointName(snap.Number), data); err != nil {
		return errors.Wrap(err, "store checkpoint")
	}
	value, err := json.Marshal(checkpoint{Number: snap.Number})
	if err != nil {
		return errors.Wrap(err, "encode checkpoint row")
	}
	err = s.table.Commit(ctx,
		[]platform.Check{{Key: checkpointKey, Version: rows[0].Version}},
		[]platform.Write{{Key: checkpointKey, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, "write checkpoint row")
}

// checkpointOrBase returns the newest checkpoint, or base if base is newer or
// the checkpoint cannot be read. The fallback is safe, as the whole history can
// be replayed from any snapshot.
func (s *Store) checkpointOrBase(ctx context.Context, base *config.Snapshot) *config.Snapshot {
	rows, err := s.table.Get(ctx, checkpointKey)
	if err != nil {
		return base
	}
	last, err := decodeCheckpoint(rows[0])
	if err != nil || last.Number <= base.Number {
		return base
	}
	data, err := s.objects.Get(ctx, checkpointName(last.Number))
	if err != nil {
		return base
	}
	snap, err := DecodeSnapshot(data)
	if err != nil || snap.Number != last.Number {
		return base
	}
	return snap
}

func decodeCheckpoint(row platform.Row) (checkpoint, error) {
	var c checkpoint
	if row.Version == 0 {
		return c, nil
	}
	err := json.Unmarshal(row.Value, &c)
	return c, errors.Wrap(err, "decode checkpoint row")
}

// DecodeSnapshot parses the JSON of a snapshot.
func DecodeSnapshot(data []byte) (*config.Snapshot, error) {
	snap := config.Empty()
	if err := json.Unmarshal(data, snap); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return snap, nil
}
