package bench

import (
	"os"
	"strconv"
	"testing"
)

var faults = []string{"none", "flood", "crash", "gaps", "hotshift", "restart"}

var policies = []string{"roundrobin", "leastload", "prefixhash", "prefixhash-import", "papayaspan"}

// variants show what the KV cache store contributes, and what an all-knowing
// router gets.
var variants = []string{"papayaspan-noimport", "oracle", "oracle-import"}

// seed is the value of BENCH_SEED, 1 by default.
func seed(b *testing.B) int64 {
	text := os.Getenv("BENCH_SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		b.Fatalf("BENCH_SEED: %v", err)
	}
	return n
}

// BenchmarkPolicy plays the same work under each fault with each policy.
func BenchmarkPolicy(b *testing.B) {
	for i := range deployments {
		d := &deployments[i]
		b.Run(d.name, func(b *testing.B) {
			for _, fault := range faults {
				b.Run(fault, func(b *testing.B) {
					run := policies
					if fault == "none" {
						run = append(run[:len(run):len(run)], variants...)
					}
					for _, policy := range run {
						b.Run(policy, func(b *testing.B) { measure(b, d, fault, policy) })
					}
				})
			}
		})
	}
}

func measure(b *testing.B, d *deployment, fault, policy string) {
	var w *world
	for b.Loop() {
		w = newWorld(d, fault, policy, seed(b))
		w.run()
	}
	var all []float64
	worst := 0.0
	for a, values := range w.ttft {
		all = append(all, values...)
		if fault != "flood" || a != floodAccount {
			worst = max(worst, quantile(values, 0.99))
		}
	}
	busy := 0.0
	for _, e := range w.engines {
		busy += e.busy.Seconds() / runTime.Seconds() / float64(len(w.engines))
	}
	b.ReportMetric(float64(w.cached)/float64(w.prompt), "hit_rate")
	b.ReportMetric(quantile(all, 0.50), "ttft_p50_ms")
	b.ReportMetric(quantile(all, 0.99), "ttft_p99_ms")
	b.ReportMetric(float64(w.recomputed), "recomputed_tokens")
	b.ReportMetric(float64(w.imported), "imported_tokens")
	b.ReportMetric(worst, "worst_account_p99_ms")
	b.ReportMetric(float64(w.wrongful), "wrongful_refusals")
	b.ReportMetric(w.overRate, "over_rate_tokens")
	b.ReportMetric(quantile(w.reviews, 0.99), "review_p99_ms")
	b.ReportMetric(float64(w.refused), "refused")
	b.ReportMetric(float64(w.unanswered), "unanswered")
	b.ReportMetric(busy, "busy")
	b.ReportMetric(0, "ns/op")
}
