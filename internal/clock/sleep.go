// Package clock waits for times that a context can cut short.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether the context is still live. It returns at
// once if d is not positive.
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
