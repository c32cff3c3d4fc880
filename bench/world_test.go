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
	hopDelay        = time.Millisecond
	pollInterval    = 1250 * time.Millisecond
	reportDelay     = 150 * time.Millisecond
	vmRestartTime   = time.Second
	retryDelay      = time.Second
	indexCopyDelay  = 100 * time.Millisecond
	indexCopyBlocks = 20_000
)

// simulation is one run: engines, VMs with one router each, and the token
// buckets that enforce the accounts' quotas.
type simulation struct {
	clock
	deployment  *deployment
	fault       string
	policy      string
	seed        int64
	rng         *rand.Rand
	engines     []*engine
	routers     []*router
	vmDown      []bool
	inFlight    []map[*inFlightCall]bool
	lastEventAt [][]time.Duration // arrival time of the last cache event, by VM and engine
	queues      []*admission.Queue
	waiting     []map[admission.ID]*call
	quotas      []bucket
	// contracts are the reference buckets against which the decisions of quotas
	// are checked, by account.
	contracts []bucket
	scopes    []prefix.Scope
	result
}

// result contains the measurements of a run.
type result struct {
	promptTokens, cachedTokens, recomputedTokens int
	importedTokens                               int
	storeFreeAt                                  time.Duration
	ttft                                         [][]float64 // ms, by account
	reviewTTFT                                   []float64
	refused, wrongfulRefusals                    int
	overRateTokens                               float64
	unanswered                                   int
}

// inFlightCall is a call that an engine is executing.
type inFlightCall struct {
	call *call
	job  *job
}

func newSimulation(d *deployment, fault, policy string, seed int64) *simulation {
	s := &simulation{deployment: d, fault: fault, policy: policy, seed: seed, rng: rand.New(rand.NewSource(seed + 1))}
	s.ttft = make([][]float64, len(d.shares))
	s.quotas = make([]bucket, len(d.shares))
	s.vmDown = make([]bool, d.vms)
	computed := map[prefix.Hash]bool{}
	for i := range d.engines {
		e := &engine{clock: &s.clock, cache: map[prefix.Hash]*cachedBlock{}, lru: list.New(),
			everComputed: computed, recomputedTokens: &s.recomputedTokens, importedTokens: &s.importedTokens, storeFreeAt: &s.storeFreeAt}
		var seq uint64
		e.publish = func(t prefix.EventType, salt string, hashes []prefix.Hash) {
			seq++
			s.publish(i, prefix.Event{Seq: seq, Incarnation: incarnation(e.incarnation), Type: t, Salt: salt, Hashes: hashes})
		}
		s.engines = append(s.engines, e)
	}
	for v := range d.vms {
		s.routers = append(s.routers, newRouter(policy, s.engines, seed*100+int64(v)))
		s.inFlight = append(s.inFlight, map[*inFlightCall]bool{})
		s.queues = append(s.queues, admission.NewQueue(admission.DefaultSettings(), d.capacity()))
		s.waiting = append(s.waiting, map[admission.ID]*call{})
		s.lastEventAt = append(s.lastEventAt, make([]time.Duration, d.engines))
	}
	return s
}

func incarnation(n int) backend.Incarnation { return backend.Incarnation(fmt.Sprint(n)) }

// run simulates the whole workload.
func (s *simulation) run() {
	meanUse := make([]float64, len(s.deployment.shares))
	newWorkload(s.deployment, "none", s.seed, func(_ time.Duration, c *call) {
		meanUse[c.account] += c.reservedTokens() / runTime.Seconds()
	}).generate()
	for a := range s.quotas {
		s.quotas[a] = bucket{rate: meanUse[a] * rateHeadroom, burst: meanUse[a] * rateHeadroom * burstSeconds}
		s.quotas[a].level = s.quotas[a].burst
	}
	s.contracts = append(s.contracts, s.quotas...)
	workload := newWorkload(s.deployment, s.fault, s.seed, func(at time.Duration, c *call) {
		s.after(at, func() { s.arrive(c) })
	})
	s.scopes = workload.scopes
	workload.generate()
	for v := range s.routers {
		for i := range s.engines {
			s.after(time.Duration(s.rng.Int63n(int64(pollInterval))), func() { s.poll(v, i) })
		}
	}
	s.scheduleFault()
	s.runUntil(runTime)
}

