// Package head reads and writes the head row of the table service. Every change
// of the configuration or the roster updates this single row, so that all such
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

// Head is the version of the deployment's state: the number of the last ticket
// and the version of the roster. Neither component ever decreases, so that any
// two committed heads are ordered.
type Head struct {
	Number config.Number `json:"number"`
	Roster RosterVersion `json:"roster"`
}

// AtLeast reports whether h contains every change that other contains.
func (h Head) AtLeast(other Head) bool {
	return h.Number >= other.Number && h.Roster >= other.Roster
}

// Max returns the component-wise maximum of two heads, which is the later of two
// committed heads.
func Max(a, b Head) Head {
	return Head{Number: max(a.Number, b.Number), Roster: max(a.Roster, b.Roster)}
}

// Read is the result of reading the head row.
type Read struct {
	Head Head
	// Version is the version of the row. A transaction checks it to detect
	// concurrent changes.
	Version platform.Version
}

// Decode parses the head row. A row that does not exist yields the zero Head.
func Decode(row platform.Row) (Read, error) {
	r := Read{Version: row.Version}
	if row.Version == 0 {
		return r, nil
	}
	err := json.Unmarshal(row.Value, &r.Head)
	return r, errors.Wrap(err, "decode head row")
}

// Get reads the head row from the table.
func Get(ctx context.Context, table platform.Table) (Read, error) {
	rows, err := table.Get(ctx, RowKey)
	if err != nil {
		return Read{}, errors.Wrap(err, "read head row")
	}
	return Decode(rows[0])
}

// Committer commits transactions that change the head row.
type Committer interface {
	// Commit replaces the head read as base with next and applies the other
	// checks and writes in the same transaction. It returns the errors of
	// platform.Table.
	Commit(ctx context.Context, base Read, next Head, checks []platform.Check, writes []platform.Write) error
}

// Direct commits to the table directly, without consulting other routers.
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
