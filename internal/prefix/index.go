package prefix

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

const (
	// shardCount is the number of separately locked parts of the index.
	shardCount = 64
	// maxHolders bounds the number of holders kept for one block.
	maxHolders = 32
	// evictionSample is the number of blocks among which a victim for eviction
	// is selected.
	evictionSample = 8
	// tick is the unit of stored times, which count from Index.epoch.
	tick = 16 * time.Millisecond
)

// holder is an engine that likely holds a block.
type holder struct {
	slot Slot
	// used is the tick at which the engine last used the block. A tick in the
	// future is the time at which the engine is expected to have computed the
	// block of a dispatched prompt.
	used uint32
}

// block is one known block. It may have no holders.
type block struct {
	hash  Hash
	check uint64
	used  uint32
	// computed is set once some engine is known to have computed the block.
	computed bool
	holders  []holder
}

// shard contains the blocks of a part of the hash space.
type shard struct {
	mu     sync.RWMutex
	byHash map[Hash]int32
	blocks []block
	// clockHand is the position of the next block to consider for eviction.
	clockHand int
}

// Index records which engines likely hold which blocks. Its memory is bounded,
// and it is safe for concurrent use.
type Index struct {
	epoch        time.Time
	perShard     int
	slots        *slots
	recentScopes scopeSet
	shards       [shardCount]shard
}

// Match is an engine that likely holds the first blocks of a prompt.
type Match struct {
	Slot Slot
	// Blocks is the number of leading blocks that the engine likely holds.
	Blocks int
	// Ready is the number of these blocks that are already computed. The others
	// belong to dispatched prompts that the engine is expected to compute soon.
	Ready int
	// Age is the time since the engine used the last of these blocks.
	Age time.Duration
}

// NewIndex returns an empty index of at most maxBlocks blocks. Times passed to
// its methods must not be before epoch.
func NewIndex(maxBlocks int, epoch time.Time) *Index {
	x := &Index{
		epoch:    epoch,
		perShard: max(1, maxBlocks/shardCount),
		slots:    newSlots(),
	}
	for i := range x.shards {
		x.shards[i].byHash = map[Hash]int32{}
	}
	return x
}

// Attach returns the slot of an engine's incarnation. A new incarnation starts
// with no entries.
func (x *Index) Attach(engine backend.ID, incarnation backend.Incarnation) Slot {
	return x.slots.attach(engine, incarnation)
}

// Detach removes an engine and invalidates its entries.
func (x *Index) Detach(engine backend.ID) { x.slots.detach(engine) }

// Len returns the number of known blocks.
func (x *Index) Len() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.RLock()
		n += len(s.byHash)
		s.mu.RUnlock()
	}
	return n
}

// Record records that a prompt with these blocks was sent to the engine in slot.
// The engine is assumed to hold the first held blocks and to have computed the
// others by the time ready. A retired slot is ignored.
func (x *Index) Record(scope Scope, chain []Hash, slot Slot, held int, now, ready time.Time) {
	if x.slots.current(slot) == nil {
		return
	}
	at := x.ticks(now)
	readyAt := max(at, x.ticks(ready))
	x.recentScopes.add(scope, at)
	for i, h := range chain {
		used := at
		if i >= held {
			used = readyAt
		}
		s := x.shard(h)
		s.mu.Lock()
		b := s.getOrAdd(h, scope.check, at, x.perShard)
		b.computed = b.computed || i < held
		x.addHolder(b, slot, used)
		s.mu.Unlock()
	}
}

// Lookup appends to buf the engines that likely hold leading blocks of chain.
// An engine that holds a block is assumed to hold all blocks before it: a hash
// covers the whole prefix, and engines evict the end of a prefix first.
func (x *Index) Lookup(scope Scope, chain []Hash, now time.Time, buf []Match) []Match {
	at := x.ticks(now)
	table := *x.slots.table.Load()
	start := len(buf)
	for depth := len(chain); depth > 0; depth-- {
		buf = x.collect(scope, chain[depth-1], depth, at, table, buf, start)
	}
	return buf
}

// Computed returns the number of leading blocks of chain that some engine is
// known to have computed, whether or not it still holds them.
func (x *Index) Computed(scope Scope, chain []Hash) int {
	for depth := len(chain); depth > 0; depth-- {
		if x.computed(scope, chain[depth-1]) {
			return depth
		}
	}
	return 0
}

func (x *Index) computed(scope Scope, h Hash) bool {
	s := x.shard(h)
	s.mu.RLock()
	defer s.mu.RUnlock()
	i, known := s.byHash[h]
	return known && s.blocks[i].check == scope.check && s.blocks[i].computed
}

