package clientconn

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// firstStep is the size of the first buffer of a body, growth the factor to the next ones.
	// exactBytes is the length up to which the second buffer has the size that the client states.
	firstStep  = 4 << 10
	growth     = 4
	exactBytes = 128 << 10
	// memoryWait is how long a body waits for memory: requests without progress are given up
	// stalledAfter their last byte at the latest.
	memoryWait = stalledAfter + 500*time.Millisecond
	// memoryRetryAfter is the delay after which a refused caller should retry. Requests that hold
	// memory without progress have been given up by then.
	memoryRetryAfter = 2 * time.Second
)

// CodeIncomplete is the code of a refusal because a body ended early or could not be read.
const CodeIncomplete = "body_incomplete"

// ReadBody reads a request's body within a size limit. Memory is reserved as the body arrives. The
// body may be used until release is called, which is never nil.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, release func(), refusal *verdict.Error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // Keeps net/http from waiting for the body.
		return nil, func() {}, tooLarge()
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	c := connOf(r)
	if c != nil {
		c.enter(body)
	}
	held := g.opts.Budget.Open(membudget.Body)
	data, err := readBody(r, http.MaxBytesReader(w, r.Body, limit), limit, held)
	givenUp := ""
	if c != nil {
		givenUp = c.endBody()
	}
	var over *http.MaxBytesError
	switch {
	case err == nil && givenUp == "":
		return data, held.Close, nil
	case givenUp != "":
		refusal = verdict.Refuse(http.StatusRequestTimeout, givenUp, "the body did not arrive in time")
	case errors.As(err, &over):
		refusal = tooLarge()
	case errors.Is(err, membudget.ErrExhausted):
		g.count("body_memory_short")
		refusal = verdict.RefuseUntil(http.StatusServiceUnavailable, "memory_short", "this VM has no memory for the body", memoryRetryAfter)
	default:
		refusal = verdict.Refuse(http.StatusBadRequest, CodeIncomplete, "the body did not arrive whole")
		refusal.Cause = err
	}
	held.Close()
	w.Header().Set("Connection", "close") // Keeps net/http from waiting for the rest of the body.
	return nil, func() {}, refusal
}

func tooLarge() *verdict.Error {
	return verdict.Refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the limit")
}

// endBody ends the phase of the body and returns why it was given up, if it was.
func (c *Conn) endBody() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	givenUp := c.givenUp
	c.givenUp = ""
	if c.phase == body {
		c.begin(serving)
	}
	return givenUp
}

// readBody reads into buffers that grow by a factor, and reserves each before it is used. The buffer
// before is counted until it is copied.
func readBody(r *http.Request, in io.Reader, limit int64, held *membudget.Reservation) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			if r.ContentLength >= 0 && int64(len(data)) == r.ContentLength {
				return data, nil
			}
			size := int(min(int64(nextSize(cap(data), r.ContentLength)), limit+1))
			if err := held.Grow(r.Context(), int64(size), memoryWait); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			held.Shrink(int64(cap(data)))
			data = grown
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer after one of the given size. length is what the client
// states; negative if it doesn't.
func nextSize(size int, length int64) int {
	next := max(firstStep, size*growth)
	if size > 0 && length >= 0 && length <= exactBytes || length >= 0 && int64(next) > length {
		next = int(length)
	}
	return next
}
