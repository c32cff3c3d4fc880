package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone means that the feed no longer has the changes after the requested
// revision, or never had them because the store has been restored from an older
// copy. The caller must read all rows again.
var ErrHistoryGone = errors.New("history is no longer available")

// ErrThrottled means that the service refused a call because of its rate limit.
// The call had no effect.
var ErrThrottled = errors.New("platform service is over its rate")

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Listing is the complete content of a table.
type Listing struct {
	Rows []Row
	// Revision is the revision up to which the rows include all changes.
	Revision Revision
	// Now is the reading of the store's steady clock.
	Now time.Duration
}

// Feed delivers the changes of rows as they occur.
type Feed interface {
	// Rows returns all rows of a table.
	Rows(ctx context.Context, table string) (Listing, error)
	// Changes returns the changes after a revision, in order, and the revision
	// from which to continue. It returns as soon as there is a change, or with
	// no changes once wait has passed. Its errors include ErrHistoryGone. If ctx
	// ends with stall.ErrInterrupted, a response that is arriving is still read.
	Changes(ctx context.Context, table string, after Revision, wait time.Duration) ([]Change, Revision, error)
}
