package budget

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// maxWait bounds the wait of a reservation, for tokens or for the home.
	maxWait = 1 * time.Second
	// callTimeout bounds one call to a home.
	callTimeout = 250 * time.Millisecond
	// retryPause is the mean pause before a home is asked again.
	retryPause = 50 * time.Millisecond
	// grantTTL is how old a grant may be when it is used. A VM that was paused
	// does not admit on it: the home may have admitted others meanwhile.
	grantTTL = 2 * time.Second
	// homeRetryAfter is when callers should come back if the home can't be
	// reached: a lost home is replaced within this time.
	homeRetryAfter = 5 * time.Second
)

// Options are the parts that a Service works with.
type Options struct {
	// Self is this VM, with the incarnation of this process.
	Self vm.VM
	// View returns the roster and its evidence. It must be cheap.
	View func() View
	// Client returns a client for a peer address, host:port.
	Client func(addr string) (peer.BudgetClient, error)
	Log    *zap.Logger
}

// Service reserves tokens at the homes of the accounts, and keeps the buckets
// of the accounts whose home is this VM.
type Service struct {
	opts    Options
	keeper  *Keeper
	seq     atomic.Uint64
	batches batches
	settles settleQueue
	moves   moveQueue
	lost    lostPeers
}

// NewService returns a service without contracts. Run sends what waits.
func NewService(opts Options) *Service {
	s := &Service{opts: opts, keeper: NewKeeper(opts.Self)}
	s.batches.service = s
	return s
}

// Apply puts the contracts of a configuration in force.
func (s *Service) Apply(c *config.Snapshot) { s.keeper.Apply(c) }

// Home returns the VM through which the account is served best: the home of
// its first half.
func (s *Service) Home(id account.ID) (vm.VM, bool) { return s.home(halfOf(id, 0)) }

// home returns the home of a half.
func (s *Service) home(half account.ID) (vm.VM, bool) {
	v := s.opts.View()
	if v.Roster == nil {
		return vm.VM{}, false
	}
	return Home(half, v.Roster)
}

// refresh takes in the present view.
func (s *Service) refresh() {
	s.moves.add(s.keeper.Observe(s.opts.View()), time.Now())
}

// Refusal is the answer to a reservation that was not granted.
type Refusal struct {
	Outcome Outcome
	// RetryAfter is when to come back; zero if coming back is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "reservation refused: " + r.Outcome.String() }

// next decides whether to ask again after a pause or to refuse for good.
func next(a Answer, left time.Duration) (pause time.Duration, refusal *Refusal) {
	switch a.Outcome {
	case Granted: // too late
		return 0, &Refusal{Outcome: Unavailable, RetryAfter: retryPause}
	case OverBurst:
		return 0, &Refusal{Outcome: OverBurst}
	case NoTokens:
		pause = a.RetryAfter
	default:
		pause = max(retryPause/2+rand.N(retryPause), a.RetryAfter)
	}
	if pause <= left {
		return pause, nil
	}
	if a.RetryAfter == 0 {
		a.RetryAfter = homeRetryAfter
	}
	return 0, &Refusal{Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
