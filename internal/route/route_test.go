package route

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/prefix"
)

const (
	blockTokens = 2048
	rate        = 8000
)

var (
	epoch = time.Unix(1_000_000, 0)
	pool1 = PoolKey{Model: "m", WeightsVersion: "1"}
	scope = prefix.NewScope("a", "m", "1")
)

// newFleet returns n idle engines, attached to the index in a random order.
func newFleet(n int, index *prefix.Index, rng *rand.Rand, leaving map[int]bool) *Fleet {
	var engines []Engine
	for _, i := range rng.Perm(n) {
		id := backend.ID(fmt.Sprintf("e%d", i))
		engines = append(engines, Engine{
			ID: id, Slot: index.Attach(id, "1"), Pools: []PoolKey{pool1},
			Leaving: leaving[i], Load: NewLoad(rate),
		})
	}
	return NewFleet(engines)
}

func newRequest(rng *rand.Rand, blocks int) *Request {
	r := &Request{Scope: scope, Pool: pool1, PromptTokens: blocks*blockTokens + 100}
	for range blocks {
		r.Chain = append(r.Chain, prefix.Hash(rng.Uint64()))
	}
	return r
}

func params() *gopter.TestParameters {
	p := gopter.DefaultTestParameters()
	p.MinSuccessfulTests = 60
	return p
}

// TestEmptyIndexChoiceIsSameOnAllVMs checks that routers with an empty index and
// no load reports choose the same engine, whatever their random source and the
// order in which the engines were attached.
func TestEmptyIndexChoiceIsSameOnAllVMs(t *testing.T) {
	sameChoice := func(seed int64, engines, blocks int) bool {
		r := newRequest(rand.New(rand.NewSource(seed)), blocks)
		var first backend.ID
		for vm := range int64(8) {
			rng := rand.New(rand.NewSource(seed + vm))
			index := prefix.NewIndex(1000, epoch)
			f := newFleet(engines, index, rng, nil)
			d, err := NewChooser(index, blockTokens).Choose(f, r, epoch, rng)
			if err != nil || vm > 0 && d.Engine.ID != first {
				return false
			}
			first = d.Engine.ID
		}
		return true
	}
	properties := gopter.NewProperties(params())
	properties.Property("all VMs choose the same engine", prop.ForAll(sameChoice, gen.Int64(), gen.IntRange(1, 40), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

// TestChooseSkipsForbiddenEngines drives a chooser with random histories and
// checks that no leaving, excluded or unhealthy engine is ever chosen, and that
// an allowed engine is found if there is one.
func TestChooseSkipsForbiddenEngines(t *testing.T) {
	onlyAllowed := func(seed int64, n int) bool {
		rng := rand.New(rand.NewSource(seed))
		index := prefix.NewIndex(1000, epoch)
		leaving, unhealthy := map[int]bool{}, map[backend.ID]bool{}
		fleet := newFleet(n, index, rng, nil)
		c := NewChooser(index, blockTokens, Healthy(func(id backend.ID) bool { return unhealthy[id] }))
		now := epoch
		var requests []*Request
		for range 6 {
			requests = append(requests, newRequest(rng, rng.Intn(6)))
		}
		for range 60 {
			now = now.Add(time.Duration(rng.Intn(500)) * time.Millisecond)
			r := *requests[rng.Intn(len(requests))]
			if rng.Intn(10) == 0 {
				leaving[rng.Intn(n)] = true
				fleet = newFleet(n, index, rng, leaving)
			}
			allowed := 0
			for i := range n {
				id := backend.ID(fmt.Sprintf("e%d", i))
				unhealthy[id] = rng.Intn(4) == 0
				if rng.Intn(4) == 0 {
					r.Excluded = append(r.Excluded, id)
				}
				if !leaving[i] && !unhealthy[id] && !slices.Contains(r.Excluded, id) {
					allowed++
				}
			}
			d, err := c.Choose(fleet, &r, now, rng)
			if (err == nil) != (allowed > 0) {
				return false
			}
			if err != nil {
				continue
			}
			if d.Engine.Leaving || unhealthy[d.Engine.ID] || slices.Contains(r.Excluded, d.Engine.ID) {
				return false
			}
			c.RecordDispatch(&r, &d, now)
		}
		return true
	}
	properties := gopter.NewProperties(params())
	properties.Property("allowed engines only", prop.ForAll(onlyAllowed, gen.Int64(), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	r := newRequest(rng, 10)
	other := newRequest(rng, 10)
	other.Scope = prefix.NewScope("b", "m", "1")
	other.Chain = r.Chain
	tests := []struct {
		desc    string
		before  func(c *Chooser, f *Fleet, first *Decision)
		request *Request
		same    bool
		reason  Reason
	}{
		{"the next request follows the one that computes its prefix", func(*Chooser, *Fleet, *Decision) {}, r, true, Hit},
		{"another engine is chosen over a holder with a long backlog", func(_ *Chooser, _ *Fleet, d *Decision) {
			d.Engine.Load.RecordDispatch(LevelHit, 100*blockTokens, 0, epoch)
		}, r, false, Spread},
		{"another client account has no hit", func(_ *Chooser, _ *Fleet, d *Decision) {}, other, true, Affinity},
		{"a restarted engine has no hit", func(c *Chooser, _ *Fleet, d *Decision) {
			c.Index.Attach(d.Engine.ID, "2")
		}, r, true, Affinity},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			index := prefix.NewIndex(1000, epoch)
			f := newFleet(20, index, rng, nil)
			c := NewChooser(index, blockTokens)
			first, err := c.Choose(f, r, epoch, rng)
			if err != nil {
				t.Fatal(err)
			}
			c.RecordDispatch(r, &first, epoch)
			first.Engine.Load.ApplyReport(Report{Sampled: epoch.Add(time.Millisecond)}, epoch.Add(time.Millisecond))
			tc.before(c, f, &first)
			d, err := c.Choose(f, tc.request, epoch.Add(time.Second), rng)
			if err != nil {
				t.Fatal(err)
			}
			if same := d.Engine == first.Engine; same != tc.same || d.Reason != tc.reason {
				t.Errorf("same engine %v, reason %s; want %v, %s", same, d.Reason, tc.same, tc.reason)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		desc string
		do   func(l *Load)
		want float64
	}{
		{"dispatches count immediately", func(l *Load) { l.RecordDispatch(LevelHit, 16000, 0, at(0)) }, 16000 - rate},
		{"a report keeps dispatches made after its sample", func(l *Load) {
			l.RecordDispatch(LevelHit, 16000, 0, at(900))
			l.ApplyReport(Report{Sampled: at(800), QueuedTokens: 800}, at(1000))
		}, 16000 - 0.1*rate},
		{"a report replaces dispatches made before its sample", func(l *Load) {
			l.RecordDispatch(LevelHit, 16000, 0, at(100))
			l.ApplyReport(Report{Sampled: at(800), QueuedTokens: 4000}, at(1000))
		}, 4000 - 0.2*rate},
		{"an older report is ignored", func(l *Load) {
			l.ApplyReport(Report{Sampled: at(900), QueuedTokens: 4000}, at(1000))
			l.ApplyReport(Report{Sampled: at(800), QueuedTokens: 90000}, at(1000))
		}, 4000 - 0.1*rate},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			l := NewLoad(rate)
			tc.do(l)
			e := l.Estimate(at(1000))
			if got := e.TokensAhead(LevelBackground); got < tc.want-1 || got > tc.want+1 {
				t.Errorf("got %.0f tokens ahead, want %.0f", got, tc.want)
			}
		})
	}
}
