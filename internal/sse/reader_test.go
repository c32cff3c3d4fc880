package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader(t *testing.T) {
	tests := []struct {
		desc string
		in   string
		want []string
		err  error
	}{
		{"two events", "data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"CRLF line ends", "data: a\r\n\r\n", []string{"a"}, io.EOF},
		{"several data lines", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"comments and ids are skipped", ": ping\n\nid: 7\nretry: 5\ndata:a\n\n", []string{"a"}, io.EOF},
		{"empty data is an event", "data\n\n", []string{""}, io.EOF},
		{"end within a line", "data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		{"end before the blank line", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"line over the limit", "data: " + strings.Repeat("x", 100) + "\n\n", nil, ErrTooLong},
		{"total of lines over the limit", strings.Repeat("data: xxxxxxxxxxxxxxxxxxxx\n", 4) + "\n", nil, ErrTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := NewReader(iotest.OneByteReader(strings.NewReader(tt.in)), 64)
			got, err := readAll(r)
			if strings.Join(got, "|") != strings.Join(tt.want, "|") || err != tt.err {
				t.Errorf("got %q, %v; want %q, %v", got, err, tt.want, tt.err)
			}
		})
	}
}

func readAll(r *Reader) ([]string, error) {
	var got []string
	for {
		ev, err := r.Next()
		if err != nil {
			return got, err
		}
		got = append(got, string(ev.Data))
	}
}

// FuzzReader checks that the Reader returns no event over the limit for any
// input, and that events written by Append are read back unchanged.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\r\n\r\n: c\nevent: x\ndata\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("\n\n\r\ndata:data:\ndata: "))
	f.Fuzz(func(t *testing.T, in []byte) {
		const limit = 256
		var wire []byte
		var events []string
		r := NewReader(bytes.NewReader(in), limit)
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			if len(ev.Data) > limit {
				t.Fatalf("event of %d bytes over the limit", len(ev.Data))
			}
			events = append(events, string(ev.Data))
			wire = Append(wire, ev.Data)
		}
		reread, err := readAll(NewReader(bytes.NewReader(wire), 8*limit))
		if err != io.EOF || strings.Join(reread, "|") != strings.Join(events, "|") {
			t.Fatalf("read back %q, %v; want %q", reread, err, events)
		}
	})
}
