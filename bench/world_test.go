package bench

import (
	"container/list"
	"fmt"
	"math/rand"
	"sort"
	"time"

	"papayaspan.dev/papayaspan/internal/admission"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
)

const (
	hop        = time.Millisecond
	pollEvery  = 1250 * time.Millisecond
	reportLag  = 150 * time.Millisecond
	vmRestart  = time.Second
	retryDelay = time.Second
	warmDelay  = 100 * time.Millisecond
	warmBlocks = 20_000
)

// world is one run: engines, VMs with a router each, and the exact ledger.
type world struct {
	clock
	d       *deployment
	fault   string
	policy  string
	seed    int64
	rng     *rand.Rand
	engines []*engine
	routers []*router
	downVM  []bool
	flights []map[*flight]bool
	streams [][]time.Duration // arrival of the last event, by VM and engine
	queues  []*admission.Queue
	waiting []map[admission.ID]*call
	ledger  []bucket
	// contracts follow what the accounts may use, to judge the ledger.
	contracts []bucket
	scopes    []prefix.Scope
	result
}

// result collects the measures of a run.
type result struct {
	prompt, cached, recomputed int
	imported                   int
	store                      time.Duration
	ttft                       [][]float64 // ms, by account
	reviews                    []float64
	refused, wrongful          int
	overRate                   float64
	unanswered                 int
}

// flight is a call under way on an engine.
type flight struct {
	call *call
	job  *job
}

func newWorld(d *deployment, fault, policy string, seed int64) *world {
	w := &world{d: d, fault: fault, policy: policy, seed: seed, rng: rand.New(rand.NewSource(seed + 1))}
	w.ttft = make([][]float64, len(d.shares))
	w.ledger = make([]bucket, len(d.shares))
	w.downVM = make([]bool, d.vms)
	computed := map[prefix.Hash]bool{}
	for i := range d.engines {
		e := &engine{clock: &w.clock, cache: map[prefix.Hash]*cachedBlock{}, lru: list.New(),
			computed: computed, recomputed: &w.recomputed, imported: &w.imported, store: &w.store}
		var seq uint64
		e.publish = func(t prefix.EventType, salt string, hashes []prefix.Hash) {
			seq++
			w.publish(i, prefix.Event{Seq: seq, Incarnation: incarnation(e.incarnation), Type: t, Salt: salt, Hashes: hashes})
		}
		w.engines = append(w.engines, e)
	}
	for v := range d.vms {
		w.routers = append(w.routers, newRouter(policy, w.engines, seed*100+int64(v)))
		w.flights = append(w.flights, map[*flight]bool{})
		w.queues = append(w.queues, admission.NewQueue(admission.DefaultSettings(), d.capacity()))
		w.waiting = append(w.waiting, map[admission.ID]*call{})
		w.streams = append(w.streams, make([]time.Duration, d.engines))
	}
	return w
}

func incarnation(n int) backend.Incarnation { return backend.Incarnation(fmt.Sprint(n)) }

// run plays the whole work.
func (w *world) run() {
	used := make([]float64, len(w.d.shares))
	newWorkload(w.d, "none", w.seed, func(_ time.Duration, c *call) {
		used[c.account] += c.reserve() / runTime.Seconds()
	}).generate()
	for a := range w.ledger {
		w.ledger[a] = bucket{rate: used[a] * rateHeadroom, burst: used[a] * rateHeadroom * burstSeconds}
		w.ledger[a].level = w.ledger[a].burst
	}
	w.contracts = append(w.contracts, w.ledger...)
	work := newWorkload(w.d, w.fault, w.seed, func(at time.Duration, c *call) {
		w.after(at, func() { w.arrive(c) })
	})
	w.scopes = work.scopes
	work.generate()
	for v := range w.routers {
		for i := range w.engines {
			w.after(time.Duration(w.rng.Int63n(int64(pollEvery))), func() { w.poll(v, i) })
		}
	}
	w.scheduleFault()
	w.runUntil(runTime)
}

