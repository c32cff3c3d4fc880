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
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/rendezvous"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// callTimeout is the time limit for one call to another VM. A VM that
	// doesn't reply within it is treated as gone.
	callTimeout = 1 * time.Second
	// finishTimeout is the time limit for reporting the end of a run, which the
	// home forwards to the other VMs.
	finishTimeout = 2 * callTimeout
	// acquireTimeout is how long a suspect waits for a grant.
	acquireTimeout = 10 * time.Second
	// retryDelay is the delay between calls that returned no final decision.
	retryDelay = 50 * time.Millisecond
	// pollInterval is how often a home polls whether a suspect is still
	// running.
	pollInterval = 250 * time.Millisecond
	// slotWait is how long a suspect waits for a server that isn't reserved for
	// another suspect.
	slotWait = 1 * time.Second
	// finishAttempts is the number of attempts to report the end of a run.
	// After that, the home finds out by polling.
	finishAttempts = 5
	// sweepInterval is how often expired evidence is deleted.
	sweepInterval = 30 * time.Second
)

// AcquireRequest is a VM's request to a home for a grant.
type AcquireRequest struct {
	From     vm.ID
	Version  uint64
	Content  Content
	Evidence Evidence
}

// Peers calls the other VMs of the roster.
type Peers interface {
	Roster() Roster
	// Refresh updates Roster to include every VM that was admitted before the
	// call. It returns early if that isn't possible now.
	Refresh(ctx context.Context)
	Acquire(ctx context.Context, to vm.ID, r AcquireRequest) (Decision, error)
	Finish(ctx context.Context, to vm.ID, f Finish) error
	Announce(ctx context.Context, to vm.ID, a Announcement) (Ack, error)
	Reserve(ctx context.Context, to vm.ID, server backend.ID, c Content) (bool, error)
	Suspects(ctx context.Context, to vm.ID) ([]Announcement, error)
	// Exchange sends evidence on prompt prefixes, if any, and returns the convictions of that VM.
	Exchange(ctx context.Context, to, from vm.ID, n *crashcause.Notices) (*crashcause.Notices, error)
}

// RunRequest describes a request that is about to run.
type RunRequest struct {
	Account account.ID
	// Content computes the identity. It must cache the result.
	Content func() Content
	// Traits computes what crashes may be due to besides the whole content, and caches it. Nil if
	// the request has no prompt.
	Traits func() crashcause.Traits
}

// Target is the server chosen for a run.
type Target struct {
	Server backend.Server
	// Incarnation is the server's incarnation if known, otherwise empty.
	Incarnation backend.Incarnation
}

// Chooser selects a server that is not excluded. Its error ends the request.
type Chooser func(excluded []backend.ID) (Target, error)

// Guard decides whether runs may start. It connects the state machines of this
// VM with those of the other VMs.
type Guard struct {
	self     vm.ID
	peers    Peers
	now      func() time.Time
	recorder *recorder
	causes   *causes

	mu    sync.Mutex
	home  *HomeState
	local *LocalState
	slots *Slots
	// runEnded is closed and replaced when the end of a run is recorded.
	runEnded chan struct{}
}

// Options holds the dependencies of a Guard other than its peers.
type Options struct {
	// Now returns the monotonic time.
	Now func() time.Time
	// Start is the process's start time by the wall clock. It makes grant
	// numbers larger than those of earlier processes.
	Start   time.Time
	Log     *zap.Logger
	Metrics metrics.Registry
}

// NewGuard returns the guard of VM self.
func NewGuard(self vm.ID, peers Peers, o Options) *Guard {
	serial := uint64(o.Start.UnixNano())
	rec := newRecorder(o.Log, o.Metrics)
	return &Guard{
		self: self, peers: peers, now: o.Now, recorder: rec, causes: newCauses(self, peers, o.Now, rec),
		home: NewHomeState(serial), local: NewLocalState(self, serial), slots: NewSlots(),
		runEnded: make(chan struct{}),
	}
}

// Begin waits until the request may run and chooses the server. Its error is a
// *verdict.Error with verdict NotRun, or the error of choose.
func (g *Guard) Begin(ctx context.Context, s RunRequest, choose Chooser) (*Run, Target, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for {
		g.causes.hold(ctx, s)
		if cause, wait, found := g.causes.convicted(s); found {
			g.recorder.refusedCause(s.Account, cause, wait)
			return nil, Target{}, refuseConvictedPart(wait)
		}
		status, evidence, wait := g.check(s)
		if status == Blocked {
			g.recorder.refused(s.Content(), wait)
			return nil, Target{}, refuseConvicted(wait)
		}
		target, err := g.choose(ctx, s, status, choose)
		if err != nil {
			return nil, Target{}, err
		}
		run, err := g.startRun(ctx, s, status, evidence, target)
		if run != nil {
			run.traits, run.sent, run.observed = s.Traits, g.now(), target.Incarnation
		}
		if run != nil || err != nil {
			return run, target, err
		}
	}
}

func refuseConvicted(wait time.Duration) *verdict.Error {
	return verdict.RefuseUntil(http.StatusUnprocessableEntity, "poison_request",
		"requests with this content have crashed the backend servers that ran them", wait)
}

func refuseConvictedPart(wait time.Duration) *verdict.Error {
	return verdict.RefuseUntil(http.StatusUnprocessableEntity, "poison_request",
		"requests that begin like this one have crashed the backend servers that ran them", wait)
}

