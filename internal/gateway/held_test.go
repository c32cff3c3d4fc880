package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"papayaspan.dev/papayaspan/internal/membudget"
)

// Responses for clients that read slowly must not use more than their share of the memory, and what
// was read before the share was used up must not be lost.
func TestHeldResponsesStayWithinTheirShare(t *testing.T) {
	budget := membudget.New(membudget.Options{Total: 300 << 10, Small: 300 << 10})
	whole := strings.Repeat("r", maxBufferedBytes)
	for name, c := range map[string]struct {
		in    io.Reader
		ended bool
		bytes int
	}{
		"whole":        {strings.NewReader(whole), true, maxBufferedBytes},
		"byte by byte": {iotest.OneByteReader(strings.NewReader(whole)), true, maxBufferedBytes},
		"too long":     {strings.NewReader(whole + "rr"), false, maxBufferedBytes + 1},
		"empty":        {strings.NewReader(""), true, 0},
	} {
		held := budget.Open(membudget.Response)
		body, ended, err := readHeld(c.in, held)
		if err != nil || ended != c.ended || len(body) != c.bytes {
			t.Errorf("%s: %d bytes, ended %v, err %v", name, len(body), ended, err)
		}
		held.Close()
	}
	first, second := budget.Open(membudget.Response), budget.Open(membudget.Response)
	if _, _, err := readHeld(strings.NewReader(whole), first); err != nil {
		t.Fatal(err)
	}
	in := strings.NewReader(whole)
	body, ended, err := readHeld(in, second)
	rest, _ := io.ReadAll(in)
	if err != nil || ended || !bytes.Equal(append(body, rest...), []byte(whole)) {
		t.Errorf("%d and %d bytes, ended %v, err %v", len(body), len(rest), ended, err)
	}
	if n := budget.Held(membudget.Response); n > 300<<10 {
		t.Errorf("%d bytes held", n)
	}
	first.Close()
	second.Close()
	if n := budget.Held(membudget.Response); n != 0 {
		t.Errorf("%d bytes leaked", n)
	}
}
