package prefix

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

const (
	shardCount = 64
	// maxHolders bounds the engines remembered for one block.
	maxHolders = 32
	// evictionSample is how many blocks compete for eviction.
	evictionSample = 8
	// tick is the resolution of stored times.
	tick = 16 * time.Millisecond
)

// holder is an engine that likely holds a block.
type holder struct {
	slot Slot
	// used is when the engine last used the block, in ticks. A time in the
	// future is when a dispatched prompt's block is expected to be computed.
	used uint32
}

// block is one known block. It may have no holders.
type block struct {
	hash  Hash
	check uint64
	used  uint32
	// computed is set once an engine is known to have computed the block.
	computed bool
	holders  []holder
}

// shard holds the blocks of a part of the hash space.
type shard struct {
	mu     sync.RWMutex
	byHash map[Hash]int32
	blocks []block
	hand   int
}

// Index remembers which engines likely hold which blocks. It is bounded in
// memory and safe for concurrent use.
type Index struct {
	epoch    time.Time
	perShard int
	slots    *slots
	recent   scopeSet
	shards   [shardCount]shard
}

// Match is an engine that likely holds the first blocks of a prompt.
type Match struct {
	Slot Slot
	// Blocks is the number of leading blocks that the engine likely holds.
	Blocks int
	// Ready is the number of them that are computed already. The others belong
	// to prompts that the engine is expected to compute soon.
	Ready int
	// Age is the time since the engine used the last of them.
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

// Detach forgets an engine.
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

// Record notes that the engine in slot was sent a prompt with these blocks. It
// is taken to hold the first held blocks, and to have computed the others at
// the time ready. A retired slot is ignored.
func (x *Index) Record(scope Scope, chain []Hash, slot Slot, held int, now, ready time.Time) {
	if x.slots.current(slot) == nil {
		return
	}
	at := x.ticks(now)
	later := max(at, x.ticks(ready))
	x.recent.add(scope, at)
	for i, h := range chain {
		used := at
		if i >= held {
			used = later
		}
		s := x.shard(h)
		s.mu.Lock()
		b := s.touch(h, scope.check, at, x.perShard)
		b.computed = b.computed || i < held
		x.hold(b, slot, used)
		s.mu.Unlock()
	}
}

// Lookup appends to buf the engines that likely hold leading blocks of chain.
// An engine that holds a block is taken to hold all blocks before it: a hash
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

// Computed returns the number of leading blocks of chain that some engine has
// computed, whether it still holds them or not.
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

// collect adds the holders of the block h at a depth to the matches buf[start:].
func (x *Index) collect(scope Scope, h Hash, depth int, at uint32, table []*occupant, buf []Match, start int) []Match {
	s := x.shard(h)
	s.mu.RLock()
	defer s.mu.RUnlock()
	i, known := s.byHash[h]
	if !known || s.blocks[i].check != scope.check {
		return buf
	}
	for _, held := range s.blocks[i].holders {
		o := currentIn(table, held.slot)
		if o == nil {
			continue
		}
		age := age(at, held.used)
		if age > o.lifetime(held.used) {
			continue
		}
		j := find(buf[start:], held.slot)
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

// find returns the index of the match of a slot, or -1.
func find(matches []Match, slot Slot) int {
	for j := range matches {
		if matches[j].Slot == slot {
			return j
		}
	}
	return -1
}

// Observe compares a match that was used for a dispatch with the number of
// blocks that the engine reported as cached. Matches with blocks that were not
// computed yet teach nothing about retention.
func (x *Index) Observe(m Match, cachedBlocks int) {
	o := x.slots.current(m.Slot)
	if o == nil || m.Blocks == 0 || m.Ready < m.Blocks {
		return
	}
	if cachedBlocks < m.Blocks {
		o.retention.missed(m.Age)
		return
	}
	o.retention.held(m.Age)
}

// Retention returns the estimate of how long the engine in slot keeps an
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

func age(now, used uint32) time.Duration {
	if now < used {
		return 0
	}
	return time.Duration(now-used) * tick
}

// hold adds slot to the block's holders. Retired holders, or else the longest
// unused one, make room.
func (x *Index) hold(b *block, slot Slot, at uint32) {
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

// release removes slot from the block's holders.
func (b *block) release(slot Slot) {
	for i := range b.holders {
		if b.holders[i].slot == slot {
			last := len(b.holders) - 1
			b.holders[i] = b.holders[last]
			b.holders = b.holders[:last]
			return
		}
	}
}

// touch returns the block h, adding it if it is unknown. A block of another
// scope with the same hash is replaced.
func (s *shard) touch(h Hash, check uint64, at uint32, capacity int) *block {
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
	i := s.victim()
	b := &s.blocks[i]
	delete(s.byHash, b.hash)
	b.hash, b.check, b.used, b.computed, b.holders = h, check, at, false, b.holders[:0]
	s.byHash[h] = int32(i)
	return b
}

// victim returns the longest unused of the next blocks after the hand.
func (s *shard) victim() int {
	best := s.hand
	for range min(evictionSample, len(s.blocks)) {
		if s.blocks[s.hand].used < s.blocks[best].used {
			best = s.hand
		}
		s.hand = (s.hand + 1) % len(s.blocks)
	}
	return best
}
