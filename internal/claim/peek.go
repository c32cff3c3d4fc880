package claim

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// Peek looks up an earlier request with this key that ran or may have run. It
// writes nothing. If the request has no stored outcome, the outcome is nil and
// the error is a *verdict.Error. Found is false if the key is free or the table
// can't be read.
func (s *Store) Peek(ctx context.Context, key Key, digest Digest) (o *Outcome, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row := key.Row()
	rows, err := s.batcher.table.Get(ctx, row)
	if err != nil {
		return nil, false, errors.Wrap(err, "read claim")
	}
	r, err := Decode(rows[0].Value)
	if err != nil {
		return nil, false, err
	}
	_, d, _ := Acquire(r, Attempt{Digest: digest}, s.settings.AbandonAfter, Stamp{Now: s.now()})
	if d == Granted {
		return nil, false, nil
	}
	grant, err := s.grantFor(row, r, d, s.now())
	return grant.Outcome, true, err
}
