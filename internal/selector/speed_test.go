package selector

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// serveWave sends long prompts to engines of 0.6, 1 and 1.6 of the nominal speed for a minute, in
// waves of up to 1.2 times their capacity, and returns the share that is answered within the objective.
func serveWave(t *testing.T, learn bool) float64 {
	const engines, tokens, short, rate = 12, 17_000, 800, 51_000.0
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	costs := CostModel{PrefillRate: rate}
	speeds := []float64{0.6, 1, 1.6}
	free := make([]time.Time, engines) // When the engine has read the prompts that it has.
	type run struct {
		*InFlight
		at time.Time
	}
	var running []run
	due, sent, inTime := 0.0, 0, 0
	for ms := range 60_000 {
		now = now.Add(time.Millisecond)
		kept := running[:0]
		for _, r := range running {
			if r.at.After(now) {
				kept = append(kept, r)
				continue
			}
			r.FirstByte(rate)
			r.End(Succeeded)
		}
		running = kept
		wave := 0.8 + 0.4*math.Sin(float64(ms)/2000)
		if due += wave * engines * rate * 1.067 / (tokens + short) * 2 / 1000; due < 1 {
			continue
		}
		due--
		size := tokens
		if sent%2 == 0 {
			size = short // Short prompts, from which the time without a prefill is learned.
		}
		q := Query{Objective: time.Second, PromptTokens: size, Senders: 1}
		list := make([]Candidate, engines)
		p := NewPrompt(model, "s", size, []Part{{fmt.Sprint(ms), size}})
		p.EngineTokens = 150_000
		for i := range list {
			list[i] = Candidate{Entry: engine(fmt.Sprint(i), "a", 1), SameDomain: true}
			table.Fill(&list[i], p)
			if !learn {
				list[i].Speed = 0
			}
		}
		i, _ := costs.Pick(q, list, float64(ms%97)/97)
		begin := now.Add(20 * time.Millisecond)
		if free[i].After(begin) {
			begin = free[i]
		}
		free[i] = begin.Add(seconds(float64(size) / rate / speeds[i%3]))
		running = append(running, run{table.Begin(&list[i], p, rate), free[i]})
		if sent++; free[i].Sub(now) <= q.Objective {
			inTime++
		}
	}
	return float64(inTime) / float64(sent)
}

// With the mean speed for all, slow engines get as many prompts as fast ones and answer them late.
func TestUnevenEnginesServeWaveInTime(t *testing.T) {
	without, with := serveWave(t, false), serveWave(t, true)
	t.Logf("within the objective: %.3f with the mean speed, %.3f with learned speeds", without, with)
	if with < without+0.02 {
		t.Errorf("within the objective: %.3f with the mean speed, %.3f with learned speeds", without, with)
	}
}

// A server that returns after a crash has no load and would get the requests of all VMs at once.
// At rest a new server gets its full share.
func TestReturnedServerStartsSlowly(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	share := func(id string) float64 {
		c := Candidate{Entry: engine(id, "a", 1)}
		table.Fill(&c, nil)
		return c.StartShare
	}
	if share("first") != 0 {
		t.Error("a server that is known from the start has no full share")
	}
	now = now.Add(time.Minute)
	if share("at-rest") != 0 {
		t.Error("a server that is new at rest has no full share")
	}
	table.Begin(&Candidate{Entry: engine("first", "a", 1)}, nil, 60_000).End(Unreachable)
	now = now.Add(time.Second)
	table.MarkReachable(KeyOf(engine("first", "a", 1)))
	for _, id := range []string{"first", "next-incarnation"} {
		if s := share(id); s <= 0 || s >= 0.5 {
			t.Errorf("%s starts with a share of %v after a crash", id, s)
		}
	}
	now = now.Add(10 * time.Second)
	if share("first") != 0 || share("next-incarnation") != 0 {
		t.Error("the share doesn't grow to the full one")
	}
}
