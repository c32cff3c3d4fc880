package httphead

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxKeptHeadBytes is the size of the largest buffer for heads that is kept for the next response.
const maxKeptHeadBytes = 4 << 10

// Reader reads responses from a connection and checks their heads. Bodies are read from its
// bufio.Reader.
type Reader struct {
	*bufio.Reader
	in replayReader
	// heads holds the bytes of the present heads.
	heads []byte
}

// NewReader returns a Reader with a buffer of a size in bytes.
func NewReader(in io.Reader, size int) *Reader {
	r := &Reader{in: replayReader{Reader: in}}
	r.Reader = bufio.NewReaderSize(&r.in, size)
	return r
}

// ReadResponse returns the final response to a request and skips the interim ones. upgrade is set if
// the response may switch to another protocol. The body of the response before must have been read.
func (r *Reader) ReadResponse(req *http.Request, upgrade bool) (*http.Response, error) {
	if err := r.checkHeads(upgrade); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(r.Reader, req)
		if err != nil {
			return nil, errors.Wrapf(ErrMalformed, "%v", err)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// checkHeads checks the next heads, up to the final one, and makes the Reader return their bytes again.
func (r *Reader) checkHeads(upgrade bool) error {
	checker := Checker{Upgrade: upgrade}
	r.heads = r.heads[:0]
	for {
		line, err := r.ReadSlice('\n')
		r.heads = append(r.heads, line...)
		_, ended, malformed := checker.Next(line)
		switch {
		case malformed != nil:
			return malformed
		case ended:
			r.replay()
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return err
		}
	}
}

// replay makes the heads the next bytes to be read.
func (r *Reader) replay() {
	buffered, _ := r.Peek(r.Buffered())
	r.in.again = append(r.heads, buffered...)
	r.Reset(&r.in)
	if cap(r.heads) > maxKeptHeadBytes {
		r.heads = nil
	}
}

// replayReader returns bytes again before those that follow.
type replayReader struct {
	io.Reader
	again []byte
}

// Read implements io.Reader.
func (r *replayReader) Read(p []byte) (int, error) {
	if len(r.again) == 0 {
		return r.Reader.Read(p)
	}
	n := copy(p, r.again)
	r.again = r.again[n:]
	return n, nil
}
