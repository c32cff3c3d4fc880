package bench

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/prefix"
	"papayaspan.dev/papayaspan/internal/route"
)

const (
	decisionAccounts = 8400
	decisionModels   = 11
	decisionBlocks   = 12 // cache blocks per prompt
)

// BenchmarkDecision measures the choice of an engine and its recording in a full
// prefix index.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{20, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { measureDecision(b, engines) })
	}
}

func measureDecision(b *testing.B, engines int) {
	rng := rand.New(rand.NewSource(1))
	before := heapBytes()
	index := prefix.NewIndex(indexBlocks, epoch)
	chooser := route.NewChooser(index, blockTokens)
	fleet := decisionFleet(index, engines)
	requests := decisionRequests(rng)
	for _, r := range requests {
		for range 2 {
			slot := fleet.Engines()[rng.Intn(engines)].Slot
			index.Record(r.Scope, r.Chain, slot, 0, epoch, epoch)
		}
	}
	requestBytes := uint64(len(requests) * decisionBlocks * 8)
	indexBytes := float64(heapBytes()-before-requestBytes) / float64(index.Len())
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		r := requests[i%len(requests)]
		d, err := chooser.Choose(fleet, r, now, rng)
		if err != nil {
			b.Fatal(err)
		}
		chooser.RecordDispatch(r, &d, now)
		i++
	}
	b.ReportMetric(indexBytes, "index_bytes/block")
	b.ReportMetric(float64(index.Len()), "blocks")
	runtime.KeepAlive(requests)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func decisionPool(m int) route.PoolKey {
	return route.PoolKey{Model: fmt.Sprint("model-", m), WeightsVersion: "1"}
}

// decisionFleet returns a fleet in which each engine serves two models, or all
// models if there are fewer than 100 engines.
func decisionFleet(index *prefix.Index, engines int) *route.Fleet {
	list := make([]route.Engine, engines)
	for i := range list {
		list[i] = route.Engine{ID: engineID(i), Slot: index.Attach(engineID(i), "1"), Load: route.NewLoad(nominalRate)}
		for m := range decisionModels {
			if engines < 100 || i%decisionModels == m || (i+1)%decisionModels == m {
				list[i].Pools = append(list[i].Pools, decisionPool(m))
			}
		}
	}
	return route.NewFleet(list)
}

// decisionRequests returns requests of all accounts, enough to fill the index.
func decisionRequests(rng *rand.Rand) []*route.Request {
	var requests []*route.Request
	for i := range indexBlocks/decisionBlocks + 1 {
		m := i % decisionModels
		id := account.ID(fmt.Sprint("account-", i%decisionAccounts))
		r := &route.Request{Scope: prefix.NewScope(id, decisionPool(m).Model, "1"), Pool: decisionPool(m)}
		for range decisionBlocks {
			r.Chain = append(r.Chain, prefix.Hash(rng.Uint64()))
		}
		r.PromptTokens = decisionBlocks*blockTokens + 300
		requests = append(requests, r)
	}
	return requests
}
