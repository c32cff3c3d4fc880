// Package node assembles the router process of an externally configured deployment: it follows
// the operator's objects and the servers' announcements in the platform's store, exchanges
// state with the other routers, and sends orders to engines while it holds the order lease.
package node

import (
	"context"
	"encoding/json"
	"fmt"
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
	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/delivery"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gateway"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/linkmeter"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/rollout"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/steer"
	"papayaspan.dev/papayaspan/internal/tunnel"
)

// Operator is the decoded content of rows of the operator's table.
type Operator struct {
	// Catalog is nil if no row holds a configuration.
	Catalog *catalog.Snapshot
	// Goals are the named versions of weights, by model.
	Goals map[string]uint64
	// Malformed holds an error for each row that could not be decoded.
	Malformed []error
}

// Decoder decodes the platform's objects.
type Decoder interface {
	// Operator decodes rows of the operator's table.
	Operator(rows []platform.Row) Operator
	// Server decodes a server's announcement. For a malformed one it returns an entry that is
	// marked as gone, and an error.
	Server(c platform.Change) (fleet.Entry, error)
}

// OrderResult is an engine's response to an order.
type OrderResult uint8

const (
	// OrderUnknown means that no response arrived: the engine may still carry out the order.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the engine carries out the order.
	OrderAccepted
	// OrderAlreadyHeld means that the engine already holds the weights.
	OrderAlreadyHeld
	// OrderConflict means that the engine has accepted another order in the meantime.
	OrderConflict
	// OrderFenced means that the engine has seen a greater fencing token.
	OrderFenced
	// OrderRefused means that the engine rejected the order.
	OrderRefused
)

var orderResults = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}

// String names the result for logs.
func (r OrderResult) String() string { return orderResults[r] }

// EngineReport is the state that an engine reports.
type EngineReport struct {
	// Started distinguishes the runs of an engine, as in its announcement.
	Started int64
	// AcceptedOrders is the number of orders that it has accepted.
	AcceptedOrders uint64
	// Busy is set while it carries out an order.
	Busy    bool
	Weights map[string]uint64
}

// Engines sends orders to engines, and asks servers for their state.
type Engines interface {
	// Load orders an engine that has accepted the given number of orders so far to load new
	// weights. No byte is written after the deadline.
	Load(ctx context.Context, e *fleet.Entry, o rollout.Order, orders uint64, holder lease.Holder, f lease.Fencing, deadline time.Time) (OrderResult, error)
	// Report requests an engine's state on a connection that is opened by dial.
	Report(ctx context.Context, e *fleet.Entry, dial tunnel.DialFunc) (EngineReport, error)
	// Leaving requests a server's health check and reports whether the server leaves. It returns
	// an error if the response shows neither.
	Leaving(ctx context.Context, e *fleet.Entry, path string, dial tunnel.DialFunc) (bool, error)
}

