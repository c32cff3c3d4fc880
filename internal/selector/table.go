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
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
}

// KeyOf returns the key of an entry.
func KeyOf(e *fleet.Entry) ServerKey { return ServerKey{ID: e.ID, Started: e.Started} }

// Report is the load that one VM puts on a server.
type Report struct {
	Running int
	// Backlog are the prompt tokens that it is to read.
	Backlog float64
	// Memory are the tokens of its running requests.
	Memory float64
	// Churn is the rate of unshared tokens that it gets, in tokens a second.
	Churn float64
	// Silent is for how long the server owes that VM an answer and has sent it
	// nothing, or has taken no connection from it.
	Silent time.Duration
}

// tellShare is into how many spans the reuse time is divided; once in each the
// other VMs are told that a part is still used.
const tellShare = 4

// retoldWithin is the time within which a placement that comes again is the same
// one: it is told at once to some VMs, and to all with the next digest.
const retoldWithin = 700 * time.Millisecond

// server is what this VM knows of a server's load and conduct.
type server struct {
	running int
	backlog float64
	// peers is the load that other VMs reported.
	peers Report
	// fresh is the load that was added since other VMs were last told.
	fresh Report
	// heard is when the server last sent anything to this VM.
	heard time.Time
	// owes is from when the server owes an answer to the first of the requests
	// that run there; it counts while any runs.
	owes time.Time
	// downSince is since when the server takes no connection; zero if it does.
	downSince time.Time
	good      float64
	bad       float64
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
	// reuse is the time within which a part is expected to be used again.
	reuse time.Duration
	// senders is the number of VMs that send to the servers.
	senders int
	speed   speed
	now     func() time.Time
}

// NewTable returns an empty table. Reuse is the time within which a shared part
// of prompts is expected to be used again.
func NewTable(reuse time.Duration, now func() time.Time) *Table {
	return &Table{servers: map[ServerKey]*server{}, reuse: reuse, senders: 1, now: now}
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

// ownEvidence is the age up to which an answer to this VM counts for more than
// the silence that others met: they may be cut off from the server.
const ownEvidence = 300 * time.Millisecond

// silence returns for how long the server owes this VM an answer and has sent
// nothing, or has taken no connection.
func (s *server) silence(now time.Time) time.Duration {
	silent := time.Duration(0)
	if s.running > 0 {
		last := s.owes
		if s.heard.After(last) {
			last = s.heard
		}
		silent = max(0, now.Sub(last))
	}
	if !s.downSince.IsZero() {
		silent = max(silent, silentFull, now.Sub(s.downSince))
	}
	return silent
}

// Fill sets what the table knows of a candidate.
func (t *Table) Fill(c *Candidate, prompt *Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(KeyOf(c.Entry))
	now := t.now()
	s.decay(now)
	c.KnownRunning = s.running + s.peers.Running
	c.KnownBacklog = s.backlog + s.peers.Backlog
	// Other VMs see the same and do alike until they hear of it.
	unseen := float64(t.senders - 1)
	c.Running = c.KnownRunning + int(unseen*float64(s.fresh.Running))
	c.Backlog = c.KnownBacklog + unseen*s.fresh.Backlog
	c.FailureRate = s.bad / (s.good + s.bad + priorAnswers)
	c.Silent = s.silence(now)
	if now.Sub(s.heard) > ownEvidence {
		c.Silent = max(c.Silent, s.peers.Silent)
	}
	c.Latency = s.latency
	if prompt != nil {
		cached, ready := s.parts.expect(prompt, c.Entry.Weights[prompt.Model], now)
		c.CachedTokens, c.CachedIn = float64(cached), ready
		c.Memory = s.parts.running + s.parts.peersRunning
		c.Pressure = s.parts.pressure(prompt, t.reuse, now)
	}
}

// Source finds, for the engine of a candidate, another engine on the same
// weights from which it can fetch most of the prompt's parts. It returns nil if
// none holds more. Engines that are silent to all are no sources: an engine waits
// some hundred milliseconds for one, and then reads the parts itself.
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
	now := t.now()
	ready := now.Add(p.ReadIn)
	if x, ok := s.parts.parts[p.Prefix]; ok && now.Sub(x.used) < retoldWithin {
		if ready.Before(x.ready) {
			x.ready = ready
			s.parts.parts[p.Prefix] = x
		}
		return
	}
	s.parts.parts[p.Prefix] = holding{used: now, tokens: p.Tokens, ready: ready}
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
	// ahead are the prompt tokens that the server had to read before.
	ahead   float64
	fetches bool
	reading bool
	// told is set if other VMs were told of the placement.
	told   bool
	memory float64
	prompt *Prompt
}

