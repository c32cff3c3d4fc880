package membudget

import "io"

// firstReadBytes is the size of the first buffer of Read, readGrowth the factor to the next.
const (
	firstReadBytes = 4 << 10
	readGrowth     = 4
)

// Read reads until the end of in, until it has read more than limit bytes, or until there is no memory for
// more. ended is set in the first case. held counts the memory and must be closed by the caller; nil counts
// nothing. The first buffer is as small as those of a connection and is used without a reservation.
func Read(in io.Reader, limit int, held *Reservation) (body []byte, ended bool, err error) {
	for len(body) <= limit {
		if len(body) == cap(body) {
			size := min(max(firstReadBytes, readGrowth*cap(body)), limit+1)
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
