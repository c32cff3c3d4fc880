package poison

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/rendezvous"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// callTimeout bounds one call to another VM. A VM that cannot be reached
	// for so long is taken as gone.
	callTimeout = 1 * time.Second
	// finishTimeout bounds the report of the end of a run, which the home
	// passes on to the other VMs.
	finishTimeout = 2 * callTimeout
	// acquireTimeout is how long a suspect waits for its grant.
	acquireTimeout = 10 * time.Second
	// retryPause is between calls that got no final answer.
	retryPause = 50 * time.Millisecond
	// pollInterval is how often a home asks whether a suspect still runs.
	pollInterval = 250 * time.Millisecond
	// slotWait is how long a suspect waits for a server without another one.
	slotWait = 1 * time.Second
	// finishTries is how often the end of a run is reported before it is left
	// to the home's polling.
	finishTries = 5
	// sweepInterval is how often expired evidence is forgotten.
	sweepInterval = 30 * time.Second
)

// AcquireRequest asks a home for a grant.
type AcquireRequest struct {
	From     vm.ID
	Version  uint64
	Content  Content
	Evidence Evidence
}

// Peers reaches the other VMs of the roster.
type Peers interface {
	Roster() Roster
	// Refresh brings Roster up to date with every VM that was admitted before
	// the call, or returns when that cannot be done now.
	Refresh(ctx context.Context)
	Acquire(ctx context.Context, to vm.ID, r AcquireRequest) (Decision, error)
	Finish(ctx context.Context, to vm.ID, f Finish) error
	Announce(ctx context.Context, to vm.ID, a Announcement) (Ack, error)
	Reserve(ctx context.Context, to vm.ID, server backend.ID, c Content) (bool, error)
	Suspects(ctx context.Context, to vm.ID) ([]Announcement, error)
}

// Subject is a request that is about to run.
type Subject struct {
	Account account.ID
	// Content computes the identity; it must keep the result.
	Content func() Content
}

// Target is a server chosen for a run.
type Target struct {
	Server backend.Server
	// Incarnation is the server's as known now; empty if unknown.
	Incarnation backend.Incarnation
}

// Choose picks a server other than those excluded. Its error ends the request.
type Choose func(excluded []backend.ID) (Target, error)

// Guard lets runs begin. It drives the state machines of this VM over the
// network.
type Guard struct {
	self  vm.ID
	peers Peers
	now   func() time.Time
	log   *journal

	mu    sync.Mutex
	home  *Home
	local *Local
	slots *Slots
	// changed is closed and replaced when the end of a run is recorded.
	changed chan struct{}
}

// Options are what a Guard needs besides its peers.
type Options struct {
	// Now is the monotonic clock.
	Now func() time.Time
	// Start is the process's start by the wall clock. It orders the grants
	// after those of earlier processes.
	Start   time.Time
	Log     *zap.Logger
	Metrics metrics.Registry
}

// NewGuard returns the guard of VM self.
func NewGuard(self vm.ID, peers Peers, o Options) *Guard {
	serial := uint64(o.Start.UnixNano())
	return &Guard{
		self: self, peers: peers, now: o.Now, log: newJournal(o.Log, o.Metrics),
		home: NewHome(serial), local: NewLocal(self, serial), slots: NewSlots(),
		changed: make(chan struct{}),
	}
}

// Begin waits until the subject may run and chooses the server. Its error is a
// *verdict.Error with verdict NotRun, or that of choose.
func (g *Guard) Begin(ctx context.Context, s Subject, choose Choose) (*Run, Target, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for {
		status, evidence, wait := g.check(s)
		if status == Guilty {
			g.log.refused(s.Content(), wait)
			return nil, Target{}, refuseGuilty(wait)
		}
		target, err := g.choose(ctx, s, status, choose)
		if err != nil {
			return nil, Target{}, err
		}
		run, err := g.start(ctx, s, status, evidence, target)
		if run != nil || err != nil {
			return run, target, err
		}
	}
}

func refuseGuilty(wait time.Duration) *verdict.Error {
	return verdict.RefuseUntil(http.StatusUnprocessableEntity, "poison_request",
		"requests with this content have crashed the backend servers that ran them", wait)
}

func refuseUnverified(cause error) *verdict.Error {
	e := verdict.RefuseUntil(http.StatusServiceUnavailable, "content_unverified",
		"a backend server crashed while it ran this content, and the VM that keeps count cannot be asked", callTimeout)
	e.Cause = cause
	return e
}

func (g *Guard) check(s Subject) (Status, Evidence, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.Check(g.now(), s.Account, s.Content)
}

