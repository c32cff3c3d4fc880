package bench

import (
	"fmt"
	"math/rand"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fairshare"
	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
)

var pool = route.PoolKey{Model: "model", WeightsVersion: "1"}

const indexBlocks = 300_000

// router is the routing state of one VM: its view of the engines, and a policy.
// All policies get the same load reports and the same corrections of them.
type router struct {
	policy          string
	rng             *rand.Rand
	loads           []*route.Load
	unavailable     []bool
	incarnations    []int // latest reported incarnation, by engine
	index           *prefix.Index
	fleet           *route.Fleet
	chooser         *route.Chooser
	fairShareClocks *fairshare.Clocks
	next            int
	engines         []*engine // for the oracle only
}

func newRouter(policy string, engines []*engine, seed int64) *router {
	r := &router{policy: policy, rng: rand.New(rand.NewSource(seed)), engines: engines, fairShareClocks: fairshare.New()}
	r.next = r.rng.Intn(len(engines))
	r.index = prefix.NewIndex(indexBlocks, epoch)
	for range engines {
		r.loads = append(r.loads, route.NewLoad(nominalRate))
	}
	r.unavailable = make([]bool, len(engines))
	r.incarnations = make([]int, len(engines))
	r.rebuild()
	healthy := route.Healthy(func(id backend.ID) bool { return r.unavailable[engineNumber(id)] })
	r.chooser = route.NewChooser(r.index, blockTokens, healthy)
	if policy == "papayaspan" || strings.HasSuffix(policy, "-import") {
		r.chooser.Imports = route.NewImportEstimator(importRate)
	}
	return r
}

func engineID(i int) backend.ID { return backend.ID(fmt.Sprintf("engine-%03d", i)) }

func engineNumber(id backend.ID) int {
	n := 0
	for _, digit := range id[len("engine-"):] {
		n = 10*n + int(digit-'0')
	}
	return n
}

// rebuild replaces the snapshot of the engines.
func (r *router) rebuild() {
	list := make([]route.Engine, len(r.loads))
	for i, l := range r.loads {
		slot := r.index.Attach(engineID(i), backend.Incarnation(fmt.Sprint(r.incarnations[i])))
		list[i] = route.Engine{ID: engineID(i), Slot: slot, Pools: []route.PoolKey{pool}, Load: l}
	}
	r.fleet = route.NewFleet(list)
}

// applyReport records an engine's load report. A new incarnation resets the
// load estimate.
func (r *router) applyReport(i, incarnation int, report route.Report, now time.Time) {
	r.unavailable[i] = false
	if r.incarnations[i] != incarnation {
		r.incarnations[i] = incarnation
		r.loads[i].Reset()
		r.rebuild()
	}
	r.loads[i].ApplyReport(report, now)
}

// choose returns the routing decision for a request, or false if no engine is
// available.
func (r *router) choose(q *route.Request, now time.Time) (route.Decision, bool) {
	var d route.Decision
	i := 0
	switch r.policy {
	case "roundrobin":
		i = r.roundRobin()
	case "leastload":
		i = r.leastLoad(q, now)
	case "prefixhash", "prefixhash-import":
		i = r.prefixHash(q, now)
	case "oracle", "oracle-import":
		i = r.oracle(q)
	default:
		d, err := r.chooser.Choose(r.fleet, q, now, r.rng)
		return d, err == nil
	}
	if i < 0 {
		return d, false
	}
	e := &r.fleet.Engines()[i]
	d.Candidate = route.Candidate{Engine: e, Load: e.Load.Estimate(now), Level: queueLevel(q)}
	d.MissTokens = q.PromptTokens
	if n := len(q.Chain); n > 0 {
		for _, m := range r.index.Lookup(q.Scope, q.Chain, now, nil) {
			if m.Slot == e.Slot {
				d.HitBlocks, d.Age = m.Blocks, m.Age
			}
		}
		if strings.HasSuffix(r.policy, "-import") {
			d.Import = true
			d.ImportBlocks = max(0, r.index.Computed(q.Scope, q.Chain)-d.HitBlocks)
			d.ImportTokens = d.ImportBlocks * blockTokens
		}
		d.MissTokens -= (d.HitBlocks + d.ImportBlocks) * blockTokens
	}
	return d, true
}

// queueLevel returns the queue level of a request for policies that don't
// estimate cache misses.
func queueLevel(q *route.Request) route.Level {
	if q.Background {
		return route.LevelBackground
	}
	return route.LevelHit
}

func (r *router) roundRobin() int {
	for range r.loads {
		r.next = (r.next + 1) % len(r.loads)
		if !r.unavailable[r.next] {
			return r.next
		}
	}
	return -1
}

func (r *router) estimatedLoad(i int, q *route.Request, now time.Time) float64 {
	e := r.loads[i].Estimate(now)
	return e.TokensAhead(queueLevel(q)) + float64(e.Running)*runningTokens
}

// runningTokens is the load of a running request in prompt tokens.
const runningTokens = 20

func (r *router) leastLoad(q *route.Request, now time.Time) int {
	best, bestLoad := -1, 0.0
	offset := r.rng.Intn(len(r.loads)) // ties are broken at random
	for k := range r.loads {
		i := (k + offset) % len(r.loads)
		load := r.estimatedLoad(i, q, now)
		if !r.unavailable[i] && (best < 0 || load < bestLoad) {
			best, bestLoad = i, load
		}
	}
	return best
}

// Parameters of consistent hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam 2016).
const (
	boundFactor = 1.25
	boundTokens = 6000
	hashBlocks  = 5
)

func (r *router) prefixHash(q *route.Request, now time.Time) int {
	if len(q.Chain) == 0 {
		return r.leastLoad(q, now)
	}
	total := 0.0
	for i := range r.loads {
		total += r.estimatedLoad(i, q, now)
	}
	bound := boundFactor*total/float64(len(r.loads)) + boundTokens
	key := uint64(q.Chain[min(len(q.Chain), hashBlocks)-1])
	best, bestWeight := -1, prefix.Hash(0)
	for i := range r.loads {
		weight := prefix.Extend(prefix.Hash(key), string(engineID(i)))
		if r.unavailable[i] || r.estimatedLoad(i, q, now) > bound {
			continue
		}
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// oracle chooses an engine with the same cost function as route.Chooser, but
// from the exact current state of all engines.
func (r *router) oracle(q *route.Request) int {
	best, bestCost := -1, 0.0
	for i, e := range r.engines {
		if e.down {
			continue
		}
		miss := float64(q.PromptTokens - e.cachedPrefixBlocks(q.Chain)*blockTokens)
		// The prompts that are waiting on this engine will be cached when this
		// request starts.
		for _, j := range e.waiting {
			common := 0
			for common < min(len(j.chain), len(q.Chain)) && j.chain[common] == q.Chain[common] {
				common++
			}
			miss = min(miss, float64(q.PromptTokens-common*blockTokens))
		}
		queued := float64(e.currentLoad().QueuedTokens)
		cost := queued + (1+route.DefaultMissWeight)*miss + runningTokens*float64(len(e.running))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
