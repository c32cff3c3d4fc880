package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// RawEvent is one event as it came, with its blank line.
type RawEvent struct {
	// Bytes is valid until the next call of Next.
	Bytes []byte
	// ID is the event's number, or -1 if it has none.
	ID int64
}

// RawReader splits a byte stream into events and leaves them as they are, for
// relays that pass on what they don't interpret.
type RawReader struct {
	br    *bufio.Reader
	limit int
	event []byte
}

// NewRawReader returns a RawReader that holds at most limit bytes of one event.
// A limit of 0 means MaxEventBytes.
func NewRawReader(r io.Reader, limit int) *RawReader {
	if limit <= 0 {
		limit = MaxEventBytes
	}
	return &RawReader{br: bufio.NewReaderSize(r, readBufferBytes/2), limit: limit}
}

// Next returns the next event. At a clean end after a whole event the error is
// io.EOF; an event that is cut off gives io.ErrUnexpectedEOF.
func (r *RawReader) Next() (RawEvent, error) {
	r.event = r.event[:0]
	id := int64(-1)
	start := 0
	for {
		part, err := r.br.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > r.limit {
			return RawEvent{}, ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return RawEvent{}, endError(err, len(r.event) > 0)
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		start = len(r.event)
		if len(line) == 0 {
			return RawEvent{Bytes: r.event, ID: id}, nil
		}
		if name, value := splitField(line); string(name) == "id" {
			if id, err = strconv.ParseInt(string(value), 10, 64); err != nil || id < 0 {
				return RawEvent{}, errors.Errorf("event id %q is not a number", value)
			}
		}
	}
}