func refuseUnverified(cause error) *verdict.Error {
	e := verdict.RefuseUntil(http.StatusServiceUnavailable, "content_unverified",
		"a backend server crashed while it ran this content, and the VM that keeps count cannot be asked", callTimeout)
	e.Cause = cause
	return e
}

func (g *Guard) check(s RunRequest) (Status, Evidence, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.Check(g.now(), s.Account, s.Content)
}

// startRun starts the run. It returns neither a run nor an error if the status
// of the content has changed since the check.
func (g *Guard) startRun(ctx context.Context, s RunRequest, status Status, evidence Evidence, t Target) (*Run, error) {
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
	g.local.MergeEvidence(g.now(), s.Content(), d.Evidence)
	if d.Kind != Granted {
		return nil, nil
	}
	run := g.local.StartGranted(g.now(), s.Account, s.Content, t.Server.ID, d.Grant)
	if run != nil {
		g.recorder.granted(s.Content(), t.Server.ID)
	}
	return run, nil
}

// acquire requests a grant from the home until the decision is final.
func (g *Guard) acquire(ctx context.Context, c Content, evidence Evidence) (Decision, error) {
	var last error
	for {
		roster := g.syncRoster()
		r := AcquireRequest{From: g.self, Version: roster.Version, Content: c, Evidence: evidence}
		d, err := g.callAcquire(ctx, HomeOf(roster, c), r)
		if err == nil && d.Kind >= Granted {
			return d, nil
		}
		if err == nil && d.Kind == Stale {
			g.peers.Refresh(ctx)
		}
		last = err
		if !clock.Sleep(ctx, retryDelay) {
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

// errAllReserved means that every server is reserved for another suspect.
var errAllReserved = errors.New("every server is reserved for another suspect")

// choose selects the server. For a suspect it prefers a server that isn't
// reserved for another suspect, and waits up to slotWait for one.
func (g *Guard) choose(ctx context.Context, s RunRequest, status Status, choose Chooser) (Target, error) {
	if status == Unsuspected {
		return choose(nil)
	}
	deadline := g.now().Add(slotWait)
	var busy []backend.ID
	for {
		t, err := choose(busy)
		if err == nil && slices.Contains(busy, t.Server.ID) {
			err = errAllReserved
		}
		switch {
		case err == nil && g.reserveSlot(ctx, t.Server.ID, s.Content()):
			return t, nil
		case err == nil:
			busy = append(busy, t.Server.ID)
		case len(busy) == 0:
			return t, err
		case !g.now().Before(deadline) || !clock.Sleep(ctx, retryDelay):
			return choose(nil)
		default:
			busy = nil
		}
	}
}

// reserveSlot reserves the server's slot. Reservations only reduce the risk
// that contents are convicted for crashes that another suspect caused, so an
// error doesn't delay the run.
func (g *Guard) reserveSlot(ctx context.Context, server backend.ID, c Content) bool {
	to := highestScored(g.syncRoster().Members, string(server))
	if to == g.self || to == "" {
		return g.HandleReserve(server, c)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ok, err := g.peers.Reserve(ctx, to, server, c)
	return ok || err != nil
}

// End ends a run. After a crash it waits, up to finishTimeout, until the home
// and the other VMs have the evidence, so that a retry of the content through
// any VM is checked against it.
func (g *Guard) End(r *Run, end End) { g.EndAfter(r, end, 0) }

// EndAfter is End for a run whose response began some time before its end.
func (g *Guard) EndAfter(r *Run, end End, sinceBegin time.Duration) {
	defer g.causes.recordEnd(r, end, sinceBegin >= beginTime).Wait()
	g.mu.Lock()
	f, suspect := g.local.End(g.now(), r, end)
	g.mu.Unlock()
	if !suspect {
		return
	}
	g.recorder.ended(f, r.server, end)
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if end == Crashed {
		// The refresh includes VMs admitted during the run, which must receive the
		// evidence. A VM admitted later fetches it before it serves.
		g.peers.Refresh(ctx)
		if g.reportEnd(ctx, f) == nil {
			return
		}
	}
	go g.retryReportEnd(f)
}

func (g *Guard) retryReportEnd(f Finish) {
	for range finishAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err := g.reportEnd(ctx, f)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(retryDelay)
	}
}

func (g *Guard) reportEnd(ctx context.Context, f Finish) error {
	to := HomeOf(g.syncRoster(), f.Content)
	if to == g.self || to == "" {
		g.HandleFinish(ctx, f)
		return nil
	}
	return g.peers.Finish(ctx, to, f)
}

// RecordRestart records that a server has been observed with a new incarnation.
func (g *Guard) RecordRestart(server backend.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.RecordRestart(server)
}

// syncRoster applies the current roster to the state machines and returns it.
func (g *Guard) syncRoster() Roster {
	r := g.peers.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home.SetRoster(r)
	g.local.SetVersion(r.Version)
	return r
}

// HomeOf returns the home VM of a content, or "" if the roster is empty. The
// home is chosen by rendezvous hashing.
func HomeOf(r Roster, c Content) vm.ID {
	return highestScored(r.Members, string(c.Account)+string(c.Digest[:]))
}

// highestScored returns the member with the highest rendezvous score for the
// name, or "" if there are no members.
func highestScored(members []vm.ID, name string) vm.ID {
	key := rendezvous.NewKey(name)
	var best vm.ID
	var top uint64
	for _, m := range members {
		if h := key.Score(string(m)); best == "" || h > top {
			best, top = m, h
		}
	}
	return best
}
