package budget

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/freshness"
)

// Reservation is a granted reservation. It must be settled once.
type Reservation struct {
	service *Service
	tokens  float64

	mu    sync.Mutex
	parts []part
	// granted marks the shares that a home has granted. The shares are equal
	// parts of the tokens; by default each is reserved from the half with its
	// index.
	granted [halves]bool
}

func (r *Reservation) add(share int, p part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = append(r.parts, p)
	r.granted[share] = true
}

// part is the share that one home granted.
type part struct {
	half   account.ID
	id     ReservationID
	tokens float64
}

// Settle settles the reservation with the tokens used; the rest is refunded.
func (r *Reservation) Settle(used float64) {
	now := time.Now()
	for _, p := range r.parts {
		share := 0.0
		if r.tokens > 0 {
			share = used * p.tokens / r.tokens
		}
		r.service.settle(settlement{half: p.half, id: p.id, used: share, queuedAt: now})
	}
}

// Reserve debits tokens, half of them at each of the account's homes. If they
// become available soon, it waits for them for a short time. Meanwhile it keeps
// the share that one home has granted: if concurrent requests returned their
// shares, they could keep each other from getting both. The error is a
// *Refusal.
func (s *Service) Reserve(ctx context.Context, id account.ID, tokens float64) (*Reservation, error) {
	r := &Reservation{service: s, tokens: tokens}
	if tokens == 0 {
		return r, nil
	}
	start := time.Now()
	for {
		answer := s.tryReserve(ctx, id, r)
		if answer.Outcome == Granted && freshness.Age(start, time.Now()) < grantTTL {
			return r, nil
		}
		pause, refusal := retryOrRefuse(answer, time.Since(start))
		if refusal == nil && clock.Sleep(ctx, pause) {
			continue
		}
		r.Settle(0)
		if refusal == nil {
			refusal = &Refusal{Outcome: answer.Outcome, RetryAfter: answer.RetryAfter}
		}
		return nil, refusal
	}
}

// tryReserve reserves each missing share at the home of its half, and then each
// share that was not granted at the other home.
func (s *Service) tryReserve(ctx context.Context, id account.ID, r *Reservation) Answer {
	var answers [halves]Answer
	var pending sync.WaitGroup
	for k := range halves {
		switch {
		case r.granted[k]:
			answers[k].Outcome = Granted
		case k < halves-1:
			pending.Go(func() { answers[k] = s.reserveShare(ctx, r, k, halfOf(id, k)) })
		default:
			answers[k] = s.reserveShare(ctx, r, k, halfOf(id, k))
		}
	}
	pending.Wait()
	for k := range halves {
		other := halves - 1 - k
		if answers[k].Outcome == Granted || answers[k].Outcome == OverBurst || answers[other].Outcome != Granted {
			continue
		}
		again := s.reserveShare(ctx, r, k, halfOf(id, other))
		switch {
		case again.Outcome == Granted:
			answers[k] = again
		case again.Outcome == NoTokens && answers[k].Outcome == NoTokens:
			answers[k].RetryAfter = min(answers[k].RetryAfter, again.RetryAfter)
		}
	}
	return combine(answers)
}

// combine returns the answer for both halves. If one of the homes is
// unavailable, the answer is Unavailable and not NoTokens, even if the other
// half is used up.
func combine(answers [halves]Answer) Answer {
	out := answers[0]
	for _, a := range answers[1:] {
		switch {
		case a.Outcome == OverBurst || out.Outcome == Granted:
			out = a
		case out.Outcome == OverBurst || a.Outcome == Granted:
		case a.Outcome == NoTokens && out.Outcome == NoTokens:
			out.RetryAfter = max(out.RetryAfter, a.RetryAfter)
		default:
			out = Answer{Outcome: Unavailable, RetryAfter: max(out.RetryAfter, a.RetryAfter)}
		}
	}
	return out
}

// reserveShare reserves one share at the home of a half and adds the granted
// part to the reservation. If the call fails, the tokens may have been debited,
// so they are refunded.
func (s *Service) reserveShare(ctx context.Context, r *Reservation, share int, half account.ID) Answer {
	p := part{half: half, id: ReservationID{Holder: s.opts.Self.Incarnation, Seq: s.seq.Add(1)}, tokens: r.tokens / halves}
	answer, err := s.reserveAtHome(ctx, p)
	if err != nil {
		s.settle(settlement{half: half, id: p.id, queuedAt: time.Now()})
		return Answer{Outcome: Unavailable}
	}
	if answer.Outcome == Granted {
		r.add(share, p)
	}
	return answer
}

// reserveAtHome reserves at the home of a half. It doesn't call a home whose
// circuit breaker is open.
func (s *Service) reserveAtHome(ctx context.Context, p part) (Answer, error) {
	home, ok := s.home(p.half)
	if !ok {
		return Answer{}, nil
	}
	if home.ID == s.opts.Self.ID {
		s.refresh()
		return s.ledger.Reserve(p.half, p.id, p.tokens), nil
	}
	if s.breakers.blocked(home.PeerAddress, time.Now()) {
		return Answer{}, nil
	}
	answer, err := s.batcher.reserve(ctx, home.PeerAddress, &peer.Reservation{Account: string(p.half), Seq: p.id.Seq, Tokens: p.tokens})
	if ctx.Err() == nil {
		s.breakers.record(home.PeerAddress, err == nil, time.Now())
	}
	if answer.Outcome == NotHome {
		s.exchangeRoster(home.ID)
		answer.RetryAfter = homeRetryAfter
	}
	return answer, errors.WithMessage(err, "reserve at the home VM")
}

// settle settles at once if this VM is the home, otherwise later over the
// network.
func (s *Service) settle(x settlement) {
	home, ok := s.home(x.half)
	if ok && home.ID == s.opts.Self.ID && s.ledger.Settle(x.half, x.id, x.used) {
		return
	}
	s.settlements.add(x)
}

const (
	// breakerThreshold is the number of consecutive failed calls that opens a
	// peer's circuit breaker.
	breakerThreshold = 3
	// breakerRetryInterval is the time between trial calls to a peer whose
	// breaker is open.
	breakerRetryInterval = 500 * time.Millisecond
	// maxBreakers bounds the number of peers with a breaker. Beyond it all
	// breakers are reset.
	maxBreakers = 1024
)

// circuitBreakers tracks the peers that don't respond, so that not every
// request waits for their time-out.
type circuitBreakers struct {
	mu        sync.Mutex
	byAddress map[string]breaker
}

type breaker struct {
	failures int
	retryAt  time.Time
}

// blocked reports whether the peer must not be called now. While a breaker is
// open it allows one trial call per breakerRetryInterval.
func (l *circuitBreakers) blocked(addr string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.byAddress[addr]
	if f.failures < breakerThreshold {
		return false
	}
	if now.Before(f.retryAt) {
		return true
	}
	f.retryAt = now.Add(breakerRetryInterval)
	l.byAddress[addr] = f
	return false
}

// record records whether a call succeeded.
func (l *circuitBreakers) record(addr string, ok bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		delete(l.byAddress, addr)
		return
	}
	if l.byAddress == nil || len(l.byAddress) >= maxBreakers {
		l.byAddress = map[string]breaker{}
	}
	l.byAddress[addr] = breaker{failures: l.byAddress[addr].failures + 1, retryAt: now.Add(breakerRetryInterval)}
}
