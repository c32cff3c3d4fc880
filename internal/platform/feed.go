package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone means that the feed no longer has the changes after the
// revision asked for, or never had them: the store has come back from an older copy of
// itself. The caller must read the rows anew.
var ErrHistoryGone = errors.New("history is no longer available")

// ErrThrottled means that the service refused a call because of its rate. It
// had no effect.
var ErrThrottled = errors.New("platform service is over its rate")

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Listing is a whole table.
type Listing struct {
	Rows []Row
	// Revision is that up to which the rows are complete.
	Revision Revision
	// Now is the store's steady clock.
	Now time.Duration
}

// Feed reports changes of rows as they happen.
type Feed interface {
	// Rows returns all rows of a table.
	Rows(ctx context.Context, table string) (Listing, error)
	// Changes returns the changes after a revision, in order, and the revision to
	// go on from. It returns as soon as there is one, and without any after
	// wait. Its errors include ErrHistoryGone.
	Changes(ctx context.Context, table string, after Revision, wait time.Duration) ([]Change, Revision, error)
}
