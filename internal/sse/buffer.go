package sse

import "github.com/pkg/errors"

// Memory counts the memory of events, in bytes. A *membudget.Reservation is one.
type Memory interface {
	// TryGrow adds n bytes if they fit.
	TryGrow(n int64) bool
	// Shrink releases n bytes.
	Shrink(n int64)
}

// ErrNoMemory means that there is no memory for an event that is longer than most.
var ErrNoMemory = errors.New("no memory for a long server-sent event")

// uncountedBytes is the size up to which a buffer isn't counted. Usual events are far shorter.
const uncountedBytes = 8 << 10

// buffer holds a line or an event. Many streams with long events must not use up the process's memory.
type buffer struct {
	bytes []byte
	// memory may be nil. counted is the number of bytes that it counts.
	memory  Memory
	counted int
}

// append appends p, or returns ErrNoMemory.
func (b *buffer) append(p []byte) error {
	need := len(b.bytes) + len(p)
	if need > cap(b.bytes) {
		size := max(need, 2*cap(b.bytes))
		if size > uncountedBytes && b.memory != nil {
			if !b.memory.TryGrow(int64(size - b.counted)) {
				return errors.WithStack(ErrNoMemory)
			}
			b.counted = size
		}
		grown := make([]byte, len(b.bytes), size)
		copy(grown, b.bytes)
		b.bytes = grown
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// reset empties the buffer. A counted one is released.
func (b *buffer) reset() {
	b.bytes = b.bytes[:0]
	if b.counted > 0 {
		b.memory.Shrink(int64(b.counted))
		b.bytes, b.counted = nil, 0
	}
}
