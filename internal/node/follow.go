package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	// serverWait is for how long a call waits for a change of servers. A connection
	// that falls silent is noticed by a call that doesn't come back in time: that, the
	// call after it and the news to other VMs must fit the time within which a leave
	// must be known, drain_ms on the deployments' sheets, 2 s.
	serverWait = 700 * time.Millisecond
	// operatorWait is the same for the operator's objects. When a call for servers
	// fails, or succeeds again, the call for these is made anew. A silence of this call
	// alone is noticed within stable_window_ms, 3 s, after which the rules count a VM
	// as calm again.
	operatorWait = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The upper
	// one is short against the time within which changes must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// lapseHold is for how long a server counts as present that the store no
	// longer lists after an outage: it announces itself again within about two
	// seconds of the store's return.
	lapseHold = 2300 * time.Millisecond
	// lapseHeartbeats is the number of heartbeats without an announcement after which
	// the store drops a server's row, by its documentation.
	lapseHeartbeats = 3
	// serverPause is how long changes of servers are left to collect: each call
	// to the store has a price, and a roll-out changes several servers a second. It
	// is short against the time within which a leaving server must be known.
	serverPause = 250 * time.Millisecond
)

// errInterrupted means that a call was ended to be made anew.
var errInterrupted = errors.New("the call was ended to be made anew")

// feedState is what one loop knows of its feed.
type feedState struct {
	name string
	// wait is for how long a call waits for a change.
	wait time.Duration
	// interrupt ends the call that is under way, nil without one.
	interrupt atomic.Pointer[context.CancelFunc]
	// pause is how long changes are left to collect after some came.
	pause time.Duration
	// turned, if set, is called when a call has failed, and when one succeeds after
	// that: calls that are under way may never be answered.
	turned func()
	// answered, if set, is called when all changes that the store told are applied.
	answered func()
	after    platform.Revision
	failures int
	// resume, if set, returns up to where other VMs have told all that the feed would.
	resume func() platform.Revision
	// healthy is since when the store answers, nil while it doesn't.
	healthy atomic.Pointer[time.Time]
	// heard is when the store last answered, here or at the VMs that read the feed for
	// this one; nil before it has answered here.
	heard atomic.Pointer[time.Time]
	// since is from when the last answer's changes may be: now, or when the store
	// answered last before a failure. It is zero in a process's first answer.
	since time.Time
	// late is set if that is the time of an earlier answer.
	late bool
	// broken is set if a call has failed since the last answer, or if others read the
	// feed.
	broken bool
	// lostAt is when the store was last found unreachable, returned when it
	// answered again after so long that rows may have lapsed.
	lostAt, returned time.Time
}

// age returns the time since the store last answered; negative if it never has.
func (f *feedState) age(now time.Time) time.Duration {
	heard := f.heard.Load()
	if heard == nil {
		return -1
	}
	return now.Sub(*heard)
}

// failed notes a failed call and returns the pause before the next.
func (n *Node) failed(f *feedState, err error) time.Duration {
	f.healthy.Store(nil)
	f.broken = true
	if f.turned != nil {
		f.turned()
	}
	if f.failures == 0 {
		f.lostAt = n.now()
		n.log.Warn("store_lost", zap.String("feed", f.name), zap.Stringer("revision", f.after),
			zap.Duration("store_age", f.age(f.lostAt)), logging.Error(err))
	}
	f.failures++
	pause := min(maxBackoff, minBackoff<<min(f.failures-1, 8))
	return time.Duration((0.5 + rand.Float64()/2) * float64(pause))
}

func (n *Node) succeeded(f *feedState) {
	now := n.now()
	before := f.heard.Load()
	switch {
	case before == nil:
		f.since = time.Time{}
	case f.broken:
		f.since = *before
	default:
		f.since = now
	}
	f.late, f.broken = f.broken, false
	f.heard.Store(&now)
	if f.healthy.Load() == nil {
		f.healthy.Store(&now)
	}
	if f.failures == 0 {
		return
	}
	f.failures = 0
	lapsed := before == nil || n.mayLapse(now.Sub(*before))
	if lapsed {
		f.returned = now
	}
	if f.turned != nil {
		f.turned()
	}
	n.log.Info("store_regained", zap.String("feed", f.name), zap.Stringer("revision", f.after),
		zap.Duration("outage", now.Sub(f.lostAt)), zap.Bool("rows_may_lapse", lapsed))
}

