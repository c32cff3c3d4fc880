package selector

import (
	"time"
)

// InFlight is a request that was sent to a server and has not ended.
type InFlight struct {
	table *Table
	key   ServerKey
	sent  time.Time
	// dueFrom is when the request is expected to be answered.
	dueFrom time.Time
	// answered is set once data of the response arrived, rejected if it says that the server is full.
	answered      bool
	rejected      bool
	prefillTokens float64
	// tokensAhead is the number of prompt tokens queued at the server before this request.
	tokensAhead float64
	fetches     bool
	prefilling  bool
	// speed is the engine's relative speed that the request was sent with.
	speed float64
	// announced is set if the placement was announced to other VMs and they are sent its
	// completion as well.
	announced    bool
	memoryTokens float64
	prompt       *Prompt
}

// Begin records that a request is sent to a server. Rate is the prefill rate of the
// server, in tokens per second.
func (t *Table) Begin(c *Candidate, prompt *Prompt, rate float64) *InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &InFlight{table: t, key: KeyOf(c.Entry), sent: t.now()}
	s := t.server(r.key)
	dueFrom := r.sent
	s.running++
	s.full.Send(r.sent)
	s.unreported.Running++
	if prompt != nil {
		r.memoryTokens, r.prompt = float64(prompt.Tokens), prompt
		s.cache.runningTokens += r.memoryTokens
		r.prefillTokens, r.prefilling = max(0, float64(prompt.Tokens)-c.CachedTokens-c.Fetch.Tokens), true
		if r.speed = 1; c.Speed > 0 {
			r.speed = c.Speed
		}
		rate *= r.speed
		r.tokensAhead, r.fetches = c.Backlog, c.Fetch.Tokens > 0
		s.backlog += r.prefillTokens
		s.unreported.Backlog += r.prefillTokens
		weights := c.Entry.Weights[prompt.Model]
		expected := c.Latency + seconds((c.Backlog+r.prefillTokens)/rate) + c.Fetch.time(c.Entry.FailureDomain)
		dueFrom = r.sent.Add(expected)
		announced := s.cache.recordSend(prompt, c.CachedTokens, weights, r.sent, r.sent.Add(withPrefillMargin(expected)), t.reuseWindow/announcesPerReuseWindow)
		if !announced && prompt.Announceable() {
			r.announced = prompt.Storable()
			t.unsent = append(t.unsent, Placement{
				ID: r.key.ID, Started: r.key.Started, Model: prompt.Model, Weights: weights,
				Prefix: prompt.sharedHash(), Tokens: prompt.SharedTokens(), ReadyIn: withPrefillMargin(expected),
			})
		}
	}
	r.dueFrom = dueFrom
	if s.running == 1 {
		s.responseDueFrom = dueFrom
	}
	return r
}

// FirstByte records the first byte of a response.
func (r *InFlight) FirstByte(rate float64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	s := r.table.server(r.key)
	s.recordHeard(r.table.now())
	r.table.heardAt, r.answered = s.lastReceived, true
	took := r.table.now().Sub(r.sent)
	if r.prompt != nil && r.prefilling {
		s.cache.markPrefilled(r.prompt, r.table.now())
		perToken := r.table.speed.addSample(took, r)
		if perToken > 0 {
			r.table.addSpeedSample(s, perToken)
		}
		if r.announced {
			r.table.unsent = append(r.table.unsent, Placement{
				ID: r.key.ID, Started: r.key.Started, Model: r.prompt.Model, Weights: s.cache.weights,
				Prefix: r.prompt.sharedHash(), Tokens: r.prompt.SharedTokens(), PerToken: perToken,
			})
		}
	}
	if r.speed > 0 {
		rate *= r.speed
	}
	took -= seconds((r.prefillTokens + r.tokensAhead) / rate)
	s.latency += time.Duration(latencySmoothing * float64(max(0, took)-s.latency))
	r.endPrefill(s)
}

func (r *InFlight) endPrefill(s *server) {
	if r.prefilling {
		r.prefilling = false
		s.backlog = max(0, s.backlog-r.prefillTokens)
	}
}

// Outcome classifies how a server handled a request.
type Outcome uint8

const (
	// Neutral means that the request gives no evidence of the server's health, for example
	// because the caller disconnected.
	Neutral Outcome = iota
	// Succeeded means that the response was complete.
	Succeeded
	// Failed means that the response was lost, late or invalid.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Misdirected means that another server answered, which has the address now.
	Misdirected
)

// End records the end of a request and its outcome.
func (r *InFlight) End(outcome Outcome) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	s := r.table.server(r.key)
	s.running--
	s.cache.runningTokens -= r.memoryTokens
	if r.prefilling {
		s.cache.dropUnfinished(r.prompt, r.table.now())
	}
	r.endPrefill(s)
	if !r.answered {
		r.table.noteUnanswered(r, r.table.now())
	}
	if r.answered && !r.rejected && (outcome == Succeeded || outcome == Neutral) {
		s.full.Room()
	}
	s.decay(r.table.now())
	switch outcome {
	case Succeeded:
		s.successes++
	case Failed:
		s.failures++
	case Unreachable:
		if s.downSince.IsZero() && s.lastReceived.Before(r.sent) {
			s.downSince = r.table.now()
			r.table.crashedAt = s.downSince
		}
	case Misdirected:
		// The incarnation has ended and never returns to the address. Older builds use downSince.
		s.gone, s.goneSeen, s.downSince = true, true, r.table.now()
		r.table.crashedAt = s.downSince
	}
}

// DataReceived records that the server sent data.
func (r *InFlight) DataReceived() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	s := r.table.server(r.key)
	s.recordHeard(r.table.now())
	r.table.heardAt, r.answered = s.lastReceived, true
}

// SilentFor returns how long the server has sent nothing to any request of this VM,
// counted at most from when this request was sent.
func (r *InFlight) SilentFor() time.Duration {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	last := r.table.server(r.key).lastReceived
	if last.Before(r.sent) {
		last = r.sent
	}
	return r.table.now().Sub(last)
}
