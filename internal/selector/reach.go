package selector

import "time"

// unheardLimit is the time without data from any server after which this VM may be partitioned from
// all of them. Sound servers may be silent for a second or so.
const unheardLimit = time.Second

// Unheard reports whether responses have been due for unheardLimit and no server has sent anything
// meanwhile. Unlike Isolated it finds a partition also if this VM has one request at a time.
func (t *Table) Unheard() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var since time.Time
	if now.Sub(t.unansweredAt) < unheardLimit {
		since = t.unansweredSince
	}
	for _, s := range t.servers {
		if s.running > 0 && (since.IsZero() || s.responseDueFrom.Before(since)) {
			since = s.responseDueFrom
		}
	}
	if since.IsZero() {
		return false
	}
	if since.Before(t.heardAt) {
		since = t.heardAt
	}
	return now.Sub(since) >= unheardLimit
}

// HeardRecently reports whether a server has sent data within unheardLimit.
func (t *Table) HeardRecently() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Sub(t.heardAt) < unheardLimit
}

// RecordHeard records that a server sent data outside of a request.
func (t *Table) RecordHeard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = t.now()
}

// noteUnanswered records the end of a request that got no data. The time for which its response was due
// counts together with that of the requests that follow soon.
func (t *Table) noteUnanswered(r *InFlight, now time.Time) {
	since := r.dueFrom
	if since.Before(t.heardAt) {
		since = t.heardAt
	}
	if !since.Before(now) {
		return
	}
	if now.Sub(t.unansweredAt) >= unheardLimit || t.unansweredSince.Before(t.heardAt) || since.Before(t.unansweredSince) {
		t.unansweredSince = since
	}
	t.unansweredAt = now
}

// Isolated reports whether this VM is likely partitioned from the servers. pending is the number
// of servers that have requests of this VM in flight, accept no connections from it or have just sent
// it data, and silent the number of those that are silent. Without the last ones, a VM with few
// requests would take a crash of a third of the servers for a partition and not report it.
func (t *Table) Isolated() (isolated bool, pending, silent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending, silent = t.countSilent(t.now())
	return likelyIsolated(pending, silent), pending, silent
}

func (t *Table) countSilent(now time.Time) (pending, silent int) {
	for _, s := range t.servers {
		heard := !s.lastReceived.IsZero() && now.Sub(s.lastReceived) < silenceRampStart
		if s.gone || s.running == 0 && s.downSince.IsZero() && !heard {
			continue
		}
		pending++
		if s.silence(now) >= silenceRampStart {
			silent++
		}
	}
	return pending, silent
}

// likelyIsolated reports whether so many servers are silent that a partition of this VM is the
// more likely cause.
func likelyIsolated(pending, silent int) bool { return silent > 1 && 2*silent > pending }

// Down reports whether an incarnation of a server accepts no connections, according to
// the attempts of this VM.
func (t *Table) Down(key ServerKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[key]
	return s != nil && !s.downSince.IsZero()
}

// DownCount returns the number of servers that accept no connections from this VM.
func (t *Table) DownCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if !s.downSince.IsZero() && !s.gone {
			n++
		}
	}
	return n
}

// MarkDown records that a server accepts no connections.
func (t *Table) MarkDown(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[key]; s != nil && s.downSince.IsZero() {
		s.downSince = t.now()
		t.crashedAt = s.downSince
	}
}

// MarkReachable records that a server accepts connections.
func (t *Table) MarkReachable(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[key]; s != nil && !s.gone {
		s.openedAt = t.now()
		s.clearDown(s.openedAt)
	}
}

// MarkGone records that another server has the address of an incarnation, which has ended.
func (t *Table) MarkGone(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(key)
	s.gone, s.goneSeen, s.downSince = true, true, t.now()
	t.crashedAt = s.downSince
}

// Gone reports whether another server has the address of an incarnation, according to this VM or
// to others.
func (t *Table) Gone(key ServerKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[key]; s != nil {
		return s.gone
	}
	return t.peerLoads[key].Gone
}

// recordHeard records that the server sent data. Data from the address of a server that is gone is
// another server's.
func (s *server) recordHeard(now time.Time) {
	s.lastReceived = now
	if !s.gone {
		s.clearDown(now)
	}
}

// Unresponsive reports whether the server accepts no connections or has sent nothing for so long
// that it has most likely failed, according to this VM or to others.
func (c *Candidate) Unresponsive() bool { return c.Silent >= silenceRampEnd }

// MarkAllReachable records that this VM has another path to all servers.
func (t *Table) MarkAllReachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.failures = 0
		if !s.gone {
			s.downSince = time.Time{}
		}
	}
}

// DoubtRun records that a connection to a server run was lost: the run may have ended.
func (t *Table) DoubtRun(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server(key).runDoubted = true
}

// ProveRun records that a server run has proved that it went on at a time.
func (t *Table) ProveRun(key ServerKey, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(key)
	s.runProvedAt, s.runDoubted = at, false
}

// MarkRunEnded records that a server has reported a later run.
func (t *Table) MarkRunEnded(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server(key).runEnded = true
}

// RunProof returns when a server run last proved that it goes on, zero if it never has, and
// whether a connection to it was lost since.
func (t *Table) RunProof(key ServerKey) (at time.Time, doubted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(key)
	return s.runProvedAt, s.runDoubted
}