func (s *simulation) scheduleFault() {
	switch s.fault {
	case "crash":
		for k, at := range []time.Duration{faultAt, faultAt + 20*seconds, faultAt + 20*seconds, faultAt + 50*seconds} {
			s.after(at, s.engines[(k*7+int(s.seed))%len(s.engines)].crash)
		}
	case "restart":
		s.after(faultAt, func() {
			for v := 0; v < s.deployment.vms; v += 2 {
				s.restart(v)
			}
		})
	}
}

// restart replaces a VM's router by one with empty state. Callers that have not
// got their first token retry after retryDelay.
func (s *simulation) restart(v int) {
	s.vmDown[v] = true
	restarted := newRouter(s.policy, s.engines, s.seed*100+int64(v)+50)
	s.routers[v] = restarted
	s.after(vmRestartTime, func() {
		s.vmDown[v] = false
		s.copyIndex(restarted, s.routers[(v+1)%s.deployment.vms])
	})
	interrupted := s.inFlight[v]
	s.inFlight[v] = map[*inFlightCall]bool{}
	var calls []*call
	for _, c := range s.waiting[v] {
		calls = append(calls, c)
	}
	s.waiting[v] = map[admission.ID]*call{}
	s.queues[v] = admission.NewQueue(admission.DefaultSettings(), s.deployment.capacity())
	for f := range interrupted {
		f.job.cancelled = true
		if !f.call.gotFirstToken {
			calls = append(calls, f.call)
		}
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].arrived < calls[j].arrived })
	for _, c := range calls {
		c.retried = true
		s.after(retryDelay, func() { s.arrive(c) })
	}
}

// copyIndex copies a peer's prefix index to a restarted router.
func (s *simulation) copyIndex(restarted, peer *router) {
	export := peer.index.Export(indexCopyBlocks, wallTime(s.now))
	s.after(indexCopyDelay, func() { restarted.index.Import(export, wallTime(s.now)) })
}

// poll applies the load report of engine i to the router of VM v after a delay,
// and schedules the next poll.
func (s *simulation) poll(v, i int) {
	e := s.engines[i]
	report, incarnation, down := e.currentLoad(), e.incarnation, e.down
	s.after(reportDelay+hopDelay, func() {
		r := s.routers[v]
		switch {
		case down:
			r.unavailable[i] = true
		case incarnation >= r.incarnations[i]:
			r.applyReport(i, incarnation, report, wallTime(s.now))
		}
	})
	s.after(pollInterval, func() { s.poll(v, i) })
}

// publish delivers a cache event of engine i to all VMs after a delay. Under the
// fault "gaps", delays are ten times as long and 30 % of the events are lost.
func (s *simulation) publish(i int, ev prefix.Event) {
	delay := 200*time.Millisecond + time.Duration(s.rng.Int63n(int64(300*time.Millisecond)))
	for v := range s.routers {
		eventDelay := delay
		if s.fault == "gaps" && s.now > faultAt {
			eventDelay = delay * 10
			if s.rng.Float64() < 0.3 {
				continue
			}
		}
		// Events of one engine arrive at a VM in the order in which they were sent.
		s.lastEventAt[v][i] = max(s.lastEventAt[v][i], s.now+eventDelay)
		s.after(s.lastEventAt[v][i]-s.now, func() {
			r := s.routers[v]
			if slot := r.index.Apply(engineID(i), ev, wallTime(s.now)); slot != r.fleet.Engines()[i].Slot {
				r.rebuild()
			}
		})
	}
}

// reservedTokens returns the tokens that a call reserves from the quota: the
// prompt and the declared maximum output, which is twice the actual output.
func (c *call) reservedTokens() float64 { return float64(c.promptTokens + 2*c.outputTokens) }

// arrive admits a call at its VM, or at the next VM that is up.
func (s *simulation) arrive(c *call) {
	for s.vmDown[c.vm] {
		c.vm = (c.vm + 1) % s.deployment.vms
	}
	if !c.retried {
		c.arrived = s.now
		if !s.admit(c) {
			s.refused++
			return
		}
		if !c.service && s.now > warmUp {
			s.unanswered++
		}
	}
	if c.service {
		return
	}
	s.enqueue(c)
}

// enqueue puts a call into its VM's fair queue.
func (s *simulation) enqueue(c *call) {
	id, refusal := s.queues[c.vm].Enqueue(admission.Request{
		Account: accountID(c.account), Class: c.class(), Tokens: c.reservedTokens(),
	}, wallTime(s.now))
	if refusal != nil {
		s.wrongfulRefusals++
		return
	}
	s.waiting[c.vm][id] = c
	s.dequeue(c.vm)
}

