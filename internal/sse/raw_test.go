package sse

import (
	"io"
	"strings"
	"testing"
)

// readRaw reads all events of s with a RawReader and returns them with their IDs
// and the error at the end.
func readRaw(s string) (events []string, ids []int64, err error) {
	r := NewRawReader(strings.NewReader(s), 0)
	for {
		e, err := r.Next()
		if err != nil {
			return events, ids, err
		}
		events, ids = append(events, string(e.Bytes)), append(ids, e.ID)
	}
}

func TestRawReader(t *testing.T) {
	complete := "weights: 3\nid: 7\ndata: a\ndata: b\n\n"
	events, ids, err := readRaw(complete + "data: c\r\n\r\n")
	if err != io.EOF || len(events) != 2 || events[0] != complete || ids[0] != 7 || ids[1] != -1 {
		t.Errorf("events %q, ids %v, err %v", events, ids, err)
	}
	for _, input := range []string{complete + "id: 8\n", complete + "id: 8", complete + "i"} {
		if events, _, err := readRaw(input); err != io.ErrUnexpectedEOF || len(events) != 1 {
			t.Errorf("%q: events %q, err %v", input, events, err)
		}
	}
	if _, _, err := readRaw("id: x\n\n"); err == nil || err == io.EOF {
		t.Errorf("id that is not a number: err %v", err)
	}
	if _, _, err := readRaw(strings.Repeat("x", MaxEventBytes+1)); err != ErrTooLong {
		t.Errorf("long event: err %v", err)
	}
}

// FuzzRawReader checks that the events of any input, joined, are a prefix of it.
func FuzzRawReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("id: 1\r\n\r\nid")
	f.Fuzz(func(t *testing.T, s string) {
		events, _, err := readRaw(s)
		if err == nil || !strings.HasPrefix(s, strings.Join(events, "")) {
			t.Errorf("events %q of %q", events, s)
		}
	})
}
