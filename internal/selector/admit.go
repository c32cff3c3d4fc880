package selector

import "time"

const (
	// maxQueueShare is the share of the latency objective for which a long prompt may
	// wait in an engine's queue. The rest is for the prefill of the prompt itself.
	maxQueueShare = 0.4
	// resumedQueueShare is the same for a prompt whose caller already has a part of the response.
	resumedQueueShare = 0.8
	// shortPromptTokens is the length up to which a prompt adds next to nothing to a
	// queue: one chunk of an engine's prefill.
	shortPromptTokens = 2048
	// fullSlotShare is the share of a server's slots in use from which a long prompt
	// would displace short ones.
	fullSlotShare = 0.95
)

// Admit decides whether a request may go to one of the candidates, and returns the
// index of that candidate: the picked one or, if its queue is too long, the candidate
// with the least loss among those whose queue is not. It handles loads above the
// prefill capacity of the engines. Under such a load each accepted long prompt
// delays all others; refusing some at once keeps the engines free for requests that
// they can serve in time, and the callers retry later. Short prompts are always admitted.
// For long ones the rule considers only the queues and not their length, so that longer
// prompts are not refused more often.
func (m CostModel) Admit(q Query, candidates []Candidate, picked int) (int, bool) {
	if !q.Long() || !m.full(q, &candidates[picked]) {
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

// QueueTime returns the time until the server starts the prefill of a new prompt.
func (m CostModel) QueueTime(c *Candidate) time.Duration {
	return seconds(c.KnownBacklog / m.rate(c))
}

func (m CostModel) full(q Query, c *Candidate) bool {
	if c.Entry.Slots > 0 && float64(c.KnownRunning) >= fullSlotShare*float64(c.Entry.Slots) {
		return true
	}
	share := maxQueueShare
	switch {
	case q.Resumed:
		share = resumedQueueShare
	case q.QueueShare > 0:
		share = q.QueueShare
	}
	return float64(m.QueueTime(c)) > share*float64(q.Objective)
}
