// Package spread runs the loops that keep one router's configuration and roster
// current: it polls the head row, exchanges status with peers, fetches missing
// data, renews the presence row, and collects the roster's support for commits.
// Packages freshness and roster hold the decision rules.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/ticket"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Peers gives clients of the other routers' control service.
type Peers interface {
	// Control returns a client for the peer address, host:port.
	Control(addr string) (peer.ControlClient, error)
}

// Options holds the dependencies of a Spreader.
type Options struct {
	Self       vm.VM
	Table      platform.Table
	Objects    platform.Objects
	Membership platform.Membership
	Peers      Peers
	Log        *zap.Logger
	Metrics    metrics.Registry
	// Publish puts a configuration in force on this router. It is called before
	// evidence for that configuration is counted.
	Publish func(*config.Snapshot)
}

// View is the state that the request path reads. It is immutable.
type View struct {
	Head   head.Head
	Roster *roster.Roster
	// EvidenceAt is the latest time at which Head is known to have been
	// current, or the zero time. It is set only if the evidence is sufficient
	// for this process to serve.
	EvidenceAt time.Time
	// Member is set if this VM is in the roster.
	Member bool
}

// Spreader keeps one router's configuration and roster current. It implements
// peer.ControlServer and head.Committer.
type Spreader struct {
	peer.UnimplementedControlServer

	opts    Options
	tickets *ticket.Store
	roster  roster.Store

	view  atomic.Pointer[View]
	mu    sync.Mutex
	state state

	// wake makes the poll loop read the head row immediately.
	wake chan struct{}
	// hints queues peers whose status is newer than that of this router.
	hints chan vm.ID
	// leaving and left are copied into the presence row.
	leaving, left atomic.Bool
	// fetching is locked while this router fetches configuration from a peer.
	fetching sync.Mutex
	// sweepState is used only by the sweep loop.
	sweepState sweepState
	gauges     gauges
}

// New returns a spreader with an empty configuration. Run starts it.
func New(opts Options) *Spreader {
	s := &Spreader{
		opts:   opts,
		state:  newState(opts.Self.ID, time.Now()),
		wake:   make(chan struct{}, 1),
		hints:  make(chan vm.ID, hintQueue),
		gauges: newGauges(opts.Metrics),
	}
	s.tickets = ticket.NewStore(opts.Table, opts.Objects, ticketCommitter{s}, opts.Self.ID, time.Now)
	s.roster = roster.Store{Table: opts.Table, Committer: s}
	s.view.Store(s.state.view())
	return s
}

// Tickets returns the ticket store. Its commits require the support of a
// majority of the roster.
func (s *Spreader) Tickets() *ticket.Store { return s.tickets }

// View returns the current view.
func (s *Spreader) View() *View { return s.view.Load() }

// Fresh reports whether keyed requests may be served: this VM is in the roster
// and its configuration is known to be current.
func (s *Spreader) Fresh(now time.Time) bool {
	return s.View().Fresh(now)
}

const (
	pollInterval     = 1 * time.Second
	exchangeInterval = 1 * time.Second
	collectInterval  = 250 * time.Millisecond
	memberInterval   = 2 * time.Second
	// jitter is the fraction of an interval by which it varies randomly.
	jitter = 0.2
	// hintQueue is the capacity of the hint queue.
	hintQueue = 16
)

// Run loads the configuration and keeps it current until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	s.boot(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { s.loop(ctx, fixed(pollInterval), s.wake, s.poll) })
	loops.Go(func() { s.loop(ctx, fixed(exchangeInterval), nil, s.exchangeRandom) })
	loops.Go(func() { s.loop(ctx, fixed(collectInterval), nil, s.collectAttestations) })
	loops.Go(func() { s.loop(ctx, fixed(memberInterval), nil, s.readMembers) })
	loops.Go(func() { s.loop(ctx, s.renewInterval, nil, s.renewPresence) })
	loops.Go(func() {
		clock.Sleep(ctx, rand.N(1+time.Duration(len(s.candidates()))*joinSpacing))
		s.loop(ctx, s.sweepInterval, nil, s.sweep)
	})
	loops.Go(func() { s.loop(ctx, fixed(reportInterval), nil, s.updateGauges) })
	loops.Go(func() { s.processHints(ctx) })
	loops.Wait()
}

func fixed(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// loop calls step immediately and then after each jittered interval, or earlier
// when wake receives a value.
func (s *Spreader) loop(ctx context.Context, interval func() time.Duration, wake <-chan struct{}, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		timer := time.NewTimer(jittered(interval()))
		select {
		case <-timer.C:
		case <-wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}

// wakePoll makes the poll loop read the head row immediately.
func (s *Spreader) wakePoll() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
