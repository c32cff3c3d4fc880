package selector

import (
	"math"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/fullserver"
	"papayaspan.dev/papayaspan/internal/serverspeed"
)

const (
	// statsHalfLife is the half-life of the counts of a server's successes and failures.
	statsHalfLife = 2 * time.Second
	// priorSuccesses is the number of successes that a server without history is credited with.
	priorSuccesses = 1.5
	// latencySmoothing is the weight of a new latency in the moving average.
	latencySmoothing = 0.2
	// defaultLatency is the assumed latency of a server without history.
	defaultLatency = 30 * time.Millisecond
)

// ServerKey identifies one incarnation of a server.
type ServerKey struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
}

// KeyOf returns the key of a directory entry.
func KeyOf(e *fleet.Entry) ServerKey { return ServerKey{ID: e.ID, Started: e.Started} }

// Report is the load that one VM puts on a server.
type Report struct {
	Running int
	// Backlog is the number of prompt tokens queued for prefill.
	Backlog float64
	// Memory is the number of tokens of its running requests.
	Memory float64
	// Churn is the rate of unshared tokens sent to it, in tokens per second.
	Churn float64
	// Silent is how long the server has sent that VM nothing while a response is due, or
	// has accepted no connections from it.
	Silent time.Duration
	// FullFor is the time for which that VM sends the server nothing because it was full; FullUntil
	// is the end according to all VMs that report one.
	FullFor   time.Duration
	FullUntil time.Time
	// Gone is set if another server answers at the address of this one.
	Gone bool
}

// announcesPerReuseWindow is the number of intervals into which the reuse window is
// divided. A part that stays in use is announced to other VMs once per interval.
const announcesPerReuseWindow = 4

// duplicateWindow is the time within which a repeated placement counts as the same one:
// it is sent to some VMs at once, and to all with the next digest.
const duplicateWindow = 700 * time.Millisecond

// server is the load and health of a server as this VM knows them.
type server struct {
	running int
	backlog float64
	// peerLoad is the load that other VMs reported.
	peerLoad Report
	// unreported is the load that was added since this VM last reported its load to others.
	unreported Report
	// lastReceived is when the server last sent anything to this VM.
	lastReceived time.Time
	// responseDueFrom is when the first of the running requests is expected to be
	// answered; it applies while any request runs.
	responseDueFrom time.Time
	// downSince is when the server stopped accepting connections; zero if it accepts them.
	downSince time.Time
	// openedAt is when it last accepted connections again after it had accepted none.
	openedAt time.Time
	// gone is set once another server has answered at its address: this incarnation has ended.
	// goneSeen is set if this VM got that response, so that it reports it to others.
	gone, goneSeen bool
	full           fullserver.Hold
	// speed is the engine's prefill speed, and relativeSpeed the one that counts; 0 for the mean.
	speed         serverspeed.Estimate
	relativeSpeed float64
	// startedAt is when the server's load began to grow from a small share; zero if it has its full one.
	startedAt time.Time
	// runProvedAt is when the run last proved that it goes on; runDoubted is set if a
	// connection to it was lost since.
	runProvedAt time.Time
	runDoubted  bool
	// runEnded is set once the server reported a later run than this one.
	runEnded  bool
	successes float64
	failures  float64
	// decayedAt is when successes and failures were last decayed.
	decayedAt time.Time
	latency   time.Duration
	cache     engineCache
}

// Table holds the state of all servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[ServerKey]*server
	// peerLoads holds the load that other VMs reported, also on servers that this VM hasn't used.
	peerLoads map[ServerKey]Report
	// unsent holds the placements that other VMs have not been sent yet.
	unsent []Placement
	// reuseWindow is the time within which a part is expected to be used again.
	reuseWindow time.Duration
	// senders is the number of VMs that send requests to the servers.
	senders int
	speed   prefillSpeed
	// uneven is set while the engines' speeds differ so much that they count. crashedAt is when a
	// server was last found to be down, and createdAt when the table was created.
	uneven               bool
	crashedAt, createdAt time.Time
	// heardAt is when a server last sent anything to this VM. unansweredSince is when a response was due
	// to the first of the requests that ended without one since then, unansweredAt when the last ended.
	heardAt, unansweredSince, unansweredAt time.Time
	now                                    func() time.Time
}

