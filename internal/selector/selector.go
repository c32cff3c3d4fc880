// Package selector chooses the backend server for a request of an externally
// configured deployment. Filters remove servers that must not receive it, a loss
// function estimates for each candidate the share of the request's credit that is
// likely lost there, and the picker takes the candidate with the least loss.
package selector

import (
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
)

// Query holds the properties of a request that the choice depends on.
type Query struct {
	// Objective is the latency, to the first event of a stream or to the whole
	// response, up to which the request earns full credit.
	Objective time.Duration
	// Waited is the part of that time which the request has already used.
	Waited time.Duration
	// Resumed is set if the caller already has a part of the response.
	Resumed bool
	// PromptTokens is the length of the prompt; 0 for plain requests.
	PromptTokens int
	// Senders is the number of VMs that choose from the same state.
	Senders int
	// EngineTokens is the memory of a server, in tokens; 0 for plain requests.
	EngineTokens int
	// SharedTokens is the length of the prompt's shared parts.
	SharedTokens int
	// BodyBytes is the size of the body that is sent to the server.
	BodyBytes int
	// QueueShare is the share of the objective for which a long prompt may wait in a queue; 0 stands for the
	// share of all accounts.
	QueueShare float64
}

// Long reports whether the prompt adds noticeably to a queue.
func (q *Query) Long() bool { return q.PromptTokens > shortPromptTokens }

// Candidate is a server under consideration.
type Candidate struct {
	Entry *fleet.Entry
	// SameDomain is set if the server is in this VM's failure domain.
	SameDomain bool
	// Running is the estimated number of requests at the server.
	Running int
	// Backlog is the estimated number of prompt tokens queued for prefill at the server.
	Backlog float64
	// OwnRunning is the number of requests of this VM at the server.
	OwnRunning int
	// RunEnded is set if another run of the server, whose software isn't known, has taken the
	// place of the one that its entry describes.
	RunEnded bool
	// Gone is set if another server has its address. It gets no request.
	Gone bool
	// Brittle is set if the server must not have more than Room requests of this VM.
	Brittle bool
	Room    int
	// KnownRunning and KnownBacklog are the parts of those that this VM sent or that
	// other VMs reported, without the unreported load that other VMs are assumed to add.
	KnownRunning int
	KnownBacklog float64
	// CachedTokens is the expected number of leading tokens of the prompt that the
	// server has cached.
	CachedTokens float64
	// CachedReadyIn is the time until the server has finished the prefill of those tokens.
	CachedReadyIn time.Duration
	// Memory is the number of tokens of the server's running requests.
	Memory float64
	// Fetch describes from where the server can fetch the tokens that follow the cached ones.
	Fetch Fetch
	// Pressure is the share of the server's memory that prompts use within the reuse
	// window.
	Pressure float64
	// FailureRate is the recent share of failed requests, in [0, 1].
	FailureRate float64
	// Silent is how long the server has sent nothing while a response is due.
	Silent time.Duration
	// Backoff is the time for which the server wants no requests of this VM.
	Backoff time.Duration
	// FullFor is the time for which the server gets no request because it has rejected one as full.
	FullFor time.Duration
	// Speed is the engine's prefill speed relative to the mean; 0 counts as 1.
	Speed float64
	// StartShare is the share of its slots that a new or returned engine may use for now; 0 counts
	// as 1.
	StartShare float64
	// RateLimitWait is the time until this VM may send a request to the server within the
	// server's rate limit; 0 if it has none.
	RateLimitWait time.Duration
	// Latency is the recent mean time to the first byte without the prefill of prompts.
	Latency time.Duration
	// Staleness is how long the target weights version of the model has been newer than
	// the version that the server holds; 0 if the server is up to date.
	Staleness time.Duration
}

// Weights returns the weights version of a model that the candidate holds.
func (c *Candidate) Weights(model string) uint64 {
	if c.Entry == nil {
		return 0
	}
	return c.Entry.Weights[model]
}

// Fetch is a transfer of cached tokens to an engine from another engine or a KV store.
type Fetch struct {
	Tokens float64
	// Source identifies the engine or store, Address is its host:port.
	Source, Address string
	FailureDomain   string
	// Rate is the speed of the transfer within a failure domain, in tokens per second.
	Rate float64
	// ReadyIn is the time until the source has finished the prefill of the tokens.
	ReadyIn time.Duration
}

// time returns how long the transfer to an engine in a failure domain takes; a
// transfer between domains takes twice as long.
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

// CostModel holds the parameters of a deployment that the loss function uses.
type CostModel struct {
	// PrefillRate is the prefill speed of an engine, in tokens per second.
	PrefillRate float64
	// VersionBound is the time after a change of the target weights version from which
	// a request must not start on older weights.
	VersionBound time.Duration
}

