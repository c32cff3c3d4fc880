// Package selector chooses the backend server for a request of an externally
// configured deployment. Filters drop servers that must not get it, a loss
// function estimates for each candidate what share of the request's credit is
// likely lost there, and the picker takes the least.
package selector

import (
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
)

// Query is what the choice needs to know of a request.
type Query struct {
	// Objective is the time to the first event of a stream, or to the whole
	// answer, that earns full credit.
	Objective time.Duration
	// Waited is the time that the request has used already.
	Waited time.Duration
	// PromptTokens is the length of the prompt; 0 for plain requests.
	PromptTokens int
	// Senders is the number of VMs that choose by the same state.
	Senders int
	// EngineTokens is the memory of a server, in tokens; 0 for plain requests.
	EngineTokens int
	// SharedTokens is the length of the prompt's shared parts.
	SharedTokens int
	// BodyBytes is what is sent to the server.
	BodyBytes int
}

// Candidate is a server under consideration.
type Candidate struct {
	Entry *fleet.Entry
	// SameDomain is set if the server is in the VM's own failure domain.
	SameDomain bool
	// Running is the number of requests at the server, as far as known.
	Running int
	// Backlog are the prompt tokens that the server is to read before.
	Backlog float64
	// KnownRunning and KnownBacklog are the parts of those that were told or sent,
	// without what other VMs are assumed to send.
	KnownRunning int
	KnownBacklog float64
	// CachedTokens are the leading tokens of the prompt that the server holds,
	// as an expectation.
	CachedTokens float64
	// CachedIn is the time in which the server will have read them.
	CachedIn time.Duration
	// Memory are the tokens of the server's running requests.
	Memory float64
	// Fetch is from where the server can get tokens after those.
	Fetch Fetch
	// Pressure is the share of the server's memory that prompts use within the
	// time in which they come again.
	Pressure float64
	// FailureRate is the recent share of failures, in [0, 1].
	FailureRate float64
	// Silent is for how long the server owes an answer and has sent nothing.
	Silent time.Duration
	// PlaceIn is the time until the server takes a request of this VM within the rate that
	// it names; 0 if it names none.
	PlaceIn time.Duration
	// Latency is the recent time to the first byte on top of the reading of
	// prompts.
	Latency time.Duration
	// Behind is for how long the weights that the server doesn't hold yet are
	// the ones to run; 0 if it is up to date.
	Behind time.Duration
}

// Weights returns the version of a model that the candidate holds.
func (c *Candidate) Weights(model string) uint64 {
	if c.Entry == nil {
		return 0
	}
	return c.Entry.Weights[model]
}

// Fetch is a transfer of cached tokens to an engine.
type Fetch struct {
	Tokens float64
	// Source names the engine or store, Address is its host:port.
	Source, Address string
	FailureDomain   string
	// Rate is the speed of the transfer within a domain, in tokens a second.
	Rate float64
	// In is the time in which the source will have read the tokens.
	In time.Duration
}

// time returns how long the transfer to a domain takes; between domains it is
// twice as long.
func (f *Fetch) time(domain string) time.Duration {
	if f.Tokens <= 0 || f.Rate <= 0 {
		return 0
	}
	d := seconds(f.Tokens / f.Rate)
	if f.FailureDomain != domain {
		d *= 2
	}
	return d
}

// Model holds what the loss function assumes of a deployment.
type Model struct {
	// PrefillRate is the speed at which an engine reads prompts, in tokens a
	// second.
	PrefillRate float64
	// VersionBound is the time after which a request must not begin on older
	// weights.
	VersionBound time.Duration
}

