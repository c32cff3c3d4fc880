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
	// maxWait bounds how long a reservation waits for tokens, or for a home
	// that doesn't respond.
	maxWait = 1 * time.Second
	// maxHandoverWait bounds the wait for a planned move of the home. VMs learn
	// of a new roster within this time.
	maxHandoverWait = 2 * time.Second
	// callTimeout bounds one call to a home.
	callTimeout = 250 * time.Millisecond
	// retryPause is the mean pause before a home is called again.
	retryPause = 50 * time.Millisecond
	// exchangeInterval is the least time between two roster exchanges requested
	// by calls to a home.
	exchangeInterval = 100 * time.Millisecond
	// grantTTL is the greatest age at which a grant may be used. A VM that was
	// paused for longer doesn't admit the request: the home may have granted
	// the tokens to others meanwhile.
	grantTTL = 3 * time.Second
	// homeRetryAfter is the retry delay for callers if the home can't be
	// reached. A home that failed is replaced within this time.
	homeRetryAfter = 5 * time.Second
)

// Options are the dependencies of a Service.
type Options struct {
	// Self is this VM, with the incarnation of this process.
	Self vm.VM
	// View returns the roster and its evidence. It is called for every request
	// and must be cheap.
	View func() View
	// Client returns a client for a peer address, host:port.
	Client func(addr string) (peer.BudgetClient, error)
	// ExchangeRoster requests a roster exchange with a VM. It must not block.
	ExchangeRoster func(vm.ID)
	Log            *zap.Logger
}

// Service reserves tokens at the homes of the accounts, and keeps the buckets
// of the accounts whose home is this VM.
type Service struct {
	opts         Options
	ledger       *ShardedLedger
	seq          atomic.Uint64
	lastExchange atomic.Int64 // Unix nanoseconds
	batcher      reservationBatcher
	settlements  settlementQueue
	handovers    handoverQueue
	breakers     circuitBreakers
}

// NewService returns a service without contracts. Run must be running to send
// settlements and handovers.
func NewService(opts Options) *Service {
	s := &Service{opts: opts, ledger: NewShardedLedger(opts.Self)}
	s.batcher.service = s
	return s
}

// Apply puts the contracts of a configuration in force.
func (s *Service) Apply(c *config.Snapshot) { s.ledger.Apply(c) }

// Home returns the preferred VM to serve the account: the home of its first
// half.
func (s *Service) Home(id account.ID) (vm.VM, bool) { return s.home(halfOf(id, 0)) }

// home returns the home of a half.
func (s *Service) home(half account.ID) (vm.VM, bool) {
	v := s.opts.View()
	if v.Roster == nil {
		return vm.VM{}, false
	}
	return Home(half, v.Roster)
}

// refresh applies the current view and queues the resulting handovers. It
// requests a roster exchange with the VMs from which balances are expected.
func (s *Service) refresh() {
	out, awaited := s.ledger.Observe(s.opts.View())
	s.handovers.add(out, time.Now())
	for _, id := range awaited {
		s.opts.ExchangeRoster(id)
	}
}

// Refusal is the error for a reservation that was not granted.
type Refusal struct {
	Outcome Outcome
	// RetryAfter is when the caller should retry; zero if a retry can't
	// succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "reservation refused: " + r.Outcome.String() }

// retryOrRefuse returns what follows an answer after a total wait: a pause
// before the next try, or the refusal.
func retryOrRefuse(a Answer, waited time.Duration) (pause time.Duration, refusal *Refusal) {
	pause = retryPause/2 + rand.N(retryPause)
	limit := maxHandoverWait
	switch a.Outcome {
	case Granted: // granted longer than grantTTL after the request
		return 0, &Refusal{Outcome: Unavailable, RetryAfter: retryPause}
	case OverBurst:
		return 0, &Refusal{Outcome: OverBurst}
	case NoTokens:
		pause, limit = a.RetryAfter, maxWait
	case Unavailable:
		if a.RetryAfter == 0 { // the home didn't respond
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

// exchangeRoster requests a roster exchange with a VM, at most once per
// exchangeInterval.
func (s *Service) exchangeRoster(id vm.ID) {
	now := time.Now().UnixNano()
	last := s.lastExchange.Load()
	if now-last > int64(exchangeInterval) && s.lastExchange.CompareAndSwap(last, now) {
		s.opts.ExchangeRoster(id)
	}
}
