// Package clock provides a sleep that a context can end early, and a clock that
// includes the time for which the machine was suspended.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until the context is done. It reports whether it waited for
// all of d. If d is not positive, it returns at once and reports whether the
// context is still live.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
