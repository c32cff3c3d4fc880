package selector

import "time"

const (
	// queueLimit is the share of the latency objective for which a long prompt
	// may wait in an engine's queue. The rest is for its own reading.
	queueLimit = 0.4
	// shortPrompt is the length in tokens, up to which a prompt adds next to
	// nothing to a queue: one piece in which engines read.
	shortPrompt = 2048
	// fullSlots is the share of a server's slots from which a long prompt would
	// take the place of short ones.
	fullSlots = 0.95
)

// Admit decides whether a request may go to one of the candidates, and if so to
// which: the one that was picked or, if its queue is too long, one with a queue
// that is not. It answers loads above what the engines can read. There, each
// long prompt that is taken on makes all others late; those that are refused at
// once leave the engines to requests that are answered in time, and come back.
// The rule looks at queues only, not at the request's own length, so that large
// prompts are not refused more often.
func (m Model) Admit(q Query, candidates []Candidate, picked int) (int, bool) {
	if q.PromptTokens <= shortPrompt || !m.full(q, &candidates[picked]) {
		return picked, true
	}
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if m.full(q, c) {
			continue
		}
		if best < 0 || m.Loss(q, c) < m.Loss(q, &candidates[best]) {
			best = i
		}
	}
	return best, best >= 0
}

// QueueTime returns the time until the server begins to read a new prompt.
func (m Model) QueueTime(c *Candidate) time.Duration { return seconds(c.KnownBacklog / m.PrefillRate) }

func (m Model) full(q Query, c *Candidate) bool {
	if c.Entry.Slots > 0 && float64(c.KnownRunning) >= fullSlots*float64(c.Entry.Slots) {
		return true
	}
	return float64(m.QueueTime(c)) > queueLimit*float64(q.Objective)
}
