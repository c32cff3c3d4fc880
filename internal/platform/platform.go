// Package platform defines the interfaces to the services of the platform: the
// transactional table service, the object store, the membership list and the
// weight store. Adapters implement them; the router's logic depends only on
// these interfaces.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnavailable means that the call had no effect because the service
	// could not be reached or refused it before doing anything.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown means that the call may or may not have taken effect.
	// The caller must read the data again to learn the outcome.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrConflict means that a check of the transaction failed and nothing was
	// written.
	ErrConflict = errors.New("transaction conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
)

// Version counts the changes of one row. An absent row has version 0.
type Version uint64

// Row is one row of the table service.
type Row struct {
	Key     string
	Version Version
	Value   []byte
	// Era is the store's era as reported with the reply that contained the row.
	Era Era
}

// Revision returns the position of the row's version among all changes.
func (r Row) Revision() Revision { return Revision{Era: r.Era, Version: r.Version} }

// Check is a condition of a transaction: the row must have this version.
type Check struct {
	Key     string
	Version Version
	// Era is the era in which the version was read. If the transaction is
	// carried out in another era, its outcome is unknown.
	Era Era
}

// Write sets a row, or deletes it if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is the transactional table service. Reads are linearizable.
type Table interface {
	// Get returns the rows for the keys, in their order. An absent row has
	// version 0 and a nil value.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes if all checks hold, or nothing. Its errors are
	// ErrConflict, ErrUnavailable and ErrOutcomeUnknown (wrapped).
	Commit(ctx context.Context, checks []Check, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// Put stores the object whole. Its errors are ErrUnavailable and
	// ErrOutcomeUnknown.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound when there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Member is one entry of the platform's membership list. The list lags behind
// the actual state by seconds.
type Member struct {
	ID            string
	FailureDomain string
	// CallerAddress is where callers connect, host:port.
	CallerAddress string
	// PeerAddress is where other routers connect, host:port.
	PeerAddress string
	// Leaving is set once the platform has requested the shutdown of the VM.
	Leaving bool
}

// Membership is the platform's lagging list of live and leaving VMs.
type Membership interface {
	Members(ctx context.Context) ([]Member, error)
}

// Weights is the weight store, which limits the rate of calls.
type Weights interface {
	// Versions returns the stored versions of a model's weights, oldest first.
	Versions(ctx context.Context, model string) ([]string, error)
}

// CallTimeout bounds one call to the table service or object store. The
// platform applies a call within this time after it was sent, or never.
const CallTimeout = 1 * time.Second
