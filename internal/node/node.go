// Package node assembles the router process of an externally configured
// deployment: it follows the operator's objects and the servers' announcements
// in the platform's store, exchanges states with the other routers, and gives
// orders to engines while it holds the lease for it.
package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gateway"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/rollout"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/steer"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Operator is what rows of the operator's table say.
type Operator struct {
	// Catalog is nil if no row holds a configuration.
	Catalog *catalog.Snapshot
	// Goals are the named versions of weights, by model.
	Goals map[string]uint64
	// Malformed counts the rows that could not be read.
	Malformed []error
}

// Decoder reads the platform's objects.
type Decoder interface {
	// Operator reads rows of the operator's table.
	Operator(rows []platform.Row) Operator
	// Server reads a server's announcement. An unreadable one names no server:
	// its entry is marked gone and the error says why.
	Server(c platform.Change) (fleet.Entry, error)
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

const (
	// OrderUnknown means that no answer came: the order may still be carried
	// out.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the engine carries the order out.
	OrderAccepted
	// OrderHolds means that the engine holds the weights already.
	OrderHolds
	// OrderConflict means that the engine has accepted another order meanwhile.
	OrderConflict
	// OrderFenced means that the engine has seen a greater fencing token.
	OrderFenced
	// OrderRefused means that the engine doesn't take the order.
	OrderRefused
)

var orderResults = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}

// String names the result for logs.
func (r OrderResult) String() string { return orderResults[r] }

// EngineReport is what an engine says when it is asked.
type EngineReport struct {
	// Started tells the runs of an engine apart, as in its announcement.
	Started int64
	// Orders is the number of orders that it has accepted.
	Orders uint64
	// Busy is set while it carries an order out.
	Busy    bool
	Weights map[string]uint64
}

// Engines gives orders to engines.
type Engines interface {
	// Load orders new weights of an engine that has accepted a number of orders
	// so far. No byte is written after the deadline.
	Load(ctx context.Context, e *fleet.Entry, o rollout.Order, orders uint64, holder lease.Holder, f lease.Fencing, deadline time.Time) (OrderResult, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, e *fleet.Entry) (EngineReport, error)
}

// Options are what a Node is made of.
type Options struct {
	Log *zap.Logger
	// LogDropped returns the number of log lines dropped so far.
	LogDropped func() uint64
	// VM describes this VM; its incarnation tells this process from earlier ones.
	VM vm.VM
	// Peer is where this router listens for the others, host:port on TCP and UDP.
	// They reach it at the VM's peer address, if it has one.
	Peer string
	// First is set if the deployment starts for the first time.
	First bool
	// Store reaches the platform's store.
	Table platform.Table
	Feed  platform.Feed
	// Decoder, Engines and Dialect translate.
	Decoder Decoder
	Engines Engines
	Dialect gateway.Dialect
	// OperatorTable, ServerTable and MemberTable are tables of the store.
	OperatorTable, ServerTable, MemberTable string
	Bounds                                  Bounds
}

// Bounds are what the deployment demands.
type Bounds struct {
	Quota quota.Settings
	// RetryRatio, RetrySlack and RetryWindow bound repeated sends to a service
	// by all VMs together.
	RetryRatio, RetrySlack float64
	// Lease is for how long an order giver may act after a renewal.
	Lease time.Duration
	// FencingEnforced is set if engines refuse older fencing tokens.
	FencingEnforced bool
	// VersionBound is when no request may begin on older weights any more.
	VersionBound time.Duration
	// ReuseWindow is the time within which a shared part of prompts should not be
	// read again.
	ReuseWindow time.Duration
	// Heartbeat is the time between the announcements of a server; a row lapses after
	// three of them without one. Zero if it isn't known.
	Heartbeat time.Duration
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
}

