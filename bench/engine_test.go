package bench

import (
	"container/heap"
	"container/list"
	"time"

	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
)

const blockTokens = prefix.DefaultBlockTokens

// Costs of one step of an engine's batch.
const (
	stepBase      = 12 * time.Millisecond
	stepPerSeq    = 300 * time.Microsecond
	stepPerToken  = 100 * time.Microsecond
	chunkTokens   = 1024
	maxSequences  = 32
	importRate    = 30_000 // prompt tokens a second into one engine
	storeRate     = 80_000 // prompt tokens a second out of the KV cache store
	cacheBlocks   = 160
	nominalRate   = 8000 // prompt tokens a second
	engineRestart = 5 * time.Second
)

// clock runs events in virtual time.
type clock struct {
	now    time.Duration
	events eventQueue
	seq    int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + d, c.seq, run})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// job is one attempt of a request on an engine.
type job struct {
	salt           string
	chain          []prefix.Hash
	prompt, output int
	deadline       time.Time // served in this order
	cached         int       // prompt tokens found in the cache
	done           int       // prompt tokens computed or cached
	registered     int       // chain blocks that the job refers to in the cache
	private        int       // blocks that only the job uses
	generated      int
	cancelled      bool
	started        bool
	imports        bool          // import blocks after the cached ones
	importedBy     time.Duration // when they have arrived
	firstToken     func(cached int)
	finished       func()
	failed         func()
}

// cached is one block in an engine's cache. Unreferenced blocks are in the LRU.
type cachedBlock struct {
	refs int
	lru  *list.Element
}

// engine batches continuously, in steps that each compute a chunk of prompts
// and one token for each running sequence.
type engine struct {
	clock       *clock
	incarnation int
	down        bool
	waiting     []*job
	running     []*job
	cache       map[prefix.Hash]*cachedBlock
	lru         *list.List // of prefix.Hash, next to evict first
	private     int
	stepping    bool
	busy        time.Duration        // in steps that compute prompts
	computed    map[prefix.Hash]bool // by any engine, shared
	recomputed  *int
	imported    *int
	store       *time.Duration // when the KV cache store is free, shared
	publish     func(t prefix.EventType, salt string, hashes []prefix.Hash)
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.kick()
}

func (e *engine) kick() {
	if !e.stepping && !e.down && len(e.waiting)+len(e.running) > 0 {
		e.step()
	}
}

// next returns the waiting job that is served first.
func (e *engine) next() *job {
	var best *job
	for _, j := range e.waiting {
		if j.done < j.prompt && j.importedBy <= e.clock.now && (best == nil || j.deadline.Before(best.deadline)) {
			best = j
		}
	}
	return best
}

// abort drops the cancelled jobs that have not started to generate.
func (e *engine) abort() {
	for _, j := range append([]*job(nil), e.waiting...) {
		if !j.cancelled {
			continue
		}
		e.drop(j)
		if j.started {
			e.release(j)
		}
	}
}

func (e *engine) step() {
	e.abort()
	e.stepping = true
	took := stepBase + time.Duration(len(e.running))*stepPerSeq
	budget := chunkTokens
	var ready []*job
	for budget > 0 {
		j := e.next()
		if j == nil || !j.started && !e.start(j) {
			break
		}
		if j.importedBy > e.clock.now {
			continue
		}
		n := min(budget, j.prompt-j.done)
		j.done += n
		budget -= n
		took += time.Duration(n) * stepPerToken
		e.register(j)
		if j.done >= j.prompt {
			ready = append(ready, j)
		}
	}
	if budget < chunkTokens {
		e.busy += took
	}
	incarnation := e.incarnation
	e.clock.after(took, func() {
		if e.incarnation == incarnation {
			e.endStep(ready)
		}
	})
}

func (e *engine) endStep(ready []*job) {
	e.stepping = false
	running := e.running[:0]
	for _, j := range e.running {
		j.generated++
		if j.cancelled || j.generated >= j.output {
			e.release(j)
			if !j.cancelled {
				j.finished()
			}
			continue
		}
		running = append(running, j)
	}
	e.running = running
	for _, j := range ready {
		e.drop(j)
		j.generated = 1
		e.running = append(e.running, j)
		if !j.cancelled {
			j.firstToken(j.cached)
		}
	}
	e.kick()
}