// Node is one router process.
type Node struct {
	opts    Options
	log     *zap.Logger
	now     func() time.Time
	started time.Time
	metrics metrics.Registry
	// clientMemory is for what clients and other VMs send.
	clientMemory *membudget.Budget
	// traffic counts the bytes on the VM's link.
	traffic *linkmeter.Meter

	Gateway       *gateway.Gateway
	directory     *fleet.Directory
	goals         *fleet.Goals
	servers       *selector.Table
	pool          *hop.Pool
	path          *tunnel.Path
	tunnels       *tunnel.Handler
	quota         *quota.Ledger
	crashCauses   *crashcause.Table
	origins       *origin.Table
	storeContents *selector.StoreIndex
	limits        *ratelimit.Table
	gossip        *gossip.Node
	peerHTTP      *http.Server
	listener      net.Listener
	keeper        *lease.Keeper
	planner       *rollout.Planner
	// delivery is nil where roll-outs of server versions are not enabled.
	delivery *delivery.Delivery

	sequence  atomic.Uint64
	members   atomic.Int64
	leaving   atomic.Bool
	digestDue chan struct{}
	// goalsChanged signals that naming times may have to be stored.
	goalsChanged chan struct{}
	// convictionsChanged signals that convictions may have to be stored.
	convictionsChanged chan struct{}
	// versionsChanged signals that software versions may have to be stored, originMissed that the
	// origin of a stream may have been stored by another VM.
	versionsChanged, originMissed chan struct{}
	// rereadMembers requests another read of the members' table: to obtain stored naming times,
	// or because the store was restored from an older copy.
	rereadMembers chan struct{}
	// runsUndecided signals that servers may have to be asked whether they leave.
	runsUndecided chan struct{}
	// askedRuns holds the runs whose servers are being asked.
	askedRuns sync.Map
	eras      eraState
	// membersTried is closed once the members were read, or a first attempt has failed.
	membersTried chan struct{}
	// firstPeerSeen is closed once the state of another VM was received, or once the members
	// show that there is none.
	firstPeerSeen chan struct{}
	firstPeerOnce sync.Once
	// digestToAll is set if the next digest goes to all VMs of the domain.
	digestToAll atomic.Bool
	// unsentToStandby holds the prompt notices that were sent only to the VMs that receive
	// calls; used by the digest loop only.
	unsentToStandby promptNotices
	// lastOrder is when this VM last sent an order, nil if it has sent none.
	lastOrder atomic.Pointer[time.Time]
	// persistedGoals holds, by model, the newest version whose naming time is in the store;
	// used by persistNamings only.
	persistedGoals map[string]uint64
	persistedEra   platform.Era
	storeClock     storeClock
	// serversKnown is set once the servers were listed.
	serversKnown atomic.Bool
	// serversCurrentAt is the latest time at which the servers known here were known to be
	// complete; nil before that.
	serversCurrentAt atomic.Pointer[time.Time]
	// encoded is the configuration in force as it is sent to other VMs, guarded by encodeMu.
	encodeMu    sync.Mutex
	encoded     encodedCatalog
	catalogLink linkBudget
	// fetchFailedAt is when a fetch of a peer's state last failed or was slow, nil if one
	// succeeded since.
	fetchFailedAt atomic.Pointer[time.Time]
	// isolated is set while this VM seems to be partitioned from the servers; used by the digest
	// loop only.
	isolated bool
	// unevenEngines is set while the engines' speeds count; used by the digest loop only.
	unevenEngines bool
	// calls measures the rate of calls; used by the digest loop only.
	calls    steer.Meter
	steering steering
	// claim is the newest known report about the order lease's term.
	claim atomic.Pointer[claim]
	// leaseDue signals that the order lease has to be given up, or that another VM has given it up.
	leaseDue chan struct{}
	// claimSent signals that a digest was sent; digestUrgent lets the next one be sent without a pause.
	claimSent    chan struct{}
	digestUrgent atomic.Bool
	// handover is nil where engines check fencing tokens.
	handover *handover
	// inherited are the engines that may carry out orders of the earlier holder when a term begins; used
	// by issueOrders only.
	inherited []backend.ID
	// rowWritten is when this VM last wrote the row of the order lease, or tried to; used by issueOrders
	// only.
	rowWritten time.Time
	// orderMu is held to record an order while the term permits it, and to resign.
	orderMu sync.Mutex

	// peerLoads are the loads and the reserved engines of the other VMs.
	peerLoadsMu sync.Mutex
	peerLoads   *peerLoads
	// peersCountedAt is when the other VMs were last counted.
	peersCountedAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	reserved []backend.ID
	observed map[backend.ID]observedWeights
	// catalogFetches and serverFetches are the fetches of the configuration and of the servers
	// from other VMs.
	catalogFetches, serverFetches fetches
	// newestCatalog is the newest version of the configuration that another VM has reported.
	newestCatalog knownCatalog
	// domains holds the last summary of each other failure domain.
	domains map[string]domainState
	// relayQueue holds the prompt notices that the next summary sends to the other domains.
	relayQueue promptNotices

	operatorFeed, serverFeed feedState
	loops                    sync.WaitGroup
	cancel                   context.CancelFunc
	stop                     sync.Once
}

// nominalPrefillRate is the assumed prefill rate of an engine in tokens per second: engines of
// the kind in use process 50 to 70 tokens per millisecond.
const nominalPrefillRate = 55_000

