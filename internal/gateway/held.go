package gateway

import (
	"io"

	"papayaspan.dev/papayaspan/internal/membudget"
)

// firstHeldBytes is the size of the first buffer for a response, heldGrowth the factor to the next.
const (
	firstHeldBytes = 4 << 10
	heldGrowth     = 4
)

// readHeld reads a response until its end, until it is longer than maxBufferedBytes, or until there is
// no memory for more of it: many clients that read slowly must not use up the process's memory. ended
// is set in the first case. held counts the memory and must be closed by the caller.
func readHeld(in io.Reader, held *membudget.Reservation) (body []byte, ended bool, err error) {
	for len(body) <= maxBufferedBytes {
		if len(body) == cap(body) {
			// The first buffer is as small as those of a connection and is used without a reservation.
			size := min(max(firstHeldBytes, heldGrowth*cap(body)), maxBufferedBytes+1)
			if held != nil && !held.TryGrow(int64(size-cap(body))) && len(body) > 0 {
				return body, false, nil
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// holdResponse returns an empty reservation for a response, and a function that releases it.
func (g *Gateway) holdResponse() (*membudget.Reservation, func()) {
	if g.opts.Responses == nil {
		return nil, func() {}
	}
	held := g.opts.Responses.Open(membudget.Response)
	return held, held.Close
}