// mayLapse reports whether a row may lapse because the store takes nothing for a time:
// its server announced itself last up to a heartbeat before.
func (n *Node) mayLapse(outage time.Duration) bool {
	heartbeat := n.opts.Bounds.Heartbeat
	return heartbeat == 0 || outage >= (lapseHeartbeats-1)*heartbeat
}

// changesFunc takes the changes above a revision, up to another one.
type changesFunc func(changes []platform.Change, after, upTo platform.Revision)

// follow reads a table whole, then its changes, until ctx ends.
func (n *Node) follow(ctx context.Context, f *feedState, table string, all func([]platform.Row, platform.Revision), some changesFunc) {
	f.name = table
	loaded := false
	for ctx.Err() == nil {
		if f.heard.Load() != nil && !n.Following() {
			n.rely(f)
			if !clock.Sleep(ctx, digestInterval) {
				return
			}
			continue
		}
		var err error
		if !loaded {
			err = n.load(ctx, f, table, all)
			loaded = err == nil
		} else {
			err = n.watch(ctx, f, table, some)
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, errInterrupted):
			f.broken = true
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			n.log.Info("feed_history_gone", zap.String("feed", table), zap.Stringer("revision", f.after), logging.Error(err))
			f.broken = true
			loaded = n.awaitTurn(ctx, f)
			continue
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, n.failed(f, err)) {
			return
		}
	}
}

const (
	// turn is the time between the VMs of a failure domain in which they read a table whole
	// whose changes the store no longer has. What the first one has read the others fetch
	// within a few round trips.
	turn = 250 * time.Millisecond
	// maxTurns bounds the turns that a VM waits, as all may follow the store after an outage.
	maxTurns = 4
	// turnPoll is the time between two looks at what other VMs have told.
	turnPoll = 20 * time.Millisecond
)

// awaitTurn waits until it is this VM's turn to read a table whole. It returns true if
// other VMs have told meanwhile what the table says: then the feed goes on from there.
func (n *Node) awaitTurn(ctx context.Context, f *feedState) bool {
	left := time.Duration((float64(min(n.gossip.Rank(), maxTurns)) + rand.Float64()/4) * float64(turn))
	for ; left > 0 && n.Following(); left -= turnPoll {
		if !clock.Sleep(ctx, min(left, turnPoll)) {
			return false
		}
		if f.resume == nil {
			continue
		}
		if known := f.resume(); known.After(f.after) {
			f.after = known
			return true
		}
	}
	return false
}

// rely notes that others read a feed for this VM. What they did not tell in their last
// digest may be as old as the read before it.
func (n *Node) rely(f *feedState) {
	f.healthy.Store(nil)
	f.broken = true
	at, ok := n.followerHeard(n.now())
	if at = at.Add(-f.wait); ok && at.After(*f.heard.Load()) {
		f.heard.Store(&at)
	}
}

func (n *Node) load(ctx context.Context, f *feedState, table string, all func([]platform.Row, platform.Revision)) error {
	list, err := n.opts.Feed.Rows(ctx, table)
	if err != nil {
		return err
	}
	if !n.sawEra(list.Revision.Era, "store") {
		return errors.Wrapf(platform.ErrUnavailable, "the answer is of the earlier era %d", list.Revision.Era)
	}
	n.succeeded(f)
	if list.Revision.Era != f.after.Era {
		now := n.now()
		f.healthy.Store(&now)
	}
	f.after = list.Revision
	all(list.Rows, list.Revision)
	if f.answered != nil {
		f.answered()
	}
	return nil
}

func (n *Node) watch(ctx context.Context, f *feedState, table string, some changesFunc) error {
	after := f.after
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.interrupt.Store(&cancel)
	wait := f.wait
	if f.failures > 0 {
		wait = 0 // The answer shows that the store is back.
	}
	changes, next, err := n.opts.Feed.Changes(callCtx, table, after, wait)
	f.interrupt.Store(nil)
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			return errInterrupted
		}
		return err
	}
	n.succeeded(f)
	f.after = next
	some(changes, after, next)
	if f.answered != nil {
		f.answered()
	}
	if len(changes) > 0 {
		clock.Sleep(ctx, f.pause)
	}
	return nil
}