// collect adds the valid holders of block h, which is the block of the chain at
// depth, to the matches buf[start:].
func (x *Index) collect(scope Scope, h Hash, depth int, at uint32, table []*attachedEngine, buf []Match, start int) []Match {
	s := x.shard(h)
	s.mu.RLock()
	defer s.mu.RUnlock()
	i, known := s.byHash[h]
	if !known || s.blocks[i].check != scope.check {
		return buf
	}
	for _, held := range s.blocks[i].holders {
		o := currentInTable(table, held.slot)
		if o == nil {
			continue
		}
		age := age(at, held.used)
		if age > o.entryLifetime(held.used) {
			continue
		}
		j := indexOfSlot(buf[start:], held.slot)
		if j < 0 {
			buf = append(buf, Match{Slot: held.slot, Blocks: depth, Age: age})
			j = len(buf) - 1 - start
		}
		m := &buf[start+j]
		if m.Ready == 0 && held.used <= at {
			m.Ready = depth
		}
	}
	return buf
}

// indexOfSlot returns the index of the match of a slot, or -1 if there is none.
func indexOfSlot(matches []Match, slot Slot) int {
	for j := range matches {
		if matches[j].Slot == slot {
			return j
		}
	}
	return -1
}

// Observe updates the retention estimate of an engine from a match that was used
// for a dispatch and the number of blocks that the engine reported as cached.
// Matches with blocks that were not computed at the time are ignored, because
// they don't depend on retention.
func (x *Index) Observe(m Match, cachedBlocks int) {
	o := x.slots.current(m.Slot)
	if o == nil || m.Blocks == 0 || m.Ready < m.Blocks {
		return
	}
	if cachedBlocks < m.Blocks {
		o.retention.recordMiss(m.Age)
		return
	}
	o.retention.recordHit(m.Age)
}

// Retention returns the estimated time for which the engine in slot keeps an
// unused block, or 0 for a retired slot.
func (x *Index) Retention(slot Slot) time.Duration {
	o := x.slots.current(slot)
	if o == nil {
		return 0
	}
	return o.retention.get()
}

func (x *Index) shard(h Hash) *shard { return &x.shards[h%shardCount] }

func (x *Index) ticks(t time.Time) uint32 { return uint32(t.Sub(x.epoch) / tick) }

// age returns the time from tick used to tick now, or 0 if used is later.
func age(now, used uint32) time.Duration {
	if now < used {
		return 0
	}
	return time.Duration(now-used) * tick
}

// addHolder adds slot to the block's holders or updates its time of use. If the
// least recently used holder has a retired slot, or the block already has
// maxHolders, the new holder replaces it.
func (x *Index) addHolder(b *block, slot Slot, at uint32) {
	oldest := 0
	for i := range b.holders {
		old := &b.holders[i]
		if old.slot.Position == slot.Position {
			*old = holder{slot: slot, used: at}
			return
		}
		if old.used < b.holders[oldest].used {
			oldest = i
		}
	}
	if len(b.holders) > 0 && (len(b.holders) == maxHolders || x.slots.current(b.holders[oldest].slot) == nil) {
		b.holders[oldest] = holder{slot: slot, used: at}
		return
	}
	b.holders = append(b.holders, holder{slot: slot, used: at})
}

// removeHolder removes slot from the block's holders.
func (b *block) removeHolder(slot Slot) {
	for i := range b.holders {
		if b.holders[i].slot == slot {
			last := len(b.holders) - 1
			b.holders[i] = b.holders[last]
			b.holders = b.holders[:last]
			return
		}
	}
}

// getOrAdd returns the block h, which it adds if it is unknown, evicting another
// block at capacity. A block of another scope with the same hash is replaced.
func (s *shard) getOrAdd(h Hash, check uint64, at uint32, capacity int) *block {
	if i, known := s.byHash[h]; known {
		b := &s.blocks[i]
		if b.check != check {
			b.check, b.computed, b.holders = check, false, b.holders[:0]
		}
		b.used = at
		return b
	}
	if len(s.blocks) < capacity {
		s.blocks = append(s.blocks, block{hash: h, check: check, used: at})
		s.byHash[h] = int32(len(s.blocks) - 1)
		return &s.blocks[len(s.blocks)-1]
	}
	i := s.selectVictim()
	b := &s.blocks[i]
	delete(s.byHash, b.hash)
	b.hash, b.check, b.used, b.computed, b.holders = h, check, at, false, b.holders[:0]
	s.byHash[h] = int32(i)
	return b
}

// selectVictim returns the index of the least recently used of the next
// evictionSample blocks from clockHand, and advances clockHand past them.
func (s *shard) selectVictim() int {
	best := s.clockHand
	for range min(evictionSample, len(s.blocks)) {
		if s.blocks[s.clockHand].used < s.blocks[best].used {
			best = s.clockHand
		}
		s.clockHand = (s.clockHand + 1) % len(s.blocks)
	}
	return best
}