const (
	// lateLoss is the share of a request's credit that a late response loses.
	// Source: the late credit in the deployment descriptions.
	lateLoss = 0.7
	// lateRampStart and lateRampEnd are the expected latencies, as shares of the
	// objective, between which the probability of a late response rises from 0 to 1. The
	// error of the estimate is about a half.
	lateRampStart = 0.4
	lateRampEnd   = 1.3
	// oldWeightsLoss is the share of credit that a request loses if it starts on older
	// weights after oldWeightsGrace. Source: the payoff in the rules.
	oldWeightsLoss  = 0.2
	oldWeightsGrace = 1500 * time.Millisecond
	// slotsRampStart and slotsRampEnd are the shares of a server's slots in use between
	// which the probability that a request waits for a slot rises from 0 to 1. The known
	// slot use lags behind the actual one.
	slotsRampStart = 0.7
	slotsRampEnd   = 1.2
	// memoryRampStart and memoryRampEnd are the shares of a server's memory in use
	// between which the probability that it runs out rises from 0 to 1. Parts that
	// several running requests share are counted for each of them.
	memoryRampStart = 0.9
	memoryRampEnd   = 1.6
	// versionBoundMargin is how long before the version bound a server is avoided, as a share of the bound.
	versionBoundMargin = 0.1
	// startMargin is how long before the version bound a request that has not started is
	// withdrawn. It covers the delivery to the engine, which takes longer on a busy VM, and
	// the error of the time at which the target version was set, which is read over a network.
	startMargin = 300 * time.Millisecond
	// estimateErrorFactor is the factor by which the actual time to the first byte may
	// exceed the expected one: the error of the estimate is about a half.
	estimateErrorFactor = 2
	// prefillLoss is the cost of a prefill to later requests, as a share of the
	// request's credit for a prefill that takes the whole objective.
	prefillLoss = 0.35
	// fetchLoss is the cost of a fetch: the price of the transfer and the memory for
	// another copy.
	fetchLoss = 0.03
	// pressureRampStart is the pressure on a server's memory from which added parts
	// begin to evict others.
	pressureRampStart = 0.5
	// crossDomainLossPerKB is the price of a kilobyte that crosses failure domains, as a
	// share of a request's credit.
	crossDomainLossPerKB = 0.0015
	// crossDomainBaseLoss is the price of the headers and the response, about two kilobytes.
	crossDomainBaseLoss = 0.025
	// silenceRampStart and silenceRampEnd are the silences between which the suspicion
	// that a server has failed rises from 0 to 1 while a response is due. Engines send the
	// response header and then events within a few hundred milliseconds of each other,
	// plain services respond sooner, and callers give up after two seconds.
	silenceRampStart = 300 * time.Millisecond
	silenceRampEnd   = 1 * time.Second
	// rateLimitWaitLoss is the cost of waiting for the rate limit of a server, as a share of
	// the request's credit for a wait of the whole objective. It equals the cost of a late
	// response, so that waiting pays only if all other servers are likely to fail.
	rateLimitWaitLoss = lateLoss
	// slotUseLoss spreads load between otherwise equal servers; it is the cost if all
	// slots of a server are in use, and proportionally less for a share of them.
	slotUseLoss = 0.1
)

// Loss returns the expected share of the request's credit that is lost if the
// candidate receives it. Queues cost next to nothing while the expected latency is far
// below the objective; weights, cached prompts and distance decide then. Under higher
// load the queues dominate.
func (m CostModel) Loss(q Query, c *Candidate) float64 {
	uncached := max(0, float64(q.PromptTokens)-c.CachedTokens-c.Fetch.Tokens)
	prefill := seconds(uncached / m.rate(c))
	expected := q.Waited + m.TimeToFirstByte(q, c)
	loss := lateLoss * ramp(share(expected, q.Objective), lateRampStart, lateRampEnd)
	loss += prefillLoss * min(1, share(prefill, q.Objective))
	loss += rateLimitWaitLoss * min(1, share(c.RateLimitWait, q.Objective))
	loss += m.weightsLoss(c)
	if c.Fetch.Tokens > 0 {
		loss += fetchLoss
	}
	loss += m.evictionLoss(q, c)
	loss += lateLoss * ramp(c.memoryUse(q), memoryRampStart, memoryRampEnd)
	loss += slotUseLoss*c.slotUse() + lateLoss*ramp(c.slotUse(), slotsRampStart, slotsRampEnd)
	if !c.SameDomain {
		loss += crossDomainBaseLoss + crossDomainLossPerKB*float64(q.BodyBytes)/1024
	}
	// A failure loses all credit that the other losses leave.
	return loss + max(c.FailureRate, c.suspicion())*max(0, 1-loss)
}

// suspicion returns the probability that the server responds to no VM. It covers
// servers that stop sending without closing their connections.
func (c *Candidate) suspicion() float64 {
	return ramp(float64(c.Silent), float64(silenceRampStart), float64(silenceRampEnd))
}

