package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Responses for clients that read slowly must not use more than their share of the memory, and what
// was read before the share was used up must not be lost.
func TestResponsesStayWithinTheirShare(t *testing.T) {
	const limit = 256 << 10
	budget := New(Options{Total: 300 << 10, Small: 300 << 10})
	whole := strings.Repeat("r", limit)
	for name, c := range map[string]struct {
		in    io.Reader
		ended bool
		bytes int
	}{
		"whole":        {strings.NewReader(whole), true, limit},
		"byte by byte": {iotest.OneByteReader(strings.NewReader(whole)), true, limit},
		"too long":     {strings.NewReader(whole + "rr"), false, limit + 1},
		"empty":        {strings.NewReader(""), true, 0},
	} {
		held := budget.Open(Response)
		body, ended, err := Read(c.in, limit, held)
		if err != nil || ended != c.ended || len(body) != c.bytes {
			t.Errorf("%s: %d bytes, ended %v, err %v", name, len(body), ended, err)
		}
		held.Close()
	}
	first, second := budget.Open(Response), budget.Open(Response)
	if _, _, err := Read(strings.NewReader(whole), limit, first); err != nil {
		t.Fatal(err)
	}
	in := strings.NewReader(whole)
	body, ended, err := Read(in, limit, second)
	rest, _ := io.ReadAll(in)
	if err != nil || ended || !bytes.Equal(append(body, rest...), []byte(whole)) {
		t.Errorf("%d and %d bytes, ended %v, err %v", len(body), len(rest), ended, err)
	}
	if n := budget.Held(Response); n > 300<<10 {
		t.Errorf("%d bytes held", n)
	}
	first.Close()
	second.Close()
	if n := budget.Held(Response); n != 0 {
		t.Errorf("%d bytes leaked", n)
	}
}
