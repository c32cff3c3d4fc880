package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// BenchmarkClaim runs one claim and one outcome per request on one VM of eight,
// with 2 ms per table call, and reports the requests per table write. With a
// single caller there is a pause between requests; with more there is none.
func BenchmarkClaim(b *testing.B) {
	const vms = 8
	for _, callers := range []int{1, 32, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			p := memplatform.New()
			p.SetFaults(memplatform.Faults{DelayMillis: 2})
			st := NewStore(p, p.Objects(), Owner{VM: "vm1"}, DefaultSettings())
			st.SetVMs(vms)
			runStore(b, st)
			ctx := context.Background()
			body := make([]byte, 300)
			b.ReportAllocs()
			b.ResetTimer()
			waits := make([][]time.Duration, callers)
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := c; i < b.N; i += callers {
						begin := time.Now()
						g, err := st.Acquire(ctx, Key{Account: "shop-1", Idempotency: fmt.Sprint("booking-", i)}, "d")
						if err != nil {
							b.Error(err)
							return
						}
						waits[c] = append(waits[c], time.Since(begin))
						g.Claim.Finish(ctx, 201, nil, body)
						if callers == 1 {
							time.Sleep(200 * time.Millisecond)
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			seconds := b.Elapsed().Seconds()
			writes := float64(p.Counts().Writes)
			b.ReportMetric(float64(b.N)/seconds, "claims/s")
			b.ReportMetric(float64(b.N)/writes, "claims/write")
			b.ReportMetric(writes/seconds, "writes/s")
			b.ReportMetric(float64(p.Counts().Reads)/seconds, "reads/s")
			all := slices.Concat(waits...)
			slices.Sort(all)
			b.ReportMetric(all[len(all)/2].Seconds()*1e3, "claim_p50_ms")
			b.ReportMetric(all[len(all)*99/100].Seconds()*1e3, "claim_p99_ms")
			b.ReportMetric(rowBytes(b, p), "row_bytes")
		})
	}
}

// rowBytes returns the size of one claim row.
func rowBytes(b *testing.B, p *memplatform.Platform) float64 {
	rows, err := p.Scan(context.Background(), Prefix, "", b.N)
	if err != nil || len(rows) == 0 {
		b.Fatal(err)
	}
	return float64(len(rows[0].Key) + len(rows[0].Value))
}
