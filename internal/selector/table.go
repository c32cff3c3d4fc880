package selector

import (
	"math"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
)

const (
	// statsHalfLife is how fast what was seen of a server loses its weight.
	statsHalfLife = 2 * time.Second
	// priorAnswers are the good answers that a server without history is
	// credited with.
	priorAnswers = 1.5
	// latencyGain is the weight of a new latency in the mean.
	latencyGain = 0.2
	// defaultLatency is assumed of a server that was not seen yet.
	defaultLatency = 30 * time.Millisecond
)

// ServerKey names one run of a server.
type ServerKey struct {
	ID      backend.ID
	Started int64
}

// KeyOf returns the key of an entry.
func KeyOf(e *fleet.Entry) ServerKey { return ServerKey{ID: e.ID, Started: e.Started} }

// Report is the load that one VM puts on a server.
type Report struct {
	Running int
	Backlog float64
}

// server is what this VM knows of a server's load and conduct.
type server struct {
	running int
	backlog float64
	// peers is the load that other VMs reported.
	peers Report
	good  float64
	bad   float64
	// seen is when good and bad were last decayed.
	seen    time.Time
	latency time.Duration
	parts   holdings
}

// Table keeps the state of all servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[ServerKey]*server
	// placed are the placements that other VMs have to hear of.
	placed []Placement
	// keep is for how long an engine is expected to hold an unused part.
	keep time.Duration
	now  func() time.Time
}

// NewTable returns an empty table. Keep is for how long an engine is expected to
// hold a part that isn't used.
func NewTable(keep time.Duration, now func() time.Time) *Table {
	return &Table{servers: map[ServerKey]*server{}, keep: keep, now: now}
}

func (t *Table) server(key ServerKey) *server {
	s := t.servers[key]
	if s == nil {
		s = &server{latency: defaultLatency, seen: t.now()}
		t.servers[key] = s
	}
	return s
}

func (s *server) decay(now time.Time) {
	f := math.Exp2(-float64(now.Sub(s.seen)) / float64(statsHalfLife))
	s.good, s.bad, s.seen = s.good*f, s.bad*f, now
}

// Fill sets what the table knows of a candidate.
func (t *Table) Fill(c *Candidate, prompt *Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(KeyOf(c.Entry))
	now := t.now()
	s.decay(now)
	c.Running = s.running + s.peers.Running
	c.Backlog = s.backlog + s.peers.Backlog
	c.FailureRate = s.bad / (s.good + s.bad + priorAnswers)
	c.Latency = s.latency
	if prompt != nil {
		c.CachedTokens = float64(s.parts.expect(prompt, c.Entry.Weights[prompt.Model], now, t.keep))
	}
}

// Source finds, for the engine of a candidate, another engine on the same
// weights from which it can fetch most of the prompt's parts. It returns nil if
// none holds more.
func Source(c *Candidate, prompt *Prompt, sources []Candidate) (*fleet.Entry, int) {
	weights := c.Entry.Weights[prompt.Model]
	var best *Candidate
	for i := range sources {
		s := &sources[i]
		if s.Entry.ID == c.Entry.ID || s.Entry.Weights[prompt.Model] != weights || s.CachedTokens <= c.CachedTokens {
			continue
		}
		if best == nil || betterSource(s, best, c) {
			best = s
		}
	}
	if best == nil {
		return nil, 0
	}
	return best.Entry, int(best.CachedTokens - c.CachedTokens)
}

// betterSource prefers the source that holds more, then one in the domain of the
// engine that fetches, then the less busy one.
func betterSource(a, b, to *Candidate) bool {
	if a.CachedTokens != b.CachedTokens {
		return a.CachedTokens > b.CachedTokens
	}
	near := func(x *Candidate) bool { return x.Entry.FailureDomain == to.Entry.FailureDomain }
	if near(a) != near(b) {
		return near(a)
	}
	return a.Running < b.Running
}

// Placed notes where another VM placed a prompt.
func (t *Table) Placed(p Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(ServerKey{ID: p.ID, Started: p.Started})
	if p.Weights < s.parts.weights {
		return
	}
	s.parts.sync(p.Weights)
	s.parts.parts[p.Prefix] = t.now()
}

// TakePlacements returns the placements since the last call.
func (t *Table) TakePlacements() []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.placed
	t.placed = nil
	return out
}

// Run is a request at a server.
type Run struct {
	t       *Table
	key     ServerKey
	sent    time.Time
	prefill float64
	reading bool
}

// Begin notes that a request is sent. Missing are the prompt tokens that the
// server has to read.
func (t *Table) Begin(c *Candidate, prompt *Prompt) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Run{t: t, key: KeyOf(c.Entry), sent: t.now()}
	s := t.server(r.key)
	s.running++
	if prompt != nil {
		r.prefill, r.reading = max(0, float64(prompt.Tokens)-c.CachedTokens-c.FetchTokens), true
		s.backlog += r.prefill
		weights := c.Entry.Weights[prompt.Model]
		held := s.parts.add(prompt, weights, r.sent, t.keep)
		if !held && prompt.SharedTokens() >= tellFrom {
			t.placed = append(t.placed, Placement{
				ID: r.key.ID, Started: r.key.Started, Model: prompt.Model, Weights: weights,
				Prefix: prompt.chain[len(prompt.chain)-2].hash,
			})
		}
	}
	return r
}

// Answered notes the first byte of an answer.
func (r *Run) Answered(rate float64) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	s := r.t.server(r.key)
	took := r.t.now().Sub(r.sent) - seconds(r.prefill/rate)
	s.latency += time.Duration(latencyGain * float64(max(0, took)-s.latency))
	r.stopReading(s)
}

func (r *Run) stopReading(s *server) {
	if r.reading {
		r.reading = false
		s.backlog = max(0, s.backlog-r.prefill)
	}
}

// Conduct is how a server dealt with a request.
type Conduct uint8

const (
	// Neutral says nothing of the server: the caller left.
	Neutral Conduct = iota
	// Good is a whole answer.
	Good
	// Failed is an answer that was lost, late or wrong.
	Failed
	// Unreachable is a connection that could not be made.
	Unreachable
)

// unreachableWeight is the number of failures that a server counts for which
// takes no connection: nothing else will get through either.
const unreachableWeight = 4

// End notes the end of a request.
func (r *Run) End(conduct Conduct) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	s := r.t.server(r.key)
	s.running--
	r.stopReading(s)
	s.decay(r.t.now())
	switch conduct {
	case Good:
		s.good++
	case Failed:
		s.bad++
	case Unreachable:
		s.bad += unreachableWeight
	}
}

// Loads returns the load that this VM puts on servers.
func (t *Table) Loads() map[ServerKey]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[ServerKey]Report{}
	for key, s := range t.servers {
		if s.running > 0 {
			out[key] = Report{Running: s.running, Backlog: s.backlog}
		}
	}
	return out
}

// SetPeers sets the load that all other VMs put on servers.
func (t *Table) SetPeers(loads map[ServerKey]Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		s.peers = loads[key]
	}
}

// Busy returns the requests at a server, as far as known.
func (t *Table) Busy(key ServerKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[key]
	if s == nil {
		return 0
	}
	return s.running + s.peers.Running
}

// Keep forgets the servers that are not in the view.
func (t *Table) Keep(v *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		e := v.Server(key.ID)
		if s.running == 0 && (e == nil || e.Started != key.Started) {
			delete(t.servers, key)
		}
	}
}
