package ticket

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Row keys of the history.
const (
	recordPrefix = "ticket/"
	filingPrefix = "ticket-filing/"
)

const (
	// scanLimit bounds the records of one scan of the table.
	scanLimit = 256
	// maxAttempts bounds the transactions tried for one ticket.
	maxAttempts = 32
)

// ErrReused means that the client ID was used for a ticket with other content.
var ErrReused = errors.New("the client ID was used for a different ticket")

// Store files tickets and reads their history.
type Store struct {
	table     platform.Table
	objects   platform.Objects
	committer head.Committer
	self      vm.ID
	now       func() time.Time

	mu sync.Mutex
	// latest is the newest configuration that this store holds.
	latest *config.Snapshot
}

// NewStore returns a store over the platform's services. Tickets are committed
// through the committer; now returns the wall-clock time for the history.
func NewStore(table platform.Table, objects platform.Objects, committer head.Committer, self vm.ID, now func() time.Time) *Store {
	return &Store{
		table:     table,
		objects:   objects,
		committer: committer,
		self:      self,
		now:       now,
		latest:    config.Empty(),
	}
}

func recordKey(n config.Number) string {
	return fmt.Sprintf("%s%020d", recordPrefix, n)
}

// filingKey returns the key of the row that maps an operator's client ID to the
// number of the ticket.
func filingKey(operator, clientID string) string {
	sum := sha256.Sum256([]byte(operator + "\x00" + clientID))
	return filingPrefix + hex.EncodeToString(sum[:])
}

// filing is the row under filingKey.
type filing struct {
	Number config.Number `json:"number"`
}

// File assigns the next number to the ticket and records it as accepted or
// refused. Filing the same ticket again returns the first record, also after a
// lost response. File returns ErrReused if the client ID was already used for a
// ticket with other content, platform.ErrUnavailable if the ticket was not
// recorded, and platform.ErrOutcomeUnknown if it may have been recorded; the
// caller then files it again to learn the outcome. A ticket without a valid
// client ID or operator is refused without a number.
func (s *Store) File(ctx context.Context, t Ticket) (Record, error) {
	if problems := validateStruct("", t); len(problems) > 0 {
		return Record{Ticket: t, Status: Refused, Problems: problems}, nil
	}
	unknown := false
	for range maxAttempts {
		rec, err := s.fileOnce(ctx, t)
		switch {
		case err == nil, errors.Is(err, ErrReused):
			return rec, err
		case errors.Is(err, platform.ErrConflict):
			continue
		case errors.Is(err, platform.ErrOutcomeUnknown):
			// The next attempt reads the filing row first. If this attempt
			// is still in flight, the checks of the transactions let only
			// one of the two take effect.
			unknown = true
			continue
		case unknown:
			return Record{}, errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
		default:
			return Record{}, err
		}
	}
	if unknown {
		return Record{}, errors.Wrap(platform.ErrOutcomeUnknown, "file ticket")
	}
	return Record{}, errors.Wrap(platform.ErrUnavailable, "too many concurrent tickets")
}

// fileOnce makes one attempt to record the ticket.
func (s *Store) fileOnce(ctx context.Context, t Ticket) (Record, error) {
	key := filingKey(t.Operator, t.ClientID)
	rows, err := s.table.Get(ctx, head.RowKey, key)
	if err != nil {
		return Record{}, readError(err)
	}
	if rows[1].Version != 0 {
		return s.readBack(ctx, t, rows[1])
	}
	base, err := head.Decode(rows[0])
	if err != nil {
		return Record{}, err
	}
	snap, err := s.loadTo(ctx, base.Head.Number)
	if err != nil {
		return Record{}, readError(err)
	}
	rec, next := s.evaluate(snap, t)
	value, err := json.Marshal(rec)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode record")
	}
	ref, err := json.Marshal(filing{Number: rec.Number})
	if err != nil {
		return Record{}, errors.Wrap(err, "encode filing")
	}
	checks := []platform.Check{{Key: key}, {Key: recordKey(rec.Number)}}
	writes := []platform.Write{{Key: recordKey(rec.Number), Value: value}, {Key: key, Value: ref}}
	nextHead := head.Head{Number: rec.Number, Roster: base.Head.Roster}
	if err := s.committer.Commit(ctx, base, nextHead, checks, writes); err != nil {
		return Record{}, err
	}
	s.SetLatest(next)
	return rec, nil
}

// evaluate applies the ticket to the snapshot. It returns the ticket's record,
// accepted or refused, and the snapshot after it.
func (s *Store) evaluate(snap *config.Snapshot, t Ticket) (Record, *config.Snapshot) {
	rec := Record{
		Number:       snap.Number + 1,
		Ticket:       t,
		Status:       Accepted,
		FiledAt:      s.now().UTC().Round(0),
		FiledThrough: s.self,
	}
	next, problems := Apply(snap, t)
	if len(problems) > 0 {
		rec.Status = Refused
		rec.Problems = problems
		next = renumber(snap)
	}
	return rec, next
}

// readBack returns the record of a ticket that was filed before.
func (s *Store) readBack(ctx context.Context, t Ticket, row platform.Row) (Record, error) {
	var f filing
	if err := json.Unmarshal(row.Value, &f); err != nil {
		return Record{}, errors.Wrap(err, "decode filing")
	}
	rec, err := s.Get(ctx, f.Number)
	if err != nil {
		return Record{}, readError(err)
	}
	same, err := sameTicket(rec.Ticket, t)
	if err != nil {
		return Record{}, err
	}
	if !same {
		return Record{}, errors.Wrapf(ErrReused, "ticket %d", f.Number)
	}
	return rec, nil
}

func sameTicket(a, b Ticket) (bool, error) {
	x, err := json.Marshal(a)
	if err != nil {
		return false, errors.Wrap(err, "encode ticket")
	}
	y, err := json.Marshal(b)
	return bytes.Equal(x, y), errors.Wrap(err, "encode ticket")
}

// readError maps the unknown outcome of a read to ErrUnavailable, as a read has
// no effect.
func readError(err error) error {
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return err
}
