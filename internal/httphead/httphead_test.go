package httphead

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"papayaspan.dev/papayaspan/internal/standin/faulty"
)

// fields are those that a server adds to a response.
const fields = "Id: a\r\n"

// written returns the bytes of a response.
func written(t testing.TB, r faulty.Response) string {
	var b bytes.Buffer
	if err := r.Write(&b, fields); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// read returns the first response of a byte stream, whose bytes arrive one at a time.
func read(s string, upgrade bool) (*http.Response, error) {
	return NewReader(iotest.OneByteReader(strings.NewReader(s)), 64).ReadResponse(nil, upgrade)
}

func TestResponsesAreReadStrictly(t *testing.T) {
	for _, broken := range faulty.Responses() {
		if resp, err := read(written(t, broken), false); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: response %v, error %v", broken.Name, resp, err)
		}
	}
	for name, s := range map[string]string{
		"whole":              written(t, faulty.Whole()),
		"interim responses":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + written(t, faulty.Whole()),
		"lines end with LF":  strings.ReplaceAll(written(t, faulty.Whole()), "\r\n", "\n"),
		"no reason":          "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n" + faulty.Body,
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\n\r\n" + faulty.Body,
		"chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + faulty.Body + "\r\n0\r\n\r\n",
		"blanks in a value":  "HTTP/1.1 200 OK\r\nX-Note: \t a b\t \r\nX-Empty:\r\nContent-Length: 4\r\n\r\n" + faulty.Body,
		"UTF-8 in a value":   "HTTP/1.1 200 OK\r\nX-Note: \xc3\xa9\r\n\r\n" + faulty.Body,
		"head of some size":  "HTTP/1.1 200 OK\r\nX-Note: " + strings.Repeat("x", MaxHeadBytes/2) + "\r\n\r\n" + faulty.Body,
		"interim, then long": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Note: " + strings.Repeat("x", 8<<10) + "\r\n\r\n" + faulty.Body,
	} {
		resp, err := read(s, false)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != faulty.Body {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
	}
}

func TestSwitchOfProtocolIsAcceptedIfAskedFor(t *testing.T) {
	resp, err := read("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n", true)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		t.Errorf("response %v, error %v", resp, err)
	}
}

func TestEndlessHeadsAreTooLong(t *testing.T) {
	for _, block := range []string{"x", "X-Note: x\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
		s := strings.Repeat(block, 2*MaxHeadBytes/len(block))
		if block != "HTTP/1.1 100 Continue\r\n\r\n" {
			s = "HTTP/1.1 200 OK\r\n" + s
		}
		if _, err := read(s, false); !errors.Is(err, ErrTooLong) {
			t.Errorf("%.20q: error %v", block, err)
		}
	}
}

// Bytes behind a response stay for the next one.
func TestResponsesFollowOneAnother(t *testing.T) {
	r := NewReader(strings.NewReader(strings.Repeat(written(t, faulty.Whole()), 3)), 4096)
	for range 3 {
		resp, err := r.ReadResponse(nil, false)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != faulty.Body {
			t.Errorf("body %q, error %v", body, err)
		}
	}
	if _, err := r.ReadResponse(nil, false); err != io.ErrUnexpectedEOF {
		t.Errorf("error %v at the end", err)
	}
}

// FuzzReadResponse checks that the responses that are accepted have valid heads, however their bytes
// arrive.
func FuzzReadResponse(f *testing.F) {
	for _, broken := range append(faulty.Responses(), faulty.Whole()) {
		f.Add(written(f, broken))
	}
	f.Fuzz(func(t *testing.T, s string) {
		resp, err := read(s, false)
		whole, wholeErr := NewReader(strings.NewReader(s), 4096).ReadResponse(nil, false)
		if (err == nil) != (wholeErr == nil) {
			t.Fatalf("byte by byte: %v; at once: %v", err, wholeErr)
		}
		if err != nil {
			return
		}
		if resp.StatusCode != whole.StatusCode || resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			t.Errorf("status %d and %d", resp.StatusCode, whole.StatusCode)
		}
		for name, values := range resp.Header {
			for _, value := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
					t.Errorf("field %q: %q", name, value)
				}
			}
		}
	})
}
