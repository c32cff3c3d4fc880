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
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// Options are the parts of a Gateway.
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
	Suspects      *Suspects
	Shelf         *selector.Shelf
	FailureDomain string
	Model         selector.Model
	// Tell is called when other VMs should hear soon of something: that a long prompt is
	// sent to an engine, or that a server takes no connections or names a rate. It must not
	// block.
	Tell func()
	// NewsAge returns the age of the evidence that the servers known here are all
	// there are; negative if there is none. Only logs use it.
	NewsAge func() time.Duration
	// RetryRatio and RetrySlack bound repeated sends to a service by all VMs
	// together: a share of the requests for it, and a number beyond that.
	RetryRatio, RetrySlack float64
	// Now is the boot-time clock.
	Now func() time.Time
}

// Gateway serves calls.
type Gateway struct {
	opts    Options
	catalog atomic.Pointer[catalog.Catalog]
	// members is the number of VMs, senders that of those which take calls.
	members, senders atomic.Int64
	reserved         atomic.Pointer[map[string]bool]
	// closed is set once all calls are refused, noStreams once streams are.
	closed, noStreams atomic.Bool
	budgets           sync.Map // of *dispatch.RetryBudget by service
	// probes holds the key (selector.ServerKey) of each server that watchDown
	// watches, crashChecks the *crashCheck that runs for a key.
	probes, crashChecks sync.Map
	meters              meters
}

// New returns a gateway without a configuration.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, meters: newMeters(opts.Metrics)}
	g.SetMembers(1, 1)
	g.reserved.Store(&map[string]bool{})
	return g
}

// Publish puts a configuration in force unless a newer one is, and reports
// whether it did.
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

// Calls returns the number of calls so far.
func (g *Gateway) Calls() int64 { return g.meters.requests.Count() }

// SetMembers sets the number of VMs, and of those which take calls and so share
// the servers' connections.
func (g *Gateway) SetMembers(members, senders int) {
	g.members.Store(int64(max(1, members)))
	if g.senders.Swap(int64(max(1, senders))) == int64(senders) {
		return
	}
	g.budgets.Range(func(_, b any) bool {
		b.(*dispatch.RetryBudget).SetReserve(g.retryReserve())
		return true
	})
}

// fewSenders is the least number of VMs that the slack for repeated sends is split
// between: more may take calls before this VM has heard of them. It is the size of
// the smaller deployments.
const fewSenders = 9

// retryReserve is this VM's share of the slack. Half of the slack is left for VMs
// that begin or cease to take calls.
func (g *Gateway) retryReserve() float64 {
	return g.opts.RetrySlack / 2 / float64(max(fewSenders, g.senders.Load()))
}

// Reserve names the servers that get no new requests, because they are about to
// load weights.
func (g *Gateway) Reserve(ids map[string]bool) { g.reserved.Store(&ids) }

// CloseStreams refuses further calls for streams, which may last for long; those that
// run go on.
func (g *Gateway) CloseStreams() { g.noStreams.Store(true) }

// Close refuses all further calls; those that run go on.
func (g *Gateway) Close() { g.closed.Store(true) }

// model returns the model of the deployment by what was learnt so far.
func (g *Gateway) model() selector.Model {
	m := g.opts.Model
	m.PrefillRate = g.opts.Servers.PrefillRate(m.PrefillRate)
	return m
}

func (g *Gateway) budget(service string) *dispatch.RetryBudget {
	if b, ok := g.budgets.Load(service); ok {
		return b.(*dispatch.RetryBudget)
	}
	b, _ := g.budgets.LoadOrStore(service, dispatch.NewRetryBudget(g.opts.RetryRatio, g.retryReserve()))
	return b.(*dispatch.RetryBudget)
}

const (
	// configWait is when a caller should come back to a VM that has no
	// configuration yet.
	configWait = 500 * time.Millisecond
	// minRetryAfter is the shortest time to come back in.
	minRetryAfter = 100 * time.Millisecond
	// patienceShare is the part of a caller's time left within which it comes
	// back. Source: the clients' side of the protocol.
	patienceShare = 3.2
)

// Serve answers one call.
func (g *Gateway) Serve(ctx context.Context, c *Call, sink Sink) {
	t := &task{g: g, call: c, sink: sink, lastEvent: c.LastEvent, ran: verdict.NotRun}
	if refusal := t.admit(); refusal != nil {
		t.refuse(refusal)
		t.log()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(t.left()))
	defer cancel()
	t.run(ctx)
	if t.ran == verdict.NotRun {
		g.opts.Quota.Return(t.account.ID, t.units)
	}
	t.log()
}

// admit checks the call and finds its route. Its error is the final answer.
func (t *task) admit() *verdict.Error {
	g, c := t.g, t.call
	g.meters.requests.Mark(1)
	t.catalog = g.Catalog()
	t.account = &catalog.Account{}
	t.deadline = c.Arrived.Add(c.Patience)
	if g.closed.Load() {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, "stopping", "this VM is about to stop", minRetryAfter)
	}
	if t.catalog == nil {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, "no_configuration", "this VM has no configuration yet", configWait)
	}
	t.route = t.catalog.Route(c.Host, c.Path)
	if t.route == nil {
		return verdict.Refuse(http.StatusNotFound, "route_unknown", "no route leads to this host and path")
	}
	if t.route.Kind == catalog.Stream && g.noStreams.Load() {
		return verdict.RefuseUntil(http.StatusServiceUnavailable, "stopping", "this VM is about to stop", minRetryAfter)
	}
	if t.catalog.HasAccounts() && !t.route.Open {
		t.account = t.catalog.Account(c.Key)
		if t.account == nil {
			t.account = &catalog.Account{}
			return verdict.Refuse(http.StatusUnauthorized, "key_unknown", "the key is not known")
		}
	}
	t.deadline = c.Arrived.Add(t.route.Timeout)
	if c.Patience > 0 && c.Patience < t.route.Timeout {
		t.deadline = c.Arrived.Add(c.Patience)
	}
	if t.left() <= 0 {
		return verdict.Refuse(http.StatusServiceUnavailable, "deadline_passed", "the deadline had passed when the request had arrived")
	}
	if n := g.opts.Suspects.Count(t.content()); n >= maxCrashes {
		return verdict.Refuse(http.StatusServiceUnavailable, "crashes_servers", "backend servers crashed while they ran this request")
	}
	return t.charge()
}

// charge counts the call against its account's rate.
func (t *task) charge() *verdict.Error {
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
	v := t.g.opts.Quota.Admit(t.account.ID, quota.Bound{Rate: t.account.Rate, Burst: t.account.Burst}, t.units)
	if v.Admitted {
		return nil
	}
	t.g.opts.Log.Info("over_rate",
		zap.String("request_id", t.call.ID), zap.String("account", string(t.account.ID)), zap.Uint64("catalog", uint64(t.catalog.Version)),
		zap.Float64("units", t.units), zap.Float64("used", v.Used), zap.Float64("limit", v.Limit))
	t.units = 0
	return verdict.RefuseUntil(http.StatusTooManyRequests, "over_rate", "the client account is over its rate", v.RetryAfter)
}

// service picks the service of the call's route by weight, among those that have
// servers.
func (t *task) service() *catalog.Service {
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