func (e *engine) drop(j *job) {
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// start reserves memory for a job and looks up its prefix. It returns false if
// the job has to wait.
func (e *engine) start(j *job) bool {
	active := len(e.running)
	for _, w := range e.waiting {
		if w.started {
			active++
		}
	}
	if active >= maxSequences {
		return false
	}
	hits := 0
	for hits < len(j.chain) && e.cache[j.chain[hits]] != nil {
		hits++
	}
	need := (j.prompt+j.output+blockTokens-1)/blockTokens - hits
	idle := e.lru.Len()
	for _, h := range j.chain[:hits] {
		if e.cache[h].refs == 0 {
			idle--
		}
	}
	free := cacheBlocks - len(e.cache) - e.private
	if need > free+idle && active > 0 {
		return false
	}
	for _, h := range j.chain[:hits] {
		e.ref(h)
	}
	e.private += need
	j.private, j.registered, j.started = need, hits, true
	e.evict()
	j.done = min(hits*blockTokens, j.prompt-1)
	j.cached = j.done
	e.load(j, hits)
	return true
}

// load starts the import of blocks from the KV cache store, which holds every
// block that was ever computed.
func (e *engine) load(j *job, hits int) {
	n := 0
	for n < len(j.chain)-hits && e.computed[j.chain[hits+n]] {
		n++
	}
	if n == 0 || !j.imports {
		return
	}
	tokens := time.Duration(n*blockTokens) * time.Second
	*e.store = max(*e.store, e.clock.now) + tokens/storeRate
	j.importedBy = max(*e.store, e.clock.now+tokens/importRate)
	j.done = min((hits+n)*blockTokens, j.prompt-1)
	*e.imported += n * blockTokens
	run := e.incarnation
	e.clock.after(j.importedBy-e.clock.now, func() {
		if e.incarnation == run {
			e.arrived(j, hits+n)
		}
	})
}

// arrived adds imported blocks to the cache.
func (e *engine) arrived(j *job, blocks int) {
	if j.cancelled {
		return
	}
	recomputed := *e.recomputed
	done := j.done
	j.done = blocks * blockTokens
	e.register(j)
	j.done, *e.recomputed = done, recomputed
	e.kick()
}

// evict makes room by dropping the longest unused blocks.
func (e *engine) evict() {
	var removed []prefix.Hash
	for len(e.cache)+e.private > cacheBlocks && e.lru.Len() > 0 {
		h := e.lru.Remove(e.lru.Front()).(prefix.Hash)
		delete(e.cache, h)
		removed = append(removed, h)
	}
	if len(removed) > 0 {
		e.publish(prefix.Removed, "", removed)
	}
}

func (e *engine) ref(h prefix.Hash) {
	b := e.cache[h]
	b.refs++
	if b.lru != nil {
		e.lru.Remove(b.lru)
		b.lru = nil
	}
}

// register moves the job's computed full blocks into the cache.
func (e *engine) register(j *job) {
	var stored []prefix.Hash
	for j.registered < len(j.chain) && (j.registered+1)*blockTokens <= j.done {
		h := j.chain[j.registered]
		if e.computed[h] {
			*e.recomputed += blockTokens
		}
		e.computed[h] = true
		if e.cache[h] == nil {
			e.cache[h] = &cachedBlock{}
			stored = append(stored, h)
		}
		e.ref(h)
		j.registered++
		j.private--
		e.private--
	}
	if len(stored) > 0 {
		e.publish(prefix.Stored, j.salt, stored)
	}
}

// release returns a job's memory, the deepest blocks to be evicted first.
func (e *engine) release(j *job) {
	e.private -= j.private
	for i := j.registered - 1; i >= 0; i-- {
		b := e.cache[j.chain[i]]
		b.refs--
		if b.refs == 0 {
			b.lru = e.lru.PushBack(j.chain[i])
		}
	}
}

// crash loses all work and the cache.
func (e *engine) crash() {
	lost := append(e.waiting, e.running...)
	e.incarnation++
	e.down, e.stepping = true, false
	e.waiting, e.running, e.private = nil, nil, 0
	e.cache, e.lru = map[prefix.Hash]*cachedBlock{}, list.New()
	for _, j := range lost {
		if !j.cancelled {
			j.failed()
		}
	}
	e.clock.after(engineRestart, func() { e.down = false })
}

// report is the engine's current load.
func (e *engine) report() route.Report {
	r := route.Report{Sampled: vtime(e.clock.now), Running: len(e.running), TotalBlocks: cacheBlocks}
	r.FreeBlocks = cacheBlocks - e.private - (len(e.cache) - e.lru.Len())
	for _, j := range e.waiting {
		left := j.prompt - j.done
		if !j.started {
			left -= e.held(j.chain) * blockTokens
		}
		r.QueuedTokens += max(left, 0)
	}
	return r
}

// held is the number of leading blocks in the cache.
func (e *engine) held(chain []prefix.Hash) int {
	n := 0
	for n < len(chain) && e.cache[chain[n]] != nil {
		n++
	}
	return n
}

var start = time.Unix(1_700_000_000, 0)

// vtime is a virtual time as a wall time.
func vtime(d time.Duration) time.Time { return start.Add(d) }
