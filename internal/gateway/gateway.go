package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/delivery"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/fairroom"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// Options are the dependencies and settings of a Gateway.
type Options struct {
	Log           *zap.Logger
	Metrics       metrics.Registry
	Dialect       Dialect
	Directory     *fleet.Directory
	Goals         *fleet.Goals
	Servers       *selector.Table
	Pool          *hop.Pool
	Quota         *quota.Ledger
	RateLimits    *ratelimit.Table
	CrashCauses   *crashcause.Table
	Origins       *origin.Table
	StoreContents *selector.StoreIndex
	FailureDomain string
	Model         selector.CostModel
	// NotifyPeers is called when other VMs should be informed soon: a long prompt is sent to
	// an engine, or a server accepts no connections or states a rate limit. It must not
	// block.
	NotifyPeers func()
	// DirectoryAge returns the age of the evidence that no server is missing from the
	// directory; negative if there is none. Only logs use it.
	DirectoryAge func() time.Duration
	// ServersProvedAt returns the latest time at which servers that had ended were missing from the
	// directory, or shown with their next run; zero if there is none.
	ServersProvedAt func() time.Time
	// ServersCurrent reports whether the directory has all servers that other VMs may use.
	ServersCurrent func() bool
	// OriginMissed is called when a stream can't be resumed because its origin isn't known.
	OriginMissed func()
	// RunningSince asks a server for the start time of its run, in Unix milliseconds.
	RunningSince func(ctx context.Context, e *fleet.Entry) (int64, error)
	// ReachableByPeers reports whether a server accepts connections from other VMs.
	ReachableByPeers func(e *fleet.Entry) bool
	// RetryRatio and RetrySlack bound the repeated sends to a service by all VMs
	// together: a share of the requests for it, and a number beyond that.
	RetryRatio, RetrySlack float64
	// RetryWindow is the time in which these sends are counted; zero if it isn't known.
	RetryWindow time.Duration
	// HedgeShare is the share of the requests for a service that may be sent to a second server
	// because the first one is slow; 0 for none.
	HedgeShare float64
	// Responses bounds the memory for responses that are held whole; nil means no bound.
	Responses *membudget.Budget
	// NewerCatalogKnown reports whether another VM has a newer configuration in force than the given
	// version; nil if that isn't known.
	NewerCatalogKnown func(catalog.Version) bool
	// FirstStart is set if the deployment starts for the first time.
	FirstStart bool
	// Rollouts decides which software versions requests may use; nil if all.
	Rollouts *delivery.Delivery
	// Now is the boot-time clock.
	Now func() time.Time
}

// Gateway serves calls.
type Gateway struct {
	opts    Options
	catalog atomic.Pointer[catalog.Catalog]
	// members is the number of VMs, senders the number of those that take calls.
	members, senders atomic.Int64
	withheld         atomic.Pointer[map[string]bool]
	// catalogWaiters counts the calls that wait for a newer configuration.
	catalogWaiters atomic.Int64
	// refusesCalls is set once all calls are refused, refusesStreams once streams are.
	refusesCalls, refusesStreams atomic.Bool
	// endsAt is when calls end because the VM stops; nil before that is known. ended ends them.
	endsAt       atomic.Pointer[time.Time]
	ended        context.Context
	endCalls     context.CancelFunc
	retryBudgets sync.Map // of *dispatch.RetryBudget by service
	started      time.Time
	// probedServers holds the key (selector.ServerKey) of each server that
	// probeUntilReachable probes; crashChecks holds the pending *crashCheck of each
	// such key.
	probedServers, crashChecks sync.Map
	runCheckMu                 sync.Mutex
	// runChecks holds the reports in progress by server.
	runChecks map[selector.ServerKey]*runCheck
	// attempts holds each *attempt in progress.
	attempts sync.Map
	meters   meters
	// fairUsage is what client accounts use, fairRooms holds the *fairroom.Room of each service.
	fairUsage *fairroom.Usage
	fairRooms sync.Map
	// hedges is nil if no request is hedged.
	hedges *hedger
}

