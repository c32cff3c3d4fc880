package roster

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// scanLimit bounds the rows of one scan.
const scanLimit = 512

// Store reads and changes the roster and the presence rows.
type Store struct {
	Table     platform.Table
	Committer head.Committer
}

// Read returns the head and the roster that belongs to it.
func (s Store) Read(ctx context.Context) (head.Read, *Roster, error) {
	rows, err := s.Table.Get(ctx, head.RowKey, RowKey)
	if err != nil {
		return head.Read{}, nil, errors.Wrap(err, "read roster")
	}
	h, err := head.Decode(rows[0])
	if err != nil {
		return head.Read{}, nil, err
	}
	r, err := Decode(rows[1])
	if err != nil {
		return head.Read{}, nil, err
	}
	if r.Version != h.Head.Roster {
		return head.Read{}, nil, errors.Wrap(platform.ErrConflict, "the roster changed during the read")
	}
	return h, r, nil
}

// Presences returns every presence row.
func (s Store) Presences(ctx context.Context) ([]Presence, error) {
	var all []Presence
	after := ""
	for {
		rows, err := s.Table.Scan(ctx, presencePrefix, after, scanLimit)
		if err != nil {
			return nil, errors.Wrap(err, "read presence rows")
		}
		for _, row := range rows {
			p, err := DecodePresence(row)
			if err != nil {
				return nil, err
			}
			all = append(all, p)
			after = row.Key
		}
		if len(rows) < scanLimit {
			return all, nil
		}
	}
}

// Renew writes the presence row of this VM.
func (s Store) Renew(ctx context.Context, p Presence) error {
	value, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode presence")
	}
	err = s.Table.Commit(ctx, nil, []platform.Write{{Key: PresenceKey(p.VM.ID), Value: value}})
	return errors.Wrap(err, "renew presence")
}

// DeletePresences deletes presence rows. A VM that is still running writes its row again.
func (s Store) DeletePresences(ctx context.Context, ids []vm.ID) error {
	var writes []platform.Write
	for _, id := range ids {
		writes = append(writes, platform.Write{Key: PresenceKey(id), Delete: true})
	}
	return errors.Wrap(s.Table.Commit(ctx, nil, writes), "delete presence rows")
}

// inForcePrefix is the prefix of the keys of in-force records.
const inForcePrefix = "ticket-force/"

func inForceKey(n config.Number) string { return fmt.Sprintf("%s%020d", inForcePrefix, n) }

// RecordInForce writes an in-force record. It returns platform.ErrConflict if the
// ticket already has one.
func (s Store) RecordInForce(ctx context.Context, r InForceRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode force record")
	}
	key := inForceKey(r.Number)
	err = s.Table.Commit(ctx, []platform.Check{{Key: key}}, []platform.Write{{Key: key, Value: value}})
	return errors.Wrap(err, "write force record")
}

// InForceRecord returns the in-force record of a ticket, or platform.ErrNotFound.
func (s Store) InForceRecord(ctx context.Context, n config.Number) (InForceRecord, error) {
	rows, err := s.Table.Get(ctx, inForceKey(n))
	if err != nil {
		return InForceRecord{}, errors.Wrap(err, "read force record")
	}
	if rows[0].Version == 0 {
		return InForceRecord{}, errors.Wrapf(platform.ErrNotFound, "ticket %d", n)
	}
	var r InForceRecord
	err = json.Unmarshal(rows[0].Value, &r)
	return r, errors.Wrap(err, "decode force record")
}

// LastInForceRecord returns the ticket after which in-force records are missing. It searches
// the last scanLimit tickets up to newest and returns the newest with a record,
// or the ticket before all of these if none has a record.
func (s Store) LastInForceRecord(ctx context.Context, newest config.Number) (config.Number, error) {
	last := newest - min(newest, scanLimit)
	rows, err := s.Table.Scan(ctx, inForcePrefix, inForceKey(last), scanLimit)
	if err != nil {
		return 0, errors.Wrap(err, "read force records")
	}
	for _, row := range rows {
		var r InForceRecord
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return 0, errors.Wrap(err, "decode force record")
		}
		last = max(last, r.Number)
	}
	return last, nil
}

// Apply commits a change of the roster r, which was read together with base, and
// deletes the presence rows of the removed VMs. It returns the new roster and
// head.
func (s Store) Apply(ctx context.Context, base head.Read, r *Roster, c Change) (*Roster, head.Head, error) {
	next := r.With(c.Admit, c.Remove)
	value, err := json.Marshal(next)
	if err != nil {
		return nil, head.Head{}, errors.Wrap(err, "encode roster")
	}
	writes := []platform.Write{{Key: RowKey, Value: value}}
	for _, id := range c.Remove {
		writes = append(writes, platform.Write{Key: PresenceKey(id), Delete: true})
	}
	h := head.Head{Number: base.Head.Number, Roster: next.Version}
	if err := s.Committer.Commit(ctx, base, h, nil, writes); err != nil {
		return nil, head.Head{}, errors.Wrap(err, "commit roster")
	}
	return next, h, nil
}
