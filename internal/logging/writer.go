package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes bounds the bytes that are buffered for the output.
	maxBufferedBytes = 256 << 10
	// maxLinesPerSecond bounds the log rate. A VM of the present size writes about
	// 100 lines per second.
	maxLinesPerSecond = 2000
	// flushDelay is how long lines are collected into one batch: a write costs as
	// much as many lines.
	flushDelay = 20 * time.Millisecond
)

// Writer buffers lines for an output, so that logging never blocks on it. Lines
// beyond the buffer size or the log rate are dropped and counted; a log line
// reports their number once the output accepts lines again. Writer is safe for
// concurrent use.
type Writer struct {
	out io.Writer

	mu          sync.Mutex
	buf         []byte
	windowLines int
	windowStart time.Time
	dropped     uint64
	// unreported counts the dropped lines that no log line has reported yet.
	unreported uint64
	closed     bool

	wake chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer that writes lines to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line. It never returns an error and never blocks on the
// output.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.windowLines = now, 0
	}
	if w.closed || w.windowLines >= maxLinesPerSecond || len(w.buf)+len(p) > maxBufferedBytes {
		w.dropped++
		w.unreported++
		return len(p), nil
	}
	w.windowLines++
	w.buf = append(w.buf, p...)
	w.signal()
	return len(p), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped so far. A failed write counts as
// one.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		time.Sleep(flushDelay)
		batch, closed := w.takeBuffer(spare)
		if _, err := w.out.Write(batch); err != nil {
			// The count is the only place left to report the failure.
			w.mu.Lock()
			w.dropped++
			w.mu.Unlock()
		}
		spare = batch[:0]
		if closed {
			return
		}
	}
}

// takeBuffer returns the buffered lines and replaces the buffer by the empty
// spare.
func (w *Writer) takeBuffer(spare []byte) (batch []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, w.buf = w.buf, spare
	if w.unreported > 0 {
		batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d total=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.unreported, w.dropped)
		w.unreported = 0
	}
	return batch, w.closed
}

// Close writes the buffered lines and waits for that up to the timeout.
func (w *Writer) Close(timeout time.Duration) error {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(timeout):
		return errors.New("flush log: the output is blocked")
	}
}
