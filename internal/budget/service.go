package budget

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
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
}

// NewService returns a service without contracts. Run sends what waits.
func NewService(opts Options) *Service {
	s := &Service{opts: opts, keeper: NewKeeper(opts.Self)}
	s.batches.service = s
	return s
}

// Apply puts the contracts of a configuration in force.
func (s *Service) Apply(c *config.Snapshot) { s.keeper.Apply(c) }

// Home returns the account's home.
func (s *Service) Home(id account.ID) (vm.VM, bool) {
	v := s.opts.View()
	if v.Roster == nil {
		return vm.VM{}, false
	}
	return Home(id, v.Roster)
}

// refresh takes in the present view.
func (s *Service) refresh() {
	out, awaited := s.keeper.Observe(s.opts.View())
	s.moves.add(out, time.Now())
	for _, id := range awaited {
		s.opts.Tell(id)
	}
}

// Reservation is a granted reservation. It must be settled once.
type Reservation struct {
	service *Service
	account account.ID
	id      ReservationID
}

// Settle returns the tokens that were not used.
func (r *Reservation) Settle(used float64) {
	r.service.settle(settlement{account: r.account, id: r.id, used: used, since: time.Now()})
}

// Refusal is the answer to a reservation that was not granted.
type Refusal struct {
	Outcome Outcome
	// RetryAfter is when to come back; zero if coming back is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "reservation refused: " + r.Outcome.String() }

// Reserve debits tokens at the account's home. It waits a short time if they
// will be there by then. Its error is a *Refusal.
func (s *Service) Reserve(ctx context.Context, id account.ID, tokens float64) (*Reservation, error) {
	r := &Reservation{service: s, account: id, id: ReservationID{Holder: s.opts.Self.Incarnation, Seq: s.seq.Add(1)}}
	start := time.Now()
	unsure := false // an answer that was lost may have been a grant
	for {
		answer, err := s.ask(ctx, r, tokens)
		unsure = unsure || err != nil
		if answer.Outcome == Granted && freshness.Age(start, time.Now()) < grantTTL {
			return r, nil
		}
		pause, refusal := next(answer, err, time.Since(start))
		if refusal == nil && sleep(ctx, pause) {
			continue
		}
		if refusal == nil {
			refusal = &Refusal{Outcome: answer.Outcome, RetryAfter: answer.RetryAfter}
		}
		if unsure || answer.Outcome == Granted {
			r.Settle(0)
		}
		return nil, refusal
	}
}

// next decides what follows an answer, some time after the first try: a pause
// and another try, or the refusal.
func next(a Answer, err error, waited time.Duration) (pause time.Duration, refusal *Refusal) {
	pause = retryPause/2 + rand.N(retryPause)
	limit := maxMoveWait
	switch {
	case err != nil:
		limit = maxWait
	case a.Outcome == Granted: // too late
		return 0, &Refusal{Outcome: Unavailable, RetryAfter: retryPause}
	case a.Outcome == OverBurst:
		return 0, &Refusal{Outcome: OverBurst}
	case a.Outcome == NoTokens:
		pause, limit = a.RetryAfter, maxWait
	}
	if waited+pause <= limit {
		return pause, nil
	}
	if a.RetryAfter == 0 {
		a.RetryAfter = homeRetryAfter
	}
	return 0, &Refusal{Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// ask asks the account's home once. On an error the outcome is Unavailable.
func (s *Service) ask(ctx context.Context, r *Reservation, tokens float64) (Answer, error) {
	home, ok := s.Home(r.account)
	if !ok {
		return Answer{}, errors.New("the roster is empty")
	}
	if home.ID == s.opts.Self.ID {
		s.refresh()
		return s.keeper.Reserve(r.account, r.id, tokens), nil
	}
	answer, err := s.batches.reserve(ctx, home.PeerAddress, &peer.Reservation{Account: string(r.account), Seq: r.id.Seq, Tokens: tokens})
	if answer.Outcome == NotHome {
		s.tell(home.ID)
	}
	return answer, err
}

// tell makes this VM and another one agree on the roster, but not at each call.
func (s *Service) tell(id vm.ID) {
	now := time.Now().UnixNano()
	last := s.told.Load()
	if now-last > int64(tellInterval) && s.told.CompareAndSwap(last, now) {
		s.opts.Tell(id)
	}
}

// settle settles at once if the home is here, or later over the network.
func (s *Service) settle(x settlement) {
	home, ok := s.Home(x.account)
	if ok && home.ID == s.opts.Self.ID && s.keeper.Settle(x.account, x.id, x.used) {
		return
	}
	s.settles.add(x)
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