// New returns a node that listens for its peers and doesn't serve anything yet.
func New(opts Options) (*Node, error) {
	n := &Node{
		opts:               opts,
		log:                opts.Log,
		now:                clock.BootTime,
		started:            clock.BootTime(),
		metrics:            metrics.NewRegistry(),
		clientMemory:       clientconn.NewBudget(opts.MemoryBytes),
		directory:          fleet.NewDirectory(rowTTL(opts.Bounds.Heartbeat)),
		goals:              fleet.NewGoals(),
		digestDue:          make(chan struct{}, 1),
		goalsChanged:       make(chan struct{}, 1),
		rereadMembers:      make(chan struct{}, 1),
		convictionsChanged: make(chan struct{}, 1),
		versionsChanged:    make(chan struct{}, 1),
		originMissed:       make(chan struct{}, 1),
		runsUndecided:      make(chan struct{}, 1),
		leaseDue:           make(chan struct{}, 1),
		claimSent:          make(chan struct{}, 1),
		firstPeerSeen:      make(chan struct{}),
		membersTried:       make(chan struct{}),
		observed:           map[backend.ID]observedWeights{},
		catalogFetches:     newFetches(),
		serverFetches:      newFetches(),
		persistedGoals:     map[string]uint64{},
		domains:            map[string]domainState{},
		peerLoads:          newPeerLoads(),
		planner:            rollout.NewPlanner(rolloutSettings(opts.Bounds)),
	}
	store := &storeMeter{table: opts.Table, feed: opts.Feed, metrics: n.metrics}
	n.opts.Table, n.opts.Feed = store, store
	n.metrics.GetOrRegister("log_lines_dropped", metrics.NewFunctionalGauge(func() int64 { return int64(opts.LogDropped()) }))
	n.metrics.GetOrRegister("crash_causes", metrics.NewFunctionalGauge(func() int64 { return int64(len(n.crashCauses.Convictions())) }))
	n.metrics.GetOrRegister("servers_with_rate_limit", metrics.NewFunctionalGauge(func() int64 { return int64(n.limits.LimitedCount()) }))
	n.path = n.newServerPath()
	n.traffic = linkmeter.New(n.metrics)
	n.pool = hop.NewPoolWithDial(n.dialServer)
	n.pool.CountTraffic(n.traffic)
	n.tunnels = tunnel.NewHandler(tunnel.HandlerOptions{Log: opts.Log, Connect: n.connectForPeer, Withheld: n.withheldFromPeers, Asked: n.serverAsked})
	n.metrics.GetOrRegister("servers_backing_off", metrics.NewFunctionalGauge(func() int64 { return int64(n.limits.BackoffCount()) }))
	n.metrics.GetOrRegister("brittle_servers", metrics.NewFunctionalGauge(func() int64 { return int64(n.limits.BrittleCount()) }))
	n.servers = selector.NewTable(opts.Bounds.ReuseWindow, n.now)
	n.quota = quota.NewLedger(opts.Bounds.Quota, opts.FirstStart, n.now)
	n.storeContents = selector.NewStoreIndex(n.now)
	n.limits = ratelimit.NewTable(opts.VM.ID, n.now)
	n.crashCauses = crashcause.NewTable(n.now, n.convictionChanged)
	n.origins = origin.NewTable(n.now)
	n.delivery = n.newDelivery()
	n.Gateway = gateway.New(gateway.Options{
		Log:               opts.Log,
		Metrics:           n.metrics,
		Dialect:           opts.Dialect,
		Directory:         n.directory,
		Goals:             n.goals,
		Servers:           n.servers,
		Pool:              n.pool,
		Quota:             n.quota,
		RateLimits:        n.limits,
		CrashCauses:       n.crashCauses,
		Origins:           n.origins,
		Responses:         n.newResponseBudget(),
		StoreContents:     n.storeContents,
		NotifyPeers:       n.notifyBusy,
		DirectoryAge:      func() time.Duration { return n.serverStaleness() },
		FailureDomain:     opts.VM.FailureDomain,
		Model:             selector.CostModel{PrefillRate: nominalPrefillRate, VersionBound: opts.Bounds.VersionBound},
		ServersCurrent:    n.serversCurrent,
		ServersProvedAt:   n.serversProvedAt,
		OriginMissed:      func() { n.signal(n.originMissed) },
		RunningSince:      n.runningSince,
		ReachableByPeers:  n.reachableByPeers,
		RetryRatio:        opts.Bounds.RetryRatio,
		RetrySlack:        opts.Bounds.RetrySlack,
		RetryWindow:       opts.Bounds.RetryWindow,
		HedgeShare:        opts.HedgeShare,
		NewerCatalogKnown: n.newerCatalogKnown,
		FirstStart:        opts.FirstStart,
		Rollouts:          n.delivery,
		Now:               n.now,
	})
	n.competeForOrders()
	return n, n.listen()
}

