package bench

import (
	"container/heap"
	"container/list"
	"time"

	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
)

const blockTokens = prefix.DefaultBlockTokens

// Performance model of an engine: the duration of a batch step, and its limits.
const (
	stepBase          = 12 * time.Millisecond
	stepPerSequence   = 300 * time.Microsecond
	stepPerToken      = 100 * time.Microsecond
	chunkTokens       = 1024
	maxSequences      = 32
	importRate        = 30_000 // prompt tokens per second that one engine imports at most
	storeRate         = 80_000 // prompt tokens per second that the KV cache store delivers to all engines
	cacheBlocks       = 160
	nominalRate       = 8000 // prompt tokens per second, the routers' initial estimate
	engineRestartTime = 5 * time.Second
)

// clock executes events in order of their virtual time.
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

// job is one attempt to execute a request on an engine.
type job struct {
	salt                       string
	chain                      []prefix.Hash
	promptTokens, outputTokens int
	deadline                   time.Time // jobs are served in order of their deadlines
	cachedTokens               int       // prompt tokens found in the cache
	doneTokens                 int       // prompt tokens computed or cached
	registeredBlocks           int       // leading chain blocks that the job references in the cache
	privateBlocks              int       // blocks outside the cache that are reserved for the job
	generatedTokens            int
	cancelled                  bool
	started                    bool
	importAllowed              bool          // import the blocks after the cached ones from the store
	importDoneAt               time.Duration // when the imported blocks are in the cache
	firstToken                 func(cached int)
	finished                   func()
	failed                     func()
}

// cachedBlock is one block in an engine's cache. Unreferenced blocks are in the
// LRU list.
type cachedBlock struct {
	refs       int
	lruElement *list.Element
}

// engine simulates an engine with continuous batching. Each step computes a
// chunk of the waiting prompts and one token of each running sequence.
type engine struct {
	clock            *clock
	incarnation      int
	down             bool
	waiting          []*job
	running          []*job
	cache            map[prefix.Hash]*cachedBlock
	lru              *list.List // of prefix.Hash, the next block to evict first
	privateBlocks    int
	stepping         bool
	prefillTime      time.Duration        // total duration of the steps that compute prompts
	everComputed     map[prefix.Hash]bool // blocks that any engine has computed, shared by all engines
	recomputedTokens *int
	importedTokens   *int
	storeFreeAt      *time.Duration // when the KV cache store is idle again, shared by all engines
	publish          func(t prefix.EventType, salt string, hashes []prefix.Hash)
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.startStepIfIdle()
}

// startStepIfIdle starts a step if none is in progress and there is work.
func (e *engine) startStepIfIdle() {
	if !e.stepping && !e.down && len(e.waiting)+len(e.running) > 0 {
		e.step()
	}
}

// nextWaiting returns the waiting job with the earliest deadline whose prompt
// isn't complete and whose import, if any, has finished.
func (e *engine) nextWaiting() *job {
	var best *job
	for _, j := range e.waiting {
		if j.doneTokens < j.promptTokens && j.importDoneAt <= e.clock.now && (best == nil || j.deadline.Before(best.deadline)) {
			best = j
		}
	}
	return best
}

// abortCancelled removes the cancelled jobs that have not started to generate.
func (e *engine) abortCancelled() {
	for _, j := range append([]*job(nil), e.waiting...) {
		if !j.cancelled {
			continue
		}
		e.removeWaiting(j)
		if j.started {
			e.release(j)
		}
	}
}

