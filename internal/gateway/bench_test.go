package gateway

import (
	"testing"
	"time"
)

// A server is chosen for each attempt on VMs with 0.144 of a core.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1000, 0)
	k := newTestTask(b, testEntries(72), &now)
	service := k.catalog.Service("llm")
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := k.choose(service); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
