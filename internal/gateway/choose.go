package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// choices are the servers that may get the call, by how usable they are.
type choices struct {
	// available servers accept the call, possibly after a wait for a place within their
	// rate limit.
	available []selector.Candidate
	// unsettled servers have a software version that this VM doesn't know, or that others may not
	// know yet. They get resumable streams only if no other server is available.
	unsettled []selector.Candidate
	// withheld servers are about to load weights and get the call only if none is
	// available.
	withheld []selector.Candidate
	// limited servers have no place within their rate limits in time.
	limited []selector.Candidate
	// backedOff servers have turned requests of this VM away and want no others for a time.
	backedOff []selector.Candidate
	// full servers are brittle and have as many requests of this VM as it may send.
	full []selector.Candidate
	// rejecting servers have just rejected a request as full.
	rejecting []selector.Candidate
	// unresponsive servers accept no connections or have most likely failed. They get the call
	// only if no other server is left: the cost model can't decide that, because the costs of a
	// sound server under overload add up to more than the loss of all credit.
	unresponsive []selector.Candidate
}

// choicesPool keeps lists of candidates: with 72 servers, allocating them took a third of the processor
// time of a choice.
var choicesPool = sync.Pool{New: func() any { return new(choices) }}

// reset empties the lists.
func (c *choices) reset() {
	for _, list := range []*[]selector.Candidate{&c.available, &c.unsettled, &c.withheld, &c.limited, &c.backedOff, &c.full, &c.rejecting, &c.unresponsive} {
		clear(*list)
		*list = (*list)[:0]
	}
}

// classify adds the servers of a service that have not been tried for this call to the lists.
func (c *choices) classify(t *task, service *catalog.Service, model selector.CostModel, q selector.Query) {
	g := t.g
	withheld := *g.withheld.Load()
	maxWait := t.maxPlaceWait()
	division, offset, part := g.opts.RateLimits.Division(), 0, 0
	for _, e := range g.opts.Directory.View().Service(service.Name) {
		part, offset = division.Part(e.Slots, offset)
		if t.hasTried(e) || t.pinned != nil && !t.pinned.allows(e) || !t.usesVersion(e) {
			continue
		}
		candidate := selector.Candidate{Entry: e, SameDomain: e.FailureDomain == g.opts.FailureDomain}
		g.opts.Servers.Fill(&candidate, t.prompt)
		if candidate.Gone {
			continue
		}
		candidate.Staleness = t.weightsStaleness(e, t.chosenAt)
		if model.TooOld(&candidate) || !model.StartsInTime(q, &candidate) {
			continue
		}
		if t.pinned != nil && candidate.RunEnded {
			continue
		}
		candidate.Room, candidate.Brittle = g.opts.RateLimits.Room(selector.KeyOf(e), part)
		var shared bool
		candidate.RateLimitWait, shared = g.opts.RateLimits.Wait(selector.KeyOf(e))
		backoff := g.opts.RateLimits.Backoff(selector.KeyOf(e))
		candidate.Backoff = backoff.Left
		switch {
		case !backoff.Allows(candidate.OwnRunning):
			c.backedOff = append(c.backedOff, candidate)
		case candidate.Brittle && candidate.OwnRunning >= candidate.Room:
			c.full = append(c.full, candidate)
		case !shared || candidate.RateLimitWait > maxWait:
			c.limited = append(c.limited, candidate)
		case candidate.Unresponsive():
			c.unresponsive = append(c.unresponsive, candidate)
		case candidate.FullFor > 0:
			c.rejecting = append(c.rejecting, candidate)
		case withheld[string(e.ID)]:
			c.withheld = append(c.withheld, candidate)
		case t.pinned == nil && t.resumable() && (candidate.RunEnded || !g.opts.Origins.Settled(origin.Origin{Service: service.Name, Version: e.Software})):
			c.unsettled = append(c.unsettled, candidate)
		default:
			c.available = append(c.available, candidate)
		}
	}
}