// dequeue dispatches the calls that the fair queue releases.
func (s *simulation) dequeue(v int) {
	for {
		id, ok := s.queues[v].Dequeue(wallTime(s.now))
		if !ok {
			return
		}
		c := s.waiting[v][id]
		delete(s.waiting[v], id)
		c.release = func() {
			s.queues[v].Release(id, float64(c.promptTokens+c.outputTokens), wallTime(s.now))
			s.dequeue(v)
		}
		s.dispatchPaced(c)
	}
}

// dispatchPaced dispatches a call after the pacing delay of its account.
func (s *simulation) dispatchPaced(c *call) {
	rate := s.contracts[c.account].rate
	d := s.routers[c.vm].fairShareClocks.Charge(accountID(c.account), rate, c.reservedTokens(), wallTime(s.now))
	c.fairShareDelay = d.Priority
	s.after(d.Pacing, func() { s.dispatch(c, 0) })
}

// admit reserves quota for a call and checks the decision against the account's
// contract.
func (s *simulation) admit(c *call) bool {
	excess := s.contracts[c.account].excess(c.reservedTokens(), s.now)
	admitted := s.quotas[c.account].take(c.reservedTokens(), s.now)
	switch {
	case admitted && excess > 0:
		s.overRateTokens += excess
	case !admitted && excess == 0:
		s.wrongfulRefusals++
	}
	if admitted {
		s.contracts[c.account].level -= c.reservedTokens()
	}
	return admitted
}

// dispatch sends a call to an engine. The parameter generated is the number of
// output tokens that earlier attempts delivered.
func (s *simulation) dispatch(c *call, generated int) {
	r := s.routers[c.vm]
	q := &route.Request{
		Scope: s.scopes[c.account], Pool: pool, Chain: c.chain,
		PromptTokens: c.promptTokens + generated, Background: c.priority == priorityReview,
	}
	d, ok := r.choose(q, wallTime(s.now))
	if !ok {
		s.after(50*time.Millisecond, func() { s.dispatch(c, generated) })
		return
	}
	sent := s.now
	i := engineNumber(d.Engine.ID)
	r.chooser.RecordDispatch(q, &d, wallTime(sent))
	j := &job{importAllowed: d.Import, salt: q.Scope.Salt(), chain: c.chain, promptTokens: q.PromptTokens, outputTokens: c.outputTokens - generated, deadline: d.Level.Deadline(wallTime(c.arrived + c.fairShareDelay))}
	f := &inFlightCall{call: c, job: j}
	s.inFlight[c.vm][f] = true
	cachedTokens := 0
	j.firstToken = func(cached int) {
		s.after(hopDelay, func() {
			cachedTokens = cached
			r.chooser.RecordFirstToken(q, &d, wallTime(s.now), s.now-sent)
			s.recordFirstToken(c, q.PromptTokens, cached)
		})
	}
	j.finished = func() {
		s.after(hopDelay, func() {
			delete(s.inFlight[c.vm], f)
			r.chooser.RecordCompletion(&d, cachedTokens)
			c.release()
			s.quotas[c.account].refund(float64(c.outputTokens))
			s.contracts[c.account].refund(float64(c.outputTokens))
		})
	}
	j.failed = func() {
		s.after(hopDelay, func() {
			delete(s.inFlight[c.vm], f)
			r.unavailable[i] = true
			s.dispatch(c, min(generated+j.generatedTokens, c.outputTokens-1))
		})
	}
	s.after(hopDelay, func() {
		if s.engines[i].down {
			j.failed()
			return
		}
		s.engines[i].submit(j)
	})
}

// recordFirstToken records the time to first token of a call and its cache hit.
func (s *simulation) recordFirstToken(c *call, prompt, cached int) {
	if c.gotFirstToken {
		return
	}
	c.gotFirstToken = true
	if c.arrived <= warmUp {
		return
	}
	s.unanswered--
	s.promptTokens += prompt
	s.cachedTokens += cached
	ms := float64(s.now-c.arrived) / float64(time.Millisecond)
	if c.priority == priorityReview {
		s.reviewTTFT = append(s.reviewTTFT, ms)
		return
	}
	s.ttft[c.account] = append(s.ttft[c.account], ms)
}

// bucket is a token bucket.
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

// excess returns the number of tokens by which a call exceeds the level.
func (b *bucket) excess(tokens float64, now time.Duration) float64 {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	return max(0, tokens-b.level)
}

func (b *bucket) refund(tokens float64) { b.level = min(b.burst, b.level+tokens) }

// quantile returns the q-th quantile of values. It sorts values in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