// start begins the run. It returns neither a run nor an error if what is known
// of the content has changed.
func (g *Guard) start(ctx context.Context, s Subject, status Status, evidence Evidence, t Target) (*Run, error) {
	if status == Unsuspected {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.local.Start(g.now(), s.Account, s.Content, t.Server.ID, t.Incarnation), nil
	}
	d, err := g.acquire(ctx, s.Content(), evidence)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Learn(g.now(), s.Content(), d.Evidence)
	if d.Kind != Granted {
		return nil, nil
	}
	run := g.local.StartGranted(g.now(), s.Account, s.Content, t.Server.ID, d.Grant)
	if run != nil {
		g.log.granted(s.Content(), t.Server.ID)
	}
	return run, nil
}

// acquire asks the home until its answer is final.
func (g *Guard) acquire(ctx context.Context, c Content, evidence Evidence) (Decision, error) {
	var last error
	for {
		roster := g.sync()
		r := AcquireRequest{From: g.self, Version: roster.Version, Content: c, Evidence: evidence}
		d, err := g.callAcquire(ctx, HomeOf(roster, c), r)
		if err == nil && d.Kind >= Granted {
			return d, nil
		}
		if err == nil && d.Kind == Stale {
			g.peers.Refresh(ctx)
		}
		last = err
		if !clock.Sleep(ctx, retryPause) {
			return Decision{}, refuseUnverified(last)
		}
	}
}

func (g *Guard) callAcquire(ctx context.Context, to vm.ID, r AcquireRequest) (Decision, error) {
	if to == g.self {
		return g.HandleAcquire(ctx, r), nil
	}
	return g.peers.Acquire(ctx, to, r)
}

// errAllBusy means that every server runs another suspect.
var errAllBusy = errors.New("every server runs a suspect")

// choose picks the server; that of a suspect should run no other suspect.
func (g *Guard) choose(ctx context.Context, s Subject, status Status, choose Choose) (Target, error) {
	if status == Unsuspected {
		return choose(nil)
	}
	deadline := g.now().Add(slotWait)
	var busy []backend.ID
	for {
		t, err := choose(busy)
		if err == nil && slices.Contains(busy, t.Server.ID) {
			err = errAllBusy
		}
		switch {
		case err == nil && g.reserve(ctx, t.Server.ID, s.Content()):
			return t, nil
		case err == nil:
			busy = append(busy, t.Server.ID)
		case len(busy) == 0:
			return t, err
		case !g.now().Before(deadline) || !clock.Sleep(ctx, retryPause):
			return choose(nil)
		default:
			busy = nil
		}
	}
}

// reserve asks for the server's slot. It only keeps innocents from being
// convicted, so that an error does not hold the run back.
func (g *Guard) reserve(ctx context.Context, server backend.ID, c Content) bool {
	to := bestFor(g.sync().Members, string(server))
	if to == g.self || to == "" {
		return g.HandleReserve(server, c)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ok, err := g.peers.Reserve(ctx, to, server, c)
	return ok || err != nil
}

// End ends a run. After a crash it returns once the home and the other VMs know
// of it, so that a caller who sends the content again meets the evidence.
func (g *Guard) End(r *Run, end End) {
	g.mu.Lock()
	f, suspect := g.local.End(g.now(), r, end)
	g.mu.Unlock()
	if !suspect {
		return
	}
	g.log.ended(f, r.server, end)
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if end == Crashed {
		// A VM that was admitted meanwhile must hear of the crash; one that is
		// admitted later asks for the evidence before it serves.
		g.peers.Refresh(ctx)
		if g.finish(ctx, f) == nil {
			return
		}
	}
	go g.finishLater(f)
}

func (g *Guard) finishLater(f Finish) {
	for range finishTries {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err := g.finish(ctx, f)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(retryPause)
	}
}

func (g *Guard) finish(ctx context.Context, f Finish) error {
	to := HomeOf(g.sync(), f.Content)
	if to == g.self || to == "" {
		g.HandleFinish(ctx, f)
		return nil
	}
	return g.peers.Finish(ctx, to, f)
}

// Restarted records that a server was seen with a new incarnation.
func (g *Guard) Restarted(server backend.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Restarted(server)
}

// sync takes over the present roster.
func (g *Guard) sync() Roster {
	r := g.peers.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home.SetRoster(r)
	g.local.SetVersion(r.Version)
	return r
}

// HomeOf returns the home VM of a content, or "" if the roster is empty.
func HomeOf(r Roster, c Content) vm.ID {
	return bestFor(r.Members, string(c.Account)+string(c.Digest[:]))
}

// bestFor returns the member with the highest score for the key.
func bestFor(members []vm.ID, text string) vm.ID {
	key := rendezvous.NewKey(text)
	var best vm.ID
	var top uint64
	for _, m := range members {
		if h := key.Score(string(m)); best == "" || h > top {
			best, top = m, h
		}
	}
	return best
}
