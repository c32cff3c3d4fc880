package fairroom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	engines   = 12
	rate      = 51000.0 // Prompt tokens per second that an engine reads.
	tokens    = 17000.0 // Length of a prompt,
	unshared  = 3700.0  // of which an engine reads this much.
	objective = time.Second
	// usualShare is the share of the objective for which all prompts may wait (internal/selector).
	usualShare = 0.4
	surgeAt    = 10 * time.Second
)

type outcome struct{ arrived, inTime, refused int }

type decision func(id account.ID, now time.Time, rates func() map[account.ID]float64, admit func(float64) bool) bool

// today decides by the queue alone.
func today(_ account.ID, _ time.Time, _ func() map[account.ID]float64, admit func(float64) bool) bool {
	return admit(0)
}

// fair decides as VMs do that each get an equal part of the prompts and know of their own refusals only.
func fair(vms int) decision {
	rooms, next := make([]Room, vms), 0
	return func(id account.ID, now time.Time, rates func() map[account.ID]float64, admit func(float64) bool) bool {
		next = (next + 1) % vms
		ok, _ := rooms[next].Decide(id, tokens, rates, now, admit)
		return ok
	}
}

// replay sends prompts of 16 accounts to engines for 40 s. 15 accounts take 80 % of the engines' capacity, and
// the last one a multiple of the load of one of those from surgeAt on, when counting begins.
func replay(seed uint64, multiple float64, decide decision) (others, large outcome) {
	random := rand.New(rand.NewPCG(seed, 1))
	backlog := make([]float64, engines)
	perAccount := 0.8 * engines * rate / unshared / 15
	type admitted struct {
		at time.Time
		id account.ID
	}
	var recent []admitted
	const step = 5 * time.Millisecond
	start := time.Unix(1000, 0)
	for now := start; now.Sub(start) < 40*time.Second; now = now.Add(step) {
		for i := range backlog {
			backlog[i] = max(0, backlog[i]-rate*step.Seconds())
		}
		for i := range 16 {
			load := perAccount
			if i == 15 && now.Sub(start) >= surgeAt {
				load *= multiple
			}
			if random.Float64() >= load*step.Seconds() {
				continue
			}
			id := account.ID(fmt.Sprint("account-", i))
			best := slices.Index(backlog, slices.Min(backlog))
			wait := backlog[best] / rate
			rates := func() map[account.ID]float64 {
				out := map[account.ID]float64{}
				for len(recent) > 0 && now.Sub(recent[0].at) > 10*time.Second {
					recent = recent[1:]
				}
				for _, a := range recent {
					out[a.id] += tokens / 10
				}
				return out
			}
			ok := decide(id, now, rates, func(share float64) bool {
				if share == 0 {
					share = usualShare
				}
				return wait <= share*objective.Seconds()
			})
			o := &others
			if i == 15 {
				o = &large
			}
			if now.Sub(start) < surgeAt {
				o = new(outcome) // Only the surge counts.
			}
			o.arrived++
			if !ok {
				o.refused++
				continue
			}
			recent = append(recent, admitted{now, id})
			backlog[best] += unshared
			if backlog[best]/rate <= objective.Seconds() {
				o.inTime++
			}
		}
	}
	return others, large
}

func (o outcome) admitted() int { return o.arrived - o.refused }

func (o outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.arrived)) }

// An account at 7.5 times its usual load beside 15 others must pay with its own prompts: the share of the others
// within the objective stays, and the engines read as much as before.
func TestLargeAccountPaysForItsLoad(t *testing.T) {
	for seed := range uint64(5) {
		vms := 1 + 3*int(seed)
		alone, _ := replay(seed, 0, today)
		others, large := replay(seed, 7.5, fair(vms))
		otherToday, largeToday := replay(seed, 7.5, today)
		const loss = 0.02
		if others.share() < alone.share()-loss {
			t.Errorf("seed %d: %.3f of the others' prompts are in time, %.3f without the large account", seed, others.share(), alone.share())
		}
		if otherToday.share() >= alone.share()-loss {
			t.Errorf("seed %d: the replay costs the others nothing with the decision by queues (%.3f)", seed, otherToday.share())
		}
		served, servedToday := others.inTime+large.inTime, otherToday.inTime+largeToday.inTime
		if float64(served) < 0.97*float64(servedToday) {
			t.Errorf("seed %d: %d prompts in time, %d with the decision by queues", seed, served, servedToday)
		}
		if others.admitted()+large.admitted() > otherToday.admitted()+largeToday.admitted() {
			t.Errorf("seed %d: more is admitted than by the queue alone", seed)
		}
		if large.inTime == 0 {
			t.Errorf("seed %d: the large account gets nothing", seed)
		}
	}
}

// At loads that the engines can read, the decisions must be those by queues alone.
func TestNothingChangesWithoutRefusals(t *testing.T) {
	for seed := range uint64(5) {
		a, b := replay(seed, 1, fair(4))
		c, d := replay(seed, 1, today)
		if c.refused+d.refused > 0 {
			t.Errorf("seed %d: the load exceeds the engines", seed)
		}
		if a != c || b != d {
			t.Errorf("seed %d: %+v %+v, by queues %+v %+v", seed, a, b, c, d)
		}
	}
}

// Without reports of usage the decision must be the one by queues: an account without a known rate isn't
// admitted to a longer queue, and none is refused earlier.
func TestUnknownUsageDecidesByQueues(t *testing.T) {
	var r Room
	now := time.Unix(0, 0)
	none := func() map[account.ID]float64 { return nil }
	for _, wait := range []float64{0.1, 0.45, 0.3, 0.45} {
		ok, _ := r.Decide("a", tokens, none, now, func(share float64) bool { return wait <= max(share, usualShare) })
		if ok != (wait <= usualShare) {
			t.Errorf("wait %v: admitted %v", wait, ok)
		}
	}
}

// Accounts that count requests and accounts that count tokens must be compared in tokens.
func TestUsageIsComparedInTokens(t *testing.T) {
	now := time.Unix(0, 0)
	u := NewUsage(func() map[account.ID]float64 { return map[account.ID]float64{"requests": 10, "tokens": 20000} })
	for range 10 {
		u.Charge("requests", 1, 2000, now)
		u.Charge("tokens", 2000, 2000, now)
	}
	if got := u.Rates(now); got["requests"] != 20000 || got["tokens"] != 20000 {
		t.Errorf("rates %v", got)
	}
}