const (
	// lateLoss is the share of a request's credit that a late answer loses.
	// Source: the late credit on the deployments' sheets.
	lateLoss = 0.7
	// lateFrom and lateFull are the expected latencies, as shares of the
	// objective, between which a late answer goes from unlikely to certain. The
	// estimate errs by about a half.
	lateFrom = 0.4
	lateFull = 1.3
	// oldWeightsLoss is the share of credit that a request loses which begins
	// on older weights, from oldWeightsGrace on. Source: the rules' payoff.
	oldWeightsLoss  = 0.2
	oldWeightsGrace = 1500 * time.Millisecond
	// slotsFrom and slotsFull are the shares of a server's slots in use between
	// which a request begins to wait for one. What is known of them lags.
	slotsFrom = 0.7
	slotsFull = 1.2
	// memoryFrom and memoryFull are the shares of a server's memory, counted with
	// parts that its requests share, between which it runs out.
	memoryFrom = 0.9
	memoryFull = 1.6
	// boundMargin is how long before the version bound a server is avoided, as a share of it.
	boundMargin = 0.1
	// beginMargin is how long before the version bound a request is withdrawn that has
	// not begun: the way to the engine, on a busy VM, and the error of the time of
	// naming, which is read over a network.
	beginMargin = 300 * time.Millisecond
	// expectedError is by what factor the expected time to the first byte may be
	// exceeded: the estimate errs by about a half.
	expectedError = 2
	// prefillLoss is what reading a prompt costs the requests after it, as a
	// share of the request's credit for a read that takes the whole objective.
	prefillLoss = 0.35
	// fetchLoss is the cost of a fetch: the price of the transfer, and the room
	// that another copy takes.
	fetchLoss = 0.03
	// pressureFrom is the share of a server's memory in use from which added
	// parts begin to drive out others.
	pressureFrom = 0.5
	// crossLoss is the price of a kilobyte that crosses failure domains, as a
	// share of a request's credit.
	crossLoss = 0.0015
	// baseCross is the same for heads and answers, of about two kilobytes.
	baseCross = 0.025
	// silentFrom and silentFull are the silences between which a server that owes
	// an answer goes from unsuspected to given up. Engines send the head of an
	// answer and then events within a few hundred milliseconds, plain services
	// answer in less; callers leave after two seconds.
	silentFrom = 300 * time.Millisecond
	silentFull = 1 * time.Second
	// placeLoss is what waiting for a place at a server that names a rate costs, as a share
	// of the request's credit for a wait of the whole objective. As much as being late: it
	// is worth while only if all other servers are likely to fail.
	placeLoss = lateLoss
	// crowdLoss spreads load between servers that are equal otherwise, for each
	// share of its slots that a server has in use.
	crowdLoss = 0.1
)

// Loss returns the expected share of the request's credit that is lost if the
// candidate gets it. It answers loads at which servers queue: while the
// objective is far away, queues cost next to nothing and weights, cached
// prompts and distance decide.
func (m Model) Loss(q Query, c *Candidate) float64 {
	missing := max(0, float64(q.PromptTokens)-c.CachedTokens-c.Fetch.Tokens)
	read := seconds(missing / m.PrefillRate)
	expected := q.Waited + m.Expected(q, c)
	loss := lateLoss * ramp(share(expected, q.Objective), lateFrom, lateFull)
	loss += prefillLoss * min(1, share(read, q.Objective))
	loss += placeLoss * min(1, share(c.PlaceIn, q.Objective))
	loss += m.weightsLoss(c)
	if c.Fetch.Tokens > 0 {
		loss += fetchLoss
	}
	loss += m.displacement(q, c)
	loss += lateLoss * ramp(c.memoryUse(q), memoryFrom, memoryFull)
	loss += crowdLoss*c.crowding() + lateLoss*ramp(c.crowding(), slotsFrom, slotsFull)
	if !c.SameDomain {
		loss += baseCross + crossLoss*float64(q.BodyBytes)/1024
	}
	// A failure loses the whole credit of what would have been left.
	return loss + max(c.FailureRate, c.suspicion())*max(0, 1-loss)
}

// suspicion is the likelihood that the server answers nobody. It answers servers
// that fall silent without closing their connections.
func (c *Candidate) suspicion() float64 {
	return ramp(float64(c.Silent), float64(silentFrom), float64(silentFull))
}

// displacement is the cost of parts that are driven out of the server's memory
// and read again later. It answers deployments whose engines together hold the
// prompts in use about once: there a second copy of one costs another its place.
func (m Model) displacement(q Query, c *Candidate) float64 {
	added := max(0, float64(q.SharedTokens)-c.CachedTokens)
	return prefillLoss * min(1, share(seconds(added/m.PrefillRate), q.Objective)) * ramp(c.Pressure, pressureFrom, 1)
}

