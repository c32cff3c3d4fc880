package bench

import (
	"os"
	"strconv"
	"testing"
)

var faults = []string{"none", "flood", "crash", "gaps", "hotshift", "restart"}

var policies = []string{"roundrobin", "leastload", "prefixhash", "prefixhash-import", "papayaspan"}

// variants are policies that show the effect of the KV cache store and the
// result of a router with exact knowledge of all engines.
var variants = []string{"papayaspan-noimport", "oracle", "oracle-import"}

// seed returns the value of the environment variable BENCH_SEED, 1 by default.
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

// BenchmarkPolicy runs the same workload with each policy under each fault.
func BenchmarkPolicy(b *testing.B) {
	for i := range deployments {
		d := &deployments[i]
		b.Run(d.name, func(b *testing.B) {
			for _, fault := range faults {
				b.Run(fault, func(b *testing.B) {
					selected := policies
					if fault == "none" {
						selected = append(selected[:len(selected):len(selected)], variants...)
					}
					for _, policy := range selected {
						b.Run(policy, func(b *testing.B) { measurePolicy(b, d, fault, policy) })
					}
				})
			}
		})
	}
}

func measurePolicy(b *testing.B, d *deployment, fault, policy string) {
	var s *simulation
	for b.Loop() {
		s = newSimulation(d, fault, policy, seed(b))
		s.run()
	}
	var all []float64
	worst := 0.0
	for a, values := range s.ttft {
		all = append(all, values...)
		if fault != "flood" || a != floodAccount {
			worst = max(worst, quantile(values, 0.99))
		}
	}
	busy := 0.0
	for _, e := range s.engines {
		busy += e.prefillTime.Seconds() / runTime.Seconds() / float64(len(s.engines))
	}
	b.ReportMetric(float64(s.cachedTokens)/float64(s.promptTokens), "hit_rate")
	b.ReportMetric(quantile(all, 0.50), "ttft_p50_ms")
	b.ReportMetric(quantile(all, 0.99), "ttft_p99_ms")
	b.ReportMetric(float64(s.recomputedTokens), "recomputed_tokens")
	b.ReportMetric(float64(s.importedTokens), "imported_tokens")
	b.ReportMetric(worst, "worst_account_p99_ms")
	b.ReportMetric(float64(s.wrongfulRefusals), "wrongful_refusals")
	b.ReportMetric(s.overRateTokens, "over_rate_tokens")
	b.ReportMetric(quantile(s.reviewTTFT, 0.99), "review_p99_ms")
	b.ReportMetric(float64(s.refused), "refused")
	b.ReportMetric(float64(s.unanswered), "unanswered")
	b.ReportMetric(busy, "busy")
	b.ReportMetric(0, "ns/op")
}