// evictionLoss returns the cost of parts that are evicted from the server's memory and
// need another prefill later. It matters in deployments whose engines together can
// hold the prompts in use about once: there a second copy of one evicts another.
func (m CostModel) evictionLoss(q Query, c *Candidate) float64 {
	added := max(0, float64(q.SharedTokens)-c.CachedTokens)
	return prefillLoss * min(1, share(seconds(added/m.PrefillRate), q.Objective)) * ramp(c.Pressure, pressureRampStart, 1)
}

func (m CostModel) weightsLoss(c *Candidate) float64 {
	switch {
	case c.Staleness <= 0:
		return 0
	case m.TooOld(c):
		return 1
	case c.Staleness > oldWeightsGrace:
		return oldWeightsLoss
	default:
		return 0
	}
}

// Wait returns the time until the prefill of the expected cached tokens is complete.
// A request that is sent earlier computes them itself.
func (c *Candidate) Wait() time.Duration {
	if c.Fetch.Tokens > 0 {
		return max(c.CachedReadyIn, c.Fetch.ReadyIn)
	}
	return c.CachedReadyIn
}

// memoryUse returns the share of the server's memory in use once it runs the request.
// Above 1, the server evicts the newest request and repeats its prefill.
func (c *Candidate) memoryUse(q Query) float64 {
	if q.EngineTokens <= 0 {
		return 0
	}
	return (c.Memory + float64(q.PromptTokens)) / float64(q.EngineTokens)
}

// TimeToFirstByte returns the expected time from now to the first byte.
func (m CostModel) TimeToFirstByte(q Query, c *Candidate) time.Duration {
	uncached := max(0, float64(q.PromptTokens)-c.CachedTokens-c.Fetch.Tokens)
	return max(c.Wait(), c.RateLimitWait) + c.Latency + seconds((c.Backlog+uncached)/m.rate(c)) + c.Fetch.time(c.Entry.FailureDomain)
}

// rate returns the prefill rate of a candidate, in tokens per second.
func (m CostModel) rate(c *Candidate) float64 {
	if c.Speed > 0 {
		return c.Speed * m.PrefillRate
	}
	return m.PrefillRate
}

// PrefillTime returns the time that an engine takes for the prefill of so many tokens.
func (m CostModel) PrefillTime(tokens int) time.Duration {
	return seconds(float64(tokens) / m.PrefillRate)
}

// TooOld reports whether a candidate's weights are so old that no request may start
// there any more.
func (m CostModel) TooOld(c *Candidate) bool {
	return m.VersionBound > 0 && float64(c.Staleness) > (1-versionBoundMargin)*float64(m.VersionBound)
}

// StartsInTime reports whether a request will most likely start on a candidate's
// weights before the version bound. It starts with its first token, after the queue
// and the prefill of its prompt.
func (m CostModel) StartsInTime(q Query, c *Candidate) bool {
	if m.VersionBound <= 0 || c.Staleness <= 0 {
		return true
	}
	return c.Staleness+time.Duration(estimateErrorFactor*float64(m.TimeToFirstByte(q, c))) < m.VersionBound-startMargin
}

// MustStartIn returns the time within which a request that is sent now must have started
// on the candidate's weights; ok is false if there is no bound.
func (m CostModel) MustStartIn(c *Candidate) (in time.Duration, ok bool) {
	if m.VersionBound <= 0 || c.Staleness <= 0 {
		return 0, false
	}
	return max(0, m.VersionBound-c.Staleness-startMargin), true
}

func (c *Candidate) slotUse() float64 {
	if c.Entry.Slots <= 0 {
		return 0
	}
	use := float64(c.Running) / float64(c.Entry.Slots)
	if c.StartShare > 0 {
		use /= c.StartShare
	}
	return use
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func share(d, of time.Duration) float64 {
	if of <= 0 {
		return 0
	}
	return float64(d) / float64(of)
}

// ramp returns 0 up to from, 1 from to on, and a linear value between.
func ramp(x, from, to float64) float64 {
	return min(1, max(0, (x-from)/(to-from)))
}

// Pick returns the index of the candidate with the least loss, and that loss; the index
// is -1 without candidates. Draw is a random number in [0, 1) that chooses between
// candidates whose losses are equal within the error of the estimate.
func (m CostModel) Pick(q Query, candidates []Candidate, draw float64) (int, float64) {
	best, least := -1, 0.0
	losses := make([]float64, len(candidates))
	for i := range candidates {
		losses[i] = m.Loss(q, &candidates[i])
		if best < 0 || losses[i] < least {
			best, least = i, losses[i]
		}
	}
	var equal []int
	margin := min(maxEqualLoss, equalLossPerSender*float64(max(1, q.Senders)))
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

// equalLossPerSender is the difference in loss that is below the error of the estimate,
// for each VM that chooses from the same state, and maxEqualLoss bounds the product. The
// more VMs choose before they receive each other's load, the more their choices must differ.
const (
	equalLossPerSender = 0.001
	maxEqualLoss       = 0.04
)