// New returns a gateway without a configuration.
func New(opts Options) *Gateway {
	ended, endCalls := context.WithCancel(context.Background())
	g := &Gateway{opts: opts, started: opts.Now(), ended: ended, endCalls: endCalls, meters: newMeters(opts.Metrics), hedges: newHedger(&opts), runChecks: map[selector.ServerKey]*runCheck{}, fairUsage: fairroom.NewUsage(opts.Quota.Rates)}
	g.SetMembers(1, 1)
	g.withheld.Store(&map[string]bool{})
	return g
}

// Publish puts a configuration into force unless one of the same or a newer version is,
// and reports whether it did.
func (g *Gateway) Publish(s catalog.Snapshot) bool {
	next := catalog.New(s)
	for {
		cur := g.catalog.Load()
		if cur != nil && cur.Version >= s.Version {
			return false
		}
		if g.catalog.CompareAndSwap(cur, next) {
			return true
		}
	}
}

// Catalog returns the configuration in force, or nil.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Calls returns the number of calls since the start.
func (g *Gateway) Calls() int64 { return g.meters.requests.Count() }

// SetMembers sets the number of VMs, and of those that take calls and so share the
// servers' connections and the retry budgets.
func (g *Gateway) SetMembers(members, senders int) {
	g.members.Store(int64(max(1, members)))
	if g.senders.Swap(int64(max(1, senders))) == int64(senders) {
		return
	}
	g.retryBudgets.Range(func(_, b any) bool {
		b.(*dispatch.RetryBudget).SetReserve(g.retryShare())
		return true
	})
}

// Senders returns the number of VMs that take calls.
func (g *Gateway) Senders() int { return int(g.senders.Load()) }

// minRetryShares is the least number of VMs that the retry slack is split between,
// because more VMs may take calls before this one knows of them. It is the size of the
// smaller deployments.
const minRetryShares = 9

// retryShare returns this VM's share of the retry slack. Half of the slack is reserved
// for VMs that start or stop taking calls.
func (g *Gateway) retryShare() float64 {
	return g.opts.RetrySlack / 2 / float64(max(minRetryShares, g.senders.Load()))
}

// SetWithheld sets the servers that get no new requests because they are about to load
// weights.
func (g *Gateway) SetWithheld(ids map[string]bool) { g.withheld.Store(&ids) }

// codeStopping is the code of a call that a VM which stops doesn't take or ends.
const codeStopping = "stopping"

// RefuseStreams refuses further stream calls, which may last long; those in progress
// continue.
func (g *Gateway) RefuseStreams() { g.refusesStreams.Store(true) }

// RefuseCalls refuses all further calls; those in progress continue.
func (g *Gateway) RefuseCalls() { g.refusesCalls.Store(true) }

// RefuseBeyond refuses further calls whose deadline lies after the given time, when calls end: their
// callers would wait for a response that may never come.
func (g *Gateway) RefuseBeyond(end time.Time) { g.endsAt.Store(&end) }

// EndCalls ends the calls in progress whose response has not begun, and tells their callers.
func (g *Gateway) EndCalls() { g.endCalls() }

// model returns the deployment's model with the prefill rate measured so far.
func (g *Gateway) model() selector.CostModel {
	m := g.opts.Model
	m.PrefillRate = g.opts.Servers.PrefillRate(m.PrefillRate)
	return m
}

// retryBudget returns the retry budget of a service. It begins without its reserve while the process
// before may have spent that within the same window: all VMs together must keep within the slack however
// often they start.
func (g *Gateway) retryBudget(service string) *dispatch.RetryBudget {
	if b, ok := g.retryBudgets.Load(service); ok {
		return b.(*dispatch.RetryBudget)
	}
	newBudget := dispatch.NewEmptyRetryBudget
	window := g.opts.RetryWindow
	if g.opts.FirstStart || window > 0 && g.opts.Now().Sub(g.started) >= window {
		newBudget = dispatch.NewRetryBudget
	}
	b, _ := g.retryBudgets.LoadOrStore(service, newBudget(g.opts.RetryRatio, g.retryShare()))
	return b.(*dispatch.RetryBudget)
}

const (
	// configRetryAfter is the delay after which a caller should retry at a VM that has
	// no configuration yet.
	configRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest retry delay that a caller is given.
	minRetryAfter = 100 * time.Millisecond
	// A retry delay is at most the caller's remaining time divided by
	// retryAfterDivisor. Clients don't wait for a longer one; source: the client side
	// of the protocol.
	retryAfterDivisor = 3.2
)

