package selector

import "time"

// Outrun records that the request was canceled because another server had answered it. The time that
// it had taken until then is a lower bound of its latency. Without it, a slow server whose requests
// are canceled would keep the latency of its fast responses.
func (r *InFlight) Outrun() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	s := r.table.server(r.key)
	if took := r.table.now().Sub(r.sent); took > s.latency {
		s.latency += time.Duration(latencySmoothing * float64(took-s.latency))
	}
}
