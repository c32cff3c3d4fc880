package prefix

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Run identifies one incarnation of an engine.
type Run struct {
	Engine      backend.ID
	Incarnation backend.Incarnation
}

// ExportedHolder is a holder of an exported block.
type ExportedHolder struct {
	// Run is an index into Export.Runs.
	Run int
	// Age is the time since the engine used the block.
	Age time.Duration
}

// ExportedBlock is one block of an Export.
type ExportedBlock struct {
	Hash Hash
	// Check distinguishes scopes whose block hashes collide.
	Check uint64
	// Computed is set if some engine is known to have computed the block.
	Computed bool
	Holders  []ExportedHolder
}

// Export is the part of an index that a router transfers to a starting peer.
type Export struct {
	Runs   []Run
	Blocks []ExportedBlock
}

// Export returns at most limit blocks, the most recently used of each shard.
func (x *Index) Export(limit int, now time.Time) Export {
	at := x.ticks(now)
	table := *x.slots.table.Load()
	var e Export
	runs := make([]int, len(table))
	for i, o := range table {
		runs[i] = len(e.Runs)
		if o != nil {
			e.Runs = append(e.Runs, Run{o.engine, o.incarnation})
		}
	}
	for i := range x.shards {
		e.Blocks = append(e.Blocks, x.shards[i].export(limit/shardCount, at, table, runs)...)
	}
	return e
}

func (s *shard) export(limit int, at uint32, table []*attachedEngine, runs []int) []ExportedBlock {
	s.mu.RLock()
	defer s.mu.RUnlock()
	order := make([]int, len(s.blocks))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(s.blocks[b].used) - int(s.blocks[a].used) })
	var out []ExportedBlock
	for _, i := range order[:min(limit, len(order))] {
		b := &s.blocks[i]
		eb := ExportedBlock{Hash: b.hash, Check: b.check, Computed: b.computed}
		for _, h := range b.holders {
			if currentInTable(table, h.slot) != nil && h.used <= at {
				eb.Holders = append(eb.Holders, ExportedHolder{runs[h.slot.Position], age(at, h.used)})
			}
		}
		out = append(out, eb)
	}
	return out
}

// Import adds a peer's blocks. Known blocks are left unchanged; holders are
// dropped if their incarnation is not the engine's present one.
func (x *Index) Import(e Export, now time.Time) {
	at := x.ticks(now)
	slots := make([]Slot, len(e.Runs))
	for i, r := range e.Runs {
		slots[i] = x.importSlot(r)
	}
	for i := range e.Blocks {
		x.importBlock(&e.Blocks[i], slots, at)
	}
}

// importSlot returns the slot of an engine's incarnation, or the zero Slot if
// another incarnation is attached here or the engine is unknown. Before the
// first report of an engine the peer's incarnation is assumed to be the present
// one; a later report corrects it.
func (x *Index) importSlot(r Run) Slot {
	o := x.slots.find(r.Engine)
	switch {
	case o == nil || r.Incarnation == "":
		return Slot{}
	case o.incarnation == r.Incarnation:
		return o.slot
	case o.incarnation == "":
		return x.slots.attach(r.Engine, r.Incarnation)
	}
	return Slot{}
}

func (x *Index) importBlock(b *ExportedBlock, slots []Slot, at uint32) {
	s := x.shard(b.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.byHash[b.Hash]; known {
		return
	}
	added := s.getOrAdd(b.Hash, b.Check, at, x.perShard)
	added.computed = b.Computed
	for _, h := range b.Holders {
		if h.Run < 0 || h.Run >= len(slots) || slots[h.Run] == (Slot{}) {
			continue
		}
		used := at - min(at, uint32(max(0, h.Age)/tick))
		x.addHolder(added, slots[h.Run], used)
	}
}