func (m Model) weightsLoss(c *Candidate) float64 {
	switch {
	case c.Behind <= 0:
		return 0
	case m.TooOld(c):
		return 1
	case c.Behind > oldWeightsGrace:
		return oldWeightsLoss
	default:
		return 0
	}
}

// Wait is the time until the cached tokens that are counted on were read. A
// request that is sent before reads them itself.
func (c *Candidate) Wait() time.Duration {
	if c.Fetch.Tokens > 0 {
		return max(c.CachedIn, c.Fetch.In)
	}
	return c.CachedIn
}

// memoryUse returns the server's memory in use once it runs the request, as a
// share. Above 1 it drops the newest request and reads it again.
func (c *Candidate) memoryUse(q Query) float64 {
	if q.EngineTokens <= 0 {
		return 0
	}
	return (c.Memory + float64(q.PromptTokens)) / float64(q.EngineTokens)
}

// Expected returns the expected time from now to the first byte.
func (m Model) Expected(q Query, c *Candidate) time.Duration {
	missing := max(0, float64(q.PromptTokens)-c.CachedTokens-c.Fetch.Tokens)
	return max(c.Wait(), c.PlaceIn) + c.Latency + seconds((c.Backlog+missing)/m.PrefillRate) + c.Fetch.time(c.Entry.FailureDomain)
}

// ReadTime is the time that an engine takes to read so many tokens.
func (m Model) ReadTime(tokens int) time.Duration { return seconds(float64(tokens) / m.PrefillRate) }

// TooOld reports whether a candidate's weights are so old that no request may
// begin there any more.
func (m Model) TooOld(c *Candidate) bool {
	return m.VersionBound > 0 && float64(c.Behind) > (1-boundMargin)*float64(m.VersionBound)
}

// BeginsInTime reports whether a request will most likely begin on a candidate's
// weights while that is allowed. It begins with its first token, after the queue and
// the reading of its prompt.
func (m Model) BeginsInTime(q Query, c *Candidate) bool {
	if m.VersionBound <= 0 || c.Behind <= 0 {
		return true
	}
	return c.Behind+time.Duration(expectedError*float64(m.Expected(q, c))) < m.VersionBound-beginMargin
}

// MustBeginIn returns the time in which a request that is sent now must have begun on
// the candidate's weights; ok is false if there is no bound.
func (m Model) MustBeginIn(c *Candidate) (in time.Duration, ok bool) {
	if m.VersionBound <= 0 || c.Behind <= 0 {
		return 0, false
	}
	return max(0, m.VersionBound-c.Behind-beginMargin), true
}

func (c *Candidate) crowding() float64 {
	if c.Entry.Slots <= 0 {
		return 0
	}
	return float64(c.Running) / float64(c.Entry.Slots)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func share(d, of time.Duration) float64 {
	if of <= 0 {
		return 0
	}
	return float64(d) / float64(of)
}

// ramp is 0 up to from, 1 from full on, and linear between.
func ramp(x, from, full float64) float64 {
	return min(1, max(0, (x-from)/(full-from)))
}

// Pick returns the index of the candidate with the least loss, and that loss.
// Draw is a number in [0, 1) that decides between candidates that are as good
// as equal. It returns -1 without candidates.
func (m Model) Pick(q Query, candidates []Candidate, draw float64) (int, float64) {
	best, least := -1, 0.0
	losses := make([]float64, len(candidates))
	for i := range candidates {
		losses[i] = m.Loss(q, &candidates[i])
		if best < 0 || losses[i] < least {
			best, least = i, losses[i]
		}
	}
	var equal []int
	margin := min(maxEqualLoss, equalLoss*float64(max(1, q.Senders)))
	for i, l := range losses {
		if l <= least+margin && candidates[i].SameDomain == candidates[best].SameDomain {
			equal = append(equal, i)
		}
	}
	if len(equal) > 1 {
		best = equal[int(draw*float64(len(equal)))]
	}
	return best, least
}

// equalLoss is the difference in loss that is below the error of the estimate, for
// each VM that chooses by the same state, and maxEqualLoss its bound. The more VMs
// choose before they hear of one another, the more their choices must differ.
const (
	equalLoss    = 0.001
	maxEqualLoss = 0.04
)