// NewTable returns an empty table. Reuse is the time within which a shared part of a
// prompt is expected to be used again.
func NewTable(reuse time.Duration, now func() time.Time) *Table {
	return &Table{servers: map[ServerKey]*server{}, peerLoads: map[ServerKey]Report{}, reuseWindow: reuse, senders: 1, now: now, createdAt: now()}
}

func (t *Table) server(key ServerKey) *server {
	s := t.servers[key]
	if s == nil {
		now := t.now()
		s = &server{latency: defaultLatency, decayedAt: now}
		if t.startsSlowly(now) {
			s.startedAt = now
		}
		s.setPeerLoad(t.peerLoads[key])
		t.servers[key] = s
	}
	return s
}

func (s *server) decay(now time.Time) {
	if s.successes != 0 || s.failures != 0 {
		f := math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(statsHalfLife))
		s.successes, s.failures = s.successes*f, s.failures*f
	}
	s.decayedAt = now
}

// ownEvidenceMaxAge is the age up to which data that this VM received from a server
// overrides a silence that other VMs report: they may be partitioned from the server.
const ownEvidenceMaxAge = 300 * time.Millisecond

// silence returns how long the server has sent nothing to this VM while a response is
// due, or has accepted no connections.
func (s *server) silence(now time.Time) time.Duration {
	silent := time.Duration(0)
	if s.running > 0 {
		last := s.responseDueFrom
		if s.lastReceived.After(last) {
			last = s.lastReceived
		}
		silent = max(0, now.Sub(last))
	}
	if !s.downSince.IsZero() {
		silent = max(silent, silenceRampEnd, now.Sub(s.downSince))
	}
	return silent
}

// Fill sets the fields of a candidate that the table knows.
func (t *Table) Fill(c *Candidate, prompt *Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(KeyOf(c.Entry))
	now := t.now()
	s.decay(now)
	c.OwnRunning, c.RunEnded, c.Gone = s.running, s.runEnded, s.gone
	c.KnownRunning = s.running + s.peerLoad.Running
	c.KnownBacklog = s.backlog + s.peerLoad.Backlog
	// Other VMs choose from the same state and add as much load until they receive the report.
	otherSenders := float64(t.senders - 1)
	c.Running = c.KnownRunning + int(otherSenders*float64(s.unreported.Running))
	c.Backlog = c.KnownBacklog + otherSenders*s.unreported.Backlog
	c.FailureRate = s.failures / (s.successes + s.failures + priorSuccesses)
	c.Silent = s.silence(now)
	if now.Sub(s.lastReceived) > ownEvidenceMaxAge && now.Sub(s.openedAt) > ownEvidenceMaxAge {
		c.Silent = max(c.Silent, s.peerLoad.Silent)
	}
	c.Latency, c.FullFor, c.Speed = s.latency, s.full.Left(now, c.KnownRunning < c.Entry.Slots), s.relativeSpeed
	c.StartShare = s.startShare(now)
	if prompt != nil {
		cached, ready := s.cache.expectedHit(prompt, c.Entry.Weights[prompt.Model], now)
		c.CachedTokens, c.CachedReadyIn = float64(cached), ready
		c.Memory = s.cache.runningTokens + s.cache.peerRunningTokens
		c.Pressure = s.cache.pressure(prompt, t.reuseWindow, now)
	}
}

