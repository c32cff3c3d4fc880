package gateway

import (
	"go.uber.org/zap"

	"github.com/rcrowley/go-metrics"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/fairroom"
	"papayaspan.dev/papayaspan/internal/selector"
)

// admitPrompt decides whether the engines' queues have room for the call's prompt, as CostModel.Admit does,
// with regard to what the call's account uses lately.
func (t *task) admitPrompt(service string, model selector.CostModel, q selector.Query, candidates []selector.Candidate, picked int) (int, bool) {
	if !q.Long() || q.Resumed || t.account.ID == "" {
		return model.Admit(q, candidates, picked)
	}
	g, now, chosen := t.g, t.chosenAt, -1
	rates := func() map[account.ID]float64 { return g.fairUsage.Rates(now) }
	room, _ := g.fairRooms.LoadOrStore(service, &fairroom.Room{})
	ok, standing := room.(*fairroom.Room).Decide(t.account.ID, float64(q.PromptTokens), rates, now, func(share float64) bool {
		q.QueueShare = share
		i, ok := model.Admit(q, candidates, picked)
		if ok {
			chosen = i
		}
		return ok
	})
	if standing != fairroom.Usual {
		event := "prompt_over_fair_share_refused"
		if ok {
			event = "prompt_under_fair_share_admitted"
		}
		metrics.GetOrRegisterCounter(event, g.meters.registry).Inc(1)
		g.opts.Log.Info(event, zap.String("request_id", t.call.ID), zap.String("account", string(t.account.ID)), zap.String("service", service),
			zap.Int("prompt_tokens", q.PromptTokens), zap.Float64("account_tokens_per_second", rates()[t.account.ID]),
			zap.Duration("queue", model.QueueTime(&candidates[picked])))
	}
	return chosen, ok
}

// countUsage counts what a call is charged for, or with a sign of -1 what it is given back.
func (t *task) countUsage(sign float64) {
	if t.account.ID != "" && t.account.Rate > 0 {
		t.g.fairUsage.Charge(t.account.ID, sign*t.units, sign*float64(t.call.PromptTokens), t.g.opts.Now())
	}
}

// lowestPriority is the least urgent priority that servers know.
const lowestPriority = 9

// priority returns the priority sent to the server. While all slots of the engine are in use, the requests of
// accounts that exceed their fair share are one step less urgent: engines admit the others first.
func (a *attempt) priority() int {
	t, p := a.t, a.t.priority()
	if t.prompt == nil || t.account.ID == "" || a.candidate.KnownRunning < a.candidate.Entry.Slots || !t.g.fairUsage.Exceeds(t.account.ID, t.chosenAt) {
		return p
	}
	metrics.GetOrRegisterCounter("requests_behind_fair_share", t.g.meters.registry).Inc(1)
	return min(lowestPriority, p+1)
}
