package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/hedge"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// side is one of the attempts of a race.
type side int

const (
	first side = iota
	second
	nobody
)

// errOutrun means that the other attempt has answered the caller.
var errOutrun = errors.New("another server has answered")

// race is a first attempt and its hedge, of which one answers the caller. The first attempt runs in the
// caller's goroutine, the hedge in that of a timer. A nil race has no hedge.
type race struct {
	task    *task
	ctx     context.Context
	service *catalog.Service
	server  *fleet.Entry
	sink    Sink
	// latencies are those of the route; delay is the time after which the hedge is sent, 0 if it
	// isn't known yet.
	latencies *hedge.Latencies
	delay     time.Duration

	mu     sync.Mutex
	timer  *time.Timer
	sentAt time.Time
	// over is set once no hedge may be sent any more.
	over   bool
	winner side
	cancel [2]context.CancelFunc
	// hedge is the hedge's task; nil before it is sent. done is closed when it has ended, with failure.
	hedge    *task
	hedgedAt time.Time
	done     chan struct{}
	failure  *failure
}

// race makes the first attempt, and sends a hedge if its response is late.
func (t *task) race(ctx context.Context, service *catalog.Service, c selector.Candidate) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends a hedge that has lost.
	r := &race{task: t, ctx: ctx, service: service, server: c.Entry, sink: t.sink, winner: nobody, latencies: t.g.hedges.route(t.route.Name)}
	r.delay, _ = r.latencies.Delay(t.g.opts.Now())
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	r.cancel[first] = cancelFirst
	sink := &raceSink{race: r, task: t, sink: t.sink, side: first}
	t.hedging, t.sink = r, sink
	f := sink.held(t.try(firstCtx, service, c))
	t.sink = r.sink
	return r.finish(f)
}

// firstSent starts the delay after which the hedge is sent. It is called just before the first attempt
// writes its request.
func (r *race) firstSent(at time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || r.winner != nobody {
		return
	}
	r.sentAt = at
	if r.delay > 0 {
		r.timer = time.AfterFunc(r.delay, r.launch)
	}
}

// claim makes an attempt the winner, and cancels the other one. It fails if that has won.
func (r *race) claim(s side) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.winner {
	case s:
		return nil
	case nobody:
	default:
		r.cancel[s]() // So that the failure isn't attributed to the server.
		return errOutrun
	}
	r.winner = s
	if other := r.cancel[1-s]; other != nil {
		other()
	}
	if now := r.task.g.opts.Now(); s == second {
		r.latencies.Record(now.Sub(r.hedgedAt), now)
		r.latencies.Record(now.Sub(r.sentAt), now) // The first server had taken that long.
	} else {
		r.latencies.Record(now.Sub(r.sentAt), now)
	}
	return nil
}

func (r *race) won() side {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner
}

// outrun reports whether the hedge has answered the caller.
func (r *race) outrun() bool { return r != nil && r.won() == second }

// isLastAttempt reports whether no attempt would be left if the first one were given up because its
// server is silent: the hedge is the last one.
func (r *race) isLastAttempt() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.over && r.hedge != nil && r.task.route.MaxAttempts <= 2
}

// finish ends the race after the first attempt, which ended with f. If that hasn't answered, it waits
// for the hedge.
func (r *race) finish(f *failure) *failure {
	t := r.task
	r.mu.Lock()
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
	winner, hedge := r.winner, r.hedge
	r.mu.Unlock()
	if hedge == nil {
		return f
	}
	t.outcome.hedge = "sent"
	if winner == first {
		t.sends++
		return f
	}
	if winner == nobody && f != nil {
		t.g.opts.Log.Info("hedge_awaited", zap.String("request_id", t.call.ID), zap.String("first_server", string(r.server.ID)),
			zap.String("failure", f.code), zap.Bool("may_have_run", f.mayHaveRun))
	}
	<-r.done
	if r.won() != second {
		t.merge(hedge, false)
		if r.failure != nil && r.failure.mayHaveRun {
			t.ran = verdict.MayHaveRun
		}
		t.outcome.hedge = "failed"
		return f
	}
	t.merge(hedge, true)
	t.outcome.hedge = "won"
	r.recordWin()
	return r.failure
}

// recordWin counts and logs a hedge that has answered. The time saved is an estimate: the first server is
// taken to need as long again as it had when the hedge was sent.
func (r *race) recordWin() {
	h, now := r.task.g.hedges, r.task.g.opts.Now()
	took := now.Sub(r.sentAt)
	saved := max(0, 2*r.hedgedAt.Sub(r.sentAt)-took)
	h.won.Inc(1)
	h.saved.Update(saved.Milliseconds())
	h.log.Info("hedge_won", zap.String("request_id", r.task.call.ID), zap.String("first_server", string(r.server.ID)),
		zap.String("server", r.task.outcome.server), zap.Duration("took", took), zap.Duration("saved", saved))
}