// Source returns the best engine from which the engine of a candidate can fetch cached
// parts of the prompt, and the number of tokens to fetch. It must run the same weights
// and hold more of the prompt; the result is nil if none does. Unresponsive engines are
// no sources: an engine waits some hundred milliseconds for one, and then computes the
// parts itself.
func Source(c *Candidate, prompt *Prompt, sources []Candidate) (*Candidate, int) {
	weights := c.Entry.Weights[prompt.Model]
	var best *Candidate
	for i := range sources {
		s := &sources[i]
		if s.suspicion() > 0 || s.Entry.ID == c.Entry.ID || s.Entry.Weights[prompt.Model] != weights || s.CachedTokens <= c.CachedTokens {
			continue
		}
		if best == nil || betterSource(s, best, c) {
			best = s
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, int(best.CachedTokens - c.CachedTokens)
}

// betterSource prefers the source that holds more tokens, then one in the failure domain
// of the fetching engine, then the one with fewer requests.
func betterSource(a, b, fetcher *Candidate) bool {
	if a.CachedTokens != b.CachedTokens {
		return a.CachedTokens > b.CachedTokens
	}
	sameDomain := func(x *Candidate) bool { return x.Entry.FailureDomain == fetcher.Entry.FailureDomain }
	if sameDomain(a) != sameDomain(b) {
		return sameDomain(a)
	}
	return a.Running < b.Running
}

// RecordPlacement records a placement that another VM announces.
func (t *Table) RecordPlacement(p Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(ServerKey{ID: p.ID, Started: p.Started})
	if p.Weights < s.cache.weights {
		return
	}
	s.cache.syncWeights(p.Weights)
	if p.PerToken > 0 {
		t.addSpeedSample(s, p.PerToken)
	}
	now := t.now()
	ready := now.Add(p.ReadyIn)
	if x, ok := s.cache.parts[p.Prefix]; ok && now.Sub(x.lastUsed) < duplicateWindow {
		if ready.Before(x.readyAt) {
			x.readyAt = ready
			s.cache.parts[p.Prefix] = x
		}
		return
	}
	s.cache.parts[p.Prefix] = cachedPart{lastUsed: now, tokens: p.Tokens, readyAt: ready}
}

// TakePlacements returns the placements since the last call.
func (t *Table) TakePlacements() []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.unsent
	t.unsent = nil
	return out
}

// Loads returns the load that this VM puts on servers, for a report to other VMs, and
// counts it as reported.
func (t *Table) Loads() map[ServerKey]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[ServerKey]Report{}
	now := t.now()
	pending, silentCount := t.countSilent(now)
	isolated := likelyIsolated(pending, silentCount)
	for key, s := range t.servers {
		s.unreported = Report{}
		r := Report{Running: s.running, Backlog: s.backlog, Churn: s.cache.churnRate(now), Memory: s.cache.runningTokens, Gone: s.goneSeen, FullFor: s.full.OwnLeft(now)}
		if silent := s.silence(now); silent >= silenceRampStart && !isolated {
			r.Silent = silent
		}
		if r.Running > 0 || r.Churn >= 1 || r.Silent > 0 || r.Gone || r.FullFor > 0 {
			out[key] = r
		}
	}
	return out
}

// SetSenders sets the number of VMs that send to the servers, this one included.
func (t *Table) SetSenders(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senders = max(1, n)
}

// UpdatePeerLoads sets the total load that all other VMs put on the servers whose load has changed.
func (t *Table) UpdatePeerLoads(changed map[ServerKey]Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, load := range changed {
		if load == (Report{}) {
			delete(t.peerLoads, key)
		} else {
			t.peerLoads[key] = load
		}
		s := t.servers[key]
		if s == nil && load.Gone {
			s = t.server(key) // It stays gone after the reports have ended.
		}
		if s != nil {
			s.setPeerLoad(load)
		}
	}
}

func (s *server) setPeerLoad(load Report) {
	s.peerLoad, s.gone = load, s.gone || load.Gone
	s.full.Report(load.FullUntil)
	s.cache.peerChurn, s.cache.peerRunningTokens = load.Churn, load.Memory
}

// OwnRequestCount returns the number of requests of this VM at a server.
func (t *Table) OwnRequestCount(key ServerKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[key]; s != nil {
		return s.running
	}
	return 0
}

// RequestCount returns the number of known requests at a server.
func (t *Table) RequestCount(key ServerKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[key]
	if s == nil {
		return 0
	}
	return s.running + s.peerLoad.Running
}

// RemoveAbsent removes the servers that are not in the view and have no requests in flight.
func (t *Table) RemoveAbsent(v *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		e := v.Server(key.ID)
		if s.running == 0 && (e == nil || e.Started != key.Started) {
			delete(t.servers, key)
		}
	}
}