// choose returns the server for the next attempt, or the error if there is none.
func (t *task) choose(service *catalog.Service) (selector.Candidate, *verdict.Error) {
	model := t.g.model()
	t.chosenAt = t.g.opts.Now()
	q := t.query(t.g)
	all := choicesPool.Get().(*choices)
	defer func() {
		all.reset()
		choicesPool.Put(all)
	}()
	t.classifyVersions(all, service, model, q)
	candidates := all.available
	if len(candidates) == 0 {
		candidates = all.unsettled
	}
	if len(candidates) == 0 && len(all.rejecting) == 0 {
		candidates = all.withheld
	}
	if len(candidates) == 0 && len(all.full) > 0 {
		return selector.Candidate{}, serversFullError()
	}
	if len(candidates) == 0 && len(all.rejecting) > 0 {
		return selector.Candidate{}, t.rejectingError(all.rejecting)
	}
	if len(candidates) == 0 && len(all.backedOff) > 0 {
		return selector.Candidate{}, t.backedOffError(all.backedOff)
	}
	if len(candidates) == 0 && len(all.limited) > 0 {
		return selector.Candidate{}, t.rateLimitedError(all.limited)
	}
	if len(candidates) == 0 && len(all.unresponsive) > 0 {
		candidates = all.unresponsive
		t.g.meters.lastResorts.Inc(1)
	}
	if t.prompt != nil && t.prompt.Fetchable() {
		sources := slices.Concat(all.withheld, all.limited, all.unsettled, all.full, all.rejecting)
		for i := range candidates {
			t.setFetchSource(service, &candidates[i], candidates, sources)
		}
	}
	i, loss := model.Pick(q, candidates, rand.Float64())
	if i < 0 {
		return selector.Candidate{}, verdict.RefuseUntil(http.StatusServiceUnavailable, "no_server", "no backend server is ready", retryDelay(0, rand.Float64()))
	}
	t.outcome.expectedLoss, t.outcome.chosen = loss, candidates[i]
	if t.prompt == nil || t.begun {
		return candidates[i], nil
	}
	j, ok := t.admitPrompt(service.Name, model, q, candidates, i)
	if !ok {
		return selector.Candidate{}, t.overloadedError(&candidates[i])
	}
	t.outcome.chosen = candidates[j]
	return candidates[j], nil
}

// query returns the call's properties that the choice of a server depends on.
func (t *task) query(g *Gateway) selector.Query {
	q := selector.Query{
		Objective:    t.route.Objective,
		Waited:       t.waited(),
		Resumed:      t.resumes(),
		PromptTokens: t.call.PromptTokens,
		SharedTokens: t.sharedTokens(),
		BodyBytes:    len(t.call.Body),
		Senders:      int(g.senders.Load()),
	}
	if t.prompt != nil {
		q.EngineTokens = t.prompt.EngineTokens
	}
	return q
}

// overloadedError refuses a request whose prompt no engine can read in time. Callers
// retry after the shortest queue has drained, spread over the same time again.
func (t *task) overloadedError(c *selector.Candidate) *verdict.Error {
	after := retryDelay(t.g.model().QueueTime(c), rand.Float64())
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "engines_full", "the engines have more prompts to read than they can in time", after)
}

// retryDelay returns the delay after which the caller of a request that no engine
// accepts should retry. Queue is the time in which the shortest queue drains; draw, in
// [0, 1), spreads the callers. The delay is long enough for engines that crash or load
// weights: a caller retries only once, and a refused request is late in any case, so
// being served matters more than an early retry.
func retryDelay(queue time.Duration, draw float64) time.Duration {
	return time.Duration((1 + draw) * float64(max(minServerRetryAfter, queue)))
}

// prefillPollInterval is the interval at which a request that waits for the prefill of
// a shared part chooses an engine again.
const prefillPollInterval = 50 * time.Millisecond

// shouldAwaitPrefill reports whether the request should wait until another request's
// prefill of its shared parts is done: that takes less time than a second prefill and
// saves engine capacity. It doesn't wait past the latency objective because the
// expected end of the prefill may be wrong.
func (t *task) shouldAwaitPrefill(c *selector.Candidate) bool {
	if t.prompt == nil || !t.prompt.Storable() || c.Wait() <= 0 {
		return false
	}
	prefillTime := t.g.model().PrefillTime(t.prompt.SharedTokens())
	return c.Wait() < prefillTime && t.waited()+min(c.Wait(), prefillPollInterval) < t.route.Objective
}

// setFetchSource sets the source from which a candidate can fetch parts of the prompt:
// another engine, else the store. Servers that are withheld or rate-limited still serve
// fetches until they load weights.
func (t *task) setFetchSource(service *catalog.Service, c *selector.Candidate, candidates, others []selector.Candidate) {
	for _, list := range [][]selector.Candidate{candidates, others} {
		from, tokens := selector.Source(c, t.prompt, list)
		if from != nil && float64(tokens) > c.Fetch.Tokens {
			c.Fetch = selector.Fetch{
				Tokens: float64(tokens), Source: string(from.Entry.ID), Address: from.Entry.Address,
				FailureDomain: from.Entry.FailureDomain, Rate: service.Engine.TransferRate(), ReadyIn: from.CachedReadyIn,
			}
		}
	}
	if c.Fetch.Tokens > 0 {
		return
	}
	store := t.store()
	if store == nil {
		return
	}
	kept := t.g.opts.StoreContents.Holds(store.Address, t.prompt, c.Weights(t.call.Model), store.CacheTokens)
	if tokens := float64(kept) - c.CachedTokens; tokens > 0 {
		c.Fetch = selector.Fetch{
			Tokens: tokens, Source: sourceStore, Address: store.Address, FailureDomain: store.FailureDomain,
			Rate: service.Engine.TransferRateOver(store.LinkBitRate),
		}
	}
}

// sourceStore is the name of the KV store as the source of a fetch.
const sourceStore = "store"

// store returns the KV store for the prompt's shared parts, or nil if there is none or
// they are too short to save.
func (t *task) store() *catalog.KVStore {
	if t.prompt == nil || !t.prompt.Storable() {
		return nil
	}
	return t.catalog.Store(t.prompt.SharedKey())
}
