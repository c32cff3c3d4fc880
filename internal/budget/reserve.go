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
	// granted marks the shares that a home has granted. Each is an equal part
	// of the tokens, by default that of the half with its index.
	granted [halves]bool
}

func (r *Reservation) add(share int, p part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = append(r.parts, p)
	r.granted[share] = true
}

// part is what one home granted.
type part struct {
	half   account.ID
	id     ReservationID
	tokens float64
}

// Settle returns the tokens that were not used.
func (r *Reservation) Settle(used float64) {
	now := time.Now()
	for _, p := range r.parts {
		share := 0.0
		if r.tokens > 0 {
			share = used * p.tokens / r.tokens
		}
		r.service.settle(settlement{half: p.half, id: p.id, used: share, since: now})
	}
}

// Reserve debits tokens, half of them at each of the account's homes. It waits
// a short time if they will be there by then, and keeps meanwhile what one home
// has granted: requests that gave it back would keep each other from both
// halves. Its error is a *Refusal.
func (s *Service) Reserve(ctx context.Context, id account.ID, tokens float64) (*Reservation, error) {
	r := &Reservation{service: s, tokens: tokens}
	if tokens == 0 {
		return r, nil
	}
	start := time.Now()
	for {
		answer := s.try(ctx, id, r)
		if answer.Outcome == Granted && freshness.Age(start, time.Now()) < grantTTL {
			return r, nil
		}
		pause, refusal := next(answer, time.Since(start))
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

// try asks for each missing share at the home of its half, and then for what is
// still missing at the other home.
func (s *Service) try(ctx context.Context, id account.ID, r *Reservation) Answer {
	var answers [halves]Answer
	var asks sync.WaitGroup
	for k := range halves {
		switch {
		case r.granted[k]:
			answers[k].Outcome = Granted
		case k < halves-1:
			asks.Go(func() { answers[k] = s.ask(ctx, r, k, halfOf(id, k)) })
		default:
			answers[k] = s.ask(ctx, r, k, halfOf(id, k))
		}
	}
	asks.Wait()
	for k := range halves {
		other := halves - 1 - k
		if answers[k].Outcome == Granted || answers[k].Outcome == OverBurst || answers[other].Outcome != Granted {
			continue
		}
		again := s.ask(ctx, r, k, halfOf(id, other))
		switch {
		case again.Outcome == Granted:
			answers[k] = again
		case again.Outcome == NoTokens && answers[k].Outcome == NoTokens:
			answers[k].RetryAfter = min(answers[k].RetryAfter, again.RetryAfter)
		}
	}
	return combine(answers)
}

// combine returns the answer for both halves. Without one of the homes the
// account is not over its rate, even if the other half is used up.
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

// ask asks the home of a half for one share and adds what it grants to the
// reservation.
// Without an answer the tokens are given back, since they may be debited.
func (s *Service) ask(ctx context.Context, r *Reservation, share int, half account.ID) Answer {
	p := part{half: half, id: ReservationID{Holder: s.opts.Self.Incarnation, Seq: s.seq.Add(1)}, tokens: r.tokens / halves}
	answer, err := s.call(ctx, p)
	if err != nil {
		s.settle(settlement{half: half, id: p.id, since: time.Now()})
		return Answer{Outcome: Unavailable}
	}
	if answer.Outcome == Granted {
		r.add(share, p)
	}
	return answer
}

// call reserves at the home of a half. A home that does not answer is left
// alone for a while.
func (s *Service) call(ctx context.Context, p part) (Answer, error) {
	home, ok := s.home(p.half)
	if !ok {
		return Answer{}, nil
	}
	if home.ID == s.opts.Self.ID {
		s.refresh()
		return s.keeper.Reserve(p.half, p.id, p.tokens), nil
	}
	if s.lost.skip(home.PeerAddress, time.Now()) {
		return Answer{}, nil
	}
	answer, err := s.batches.reserve(ctx, home.PeerAddress, &peer.Reservation{Account: string(p.half), Seq: p.id.Seq, Tokens: p.tokens})
	if ctx.Err() == nil {
		s.lost.note(home.PeerAddress, err == nil, time.Now())
	}
	if answer.Outcome == NotHome {
		s.tell(home.ID)
		answer.RetryAfter = homeRetryAfter
	}
	return answer, errors.WithMessage(err, "ask the home")
}

// settle settles at once if the home is here, or later over the network.
func (s *Service) settle(x settlement) {
	home, ok := s.home(x.half)
	if ok && home.ID == s.opts.Self.ID && s.keeper.Settle(x.half, x.id, x.used) {
		return
	}
	s.settles.add(x)
}

const (
	// lostAfter is the number of failed calls after which a peer counts as
	// lost.
	lostAfter = 3
	// lostPause is how often a lost peer is tried.
	lostPause = 500 * time.Millisecond
	// maxLost bounds the peers that are remembered.
	maxLost = 1024
)

// lostPeers remembers which peers do not answer, so that not every request
// waits for them.
type lostPeers struct {
	mu     sync.Mutex
	failed map[string]failures
}

type failures struct {
	count int
	next  time.Time
}

// skip reports whether the peer is not to be called now. One caller at a time
// tries a lost peer.
func (l *lostPeers) skip(addr string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.failed[addr]
	if f.count < lostAfter {
		return false
	}
	if now.Before(f.next) {
		return true
	}
	f.next = now.Add(lostPause)
	l.failed[addr] = f
	return false
}

// note records the end of a call.
func (l *lostPeers) note(addr string, ok bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		delete(l.failed, addr)
		return
	}
	if l.failed == nil || len(l.failed) >= maxLost {
		l.failed = map[string]failures{}
	}
	l.failed[addr] = failures{count: l.failed[addr].count + 1, next: now.Add(lostPause)}
}
