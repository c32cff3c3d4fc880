// Package sse reads and writes server-sent events (WHATWG HTML standard, section
// 9.2) with bounded memory. Reader returns the event and data fields and skips
// comments, id and retry. RawReader returns events unchanged.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the default limit for the size of one event.
const MaxEventBytes = 1 << 20

const readBufferBytes = 8 << 10

var newline = []byte("\n")

// ErrTooLong means that an event or a line exceeds the size limit.
var ErrTooLong = errors.New("server-sent event too long")

// Event is one server-sent event.
type Event struct {
	// Name is the event field. It is empty for the default name, "message".
	Name string
	// Data holds the data lines, joined by newlines. It is valid until the
	// next call of Next.
	Data []byte
}

// Reader splits a byte stream into events.
type Reader struct {
	br    *bufio.Reader
	limit int
	line  buffer
	data  buffer
}

// NewReader returns a Reader that accepts lines and event data of at most limit
// bytes each. A limit of 0 means MaxEventBytes.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		limit = MaxEventBytes
	}
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// CountMemory makes the reader count the memory of long events. Next returns ErrNoMemory if there is none.
func (r *Reader) CountMemory(m Memory) { r.line.memory, r.data.memory = m, m }

// Next returns the next event. If the stream ends after a complete event the
// error is io.EOF. An event without its final blank line is not returned; the
// error is then io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	var ev Event
	r.data.reset()
	lines := 0
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, endError(err, lines > 0 || ev.Name != "")
		}
		if len(line) == 0 {
			if lines == 0 {
				ev.Name = ""
				continue
			}
			ev.Data = r.data.bytes
			return ev, nil
		}
		name, value := splitField(line)
		switch string(name) {
		case "event":
			ev.Name = string(value)
		case "data":
			if len(r.data.bytes)+len(value)+1 > r.limit {
				return Event{}, ErrTooLong
			}
			if lines > 0 {
				if err := r.data.append(newline); err != nil {
					return Event{}, err
				}
			}
			if err := r.data.append(value); err != nil {
				return Event{}, err
			}
			lines++
		}
	}
}

// readLine returns the next line without its line ending, LF or CRLF.
func (r *Reader) readLine() ([]byte, error) {
	r.line.reset()
	for {
		part, err := r.br.ReadSlice('\n')
		if len(r.line.bytes)+len(part) > r.limit {
			return nil, ErrTooLong
		}
		if err := r.line.append(part); err != nil {
			return nil, err
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, endError(err, len(r.line.bytes) > 0)
		}
		line := bytes.TrimSuffix(r.line.bytes, newline)
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}

// splitField splits a line into the field's name and value.
func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// endError returns io.ErrUnexpectedEOF if the stream ended within an event or
// line, and err otherwise.
func endError(err error, partial bool) error {
	if err == io.EOF && partial {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Append appends the encoding of an unnamed event with the given data to dst.
func Append(dst, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
		if !more {
			return append(dst, '\n')
		}
		data = rest
	}
}
