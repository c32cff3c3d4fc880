package budget

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// flushInterval is how often settlements and handovers are sent.
	flushInterval = 20 * time.Millisecond
	// settleTTL is how long a settlement is tried. Later the tokens stay
	// debited.
	settleTTL = 10 * time.Second
	// maxSettlements bounds the settlements that wait.
	maxSettlements = 1 << 16
	// maxMoves is the number of buckets in one handover call.
	maxMoves = 64
)

// settlement is one settlement on its way to the home.
type settlement struct {
	half  account.ID
	id    ReservationID
	used  float64
	since time.Time
}

type settleQueue struct {
	mu      sync.Mutex
	waiting []settlement
}

func (q *settleQueue) add(xs ...settlement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(xs) <= maxSettlements {
		q.waiting = append(q.waiting, xs...)
	}
}

// take empties the queue, without what has waited too long.
func (q *settleQueue) take(now time.Time) []settlement {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []settlement
	for _, x := range q.waiting {
		if now.Sub(x.since) < settleTTL {
			out = append(out, x)
		}
	}
	q.waiting = nil
	return out
}

// move is one handover on its way. After freshness.Bound the new home has
// started without it.
type move struct {
	Handover
	since time.Time
}

type moveQueue struct {
	mu      sync.Mutex
	waiting []move
	// open counts the handovers that wait or are being sent.
	open int
}

func (q *moveQueue) add(hs []Handover, now time.Time) {
	if len(hs) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, h := range hs {
		q.waiting = append(q.waiting, move{h, now})
	}
	q.open += len(hs)
}

// take empties the queue, without what has waited too long.
func (q *moveQueue) take(now time.Time) []move {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []move
	for _, m := range q.waiting {
		if now.Sub(m.since) < freshness.Bound {
			out = append(out, m)
		}
	}
	q.open -= len(q.waiting) - len(out)
	q.waiting = nil
	return out
}

// sent notes the outcome of handovers that were taken.
func (q *moveQueue) sent(taken int, again []move) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, again...)
	q.open -= taken - len(again)
}

func (q *moveQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.open == 0
}

// AwaitHandover waits until no account has its home here and all balances are
// handed over, or until the context ends. A VM that leaves calls it before it
// stops.
func (s *Service) AwaitHandover(ctx context.Context) {
	for !s.relieved() && clock.Sleep(ctx, flushInterval) {
		s.refresh()
	}
}

// relieved reports whether other VMs are the homes of all accounts, or there
// is no other VM that stays.
func (s *Service) relieved() bool {
	v := s.opts.View()
	if v.Roster == nil {
		return true
	}
	home, others := false, false
	for _, m := range v.Roster.Members {
		if m.ID == s.opts.Self.ID {
			home = !m.Leaving
		} else {
			others = others || !m.Leaving
		}
	}
	return !others || !home && s.moves.empty()
}

// Run sends settlements and handovers until the context ends, and then once
// more.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
		s.refresh()
		s.flush()
	}
}

// flush sends what waits, to all homes at the same time.
func (s *Service) flush() {
	now := time.Now()
	var sends sync.WaitGroup
	for addr, xs := range s.settlementsByHome(now) {
		sends.Go(func() { s.sendSettlements(addr, xs) })
	}
	for to, ms := range movesByHome(s.moves.take(now)) {
		sends.Go(func() { s.sendMoves(to, ms) })
	}
	sends.Wait()
}

func (s *Service) settlementsByHome(now time.Time) map[string][]settlement {
	out := map[string][]settlement{}
	for _, x := range s.settles.take(now) {
		home, ok := s.home(x.half)
		switch {
		case !ok:
			s.settles.add(x)
		case home.ID == s.opts.Self.ID:
			if !s.keeper.Settle(x.half, x.id, x.used) {
				s.settles.add(x)
			}
		default:
			out[home.PeerAddress] = append(out[home.PeerAddress], x)
		}
	}
	return out
}

func (s *Service) sendSettlements(addr string, xs []settlement) {
	for len(xs) > 0 {
		n := min(len(xs), maxBatch)
		s.settles.add(s.sendSettlementBatch(addr, xs[:n])...)
		xs = xs[n:]
	}
}

// sendSettlementBatch returns those that must be sent again.
func (s *Service) sendSettlementBatch(addr string, xs []settlement) (again []settlement) {
	req := &peer.SettleRequest{Holder: uint64(s.opts.Self.Incarnation)}
	for _, x := range xs {
		req.Settlements = append(req.Settlements, &peer.Settlement{Account: string(x.half), Seq: x.id.Seq, Used: x.used})
	}
	client, err := s.opts.Client(addr)
	if err != nil {
		return xs
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := client.Settle(ctx, req)
	if err != nil || len(reply.Settled) != len(xs) {
		return xs
	}
	for i, ok := range reply.Settled {
		if !ok {
			again = append(again, xs[i])
		}
	}
	return again
}

func movesByHome(ms []move) map[vm.VM][]move {
	out := map[vm.VM][]move{}
	for _, m := range ms {
		out[m.To] = append(out[m.To], m)
	}
	return out
}

func (s *Service) sendMoves(to vm.VM, ms []move) {
	for len(ms) > 0 {
		n := min(len(ms), maxMoves)
		s.moves.sent(n, s.sendMoveBatch(to, ms[:n]))
		ms = ms[n:]
	}
}

// sendMoveBatch returns those that must be sent again. A lost answer is
// followed by a repeat, which the new home takes at most once.
func (s *Service) sendMoveBatch(to vm.VM, ms []move) (again []move) {
	req := &peer.HandoverRequest{ToVm: string(to.ID), ToIncarnation: uint64(to.Incarnation)}
	for _, m := range ms {
		req.Buckets = append(req.Buckets, bucketOf(m.Handover))
	}
	client, err := s.opts.Client(to.PeerAddress)
	if err != nil {
		return ms
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := client.Handover(ctx, req)
	if err != nil || len(reply.Acceptances) != len(ms) {
		return ms
	}
	for i, a := range reply.Acceptances {
		if Acceptance(a) == Later {
			again = append(again, ms[i])
			continue
		}
		s.opts.Log.Info("budget_handed_over",
			zap.String("account", accountOf(ms[i].Account)),
			zap.String("to", string(to.ID)),
			zap.Uint64("roster", uint64(ms[i].Version)),
			zap.Float64("tokens", ms[i].Level),
			zap.Bool("accepted", Acceptance(a) == Accepted))
	}
	return again
}
