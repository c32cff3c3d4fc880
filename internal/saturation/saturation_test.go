package saturation

import (
	"math"
	"testing"
	"time"
)

// A meter that averages over the whole uptime, or over too short a time, would report a burst late
// or not at all.
func TestLoadOfLastSecond(t *testing.T) {
	now := time.Unix(1000, 0)
	var used time.Duration
	waits := []uint64{0, 0, 0}
	m := NewMeter(0.2, func(r *Reading) {
		r.ProcessorTime = used
		r.Waits = append(r.Waits[:0], waits...)
		r.WaitBounds = []float64{0, 0.001, 0.05, math.Inf(1)}
	})
	calls := int64(0)
	run := func(d time.Duration, cores float64, bucket int) {
		for end := now.Add(d); now.Before(end); now = now.Add(250 * time.Millisecond) {
			m.Update(calls, now)
			used += time.Duration(cores * 0.25 * float64(time.Second))
			waits[bucket] += 100
			calls += 10
		}
		m.Update(calls, now)
	}
	run(time.Minute, 0.01, 0)
	if l := m.Report(); l != nil {
		t.Errorf("an idle VM reports %+v", *l)
	}
	run(1250*time.Millisecond, 0.2, 2)
	got := m.Last()
	if !got.Saturated() || got.Utilization != 1 || got.WaitMS != 50 || got.PerCall != 5*time.Millisecond {
		t.Errorf("a full second of a busy VM: %+v", got)
	}
	run(1250*time.Millisecond, 0.08, 0)
	if l := m.Report(); l == nil || l.Saturated() || l.Utilization != 0.4 || l.WaitMS != 0 {
		t.Errorf("a second after the burst: %+v", l)
	}
}

// Waits at a low utilization come from a processor share that is enforced in periods, and must not
// bring further VMs in.
func TestWaitCountsOnlyUnderLoad(t *testing.T) {
	if (&Load{Utilization: 0.3, WaitMS: 80}).Saturated() || !(&Load{Utilization: 0.6, WaitMS: 30}).Saturated() {
		t.Error("a wait is judged regardless of the utilization")
	}
}

// The counters of the process must move while it works.
func TestProcessCounters(t *testing.T) {
	source := Process()
	var a, b Reading
	source(&a)
	for end := time.Now().Add(30 * time.Millisecond); time.Now().Before(end); {
		done := make(chan struct{})
		go close(done)
		<-done
	}
	source(&b)
	count := func(r Reading) (n uint64) {
		for _, c := range r.Waits {
			n += c
		}
		return n
	}
	if b.ProcessorTime <= a.ProcessorTime || count(b) <= count(a) || len(b.WaitBounds) != len(b.Waits)+1 {
		t.Errorf("from %v with %d waits to %v with %d", a.ProcessorTime, count(a), b.ProcessorTime, count(b))
	}
}

func BenchmarkUpdate(b *testing.B) {
	m, now := NewMeter(1, Process()), time.Unix(0, 0)
	for b.Loop() {
		now = now.Add(span)
		m.Update(0, now)
	}
}
