package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBuffered bounds the bytes that wait for the output.
	maxBuffered = 256 << 10
	// maxLines bounds the lines of a second. A VM of today's size writes about a
	// hundred.
	maxLines = 2000
	// flushPause is for how long lines are collected: a write costs as much as
	// many lines.
	flushPause = 20 * time.Millisecond
)

// Writer passes lines on to an output without ever waiting for it. Lines that
// find the buffer full, or the second's number used up, are dropped and counted;
// a line tells of them once the output takes lines again. It is safe for
// concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buf     []byte
	lines   int
	second  time.Time
	dropped uint64
	// untold are the dropped lines that no line has told of.
	untold uint64
	closed bool

	wake chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer that passes lines on until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails and never waits.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.second) >= time.Second {
		w.second, w.lines = now, 0
	}
	if w.closed || w.lines >= maxLines || len(w.buf)+len(p) > maxBuffered {
		w.dropped++
		w.untold++
		return len(p), nil
	}
	w.lines++
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

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		time.Sleep(flushPause)
		batch, closed := w.take(spare)
		if _, err := w.out.Write(batch); err != nil {
			// There is nowhere left to say so but in the count.
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

// take returns the lines that wait, and leaves an empty buffer.
func (w *Writer) take(spare []byte) (batch []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, w.buf = w.buf, spare
	if w.untold > 0 {
		batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d total=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.untold, w.dropped)
		w.untold = 0
	}
	return batch, w.closed
}

// Close writes the lines that wait, for as long as timeout at most.
func (w *Writer) Close(timeout time.Duration) error {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(timeout):
		return errors.New("the log's output takes no lines")
	}
}
