package claim

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// Peek answers for an earlier request with this key, if there was one that ran
// or may have run. It writes nothing. The outcome is nil and the error is a
// *verdict.Error if there is no outcome to give. Found is false if the key is
// free, or if the table cannot be read.
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
	_, d, _ := Acquire(r, Attempt{Digest: digest}, s.settings.Lapse, Stamp{Now: s.now()})
	if d == Granted {
		return nil, false, nil
	}
	grant, err := s.answer(row, r, d, s.now())
	return grant.Outcome, true, err
}
