package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// choices are the servers that the call could go to.
type choices struct {
	// open take it, perhaps after a wait for a place.
	open []selector.Candidate
	// held are about to load weights.
	held []selector.Candidate
	// limited have no place for it in time within the rates that they name.
	limited []selector.Candidate
}

// choices sorts the servers of a service that the call was not offered to.
func (t *task) choices(service *catalog.Service, model selector.Model, q selector.Query) choices {
	g := t.g
	reserved := *g.reserved.Load()
	patience := t.limitPatience()
	var c choices
	for _, e := range g.opts.Directory.View().Service(service.Name) {
		if t.hasTried(e) {
			continue
		}
		candidate := selector.Candidate{Entry: e, SameDomain: e.FailureDomain == g.opts.FailureDomain}
		g.opts.Servers.Fill(&candidate, t.prompt)
		candidate.Behind = t.behind(e, t.chosenAt)
		if model.TooOld(&candidate) || !model.BeginsInTime(q, &candidate) {
			continue
		}
		var shared bool
		candidate.PlaceIn, shared = g.opts.RateLimits.Wait(selector.KeyOf(e))
		switch {
		case !shared || candidate.PlaceIn > patience:
			c.limited = append(c.limited, candidate)
		case reserved[string(e.ID)]:
			c.held = append(c.held, candidate)
		default:
			c.open = append(c.open, candidate)
		}
	}
	return c
}

// choose returns the server for the next attempt, or why there is none.
func (t *task) choose(service *catalog.Service) (selector.Candidate, *verdict.Error) {
	model := t.g.model()
	t.chosenAt = t.g.opts.Now()
	q := t.query(t.g)
	all := t.choices(service, model, q)
	candidates := all.open
	if len(candidates) == 0 {
		candidates = all.held
	}
	if len(candidates) == 0 && len(all.limited) > 0 {
		return selector.Candidate{}, t.allLimited(all.limited)
	}
	if t.prompt != nil && t.prompt.Fetchable() {
		sources := slices.Concat(all.held, all.limited)
		for i := range candidates {
			t.findSource(service, &candidates[i], candidates, sources)
		}
	}
	i, loss := model.Pick(q, candidates, rand.Float64())
	if i < 0 {
		return selector.Candidate{}, verdict.RefuseUntil(http.StatusServiceUnavailable, "no_server", "no backend server is ready", comeBackAfter(0, rand.Float64()))
	}
	t.outcome.loss, t.outcome.chosen = loss, candidates[i]
	if t.prompt == nil || t.begun {
		return candidates[i], nil
	}
	j, ok := model.Admit(q, candidates, i)
	if !ok {
		return selector.Candidate{}, t.overloaded(&candidates[i])
	}
	t.outcome.chosen = candidates[j]
	return candidates[j], nil
}

// query describes the call to the choice of a server.
func (t *task) query(g *Gateway) selector.Query {
	q := selector.Query{
		Objective:    t.route.Objective,
		Waited:       t.waited(),
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

// overloaded refuses a request whose prompt no engine can read in time. Callers
// come back when the shortest queue has drained, spread over as much time again.
func (t *task) overloaded(c *selector.Candidate) *verdict.Error {
	after := comeBackAfter(t.g.model().QueueTime(c), rand.Float64())
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "engines_full", "the engines have more prompts to read than they can in time", after)
}

// comeBackAfter returns when a caller should come back whose request no engine takes, by the
// time in which the shortest queue drains and a number in [0, 1) that spreads callers. It
// answers engines that crash or load: a caller comes back once, and a request that was
// refused is late in any case, so that it matters more that it is served.
func comeBackAfter(queue time.Duration, draw float64) time.Duration {
	return time.Duration((1 + draw) * float64(max(serverWait, queue)))
}

// readPoll is the time after which a request that waits for the reading of a
// shared part looks for an engine again.
const readPoll = 50 * time.Millisecond

// awaits reports whether the request should wait until another request's reading
// of its shared parts is done: that takes less time than reading them once more,
// and spares the engines. It doesn't wait beyond the objective, as the expected
// end of the reading may be wrong.
func (t *task) awaits(c *selector.Candidate) bool {
	if t.prompt == nil || !t.prompt.Keepable() || c.Wait() <= 0 {
		return false
	}
	anew := t.g.model().ReadTime(t.prompt.SharedTokens())
	return c.Wait() < anew && t.waited()+min(c.Wait(), readPoll) < t.route.Objective
}

// findSource sets from where a candidate can fetch parts of the prompt: another
// engine, else the store. Servers that get no requests for now still serve
// fetches until they load.
func (t *task) findSource(service *catalog.Service, c *selector.Candidate, candidates, others []selector.Candidate) {
	for _, list := range [][]selector.Candidate{candidates, others} {
		from, tokens := selector.Source(c, t.prompt, list)
		if from != nil && float64(tokens) > c.Fetch.Tokens {
			c.Fetch = selector.Fetch{
				Tokens: float64(tokens), Source: string(from.Entry.ID), Address: from.Entry.Address,
				FailureDomain: from.Entry.FailureDomain, Rate: service.Engine.TransferRate(), In: from.CachedIn,
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
	kept := t.g.opts.Shelf.Holds(store.Address, t.prompt, c.Weights(t.call.Model), store.CacheTokens)
	if tokens := float64(kept) - c.CachedTokens; tokens > 0 {
		c.Fetch = selector.Fetch{
			Tokens: tokens, Source: sourceStore, Address: store.Address, FailureDomain: store.FailureDomain,
			Rate: service.Engine.TransferRateOver(store.LinkBitRate),
		}
	}
}

// sourceStore names the store of kept cache as the source of a fetch.
const sourceStore = "store"

// store returns the store that keeps long shared parts, or nil.
func (t *task) store() *catalog.KVStore {
	if t.prompt == nil || !t.prompt.Keepable() {
		return nil
	}
	return t.catalog.Store(t.prompt.SharedKey())
}
