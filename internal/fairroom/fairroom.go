// Package fairroom decides whose long prompts are refused when the engines of a service can't
// read all of them in time: those of the accounts that use more than their max-min fair share of
// the prompt tokens admitted lately. It takes effect only while prompts are refused.
package fairroom

import (
	"slices"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// UnderQueueShare and OverQueueShare are the shares of the latency objective for which a long prompt
	// of an account under or over its fair share may wait in a queue. They lie on both sides of the share
	// for all accounts (0.4). The queue of half of the objective leaves the other half for the prefill.
	UnderQueueShare = 0.5
	OverQueueShare  = 0.2
	// refusedFor is the time after a refusal for which an account counts as one that wants more than it gets.
	refusedFor = 2 * time.Second
	// underRatio and overRatio are the ratios of an account's usage to the fair share below which it counts
	// as under its share, and from which it counts as over it. An account that takes all that the others
	// leave is at a ratio of 1.
	underRatio = 0.8
	overRatio  = 0.95
	// maxCredit bounds the tokens that accounts under their share may be admitted beyond what
	// all accounts may wait for: some long prompts.
	maxCredit = 64 << 10
)

// Standing is an account's usage in relation to its fair share.
type Standing int

const (
	// Usual is the standing while nothing is refused, near the fair share, and of an account whose usage isn't
	// counted because it has no quota.
	Usual Standing = iota
	Under
	Over
)

// Room decides for one service. It is safe for concurrent use.
type Room struct {
	mu sync.Mutex
	// refusedAt is when a prompt of each account was last refused.
	refusedAt map[account.ID]time.Time
	// credit is the number of tokens that were refused to accounts over their share although others would
	// have been admitted. Accounts under theirs are admitted to a longer queue only within it, so that no
	// more is admitted than without shares.
	credit float64
}

// Decide decides on a long prompt of an account. Admit returns whether an engine has a queue of at most a
// share of the objective; 0 stands for the share of all accounts. The result includes the standing that
// decided.
func (r *Room) Decide(id account.ID, tokens float64, rates func() map[account.ID]float64, now time.Time, admit func(queueShare float64) bool) (bool, Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := admit(0)
	if usual && !r.contended(now) {
		return true, Usual
	}
	if !usual {
		r.refuse(id, now)
	}
	standing := r.standing(id, rates(), now)
	switch {
	case usual && standing == Over && !admit(OverQueueShare):
		r.refuse(id, now)
		r.credit = min(maxCredit, r.credit+tokens)
		return false, Over
	case !usual && standing == Under && r.credit >= tokens && admit(UnderQueueShare):
		r.credit -= tokens
		return true, Under
	}
	return usual, Usual
}

func (r *Room) refuse(id account.ID, now time.Time) {
	if r.refusedAt == nil {
		r.refusedAt = map[account.ID]time.Time{}
	}
	r.refusedAt[id] = now
}

// contended reports whether a prompt was refused lately, and forgets older refusals.
func (r *Room) contended(now time.Time) bool {
	for id, at := range r.refusedAt {
		if now.Sub(at) > refusedFor {
			delete(r.refusedAt, id)
		}
	}
	if len(r.refusedAt) == 0 {
		r.credit = 0
	}
	return len(r.refusedAt) > 0
}

func (r *Room) standing(id account.ID, rates map[account.ID]float64, now time.Time) Standing {
	if !r.contended(now) {
		return Usual
	}
	share := fairShare(rates, func(id account.ID) bool { _, refused := r.refusedAt[id]; return refused })
	switch rate, known := rates[id]; {
	case share <= 0 || !known:
		return Usual
	case rate < underRatio*share:
		return Under
	case rate >= overRatio*share:
		return Over
	}
	return Usual
}

// fairShare returns the max-min fair share of accounts that want more than they get, given what all
// get: accounts that get what they want and use less leave the rest to the others.
func fairShare(rates map[account.ID]float64, wantsMore func(account.ID) bool) float64 {
	total, number := 0.0, 0
	var content []float64
	for id, rate := range rates {
		if rate <= 0 {
			continue
		}
		total += rate
		number++
		if !wantsMore(id) {
			content = append(content, rate)
		}
	}
	slices.Sort(content)
	for _, rate := range content {
		if rate > total/float64(number) || number == 1 {
			break
		}
		total -= rate
		number--
	}
	if number == 0 {
		return 0
	}
	return total / float64(number)
}
