package saturation

import (
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// Process returns a source of this process's counters. It must be used by one meter only.
func Process() Source {
	samples := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	return func(r *Reading) {
		var used unix.Rusage
		if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err == nil {
			r.ProcessorTime = time.Duration(used.Utime.Nano() + used.Stime.Nano())
		}
		metrics.Read(samples)
		if samples[0].Value.Kind() != metrics.KindFloat64Histogram {
			return
		}
		h := samples[0].Value.Float64Histogram()
		r.Waits = append(r.Waits[:0], h.Counts...)
		r.WaitBounds = h.Buckets
	}
}
