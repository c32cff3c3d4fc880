package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// BenchmarkClaim runs one claim and its outcome per request on one VM of eight,
// with 2 ms a table call, and reports how many requests one table write
// carries.
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
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := c; i < b.N; i += callers {
						g, err := st.Acquire(ctx, Key{Account: "shop-1", Idempotency: fmt.Sprint("booking-", i)}, "d")
						if err != nil {
							b.Error(err)
							return
						}
						g.Claim.Finish(ctx, 201, nil, body)
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
			b.ReportMetric(rowBytes(b, p), "row_bytes")
		})
	}
}

func rowBytes(b *testing.B, p *memplatform.Platform) float64 {
	rows, err := p.Scan(context.Background(), Prefix, "", b.N)
	if err != nil || len(rows) == 0 {
		b.Fatal(err)
	}
	return float64(len(rows[0].Key) + len(rows[0].Value))
}