func (w *world) scheduleFault() {
	switch w.fault {
	case "crash":
		for k, at := range []time.Duration{faultAt, faultAt + 20*seconds, faultAt + 20*seconds, faultAt + 50*seconds} {
			w.after(at, w.engines[(k*7+int(w.seed))%len(w.engines)].crash)
		}
	case "restart":
		w.after(faultAt, func() {
			for v := 0; v < w.d.vms; v += 2 {
				w.restart(v)
			}
		})
	}
}

// restart replaces a VM's router by an empty one. Its callers come again.
func (w *world) restart(v int) {
	w.downVM[v] = true
	fresh := newRouter(w.policy, w.engines, w.seed*100+int64(v)+50)
	w.routers[v] = fresh
	w.after(vmRestart, func() {
		w.downVM[v] = false
		w.warm(fresh, w.routers[(v+1)%w.d.vms])
	})
	lost := w.flights[v]
	w.flights[v] = map[*flight]bool{}
	var calls []*call
	for _, c := range w.waiting[v] {
		calls = append(calls, c)
	}
	w.waiting[v] = map[admission.ID]*call{}
	w.queues[v] = admission.NewQueue(admission.DefaultSettings(), w.d.capacity())
	for f := range lost {
		f.job.cancelled = true
		if !f.call.answered {
			calls = append(calls, f.call)
		}
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].arrived < calls[j].arrived })
	for _, c := range calls {
		c.retried = true
		w.after(retryDelay, func() { w.arrive(c) })
	}
}

// warm gives a started router what a peer knows of the caches.
func (w *world) warm(fresh, peer *router) {
	export := peer.index.Export(warmBlocks, vtime(w.now))
	w.after(warmDelay, func() { fresh.index.Import(export, vtime(w.now)) })
}

// poll reads an engine's load with a lag.
func (w *world) poll(v, i int) {
	e := w.engines[i]
	report, run, down := e.report(), e.incarnation, e.down
	w.after(reportLag+hop, func() {
		r := w.routers[v]
		switch {
		case down:
			r.broken[i] = true
		case run >= r.runs[i]:
			r.polled(i, run, report, vtime(w.now))
		}
	})
	w.after(pollEvery, func() { w.poll(v, i) })
}

// publish sends a cache event to all VMs, late, and under gaps not always.
func (w *world) publish(i int, ev prefix.Event) {
	delay := 200*time.Millisecond + time.Duration(w.rng.Int63n(int64(300*time.Millisecond)))
	for v := range w.routers {
		late := delay
		if w.fault == "gaps" && w.now > faultAt {
			late = delay * 10
			if w.rng.Float64() < 0.3 {
				continue
			}
		}
		// Streams keep their order.
		w.streams[v][i] = max(w.streams[v][i], w.now+late)
		w.after(w.streams[v][i]-w.now, func() {
			r := w.routers[v]
			if slot := r.index.Apply(engineID(i), ev, vtime(w.now)); slot != r.fleet.Engines()[i].Slot {
				r.rebuild()
			}
		})
	}
}

// reserve is what a call takes from the ledger: prompt and declared maximum.
func (c *call) reserve() float64 { return float64(c.prompt + 2*c.output) }

// arrive admits a call at its VM.
func (w *world) arrive(c *call) {
	for w.downVM[c.vm] {
		c.vm = (c.vm + 1) % w.d.vms
	}
	if !c.retried {
		c.arrived = w.now
		if !w.admit(c) {
			w.refused++
			return
		}
		if !c.service && w.now > warmUp {
			w.unanswered++
		}
	}
	if c.service {
		return
	}
	w.enqueue(c)
}

// enqueue puts a call into its VM's fair queue.
func (w *world) enqueue(c *call) {
	id, refusal := w.queues[c.vm].Enqueue(admission.Request{
		Account: accountID(c.account), Class: c.class(), Tokens: c.reserve(),
	}, vtime(w.now))
	if refusal != nil {
		w.wrongful++
		return
	}
	w.waiting[c.vm][id] = c
	w.dequeue(c.vm)
}

