package gateway

import "papayaspan.dev/papayaspan/internal/membudget"

// holdResponse returns an empty reservation for a response, and a function that releases it.
func (g *Gateway) holdResponse() (*membudget.Reservation, func()) {
	if g.opts.Responses == nil {
		return nil, func() {}
	}
	held := g.opts.Responses.Open(membudget.Response)
	return held, held.Close
}
