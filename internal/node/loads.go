package node

import (
	"maps"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/selector"
)

// peerLoads adds up the loads that the other VMs and failure domains report, and the engines that
// they have reserved. A report is applied by what it changes, so that its cost doesn't depend on the
// number of VMs.
type peerLoads struct {
	reports map[string]*loadReport
	sums    map[selector.ServerKey]*loadSum
	// reserved holds the engines that any report lists.
	reserved map[backend.ID]*reservation
	// changed holds the servers whose sum has changed, and reservedChanged is set if reserved has.
	changed         map[selector.ServerKey]bool
	reservedChanged bool
}

// loadReport is the last report of a VM or of a failure domain.
type loadReport struct {
	at       time.Time
	loads    []gossip.ServerLoad
	reserved []backend.ID
}

// loadSum is the load on a server. The reports are whole numbers, so that a sum stays exact.
type loadSum struct {
	reports int
	load    selector.Report
	// gone is the number of reports that another server has the address.
	gone int
	// silent holds the reported silences.
	silent map[string]time.Duration
	// full holds the reported ends of the times in which the server is full.
	full map[string]time.Time
}

// reservation counts the reports that list an engine; since is when the first of them arrived.
type reservation struct {
	reports int
	since   time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{
		reports: map[string]*loadReport{}, sums: map[selector.ServerKey]*loadSum{},
		reserved: map[backend.ID]*reservation{}, changed: map[selector.ServerKey]bool{},
	}
}

// record replaces the report of a VM or of a failure domain.
func (l *peerLoads) record(from string, at time.Time, loads []gossip.ServerLoad, reserved []backend.ID) {
	old := l.reports[from]
	if old == nil {
		old = &loadReport{}
	}
	for _, id := range reserved {
		l.reserve(id, at, 1)
	}
	for _, id := range old.reserved {
		l.reserve(id, at, -1)
	}
	if !slices.Equal(old.loads, loads) {
		for i := range old.loads {
			l.add(from, &old.loads[i], old.at, -1)
		}
		for i := range loads {
			l.add(from, &loads[i], at, 1)
		}
	}
	l.reports[from] = &loadReport{at: at, loads: loads, reserved: reserved}
}

// expire drops the reports of those who have fallen silent.
func (l *peerLoads) expire(now time.Time) {
	for from, r := range l.reports {
		if now.Sub(r.at) >= gossip.SilenceLimit {
			l.record(from, r.at, nil, nil)
			delete(l.reports, from)
		}
	}
}

func (l *peerLoads) reserve(id backend.ID, at time.Time, count int) {
	r := l.reserved[id]
	if r == nil {
		r = &reservation{since: at}
		l.reserved[id] = r
		l.reservedChanged = true
	}
	if r.reports += count; r.reports == 0 {
		delete(l.reserved, id)
		l.reservedChanged = true
	}
}

// add adds a reported load to its server's sum, or with a sign of -1 takes it off.
func (l *peerLoads) add(from string, x *gossip.ServerLoad, at time.Time, sign int) {
	key := selector.ServerKey{ID: x.ID, Started: x.Started}
	sum := l.sums[key]
	if sum == nil {
		sum = &loadSum{}
		l.sums[key] = sum
	}
	l.changed[key] = true
	sum.reports += sign
	sum.load.Running += sign * x.Running
	sum.load.Backlog += float64(sign * x.Backlog)
	sum.load.Churn += float64(sign * x.Churn)
	sum.load.Memory += float64(sign * x.Memory)
	if x.Silent > 0 {
		sum.setSilent(from, time.Duration(x.Silent)*time.Millisecond, sign)
	}
	if x.Full > 0 {
		sum.setFull(from, at.Add(time.Duration(x.Full)*time.Millisecond), sign)
	}
	if x.Gone {
		sum.gone += sign
		sum.load.Gone = sum.gone > 0
	}
	if sum.reports == 0 {
		delete(l.sums, key)
	}
}

func (s *loadSum) setSilent(from string, silent time.Duration, sign int) {
	if sign > 0 {
		if s.silent == nil {
			s.silent = map[string]time.Duration{}
		}
		s.silent[from] = silent
	} else {
		delete(s.silent, from)
	}
	s.load.Silent = 0
	for _, other := range s.silent {
		s.load.Silent = max(s.load.Silent, other)
	}
}

func (s *loadSum) setFull(from string, until time.Time, sign int) {
	if sign > 0 {
		if s.full == nil {
			s.full = map[string]time.Time{}
		}
		s.full[from] = until
	} else {
		delete(s.full, from)
	}
	s.load.FullUntil = time.Time{}
	for _, other := range s.full {
		if other.After(s.load.FullUntil) {
			s.load.FullUntil = other
		}
	}
}

// takeChanged returns the sums that have changed since the last call, and whether the reserved
// engines have.
func (l *peerLoads) takeChanged() (loads map[selector.ServerKey]selector.Report, reserved bool) {
	if len(l.changed) > 0 {
		loads = make(map[selector.ServerKey]selector.Report, len(l.changed))
	}
	for key := range l.changed {
		if sum := l.sums[key]; sum != nil {
			loads[key] = sum.load
		} else {
			loads[key] = selector.Report{}
		}
	}
	clear(l.changed)
	reserved, l.reservedChanged = l.reservedChanged, false
	return loads, reserved
}

// reservedSince returns since when engines are reserved.
func (l *peerLoads) reservedSince() map[backend.ID]time.Time {
	out := make(map[backend.ID]time.Time, len(l.reserved))
	for id, r := range l.reserved {
		out[id] = r.since
	}
	return out
}

// updatePeerLoads changes the loads of the other VMs and applies the result.
func (n *Node) updatePeerLoads(update func(*peerLoads)) {
	n.peerLoadsMu.Lock()
	defer n.peerLoadsMu.Unlock()
	update(n.peerLoads)
	loads, reserved := n.peerLoads.takeChanged()
	if len(loads) > 0 {
		n.servers.UpdatePeerLoads(loads)
	}
	if reserved {
		n.setWithheld()
	}
}

// withholdReserved withholds the engines that this VM or another one has reserved.
func (n *Node) withholdReserved() {
	n.peerLoadsMu.Lock()
	defer n.peerLoadsMu.Unlock()
	n.setWithheld()
}

func (n *Node) setWithheld() {
	withheld := map[string]bool{}
	for id := range maps.Keys(n.peerLoads.reserved) {
		withheld[string(id)] = true
	}
	n.mu.Lock()
	for _, id := range n.reserved {
		withheld[string(id)] = true
	}
	n.mu.Unlock()
	n.Gateway.SetWithheld(withheld)
}