// Begin notes that a request is sent. Rate is the speed at which the server reads
// prompts, in tokens a second.
func (t *Table) Begin(c *Candidate, prompt *Prompt, rate float64) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Run{t: t, key: KeyOf(c.Entry), sent: t.now()}
	s := t.server(r.key)
	owes := r.sent
	s.running++
	s.fresh.Running++
	if prompt != nil {
		r.memory, r.prompt = float64(prompt.Tokens), prompt
		s.parts.running += r.memory
		r.prefill, r.reading = max(0, float64(prompt.Tokens)-c.CachedTokens-c.Fetch.Tokens), true
		r.ahead, r.fetches = c.Backlog, c.Fetch.Tokens > 0
		s.backlog += r.prefill
		s.fresh.Backlog += r.prefill
		weights := c.Entry.Weights[prompt.Model]
		takes := c.Latency + seconds((c.Backlog+r.prefill)/rate) + c.Fetch.time(c.Entry.FailureDomain)
		owes = r.sent.Add(takes)
		told := s.parts.add(prompt, c.CachedTokens, weights, r.sent, r.sent.Add(margin(takes)), t.reuse/tellShare)
		if !told && prompt.Tellable() {
			r.told = prompt.Keepable()
			t.placed = append(t.placed, Placement{
				ID: r.key.ID, Started: r.key.Started, Model: prompt.Model, Weights: weights,
				Prefix: prompt.sharedHash(), Tokens: prompt.SharedTokens(), ReadIn: margin(takes),
			})
		}
	}
	if s.running == 1 {
		s.owes = owes
	}
	return r
}

// Answered notes the first byte of an answer.
func (r *Run) Answered(rate float64) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	s := r.t.server(r.key)
	s.heard, s.downSince = r.t.now(), time.Time{}
	took := r.t.now().Sub(r.sent)
	if r.prompt != nil && r.reading {
		s.parts.read(r.prompt, r.t.now())
		r.t.speed.learn(took, r)
		if r.told {
			r.t.placed = append(r.t.placed, Placement{
				ID: r.key.ID, Started: r.key.Started, Model: r.prompt.Model, Weights: s.parts.weights,
				Prefix: r.prompt.sharedHash(), Tokens: r.prompt.SharedTokens(),
			})
		}
	}
	took -= seconds((r.prefill + r.ahead) / rate)
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
	// Misdirected is an answer of another server, which has the address now.
	Misdirected
)

// End notes the end of a request.
func (r *Run) End(conduct Conduct) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	s := r.t.server(r.key)
	s.running--
	s.parts.running -= r.memory
	if r.reading {
		s.parts.drop(r.prompt, r.t.now())
	}
	r.stopReading(s)
	s.decay(r.t.now())
	switch conduct {
	case Good:
		s.good++
	case Failed:
		s.bad++
	case Unreachable:
		if s.downSince.IsZero() && s.heard.Before(r.sent) {
			s.downSince = r.t.now()
		}
	case Misdirected:
		// This run of the server is over: it will not be at the address again.
		s.downSince = r.t.now()
	}
}

// Down reports whether the run of a server takes no connections, as far as this
// VM has tried.
func (t *Table) Down(key ServerKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[key]
	return s != nil && !s.downSince.IsZero()
}

// TakeDown notes that a server takes no connections.
func (t *Table) TakeDown(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[key]; s != nil && s.downSince.IsZero() {
		s.downSince = t.now()
	}
}

// Reachable notes that a server takes connections.
func (t *Table) Reachable(key ServerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[key]; s != nil {
		s.downSince = time.Time{}
	}
}

// Loads returns the load that this VM puts on servers, to be told to other VMs.
func (t *Table) Loads() map[ServerKey]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[ServerKey]Report{}
	now := t.now()
	cutOff := t.cutOff(now)
	for key, s := range t.servers {
		s.fresh = Report{}
		r := Report{Running: s.running, Backlog: s.backlog, Churn: s.parts.churnRate(now), Memory: s.parts.running}
		if silent := s.silence(now); silent >= silentFrom && !cutOff {
			r.Silent = silent
		}
		if r.Running > 0 || r.Churn >= 1 || r.Silent > 0 {
			out[key] = r
		}
	}
	return out
}

// cutOff reports whether most servers that owe this VM an answer are silent: then
// the VM is more likely cut off than they are.
func (t *Table) cutOff(now time.Time) bool {
	owing, silent := 0, 0
	for _, s := range t.servers {
		if s.running == 0 && s.downSince.IsZero() {
			continue
		}
		owing++
		if s.silence(now) >= silentFrom {
			silent++
		}
	}
	return silent > 1 && 2*silent > owing
}

// SetSenders sets the number of VMs that send to the servers, this one included.
func (t *Table) SetSenders(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senders = max(1, n)
}

// Heard notes that the server sent something.
func (r *Run) Heard() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	s := r.t.server(r.key)
	s.heard, s.downSince = r.t.now(), time.Time{}
}

// SilentFor returns for how long the server has sent nothing to any request of
// this VM, since this one was sent at most.
func (r *Run) SilentFor() time.Duration {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	last := r.t.server(r.key).heard
	if last.Before(r.sent) {
		last = r.sent
	}
	return r.t.now().Sub(last)
}

// SetPeers sets the load that all other VMs put on servers.
func (t *Table) SetPeers(loads map[ServerKey]Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		s.peers = loads[key]
		s.parts.peers, s.parts.peersRunning = s.peers.Churn, s.peers.Memory
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
