package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// RawEvent is one event in its original bytes, including the blank line that
// ends it.
type RawEvent struct {
	// Bytes is valid until the next call of Next.
	Bytes []byte
	// ID is the number in the event's id field, or -1 if it has none.
	ID int64
	// Comment is set if the event has no field at all.
	Comment bool
}

// RawReader splits a byte stream into events without changing them. Relays use
// it to forward events that they do not interpret.
type RawReader struct {
	br    *bufio.Reader
	limit int
	event buffer
	// rejectStatusLines is set if bytes of another response may follow the stream.
	rejectStatusLines bool
}

// statusLinePrefix is how a response head begins.
const statusLinePrefix = "HTTP/1."

// ErrStatusLine means that the head of another response follows the events.
var ErrStatusLine = errors.New("the head of another response follows the events")

// RejectStatusLines makes Next return ErrStatusLine for a line that begins the head of a response.
// Nothing else tells where a stream that ends with its connection is followed by another response.
func (r *RawReader) RejectStatusLines() { r.rejectStatusLines = true }

// NewRawReader returns a RawReader that accepts events of at most limit bytes. A
// limit of 0 means MaxEventBytes.
func NewRawReader(r io.Reader, limit int) *RawReader {
	if limit <= 0 {
		limit = MaxEventBytes
	}
	return &RawReader{br: bufio.NewReaderSize(r, readBufferBytes/2), limit: limit}
}

// CountMemory makes the reader count the memory of long events. Next returns ErrNoMemory if there is none.
func (r *RawReader) CountMemory(m Memory) { r.event.memory = m }

// Next returns the next event. If the stream ends after a complete event the
// error is io.EOF; if it ends within an event, io.ErrUnexpectedEOF.
func (r *RawReader) Next() (RawEvent, error) {
	r.event.reset()
	id := int64(-1)
	start, comment := 0, true
	for {
		part, err := r.br.ReadSlice('\n')
		if len(r.event.bytes)+len(part) > r.limit {
			return RawEvent{}, ErrTooLong
		}
		if err := r.event.append(part); err != nil {
			return RawEvent{}, err
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return RawEvent{}, endError(err, len(r.event.bytes) > 0)
		}
		line := bytes.TrimRight(r.event.bytes[start:], "\r\n")
		start = len(r.event.bytes)
		if len(line) == 0 {
			return RawEvent{Bytes: r.event.bytes, ID: id, Comment: comment}, nil
		}
		if r.rejectStatusLines && bytes.HasPrefix(line, []byte(statusLinePrefix)) {
			return RawEvent{}, ErrStatusLine
		}
		comment = comment && line[0] == ':'
		if name, value := splitField(line); string(name) == "id" {
			if id, err = strconv.ParseInt(string(value), 10, 64); err != nil || id < 0 {
				return RawEvent{}, errors.Errorf("event id %q is not a number", value)
			}
		}
	}
}
