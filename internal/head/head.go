// Package head models the head row of the table service: the single row that
// every change of configuration or roster goes through, so that all such
// changes are totally ordered.
package head

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/platform"
)

// RowKey is the key of the head row.
const RowKey = "head"

// RosterVersion counts the changes of the roster.
type RosterVersion uint64

// Head is the position of the deployment: the last ticket and the version of
// the roster. Each component only grows, so any two heads are ordered.
type Head struct {
	Number config.Number `json:"number"`
	Roster RosterVersion `json:"roster"`
}

// AtLeast reports whether h contains every change that other contains.
func (h Head) AtLeast(other Head) bool {
	return h.Number >= other.Number && h.Roster >= other.Roster
}

// Max returns the later of two heads.
func Max(a, b Head) Head {
	return Head{Number: max(a.Number, b.Number), Roster: max(a.Roster, b.Roster)}
}

// Read is one read of the head row.
type Read struct {
	Head Head
	// Version is the version of the row, for the check of a transaction.
	Version platform.Version
}

// Decode parses the head row. An absent row is the zero head.
func Decode(row platform.Row) (Read, error) {
	r := Read{Version: row.Version}
	if row.Version == 0 {
		return r, nil
	}
	err := json.Unmarshal(row.Value, &r.Head)
	return r, errors.Wrap(err, "decode head row")
}

// Get reads the head row.
func Get(ctx context.Context, table platform.Table) (Read, error) {
	rows, err := table.Get(ctx, RowKey)
	if err != nil {
		return Read{}, errors.Wrap(err, "read head row")
	}
	return Decode(rows[0])
}

// Committer commits changes of the head row.
type Committer interface {
	// Commit replaces the head that was read in base by next, together with
	// the other checks and writes. Its errors are those of platform.Table.
	Commit(ctx context.Context, base Read, next Head, checks []platform.Check, writes []platform.Write) error
}

// Direct commits to the table without asking other routers.
type Direct struct {
	Table platform.Table
}

// Commit implements Committer.
func (d Direct) Commit(ctx context.Context, base Read, next Head, checks []platform.Check, writes []platform.Write) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode head row")
	}
	checks = append([]platform.Check{{Key: RowKey, Version: base.Version}}, checks...)
	writes = append([]platform.Write{{Key: RowKey, Value: value}}, writes...)
	return d.Table.Commit(ctx, checks, writes)
}