// dequeue dispatches the calls whose turn has come.
func (w *world) dequeue(v int) {
	for {
		id, ok := w.queues[v].Dequeue(vtime(w.now))
		if !ok {
			return
		}
		c := w.waiting[v][id]
		delete(w.waiting[v], id)
		c.release = func() {
			w.queues[v].Release(id, float64(c.prompt+c.output), vtime(w.now))
			w.dequeue(v)
		}
		w.hold(c)
	}
}

// hold dispatches a call once its account's pace allows it.
func (w *world) hold(c *call) {
	rate := w.contracts[c.account].rate
	d := w.routers[c.vm].clocks.Delays(accountID(c.account), rate, c.reserve(), vtime(w.now))
	c.delay = d.Order
	w.after(d.Hold, func() { w.dispatch(c, 0) })
}

// admit asks the ledger, and compares its answer with the contract.
func (w *world) admit(c *call) bool {
	excess := w.contracts[c.account].excess(c.reserve(), w.now)
	admitted := w.ledger[c.account].take(c.reserve(), w.now)
	switch {
	case admitted && excess > 0:
		w.overRate += excess
	case !admitted && excess == 0:
		w.wrongful++
	}
	if admitted {
		w.contracts[c.account].level -= c.reserve()
	}
	return admitted
}

// dispatch sends a call to an engine; generated tokens were delivered before.
func (w *world) dispatch(c *call, generated int) {
	r := w.routers[c.vm]
	q := &route.Request{
		Scope: w.scopes[c.account], Pool: pool, Chain: c.chain,
		PromptTokens: c.prompt + generated, Background: c.priority == priorityReview,
	}
	d, ok := r.choose(q, vtime(w.now))
	if !ok {
		w.after(50*time.Millisecond, func() { w.dispatch(c, generated) })
		return
	}
	sent := w.now
	i := engineNumber(d.Engine.ID)
	r.chooser.Dispatched(q, &d, vtime(sent))
	j := &job{imports: d.Import, salt: q.Scope.Salt(), chain: c.chain, prompt: q.PromptTokens, output: c.output - generated, deadline: d.Level.Deadline(vtime(c.arrived + c.delay))}
	f := &flight{call: c, job: j}
	w.flights[c.vm][f] = true
	cachedTokens := 0
	j.firstToken = func(cached int) {
		w.after(hop, func() {
			cachedTokens = cached
			r.chooser.FirstToken(q, &d, vtime(w.now), w.now-sent)
			w.answer(c, q.PromptTokens, cached)
		})
	}
	j.finished = func() {
		w.after(hop, func() {
			delete(w.flights[c.vm], f)
			r.chooser.Finished(&d, cachedTokens)
			c.release()
			w.ledger[c.account].put(float64(c.output))
			w.contracts[c.account].put(float64(c.output))
		})
	}
	j.failed = func() {
		w.after(hop, func() {
			delete(w.flights[c.vm], f)
			r.broken[i] = true
			w.dispatch(c, min(generated+j.generated, c.output-1))
		})
	}
	w.after(hop, func() {
		if w.engines[i].down {
			j.failed()
			return
		}
		w.engines[i].submit(j)
	})
}

// answer notes a first token.
func (w *world) answer(c *call, prompt, cached int) {
	if c.answered {
		return
	}
	c.answered = true
	if c.arrived <= warmUp {
		return
	}
	w.unanswered--
	w.prompt += prompt
	w.cached += cached
	ms := float64(w.now-c.arrived) / float64(time.Millisecond)
	if c.priority == priorityReview {
		w.reviews = append(w.reviews, ms)
		return
	}
	w.ttft[c.account] = append(w.ttft[c.account], ms)
}

// bucket is an exact token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) take(tokens float64, now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// excess is by how much tokens exceed the level.
func (b *bucket) excess(tokens float64, now time.Duration) float64 {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	return max(0, tokens-b.level)
}

func (b *bucket) put(tokens float64) { b.level = min(b.burst, b.level+tokens) }

// quantile returns the q-th quantile of values, which it sorts.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