// Node is one router process.
type Node struct {
	opts    Options
	log     *zap.Logger
	now     func() time.Time
	started time.Time
	metrics metrics.Registry

	Gateway   *gateway.Gateway
	directory *fleet.Directory
	goals     *fleet.Goals
	servers   *selector.Table
	pool      *hop.Pool
	quota     *quota.Ledger
	suspects  *gateway.Suspects
	shelf     *selector.Shelf
	limits    *ratelimit.Table
	gossip    *gossip.Node
	peerHTTP  *http.Server
	listener  net.Listener
	keeper    *lease.Keeper
	planner   *rollout.Planner

	sequence atomic.Uint64
	members  atomic.Int64
	leaving  atomic.Bool
	kick     chan struct{}
	// named tells of versions whose time of naming is to be kept.
	named chan struct{}
	// reread asks for another look at the members' table: for the rows that keep when
	// weights were named, or as the store has come back from an older copy.
	reread chan struct{}
	eras   eras
	// heardPeer is closed once another VM was heard of, or once there is none.
	heardPeer     chan struct{}
	heardPeerOnce sync.Once
	// tellAll is set if the next digest is for all VMs of the domain.
	tellAll atomic.Bool
	// untold are the placements that only the VMs that take calls were told of; it
	// is used by the digest loop only.
	untold relayed
	// lastOrder is when this VM gave its last order, nil if it gave none.
	lastOrder atomic.Pointer[time.Time]
	// keptGoals are the versions whose naming is kept in the store; it is used by
	// keepNamings only.
	keptGoals  map[string]uint64
	keptEra    platform.Era
	storeClock storeClock
	// serversKnown is set once the servers were listed.
	serversKnown atomic.Bool
	// news is when the servers known here were last known to be all there were, nil
	// before that.
	news atomic.Pointer[time.Time]
	// fetchFailed is when the last fetch of a state failed, nil if it succeeded.
	fetchFailed atomic.Pointer[time.Time]
	// calls is the rate of calls; it is used by the digest loop only.
	calls steer.Meter
	// claim is the newest that is known of a holder's term.
	claim atomic.Pointer[claim]

	mu       sync.Mutex
	reserved []backend.ID
	held     map[backend.ID]heldWeights
	behind   map[vm.ID]time.Time
	fetching bool
	// domains are the last summaries of other failure domains.
	domains map[string]domainState
	// relayed are the placements that the other domains have to hear of.
	relayed relayed

	operatorFeed, serverFeed feedState
	loops                    sync.WaitGroup
	cancel                   context.CancelFunc
	stop                     sync.Once
}

// nominalPrefillRate is the speed of an engine's prompt reading, in tokens a
// second, that is assumed: engines of the kind in use read 50 to 70 tokens a
// millisecond.
const nominalPrefillRate = 55_000

// New returns a node that listens for its peers and serves nothing yet.
func New(opts Options) (*Node, error) {
	n := &Node{
		opts:      opts,
		log:       opts.Log,
		now:       clock.BootTime,
		started:   clock.BootTime(),
		metrics:   metrics.NewRegistry(),
		directory: fleet.NewDirectory(lapseTime(opts.Bounds.Heartbeat)),
		goals:     fleet.NewGoals(),
		pool:      hop.NewPool(),
		kick:      make(chan struct{}, 1),
		named:     make(chan struct{}, 1),
		reread:    make(chan struct{}, 1),
		heardPeer: make(chan struct{}),
		held:      map[backend.ID]heldWeights{},
		behind:    map[vm.ID]time.Time{},
		keptGoals: map[string]uint64{},
		domains:   map[string]domainState{},
		planner:   rollout.NewPlanner(rolloutSettings(opts.Bounds)),
	}
	n.metrics.GetOrRegister("log_lines_dropped", metrics.NewFunctionalGauge(func() int64 { return int64(opts.LogDropped()) }))
	n.metrics.GetOrRegister("servers_with_rate_limit", metrics.NewFunctionalGauge(func() int64 { return int64(n.limits.Limited()) }))
	n.servers = selector.NewTable(opts.Bounds.ReuseWindow, n.now)
	n.quota = quota.NewLedger(opts.Bounds.Quota, opts.First, n.now)
	n.shelf = selector.NewShelf(n.now)
	n.limits = ratelimit.NewTable(opts.VM.ID, n.now)
	n.suspects = gateway.NewSuspects(n.now)
	n.Gateway = gateway.New(gateway.Options{
		Log:           opts.Log,
		Metrics:       n.metrics,
		Dialect:       opts.Dialect,
		Directory:     n.directory,
		Goals:         n.goals,
		Servers:       n.servers,
		Pool:          n.pool,
		Quota:         n.quota,
		RateLimits:    n.limits,
		Suspects:      n.suspects,
		Shelf:         n.shelf,
		Tell:          n.tellBusy,
		NewsAge:       func() time.Duration { return n.newsAge() },
		FailureDomain: opts.VM.FailureDomain,
		Model:         selector.Model{PrefillRate: nominalPrefillRate, VersionBound: opts.Bounds.VersionBound},
		RetryRatio:    opts.Bounds.RetryRatio,
		RetrySlack:    opts.Bounds.RetrySlack,
		Now:           n.now,
	})
	n.keeper = lease.NewKeeperWithClock(opts.Table, "orders", n.holder(), opts.Bounds.Lease, n.now)
	return n, n.listen()
}

func rolloutSettings(b Bounds) rollout.Settings {
	s := rollout.DefaultSettings()
	s.VersionBound = b.VersionBound
	return s
}

