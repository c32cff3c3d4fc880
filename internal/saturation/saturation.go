// Package saturation measures how close a process is to the processor capacity of its VM:
// the processor time that it uses, and how long goroutines that are ready to run wait for a
// processor.
package saturation

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// span is the time over which the load is measured. It is long compared to the pauses of a
	// processor share that is enforced in periods (100 ms), short compared to a burst.
	span = time.Second
	// minInterval is the minimum time between two readings.
	minInterval = 200 * time.Millisecond
	// readings is the number of readings that are kept: enough to cover span.
	readings = int(span/minInterval) + 1
	// waitQuantile is the quantile of the waiting times that is reported. A request waits for
	// the processor several times, so that high waits of one goroutine in twenty delay most requests.
	waitQuantile = 0.95
	// reportedFrom is the utilization from which a load is reported. VMs on standby stay below
	// it, so that their digests don't grow.
	reportedFrom = 0.1
	// fullUtilization is the utilization from which a VM is saturated.
	fullUtilization = 0.85
	// longWait is the wait from which a VM is saturated at a utilization of at least
	// waitUtilization: a request that waits several times exceeds half of the shortest objective
	// (150 ms). At less utilization a wait shows only that the processor share is enforced in periods.
	longWait        = 20 * time.Millisecond
	waitUtilization = 0.5
)

// Load is the load of a VM's processor as it is reported to other VMs.
type Load struct {
	// Utilization is the part of the VM's processor capacity that its process uses.
	Utilization float64 `json:"u"`
	// WaitMS is a high quantile of the time for which ready goroutines wait for a processor, in
	// milliseconds.
	WaitMS int `json:"w,omitempty"`
}

// Saturated reports whether the VM has no capacity for further calls.
func (l *Load) Saturated() bool {
	return l != nil && (l.Utilization >= fullUtilization ||
		l.Utilization >= waitUtilization && time.Duration(l.WaitMS)*time.Millisecond >= longWait)
}

// Reading is the state of a process's counters.
type Reading struct {
	// ProcessorTime is the processor time that the process has used.
	ProcessorTime time.Duration
	// Waits counts, by their length, the times for which ready goroutines have waited. WaitBounds
	// are the bounds of its buckets in seconds: one more than there are counts.
	Waits      []uint64
	WaitBounds []float64
}

// Source reads the counters into a reading, whose memory it reuses.
type Source func(*Reading)

// Measured is the load of the last second.
type Measured struct {
	Load
	// PerCall is the processor time per call; 0 if there were no calls.
	PerCall time.Duration
}

type sample struct {
	at    time.Time
	calls int64
	Reading
}

// Meter measures the load. Update must be called from one goroutine; Last may be called from any.
type Meter struct {
	cores  float64
	source Source
	ring   [readings]sample
	count  int
	diff   []uint64
	last   atomic.Pointer[Measured]
}

// NewMeter returns a meter for a VM of the given processor capacity, in cores.
func NewMeter(cores float64, source Source) *Meter { return &Meter{cores: cores, source: source} }

// Update takes a reading if one is due. Calls is the total number of calls so far. A nil meter
// measures nothing.
func (m *Meter) Update(calls int64, now time.Time) {
	if m == nil || m.cores <= 0 {
		return
	}
	if m.count > 0 && now.Sub(m.ring[(m.count-1)%readings].at) < minInterval {
		return
	}
	newest := &m.ring[m.count%readings]
	newest.at, newest.calls = now, calls
	m.source(&newest.Reading)
	m.count++
	oldest := m.oldest(now)
	if oldest == newest {
		return
	}
	used := newest.ProcessorTime - oldest.ProcessorTime
	out := &Measured{}
	out.Utilization = math.Round(100*used.Seconds()/now.Sub(oldest.at).Seconds()/m.cores) / 100
	out.WaitMS = int(m.wait(oldest, newest).Milliseconds())
	if n := calls - oldest.calls; n > 0 {
		out.PerCall = used / time.Duration(n)
	}
	m.last.Store(out)
}

// oldest returns the oldest reading within span, or the one before the newest if that is older.
func (m *Meter) oldest(now time.Time) *sample {
	first := max(0, m.count-readings)
	for i := first; i < m.count-2; i++ {
		if s := &m.ring[i%readings]; now.Sub(s.at) <= span+minInterval/2 {
			return s
		}
	}
	return &m.ring[max(0, m.count-2)%readings]
}

// wait returns the quantile of the waits between two readings.
func (m *Meter) wait(from, to *sample) time.Duration {
	if len(from.Waits) != len(to.Waits) || len(to.WaitBounds) <= len(to.Waits) {
		return 0
	}
	m.diff = m.diff[:0]
	total := uint64(0)
	for i, c := range to.Waits {
		m.diff = append(m.diff, c-from.Waits[i])
		total += m.diff[i]
	}
	below := uint64(0)
	for i, c := range m.diff {
		if below += c; c > 0 && float64(below) >= waitQuantile*float64(total) {
			return time.Duration(max(0, to.WaitBounds[i]) * float64(time.Second))
		}
	}
	return 0
}

// Last returns the latest measurement; zero if there is none.
func (m *Meter) Last() Measured {
	if m == nil || m.last.Load() == nil {
		return Measured{}
	}
	return *m.last.Load()
}

// Report returns the load to report to other VMs, or nil if it is too small.
func (m *Meter) Report() *Load {
	l := m.Last().Load
	if l.Utilization < reportedFrom {
		return nil
	}
	return &l
}
