// Package sse reads and writes server-sent events with bounded memory, as the
// WHATWG HTML standard, section 9.2, describes them. Only the event and data
// fields are kept; comments, id and retry are skipped.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the default limit of one event's data.
const MaxEventBytes = 1 << 20

const readBufferBytes = 8 << 10

// ErrTooLong means that an event or a line is longer than the limit.
var ErrTooLong = errors.New("server-sent event too long")

// Event is one server-sent event.
type Event struct {
	// Name is the event field; empty for the default, "message".
	Name string
	// Data is the data lines joined by newlines. It is valid until the next
	// call of Next.
	Data []byte
}

// Reader splits a byte stream into events.
type Reader struct {
	br    *bufio.Reader
	limit int
	line  []byte
	data  []byte
}

// NewReader returns a Reader that holds at most limit bytes of one event. A
// limit of 0 means MaxEventBytes.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		limit = MaxEventBytes
	}
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// Next returns the next event. An event that is cut off before its blank line
// is not returned: the error is then io.ErrUnexpectedEOF. At a clean end it is
// io.EOF.
func (r *Reader) Next() (Event, error) {
	var ev Event
	r.data = r.data[:0]
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
			ev.Data = r.data
			return ev, nil
		}
		name, value := splitField(line)
		switch string(name) {
		case "event":
			ev.Name = string(value)
		case "data":
			if len(r.data)+len(value)+1 > r.limit {
				return Event{}, ErrTooLong
			}
			if lines > 0 {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			lines++
		}
	}
}

// readLine returns a line without its end. Lines end with LF or CRLF.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.br.ReadSlice('\n')
		if len(r.line)+len(part) > r.limit {
			return nil, ErrTooLong
		}
		r.line = append(r.line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, endError(err, len(r.line) > 0)
		}
		line := bytes.TrimSuffix(r.line, []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}

func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

func endError(err error, partial bool) error {
	if err == io.EOF && partial {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Append appends the wire form of an unnamed event with this data to dst.
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
