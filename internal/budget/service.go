package budget

import (
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
	// maxWait bounds the wait of a reservation for tokens, or for a home that
	// does not answer.
	maxWait = 1 * time.Second
	// maxMoveWait bounds the wait while the home moves in order. VMs learn of
	// a new roster within this time.
	maxMoveWait = 2 * time.Second
	// callTimeout bounds one call to a home.
	callTimeout = 250 * time.Millisecond
	// retryPause is the mean pause before a home is asked again.
	retryPause = 50 * time.Millisecond
	// tellInterval bounds how often VMs are told that they may be behind.
	tellInterval = 100 * time.Millisecond
	// grantTTL is how old a grant may be when it is used. A VM that was paused
	// does not admit on it: the home may have admitted others meanwhile.
	grantTTL = 3 * time.Second
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
	// Tell exchanges the roster with a VM soon. It must not block.
	Tell func(vm.ID)
	Log  *zap.Logger
}

// Service reserves tokens at the homes of the accounts, and keeps the buckets
// of the accounts whose home is this VM.
type Service struct {
	opts    Options
	keeper  *Keeper
	seq     atomic.Uint64
	told    atomic.Int64 // Unix nanoseconds
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
	out, awaited := s.keeper.Observe(s.opts.View())
	s.moves.add(out, time.Now())
	for _, id := range awaited {
		s.opts.Tell(id)
	}
}

// Refusal is the answer to a reservation that was not granted.
type Refusal struct {
	Outcome Outcome
	// RetryAfter is when to come back; zero if coming back is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "reservation refused: " + r.Outcome.String() }

// next decides what follows an answer, some time after the first try: a pause
// and another try, or the refusal.
func next(a Answer, waited time.Duration) (pause time.Duration, refusal *Refusal) {
	pause = retryPause/2 + rand.N(retryPause)
	limit := maxMoveWait
	switch a.Outcome {
	case Granted: // too late
		return 0, &Refusal{Outcome: Unavailable, RetryAfter: retryPause}
	case OverBurst:
		return 0, &Refusal{Outcome: OverBurst}
	case NoTokens:
		pause, limit = a.RetryAfter, maxWait
	case Unavailable:
		if a.RetryAfter == 0 { // no answer
			limit = maxWait
		}
	}
	if waited+pause <= limit {
		return pause, nil
	}
	if a.RetryAfter == 0 {
		a.RetryAfter = homeRetryAfter
	}
	return 0, &Refusal{Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// tell makes this VM and another one agree on the roster, but not at each call.
func (s *Service) tell(id vm.ID) {
	now := time.Now().UnixNano()
	last := s.told.Load()
	if now-last > int64(tellInterval) && s.told.CompareAndSwap(last, now) {
		s.opts.Tell(id)
	}
}
