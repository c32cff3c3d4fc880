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
	// settleTTL is how long a settlement is retried. After that its tokens stay
	// debited.
	settleTTL = 10 * time.Second
	// maxQueuedSettlements bounds the settlements in the queue. Further ones
	// are dropped.
	maxQueuedSettlements = 1 << 16
	// maxHandoverBatch is the number of buckets in one handover call.
	maxHandoverBatch = 64
)

// settlement is a settlement that waits to be sent to the home of its half.
type settlement struct {
	half     account.ID
	id       ReservationID
	used     float64
	queuedAt time.Time
}

type settlementQueue struct {
	mu      sync.Mutex
	waiting []settlement
}

func (q *settlementQueue) add(xs ...settlement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(xs) <= maxQueuedSettlements {
		q.waiting = append(q.waiting, xs...)
	}
}

// takeAll empties the queue and returns the settlements that have not expired.
func (q *settlementQueue) takeAll(now time.Time) []settlement {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []settlement
	for _, x := range q.waiting {
		if now.Sub(x.queuedAt) < settleTTL {
			out = append(out, x)
		}
	}
	q.waiting = nil
	return out
}

// queuedHandover is a handover that is not acknowledged yet. It expires after
// freshness.Bound, when the new home has started without it.
type queuedHandover struct {
	Handover
	queuedAt time.Time
}

type handoverQueue struct {
	mu      sync.Mutex
	waiting []queuedHandover
	// unfinished counts the handovers that are queued or being sent.
	unfinished int
}

func (q *handoverQueue) add(hs []Handover, now time.Time) {
	if len(hs) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, h := range hs {
		q.waiting = append(q.waiting, queuedHandover{h, now})
	}
	q.unfinished += len(hs)
}

// takeAll empties the queue and returns the handovers that have not expired.
func (q *handoverQueue) takeAll(now time.Time) []queuedHandover {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []queuedHandover
	for _, m := range q.waiting {
		if now.Sub(m.queuedAt) < freshness.Bound {
			out = append(out, m)
		}
	}
	q.unfinished -= len(q.waiting) - len(out)
	q.waiting = nil
	return out
}

// finishBatch records the end of a call with taken handovers and queues those
// to be retried.
func (q *handoverQueue) finishBatch(taken int, retry []queuedHandover) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, retry...)
	q.unfinished -= taken - len(retry)
}

func (q *handoverQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unfinished == 0
}

// AwaitHandover waits until this VM is the home of no account and all balances
// are handed over, or until the context ends. A VM that leaves calls it before
// it stops.
func (s *Service) AwaitHandover(ctx context.Context) {
	for !s.handoverDone() && clock.Sleep(ctx, flushInterval) {
		s.refresh()
	}
}

// handoverDone reports whether other VMs are the homes of all accounts and no
// handover is unfinished. It also returns true if every other VM is leaving.
func (s *Service) handoverDone() bool {
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
	return !others || !home && s.handovers.empty()
}

// Run sends settlements and handovers periodically until the context ends, and
// then once more.
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

// flush sends the queued settlements and handovers to all homes concurrently.
func (s *Service) flush() {
	now := time.Now()
	var sends sync.WaitGroup
	for addr, xs := range s.settlementsByHome(now) {
		sends.Go(func() { s.sendSettlements(addr, xs) })
	}
	for to, ms := range handoversByHome(s.handovers.takeAll(now)) {
		sends.Go(func() { s.sendHandovers(to, ms) })
	}
	sends.Wait()
}

func (s *Service) settlementsByHome(now time.Time) map[string][]settlement {
	out := map[string][]settlement{}
	for _, x := range s.settlements.takeAll(now) {
		home, ok := s.home(x.half)
		switch {
		case !ok:
			s.settlements.add(x)
		case home.ID == s.opts.Self.ID:
			if !s.ledger.Settle(x.half, x.id, x.used) {
				s.settlements.add(x)
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
		s.settlements.add(s.sendSettlementBatch(addr, xs[:n])...)
		xs = xs[n:]
	}
}

// sendSettlementBatch returns the settlements to be retried.
func (s *Service) sendSettlementBatch(addr string, xs []settlement) (retry []settlement) {
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
			retry = append(retry, xs[i])
		}
	}
	return retry
}

func handoversByHome(ms []queuedHandover) map[vm.VM][]queuedHandover {
	out := map[vm.VM][]queuedHandover{}
	for _, m := range ms {
		out[m.To] = append(out[m.To], m)
	}
	return out
}

func (s *Service) sendHandovers(to vm.VM, ms []queuedHandover) {
	for len(ms) > 0 {
		n := min(len(ms), maxHandoverBatch)
		s.handovers.finishBatch(n, s.sendHandoverBatch(to, ms[:n]))
		ms = ms[n:]
	}
}

// sendHandoverBatch returns the handovers to be retried. A handover is sent
// again if its response was lost; the new home accepts it at most once.
func (s *Service) sendHandoverBatch(to vm.VM, ms []queuedHandover) (retry []queuedHandover) {
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
			retry = append(retry, ms[i])
			continue
		}
		s.opts.Log.Info("budget_handed_over",
			zap.String("account", accountOf(ms[i].Account)),
			zap.String("to", string(to.ID)),
			zap.Uint64("roster", uint64(ms[i].Version)),
			zap.Float64("tokens", ms[i].Level),
			zap.Bool("accepted", Acceptance(a) == Accepted))
	}
	return retry
}
