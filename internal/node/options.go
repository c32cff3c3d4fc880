package node

import (
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/delivery"
	"papayaspan.dev/papayaspan/internal/gateway"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Options configure a Node.
type Options struct {
	Log *zap.Logger
	// LogDropped returns the number of log lines dropped so far.
	LogDropped func() uint64
	// VM describes this VM; its incarnation distinguishes this process from earlier ones.
	VM vm.VM
	// Peer is the host:port on which this router listens for other routers, on TCP and UDP.
	// They connect to the VM's peer address instead, if it has one.
	Peer string
	// LinkBitRate is the bandwidth of the VM's link in bits per second; 0 if it isn't known.
	LinkBitRate float64
	// MemoryBytes is the memory that the process may use, Descriptors the number of descriptors; 0 if
	// that isn't known.
	MemoryBytes int64
	Descriptors int
	// FirstStart is set if the deployment starts for the first time.
	FirstStart bool
	// Table and Feed access the platform's store.
	Table platform.Table
	Feed  platform.Feed
	// Decoder, Engines and Dialect translate between the platform's formats and this process.
	Decoder Decoder
	Engines Engines
	Dialect gateway.Dialect
	// OperatorTable, ServerTable, MemberTable and StreamTable are the names of tables in the
	// store.
	OperatorTable, ServerTable, MemberTable, StreamTable string
	// HedgeShare is the share of the requests for a service that may be hedged; 0 for none.
	HedgeShare float64
	// Rollouts translates orders of server versions.
	Rollouts delivery.Dialect
	Bounds   Bounds
}

// Bounds are the requirements of the deployment.
type Bounds struct {
	Quota quota.Settings
	// RetryRatio and RetrySlack bound the retries to a service by all VMs together.
	RetryRatio, RetrySlack float64
	// RetryWindow is the time in which these retries are counted; zero if it isn't known.
	RetryWindow time.Duration
	// Lease is how long the lease holder may send orders after a renewal.
	Lease time.Duration
	// FencingEnforced is set if engines reject older fencing tokens.
	FencingEnforced bool
	// VersionBound is the time after a naming from which no request may start on older weights.
	VersionBound time.Duration
	// ReuseWindow is the time within which the shared part of prompts should not be prefilled
	// again.
	ReuseWindow time.Duration
	// Heartbeat is the time between two announcements of a server; its row expires after three
	// heartbeats without one. Zero if it isn't known.
	Heartbeat time.Duration
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// Drain is the time within which a server that leaves must be known, and Stable the time after
	// which a VM counts as stable again after a disruption. Zero if they aren't known.
	Drain, Stable time.Duration
	// Rollouts are the requirements for roll-outs of server versions.
	Rollouts canary.Settings
}