func (e *engine) step() {
	e.abortCancelled()
	e.stepping = true
	took := stepBase + time.Duration(len(e.running))*stepPerSequence
	budget := chunkTokens
	var ready []*job
	for budget > 0 {
		j := e.nextWaiting()
		if j == nil || !j.started && !e.tryStart(j) {
			break
		}
		if j.importDoneAt > e.clock.now {
			continue
		}
		n := min(budget, j.promptTokens-j.doneTokens)
		j.doneTokens += n
		budget -= n
		took += time.Duration(n) * stepPerToken
		e.registerBlocks(j)
		if j.doneTokens >= j.promptTokens {
			ready = append(ready, j)
		}
	}
	if budget < chunkTokens {
		e.prefillTime += took
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
		j.generatedTokens++
		if j.cancelled || j.generatedTokens >= j.outputTokens {
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
		e.removeWaiting(j)
		j.generatedTokens = 1
		e.running = append(e.running, j)
		if !j.cancelled {
			j.firstToken(j.cachedTokens)
		}
	}
	e.startStepIfIdle()
}

func (e *engine) removeWaiting(j *job) {
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// tryStart reserves memory for a job and looks up its prefix. It returns false if
// too many sequences are active or there isn't enough memory.
func (e *engine) tryStart(j *job) bool {
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
	need := (j.promptTokens+j.outputTokens+blockTokens-1)/blockTokens - hits
	evictable := e.lru.Len()
	for _, h := range j.chain[:hits] {
		if e.cache[h].refs == 0 {
			evictable--
		}
	}
	free := cacheBlocks - len(e.cache) - e.privateBlocks
	if need > free+evictable && active > 0 {
		return false
	}
	for _, h := range j.chain[:hits] {
		e.reference(h)
	}
	e.privateBlocks += need
	j.privateBlocks, j.registeredBlocks, j.started = need, hits, true
	e.evict()
	j.doneTokens = min(hits*blockTokens, j.promptTokens-1)
	j.cachedTokens = j.doneTokens
	e.startImport(j, hits)
	return true
}

// startImport starts the import of blocks from the KV cache store, which
// contains every block that any engine has computed.
func (e *engine) startImport(j *job, hits int) {
	n := 0
	for n < len(j.chain)-hits && e.everComputed[j.chain[hits+n]] {
		n++
	}
	if n == 0 || !j.importAllowed {
		return
	}
	tokens := time.Duration(n*blockTokens) * time.Second
	*e.storeFreeAt = max(*e.storeFreeAt, e.clock.now) + tokens/storeRate
	j.importDoneAt = max(*e.storeFreeAt, e.clock.now+tokens/importRate)
	j.doneTokens = min((hits+n)*blockTokens, j.promptTokens-1)
	*e.importedTokens += n * blockTokens
	incarnation := e.incarnation
	e.clock.after(j.importDoneAt-e.clock.now, func() {
		if e.incarnation == incarnation {
			e.finishImport(j, hits+n)
		}
	})
}

// finishImport adds imported blocks to the cache without counting them as
// recomputed.
func (e *engine) finishImport(j *job, blocks int) {
	if j.cancelled {
		return
	}
	recomputed := *e.recomputedTokens
	done := j.doneTokens
	j.doneTokens = blocks * blockTokens
	e.registerBlocks(j)
	j.doneTokens, *e.recomputedTokens = done, recomputed
	e.startStepIfIdle()
}

// evict removes the least recently used blocks until the memory limit is met.
func (e *engine) evict() {
	var removed []prefix.Hash
	for len(e.cache)+e.privateBlocks > cacheBlocks && e.lru.Len() > 0 {
		h := e.lru.Remove(e.lru.Front()).(prefix.Hash)
		delete(e.cache, h)
		removed = append(removed, h)
	}
	if len(removed) > 0 {
		e.publish(prefix.Removed, "", removed)
	}
}

func (e *engine) reference(h prefix.Hash) {
	b := e.cache[h]
	b.refs++
	if b.lruElement != nil {
		e.lru.Remove(b.lruElement)
		b.lruElement = nil
	}
}

// registerBlocks adds the job's computed full blocks to the cache.
func (e *engine) registerBlocks(j *job) {
	var stored []prefix.Hash
	for j.registeredBlocks < len(j.chain) && (j.registeredBlocks+1)*blockTokens <= j.doneTokens {
		h := j.chain[j.registeredBlocks]
		if e.everComputed[h] {
			*e.recomputedTokens += blockTokens
		}
		e.everComputed[h] = true
		if e.cache[h] == nil {
			e.cache[h] = &cachedBlock{}
			stored = append(stored, h)
		}
		e.reference(h)
		j.registeredBlocks++
		j.privateBlocks--
		e.privateBlocks--
	}
	if len(stored) > 0 {
		e.publish(prefix.Stored, j.salt, stored)
	}
}

// release frees a job's memory. The last blocks of its chain are evicted first.
func (e *engine) release(j *job) {
	e.privateBlocks -= j.privateBlocks
	for i := j.registeredBlocks - 1; i >= 0; i-- {
		b := e.cache[j.chain[i]]
		b.refs--
		if b.refs == 0 {
			b.lruElement = e.lru.PushBack(j.chain[i])
		}
	}
}

// crash fails all jobs, clears the cache and restarts the engine after
// engineRestartTime.
func (e *engine) crash() {
	lost := append(e.waiting, e.running...)
	e.incarnation++
	e.down, e.stepping = true, false
	e.waiting, e.running, e.privateBlocks = nil, nil, 0
	e.cache, e.lru = map[prefix.Hash]*cachedBlock{}, list.New()
	for _, j := range lost {
		if !j.cancelled {
			j.failed()
		}
	}
	e.clock.after(engineRestartTime, func() { e.down = false })
}

// currentLoad returns the load that the engine reports.
func (e *engine) currentLoad() route.Report {
	r := route.Report{Sampled: wallTime(e.clock.now), Running: len(e.running), TotalBlocks: cacheBlocks}
	r.FreeBlocks = cacheBlocks - e.privateBlocks - (len(e.cache) - e.lru.Len())
	for _, j := range e.waiting {
		uncomputed := j.promptTokens - j.doneTokens
		if !j.started {
			uncomputed -= e.cachedPrefixBlocks(j.chain) * blockTokens
		}
		r.QueuedTokens += max(uncomputed, 0)
	}
	return r
}

// cachedPrefixBlocks returns the number of leading blocks of the chain that are
// in the cache.
func (e *engine) cachedPrefixBlocks(chain []prefix.Hash) int {
	n := 0
	for n < len(chain) && e.cache[chain[n]] != nil {
		n++
	}
	return n
}

var epoch = time.Unix(1_700_000_000, 0)

// wallTime converts a virtual time to a wall time.
func wallTime(d time.Duration) time.Time { return epoch.Add(d) }