// competeForOrders sets up the competition for the order lease.
func (n *Node) competeForOrders() {
	now := func() time.Time { return n.now() }
	n.keeper = lease.NewKeeperWithClock(n.opts.Table, "orders", n.holder(), n.opts.Bounds.Lease, now)
	if !n.opts.Bounds.FencingEnforced {
		n.handover = newHandover(n.opts.Bounds.Lease)
		n.keeper.SetNote(n.orderNote)
	}
	n.keeper.SetRenewing(n.announceRenewal)
}

func rolloutSettings(b Bounds) rollout.Settings {
	s := rollout.DefaultSettings()
	s.VersionBound = b.VersionBound
	return s
}

// holder returns the name of this process as a holder of the lease.
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
		BitRate:    gossipLinkShare * n.linkBitRate(),
		Traffic:    n.traffic,
		Received:   n.receiveDigest,
		Summarized: n.receiveSummary,
	})
	if err != nil {
		_ = l.Close()
		return err
	}
	n.gossip = g
	guard := n.newPeerGuard()
	n.listener = guard.Listener(l)
	n.peerHTTP = &http.Server{Handler: n.peerHandler()}
	guard.Protect(n.peerHTTP)
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
	n.goLoop(func() { n.gossip.Run(ctx) })
	n.goLoop(func() {
		if err := n.peerHTTP.Serve(n.listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("peer_server_ended", logging.Error(err))
		}
	})
	n.goLoop(func() { n.followOperator(ctx) })
	n.goLoop(func() { n.followServers(ctx) })
	n.goLoop(func() { n.maintainMembership(ctx) })
	n.goLoop(func() { n.sendDigests(ctx) })
	n.goLoop(func() { n.persistNamings(ctx) })
	n.goLoop(func() { n.persistConvictions(ctx) })
	n.goLoop(func() { n.loadOrigins(ctx) })
	n.goLoop(func() { n.persistVersions(ctx) })
	n.goLoop(func() { n.storeOrigins(ctx) })
	n.goLoop(func() { n.path.Run(ctx) })
	n.goLoop(func() { n.tunnels.Run(ctx) })
	n.goLoop(func() { n.watchLink(ctx) })
	n.goLoop(func() { n.issueOrders(ctx) })
	n.goLoop(func() { n.decideRuns(ctx) })
	n.goLoop(func() { n.runDelivery(ctx) })
	n.log.Info("node_started",
		zap.String("vm", string(n.opts.VM.ID)),
		zap.Uint64("incarnation", uint64(n.opts.VM.Incarnation)),
		zap.String("failure_domain", n.opts.VM.FailureDomain),
		zap.String("caller_address", n.opts.VM.CallerAddress),
		zap.String("peer_address", n.opts.Peer),
		zap.Bool("first", n.opts.FirstStart))
}

func (n *Node) goLoop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// Leave removes the VM from the addresses given to callers. It still serves requests.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.signal(n.leaseDue)
	n.log.Info("leave_started", zap.String("vm", string(n.opts.VM.ID)))
	n.notifyAll()
}

// Leaving reports whether Leave was called.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready reports whether callers may be sent to the VM.
func (n *Node) Ready() bool {
	return n.Gateway.Catalog() != nil && n.serversKnown.Load() && !n.Leaving()
}

// Stop removes the VM from the store and ends the loops. Later calls do nothing.
func (n *Node) Stop() {
	n.stop.Do(func() {
		n.deregister()
		if n.cancel != nil {
			n.cancel()
		}
		_ = n.peerHTTP.Close()
		n.tunnels.Close()
		n.loops.Wait()
		n.log.Info("node_stopped", zap.String("vm", string(n.opts.VM.ID)))
	})
}

// notifyAll requests an immediate digest to all VMs of the domain.
func (n *Node) notifyAll() {
	n.digestToAll.Store(true)
	n.notifyBusy()
}

// notifyBusy requests an immediate digest to the VMs that receive calls.
func (n *Node) notifyBusy() { n.signal(n.digestDue) }

// ServeMetrics writes the counters and histograms as JSON.
func (n *Node) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.metrics.GetAll()); err != nil {
		n.log.Warn("metrics_write_failed", logging.Error(err))
	}
}

// HasServer reports whether a backend server counts as present.
func (n *Node) HasServer(id backend.ID) bool { return n.directory.View().Server(id) != nil }
