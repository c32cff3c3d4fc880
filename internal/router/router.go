// Package router is the request path of one VM. It passes callers' requests
// through limits, authentication, admission, the choice of a backend server and
// dispatch, and serves the list of VM addresses.
package router

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/health"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/poison"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Options are the dependencies of a Router.
type Options struct {
	Settings   *settings.Settings
	Log        *zap.Logger
	Metrics    metrics.Registry
	Dispatcher *dispatch.Dispatcher
	Freshness  FreshnessChecker
	Admitter   Admitter
	Balancer   Balancer
	Addresses  VMDirectory
	// Budget directs callers to the home VMs of their accounts. May be nil.
	Budget Budget
	// Claims may be nil; requests with an idempotency key are then refused.
	Claims Claims
	// Clients bounds the memory of bodies. Nil means a new guard with the limit of the settings.
	Clients *clientconn.Guard
	// Health holds the circuit breakers of the backend servers. Nil means a new
	// table.
	Health *health.Table
	// Guard refuses contents that crash backend servers. Nil means the guard of a
	// single VM.
	Guard *poison.Guard
	// Prober distinguishes crashes from broken connections. Nil means a new one.
	Prober *health.Prober
	// ContentSalt salts the digests of contents. It is the same on all VMs.
	ContentSalt []byte
	// Now is the monotonic clock.
	Now func() time.Time
}

// Router serves callers' requests.
type Router struct {
	opts         Options
	view         atomic.Pointer[config.View]
	draining     atomic.Bool
	openRequests atomic.Int64
	stats        stats
}

// New returns a router with an empty configuration.
func New(opts Options) *Router {
	opts.setDefaults()
	r := &Router{opts: opts, stats: newStats(opts.Metrics)}
	r.view.Store(config.NewView(config.Empty()))
	return r
}

func (o *Options) setDefaults() {
	if o.Health == nil {
		o.Health = health.NewTable()
	}
	if o.Guard == nil {
		self := vm.ID(o.Settings.VM.ID)
		o.Guard = poison.NewGuard(self, poison.SingleVM(self), poison.Options{Now: o.Now, Start: time.Now(), Log: o.Log, Metrics: o.Metrics})
	}
	if o.Clients == nil {
		o.Clients = clientconn.New(clientconn.Options{
			Name: "callers", Log: o.Log, Metrics: o.Metrics,
			Budget: clientconn.NewBodyBudget(o.Settings.Limits.ClientMemoryBytes),
			Limits: func() clientconn.Limits { return clientconn.Limits{} },
		})
	}
	if o.Prober == nil {
		o.Prober = health.NewProber()
	}
}

// Publish replaces the whole configuration at once. A snapshot that isn't newer
// than the present one is ignored.
func (r *Router) Publish(s *config.Snapshot) {
	next := config.NewView(s)
	for {
		cur := r.view.Load()
		if cur.Number >= s.Number {
			return
		}
		if r.view.CompareAndSwap(cur, next) {
			return
		}
	}
}

// View returns the configuration in force.
func (r *Router) View() *config.View { return r.view.Load() }

// StartDrain makes this VM close callers' connections after each response, so that
// they reconnect to other VMs. Requests are still served.
func (r *Router) StartDrain() { r.draining.Store(true) }

// Draining reports whether StartDrain was called.
func (r *Router) Draining() bool { return r.draining.Load() }

// Handler returns the handler of callers' requests.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", r.serveAddresses)
	mux.HandleFunc("POST "+openai.PathChatCompletions, r.serveCompletion)
	mux.HandleFunc("POST "+openai.PathCompletions, r.serveCompletion)
	mux.HandleFunc("GET "+openai.PathModels, r.serveModels)
	mux.HandleFunc("/", r.serveRoute)
	return r.limit(mux)
}
