// Package httphead checks the heads of HTTP/1.x responses strictly (RFC 9112). The parser of net/http
// accepts field names with blanks, which other parsers and the framing of the body don't recognize, and
// any number of three digits as a status.
package httphead

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

var (
	// ErrMalformed means that what was received isn't the head of a response, or that of one that
	// wasn't asked for.
	ErrMalformed = errors.New("malformed response head")
	// ErrTooLong means that the heads of a response are longer than MaxHeadBytes.
	ErrTooLong = errors.New("response head is too long")
)

// MaxHeadBytes is the maximum size of the heads of the responses to one request, in bytes. Usual heads
// have a few hundred bytes. The default of net/http, 10 MiB per connection, is a large part of a small
// VM's memory.
const MaxHeadBytes = 64 << 10

const (
	minStatus = 100
	maxStatus = 599
	// statusLineStart and statusDigits are the lengths of "HTTP/1.1 " and of a status.
	statusLineStart = len("HTTP/1.1 ")
	statusDigits    = 3
)

// Checker checks the heads of the responses to one request: interim responses and the final one. The
// zero value expects the first. It is given the bytes as they arrive.
type Checker struct {
	// line holds the line so far.
	line []byte
	// size is the number of bytes of all heads so far.
	size int
	// status is that of the present head; 0 before its first line.
	status int
	// http10 and encoded are set if the head is one of HTTP/1.0, and has a Transfer-Encoding. length
	// is its Content-Length, empty if it has none.
	http10, encoded bool
	length          string
	// Upgrade is set if the response may switch to another protocol.
	Upgrade bool
}

// Next checks the bytes that follow, up to the end of the final head. It returns the number of bytes that
// belong to heads, and whether the final one has ended. The error is ErrMalformed or ErrTooLong.
func (c *Checker) Next(p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		rest := p[n:]
		if end >= 0 {
			rest = p[n : n+end+1]
		}
		n += len(rest)
		if c.size += len(rest); c.size > MaxHeadBytes {
			return n, false, errors.WithStack(ErrTooLong)
		}
		line := rest
		if len(c.line) > 0 || end < 0 {
			c.line = append(c.line, rest...)
			line = c.line
		}
		if end < 0 {
			return n, false, nil
		}
		c.line = c.line[:0]
		ended, err = c.checkLine(string(bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))))
		if ended || err != nil {
			return n, ended, err
		}
	}
	return n, false, nil
}

// checkLine checks one line without its end, and reports whether it ends the final head.
func (c *Checker) checkLine(line string) (ended bool, err error) {
	switch {
	case c.status == 0:
		return false, c.checkStatusLine(line)
	case len(line) > 0:
		return false, c.checkField(line)
	case c.http10 && c.encoded:
		return false, malformed("a Transfer-Encoding in a response of HTTP/1.0") // RFC 9112, section 6.1.
	case c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols:
		c.status, c.http10, c.encoded, c.length = 0, false, false, ""
		return false, nil
	}
	return true, nil
}

func (c *Checker) checkStatusLine(line string) error {
	if len(line) < statusLineStart+statusDigits || !strings.HasPrefix(line, "HTTP/1.0 ") && !strings.HasPrefix(line, "HTTP/1.1 ") {
		return malformed("status line %.40q", line)
	}
	status := 0
	for _, digit := range line[statusLineStart : statusLineStart+statusDigits] {
		if digit < '0' || digit > '9' {
			return malformed("status line %.40q", line)
		}
		status = status*10 + int(digit-'0')
	}
	reason := line[statusLineStart+statusDigits:]
	if reason != "" && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("status line %.40q", line)
	}
	c.status, c.http10 = status, strings.HasPrefix(line, "HTTP/1.0")
	return c.checkStatus(status)
}

func (c *Checker) checkStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return malformed("status %03d", status)
	case status == http.StatusSwitchingProtocols && !c.Upgrade:
		return malformed("a switch to another protocol that wasn't asked for")
	}
	return nil
}

// checkField checks a field. A line that continues the field before it is refused: a gateway must not
// pass it on (RFC 9112, section 5.2).
func (c *Checker) checkField(line string) error {
	name, value, found := strings.Cut(line, ":")
	switch {
	case !found || !httpguts.ValidHeaderFieldName(name):
		return malformed("field line %.40q", line)
	case !httpguts.ValidHeaderFieldValue(value):
		return malformed("value of the field %.40q", name)
	}
	return c.checkFraming(name, textproto.TrimString(value))
}

// checkFraming checks the fields that say where the body ends (RFC 9112, section 6).
func (c *Checker) checkFraming(name, value string) error {
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		if c.encoded || !strings.EqualFold(value, "chunked") {
			return malformed("transfer encoding %.40q", value)
		}
		c.encoded = true
	case strings.EqualFold(name, "Content-Length"):
		if _, err := strconv.ParseUint(value, 10, 63); err != nil || c.length != "" && c.length != value {
			return malformed("length %.40q", value)
		}
		c.length = value
	}
	return nil
}

func malformed(format string, args ...any) error { return errors.Wrapf(ErrMalformed, format, args...) }