// Serve processes one call.
func (g *Gateway) Serve(ctx context.Context, c *Call, sink Sink) {
	t := &task{g: g, call: c, sink: sink, lastEvent: c.LastEvent, ran: verdict.NotRun}
	if refusal := t.admit(ctx); refusal != nil {
		t.refuse(refusal)
		t.log()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.keepOnStop = context.AfterFunc(g.ended, cancel)
	defer t.keepOnStop()
	t.run(ctx)
	if t.fallback != nil {
		t.fallback.release()
	}
	if t.ran == verdict.NotRun {
		g.opts.Quota.Return(t.account.ID, t.units)
		t.countUsage(-1)
	}
	t.log()
}

// admit checks the call and finds its route. A returned error is the final response.
func (t *task) admit(ctx context.Context) *verdict.Error {
	g, c := t.g, t.call
	g.meters.requests.Mark(1)
	t.catalog = g.Catalog()
	t.account = &catalog.Account{}
	t.deadline = c.Arrived.Add(c.CallerTimeout)
	if g.refusesCalls.Load() {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, codeStopping, "this VM is about to stop", minRetryAfter)
	}
	if t.catalog == nil {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, "no_configuration", "this VM has no configuration yet", configRetryAfter)
	}
	if refusal := t.match(); refusal != nil {
		if refusal = t.confirmRefusal(ctx, refusal); refusal != nil {
			return refusal
		}
	}
	if t.route.Kind == catalog.Stream && g.refusesStreams.Load() {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, codeStopping, "this VM is about to stop", minRetryAfter)
	}
	t.setDeadline()
	if end := g.endsAt.Load(); end != nil && t.deadline.After(*end) {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, codeStopping, "this VM stops before the deadline of the request", minRetryAfter)
	}
	if t.timeLeft() <= 0 {
		return verdict.Refuse(http.StatusServiceUnavailable, "deadline_passed", "the deadline had passed when the request had arrived")
	}
	if refusal := t.refuseCrashing(); refusal != nil {
		return refusal
	}
	return t.chargeQuota()
}

// match finds the call's route and account in the configuration.
func (t *task) match() *verdict.Error {
	t.route = t.catalog.Route(t.call.Host, t.call.Path)
	if t.route == nil {
		return routeUnknownError()
	}
	account, refusal := t.findAccount(t.catalog, t.route)
	if refusal != nil {
		return refusal
	}
	t.account = account
	return nil
}

// chargeQuota charges the call to its account's quota.
func (t *task) chargeQuota() *verdict.Error {
	t.units = 1
	if t.account.CountsTokens {
		t.units = float64(t.call.PromptTokens + t.call.MaxTokens)
		if t.units <= 0 {
			t.units = t.account.DefaultTokens
		}
	}
	if t.account.ID == "" {
		return nil
	}
	admit := t.g.opts.Quota.Admit
	if t.resumes() {
		admit = t.g.opts.Quota.AdmitResumed
	}
	v := admit(t.account.ID, quota.Bound{Rate: t.account.Rate, Burst: t.account.Burst}, t.units)
	if v.Admitted {
		t.countUsage(1)
		return nil
	}
	t.g.opts.Log.Info("over_rate",
		zap.String("request_id", t.call.ID), zap.String("account", string(t.account.ID)), zap.Uint64("catalog", uint64(t.catalog.Version)),
		zap.Float64("units", t.units), zap.Float64("used", v.Used), zap.Float64("limit", v.Limit))
	t.units = 0
	return verdict.RefuseUntil(http.StatusTooManyRequests, "over_rate", "the client account is over its rate", v.RetryAfter)
}

// pickService picks a service of the call's route at random by weight, among those that
// have servers; nil if none has.
func (t *task) pickService() *catalog.Service {
	view := t.g.opts.Directory.View()
	total := 0.0
	for _, target := range t.route.Targets {
		if len(view.Service(target.Service)) > 0 {
			total += target.Weight
		}
	}
	draw := rand.Float64() * total
	for _, target := range t.route.Targets {
		if len(view.Service(target.Service)) == 0 {
			continue
		}
		if draw -= target.Weight; draw < 0 {
			return t.catalog.Service(target.Service)
		}
	}
	return nil
}
