// Package route chooses the engine for a request. Filters drop engines that
// must not get the request, a Scorer estimates the cost of the request on each
// of a few candidates, and a Picker selects one of them.
package route

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/prefix"
)

const (
	// buckets is the number of key ranges to which rendezvous hashing assigns
	// engines.
	buckets = 4096
	// choicesPerBucket is the number of engines ranked for each bucket.
	choicesPerBucket = 4
)

// PoolKey identifies the engines that serve one weights version of a model.
type PoolKey struct {
	Model          string
	WeightsVersion string
}

// Engine is a router's view of one engine. All fields but Load are immutable.
type Engine struct {
	ID   backend.ID
	Slot prefix.Slot
	// Pools lists the models and weights versions that the engine serves.
	Pools []PoolKey
	// Leaving marks an engine that is being drained and gets no new requests.
	Leaving bool
	// Load is shared by all fleets that contain the engine.
	Load *Load
}

// Fleet is an immutable snapshot of the engines.
type Fleet struct {
	engines    []Engine
	byPosition []int32
	pools      map[PoolKey]*pool
}

// pool is the set of engines that serve one weights version of a model.
type pool struct {
	// members holds indexes into Fleet.engines in ascending order.
	members []int32
	// ranked holds the rendezvous choices of each bucket, highest weight first.
	ranked [][choicesPerBucket]int32
}

// NewFleet returns a snapshot of engines. It sorts and keeps the slice. The
// rendezvous choices depend only on the engines' IDs, so they are the same on
// every VM.
func NewFleet(engines []Engine) *Fleet {
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	f := &Fleet{engines: engines, pools: map[PoolKey]*pool{}}
	for i := range engines {
		f.add(int32(i))
	}
	for _, p := range f.pools {
		p.ranked = f.rank(p.members)
	}
	return f
}

// Len returns the number of engines.
func (f *Fleet) Len() int { return len(f.engines) }

// Engines returns all engines in the order of their IDs.
func (f *Fleet) Engines() []Engine { return f.engines }

func (f *Fleet) add(i int32) {
	e := &f.engines[i]
	for int(e.Slot.Position) >= len(f.byPosition) {
		f.byPosition = append(f.byPosition, -1)
	}
	f.byPosition[e.Slot.Position] = i
	if e.Leaving {
		return
	}
	for _, key := range e.Pools {
		p := f.pools[key]
		if p == nil {
			p = &pool{}
			f.pools[key] = p
		}
		p.members = append(p.members, i)
	}
}

// indexOfSlot returns the index of the engine in slot, or -1 if there is none.
func (f *Fleet) indexOfSlot(slot prefix.Slot) int32 {
	if int(slot.Position) >= len(f.byPosition) {
		return -1
	}
	i := f.byPosition[slot.Position]
	if i < 0 || f.engines[i].Slot != slot {
		return -1
	}
	return i
}

// contains reports whether engine i belongs to the pool.
func (p *pool) contains(i int32) bool {
	_, found := slices.BinarySearch(p.members, i)
	return found
}

// rank returns the rendezvous choices of every bucket among members.
func (f *Fleet) rank(members []int32) [][choicesPerBucket]int32 {
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = xxhash.Sum64String(string(f.engines[m].ID))
	}
	ranked := make([][choicesPerBucket]int32, buckets)
	for b := range ranked {
		ranked[b] = topChoices(members, seeds, uint64(b))
	}
	return ranked
}

// topChoices returns the members with the highest weights for a bucket, padded
// with -1 if there are too few.
func topChoices(members []int32, seeds []uint64, bucket uint64) [choicesPerBucket]int32 {
	best := [choicesPerBucket]int32{-1, -1, -1, -1}
	var weights [choicesPerBucket]uint64
	for i, m := range members {
		w := splitMix64(seeds[i] ^ splitMix64(bucket+1))
		for r := range best {
			if best[r] < 0 || w > weights[r] {
				best[r], m = m, best[r]
				weights[r], w = w, weights[r]
			}
			if m < 0 {
				break
			}
		}
	}
	return best
}

// splitMix64 is the finalizer of SplitMix64.
func splitMix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
