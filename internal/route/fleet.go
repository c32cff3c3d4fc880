// Package route chooses the engine for a request. Filters drop engines that
// must not get the request, a Scorer estimates what the request costs on each
// of a few candidates, and a Picker takes one of them.
package route

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/prefix"
)

const (
	// buckets is the number of key ranges that rendezvous hashing places.
	buckets = 4096
	// choices is how many engines each bucket ranks.
	choices = 4
)

// PoolKey names the engines that serve one version of a model.
type PoolKey struct {
	Model          string
	WeightsVersion string
}

// Engine is one engine as a router sees it. All but Load is immutable.
type Engine struct {
	ID   backend.ID
	Slot prefix.Slot
	// Pools are the models and versions that the engine serves.
	Pools []PoolKey
	// Leaving engines get no new work.
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

// pool is the engines that serve one version of a model.
type pool struct {
	members []int32
	// ranked holds the best engines of each bucket, highest weight first.
	ranked [][choices]int32
}

// NewFleet returns a snapshot of engines. It keeps the slice. The rendezvous
// choices depend on the engines' IDs alone, so they are the same on every VM.
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

// inSlot returns the index of the engine in slot, or -1.
func (f *Fleet) inSlot(slot prefix.Slot) int32 {
	if int(slot.Position) >= len(f.byPosition) {
		return -1
	}
	i := f.byPosition[slot.Position]
	if i < 0 || f.engines[i].Slot != slot {
		return -1
	}
	return i
}

// has reports whether engine i belongs to the pool.
func (p *pool) has(i int32) bool {
	_, found := slices.BinarySearch(p.members, i)
	return found
}

// rank returns the rendezvous choices of every bucket.
func (f *Fleet) rank(members []int32) [][choices]int32 {
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = xxhash.Sum64String(string(f.engines[m].ID))
	}
	ranked := make([][choices]int32, buckets)
	for b := range ranked {
		ranked[b] = top(members, seeds, uint64(b))
	}
	return ranked
}

// top returns the members of the highest weight for a bucket. Missing choices
// are -1.
func top(members []int32, seeds []uint64, bucket uint64) [choices]int32 {
	best := [choices]int32{-1, -1, -1, -1}
	var weights [choices]uint64
	for i, m := range members {
		w := mix(seeds[i] ^ mix(bucket+1))
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

// mix is the finalizer of SplitMix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
