package selector

// Reject records that the server has rejected the request as full. Draw is a random number in [0, 1).
// It reports whether this is the server's first rejection since it accepted a request.
func (r *InFlight) Reject(draw float64) (first bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.rejected = true
	return r.table.server(r.key).full.Reject(r.table.now(), r.sent, draw)
}

// Accept records that the server has not rejected the request.
func (r *InFlight) Accept() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.server(r.key).full.Accept(r.sent)
}
