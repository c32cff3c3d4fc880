// Package canary decides how a service's traffic moves to a new software version of its backend
// servers: how much of it the version may get at each moment, when the version has to be rolled
// back, and when the old servers may stop. It contains no network and no clock.
//
// The holder of the order lease runs a Controller for each service in roll-out. Every VM runs a
// Gate, which enforces the announced share on the VM's own requests, and a Tally, which counts
// their answers.
package canary

import (
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Phase is the state of a roll-out.
type Phase string

const (
	// Running roll-outs move traffic step by step.
	Running Phase = "running"
	// Completed roll-outs have moved all traffic; the old servers stop at once.
	Completed Phase = "completed"
	// RolledBack roll-outs have ended; the new version gets no request any more.
	RolledBack Phase = "rolled_back"
)

// Order is an operator's request to move a service's traffic to a software version.
type Order struct {
	Service string `json:"service"`
	// To is the new software version.
	To string `json:"to"`
	// Duration is the time limit, counted from At.
	Duration time.Duration `json:"duration"`
	// Revision is that of the order's row. A row that is written again is a new order.
	Revision platform.Revision `json:"revision"`
	// At is when the order was first known, by the clock of the VM that uses it.
	At time.Time `json:"-"`
}

// Settings are the requirements of the deployment.
type Settings struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version gets: a share of all
	// requests for the service, and a number beyond that.
	ExposureShare, ExposureSlack float64
	// RollbackDelay is the time after the 50th bad answer from which no request may reach a bad
	// version.
	RollbackDelay time.Duration
}

// Enabled reports whether the deployment asks for roll-outs.
func (s Settings) Enabled() bool { return s.ExposureShare > 0 }

// LatencyBuckets is the number of buckets of a latency histogram. Bucket i holds latencies below
// 1 ms x 2^(i/2); the last one holds all others.
const LatencyBuckets = 32

// Counts are cumulative counts of answers of one software version on one route.
type Counts struct {
	Requests uint64                 `json:"n"`
	Failures uint64                 `json:"f,omitempty"`
	Latency  [LatencyBuckets]uint32 `json:"l"`
}

// RouteCounts are the answers on one route.
type RouteCounts struct {
	Route string `json:"r"`
	// Old and New are the answers of servers of other versions and of the new one.
	Old Counts `json:"o"`
	New Counts `json:"c"`
}

// Report is what one incarnation of a VM has counted for one roll-out since it knows the order.
type Report struct {
	Service string            `json:"s"`
	Order   platform.Revision `json:"v"`
	Routes  []RouteCounts     `json:"rt,omitempty"`
	// Sent and SentNew are the requests sent to the service and to its new version.
	Sent    uint64 `json:"a"`
	SentNew uint64 `json:"b"`
	// OldRunning is the number of this VM's requests that run at servers of other versions.
	OldRunning int `json:"w,omitempty"`
	// Stage is the stage that the VM enforces.
	Stage uint32 `json:"g"`
}

// VMReport is a report with its sender.
type VMReport struct {
	VM          vm.ID          `json:"i"`
	Incarnation vm.Incarnation `json:"n"`
	Report      Report         `json:"p"`
}

// Announcement tells all VMs what the new version of a service may get.
type Announcement struct {
	Service string            `json:"s"`
	To      string            `json:"t"`
	Order   platform.Revision `json:"v"`
	Phase   Phase             `json:"p"`
	// Fencing and Stage order the announcements of one order.
	Fencing uint64 `json:"f"`
	Stage   uint32 `json:"g"`
	// Share is the share of each VM's requests for the service that the new version may get.
	Share float64 `json:"h,omitempty"`
	// For is how long a running stage holds after the announcement was made. Completed and
	// RolledBack hold for good.
	For time.Duration `json:"d,omitempty"`
	// OldStopping is set in the last stage: no further request may go to other versions.
	OldStopping bool `json:"e,omitempty"`
}

// Record is the stored progress of a roll-out. A new holder of the lease continues from it.
type Record struct {
	Order Order `json:"order"`
	Phase Phase `json:"phase"`
	// Reason says why the phase was reached.
	Reason string `json:"reason,omitempty"`
	Stage  uint32 `json:"stage"`
	// Elapsed is the time since the order when the record was written.
	Elapsed time.Duration `json:"elapsed"`
	// Exposed is an upper bound of the requests that the new version has got, including those
	// that the current stage may still send before a later record is written.
	Exposed float64 `json:"exposed"`
	// Total is a lower bound of all requests for the service since the order.
	Total   float64 `json:"total"`
	Fencing uint64  `json:"fencing"`
}
