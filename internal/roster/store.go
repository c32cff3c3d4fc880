package roster

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
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

// Apply commits a change on top of the roster that was read together with
// base, and deletes the presence rows of removed VMs. It returns the new
// roster and head.
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