// holder names this process as the holder of the lease.
func (n *Node) holder() lease.Holder {
	return lease.Holder(fmt.Sprintf("%s-%x", n.opts.VM.ID, uint64(n.opts.VM.Incarnation)))
}

func (n *Node) listen() error {
	l, err := net.Listen("tcp", n.opts.Peer)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", n.opts.Peer)
	}
	g, err := gossip.New(gossip.Options{
		Self:       n.member(),
		Listen:     n.opts.Peer,
		Log:        n.log,
		Now:        n.now,
		Received:   n.received,
		Summarized: n.summarized,
	})
	if err != nil {
		_ = l.Close()
		return err
	}
	n.gossip, n.listener = g, l
	n.peerHTTP = &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: fetchTimeout, IdleTimeout: peerIdle}
	return nil
}

func (n *Node) member() gossip.Member {
	peer := n.opts.VM.PeerAddress
	if peer == "" {
		peer = n.opts.Peer
	}
	return gossip.Member{
		ID:            n.opts.VM.ID,
		FailureDomain: n.opts.VM.FailureDomain,
		Caller:        n.opts.VM.CallerAddress,
		Peer:          peer,
		Cores:         n.opts.VM.Cores,
	}
}

// Start runs the node's loops until Stop.
func (n *Node) Start(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.loop(func() { n.gossip.Run(ctx) })
	n.loop(func() {
		if err := n.peerHTTP.Serve(n.listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("peer_server_ended", logging.Error(err))
		}
	})
	n.loop(func() { n.followOperator(ctx) })
	n.loop(func() { n.followServers(ctx) })
	n.loop(func() { n.keepMembership(ctx) })
	n.loop(func() { n.sendDigests(ctx) })
	n.loop(func() { n.keepNamings(ctx) })
	n.loop(func() { n.giveOrders(ctx) })
	n.log.Info("node_started",
		zap.String("vm", string(n.opts.VM.ID)),
		zap.Uint64("incarnation", uint64(n.opts.VM.Incarnation)),
		zap.String("failure_domain", n.opts.VM.FailureDomain),
		zap.String("caller_address", n.opts.VM.CallerAddress),
		zap.String("peer_address", n.opts.Peer),
		zap.Bool("first", n.opts.First))
}

func (n *Node) loop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// Leave takes the VM out of the addresses. Requests are still served.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.log.Info("leave_started", zap.String("vm", string(n.opts.VM.ID)))
	n.wake()
}

// Leaving reports whether Leave was called.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready reports whether the VM may get callers.
func (n *Node) Ready() bool {
	return n.Gateway.Catalog() != nil && n.serversKnown.Load() && !n.Leaving()
}

// Stop takes the VM out of the store and ends the loops. Later calls do nothing.
func (n *Node) Stop() {
	n.stop.Do(func() {
		n.deregister()
		if n.cancel != nil {
			n.cancel()
		}
		_ = n.peerHTTP.Close()
		n.loops.Wait()
		n.log.Info("node_stopped", zap.String("vm", string(n.opts.VM.ID)))
	})
}

// wake sends a digest to all VMs of the domain at once.
func (n *Node) wake() {
	n.tellAll.Store(true)
	n.tellBusy()
}

// tellBusy sends a digest at once to the VMs that take calls.
func (n *Node) tellBusy() { n.signal(n.kick) }

// Addresses returns where callers of a failure domain should connect: VMs of
// that domain, and of others if it has too few.
func (n *Node) Addresses(domain string) []string {
	var near, far []steer.VM
	add := func(domainOf string, v steer.VM) {
		if domainOf == domain {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	if n.Ready() {
		self := n.opts.VM
		add(self.FailureDomain, steer.VM{ID: self.ID, Cores: self.Cores, Calls: n.calls.Last(), Address: self.CallerAddress})
	}
	now := n.now()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Ready && !p.Leaving {
			add(p.FailureDomain, steer.VM{ID: p.ID, Cores: p.Cores, Calls: p.Calls, Address: p.Caller})
		}
	}
	picked := steer.Pick(near)
	if missing := minAddresses - len(picked); missing > 0 {
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		picked = append(picked, far[:min(len(far), missing)]...)
	}
	addresses := make([]string, 0, len(picked))
	for _, v := range picked {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

// minAddresses is the least number of VMs that callers choose from, so that the
// loss of one leaves them another.
const minAddresses = 2

// ServeMetrics writes the counters and histograms as JSON.
func (n *Node) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.metrics.GetAll()); err != nil {
		n.log.Warn("metrics_write_failed", logging.Error(err))
	}
}

// Knows reports whether a backend server counts as present.
func (n *Node) Knows(id backend.ID) bool { return n.directory.View().Server(id) != nil }
