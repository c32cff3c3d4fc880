// Package stall ends calls whose other side sends nothing for too long. A time limit for a whole
// call fails for every response that is larger than what a link carries within it.
package stall

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrStalled is the cause of the end of a call that made no progress.
	ErrStalled = errors.New("the other side sent nothing for too long")
	// ErrInterrupted, as the cause of the end of a context, ends a call that waits for its
	// response. A call whose response is arriving goes on.
	ErrInterrupted = errors.New("the call was cancelled in order to be repeated")
)

// Watchdog cancels a call with ErrStalled unless it is reset or stopped in time.
type Watchdog struct{ timer *time.Timer }

// NewWatchdog returns a Watchdog that calls cancel after d.
func NewWatchdog(cancel context.CancelCauseFunc, d time.Duration) *Watchdog {
	return &Watchdog{timer: time.AfterFunc(d, func() { cancel(ErrStalled) })}
}

// Reset lets the call go on for d from now on.
func (w *Watchdog) Reset(d time.Duration) { w.timer.Reset(d) }

// Stop ends the watch.
func (w *Watchdog) Stop() { w.timer.Stop() }

// minProgress is the number of bytes that must arrive within the limit. Without it a call could go
// on for hours, byte by byte.
const minProgress = 1 << 10

// Call is a call whose response must begin in time and then make progress.
type Call struct {
	// Context ends with the call.
	Context context.Context

	cancel   context.CancelCauseFunc
	detach   func() bool
	watchdog *Watchdog
	limit    time.Duration
	begun    atomic.Bool
	size     int64
	// pending is the number of bytes since the watchdog was last reset.
	pending int
}

// Start begins a call. The first byte of the body of its response must arrive within a time, and
// then minProgress bytes, or the rest, within each limit.
func Start(ctx context.Context, within, limit time.Duration) *Call {
	c := &Call{limit: limit}
	c.Context, c.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	c.watchdog = NewWatchdog(c.cancel, within)
	c.detach = context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); !c.begun.Load() || !errors.Is(cause, ErrInterrupted) {
			c.cancel(cause)
		}
	})
	return c
}

// End releases the call's resources.
func (c *Call) End() {
	c.detach()
	c.watchdog.Stop()
	c.cancel(nil)
}

// Cause returns why the call was ended early, or nil.
func (c *Call) Cause() error { return context.Cause(c.Context) }

// Size returns the number of bytes of the body that have arrived.
func (c *Call) Size() int64 { return c.size }

// Body returns a reader of the response's body that watches its progress.
func (c *Call) Body(r io.Reader) io.Reader { return &body{Call: c, r: r} }

type body struct {
	*Call
	r io.Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	// Chunked bodies fill the whole buffer before they return.
	n, err := b.r.Read(p[:min(len(p), minProgress)])
	if n > 0 {
		first := !b.begun.Swap(true)
		b.size, b.pending = b.size+int64(n), b.pending+n
		if first || b.pending >= minProgress {
			b.pending = 0
			b.watchdog.Reset(b.limit)
		}
	}
	return n, err
}
