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
	"papayaspan.dev/papayaspan/internal/stall"
)

const (
	// minBackoff and maxBackoff bound the back-off after a failed call. The upper bound is
	// short compared with the time within which changes must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// missingRowHold is how long a server counts as present although the store no longer lists
	// it after an outage: a live server announces itself again within about two seconds of the
	// store's return.
	missingRowHold = 2300 * time.Millisecond
	// rowTTLHeartbeats is the number of heartbeats without an announcement after which the
	// store drops a server's row, according to its documentation.
	rowTTLHeartbeats = 3
)

// boundedTime is a time that is as long as a bound of the deployment allows.
type boundedTime struct {
	// least applies if the bound isn't known or is short, most if it is long.
	least, most time.Duration
	// margin is what else must fit within the bound.
	margin time.Duration
}

var (
	// serverPollWait is how long a call waits for a change of servers. A connection that falls silent
	// is detected when a call doesn't return in time: the call, the next one and the digests to other
	// VMs must fit within the time in which a drain or a removal must be known.
	serverPollWait = boundedTime{least: 700 * time.Millisecond, most: 900 * time.Millisecond, margin: 1300 * time.Millisecond}
	// serverBatchPause is how long changes of servers are collected into one call: each call to the
	// store has a price, a roll-out changes several servers a second, and the VMs on standby fetch the
	// changes after each call. Together with the wait it must be less than origin.MaxLag, the age up to
	// which the evidence that the known servers are complete counts.
	serverBatchPause = boundedTime{least: 250 * time.Millisecond, most: 500 * time.Millisecond, margin: 2500 * time.Millisecond}
	// operatorPollWait is how long a call waits for a change of the operator's objects. When a call for
	// servers fails, or succeeds after a failure, the pending call for these is repeated. If only this
	// call is silent, that is detected within the time after which the rules consider a VM stable again.
	operatorPollWait = boundedTime{least: 2 * time.Second, most: 4 * time.Second, margin: time.Second}
)

// within returns the time under a bound; zero means that the bound isn't known.
func (b boundedTime) within(bound time.Duration) time.Duration {
	return min(b.most, max(b.least, bound-b.margin))
}

// feedState is the state of the loop that reads one feed.
type feedState struct {
	name string
	// pollWait is how long a call waits for a change.
	pollWait time.Duration
	// interrupt ends the wait of the call in progress; nil if there is none.
	interrupt atomic.Pointer[func()]
	// batchPause is the delay after an answer with changes, which lets further changes
	// accumulate.
	batchPause time.Duration
	// onStateChange, if set, is called after a failed call and after the first success that
	// follows: other calls in progress may never be answered.
	onStateChange func()
	// onApplied, if set, is called when all changes of an answer are applied, with the time up to
	// which there were no others.
	onApplied func(completeAt time.Time)
	after     platform.Revision
	failures  int
	// peerRevision, if set, returns the revision up to which other VMs have delivered the
	// feed's changes.
	peerRevision func() platform.Revision
	// healthySince is the time since which the store answers; nil while it doesn't.
	healthySince atomic.Pointer[time.Time]
	// lastAnswer is when the store last answered this VM or the VMs that read the feed for it;
	// nil before the first answer to this VM.
	lastAnswer atomic.Pointer[time.Time]
	// changesSince is the earliest time at which the changes of the last answer may have been
	// made: now or, after a failure, the time of the answer before it. It is zero for the first
	// answer of a process.
	changesSince time.Time
	// afterGap is set if changesSince is the time of an earlier answer.
	afterGap bool
	// gap is set if a call has failed since the last answer, or if other VMs read the feed.
	gap bool
	// lostAt is when the store was last found unreachable. returnedAt is when it answered again
	// after an outage long enough for rows to expire.
	lostAt, returnedAt time.Time
}

// continueFromPeers has the feed continue from the revision up to which other VMs have delivered its
// changes, and reports whether they have delivered any. A listing instead would not tell apart the
// servers that have ended since from those whose rows an outage may have removed.
func (f *feedState) continueFromPeers() bool {
	if f.peerRevision == nil {
		return false
	}
	f.after = f.peerRevision()
	return !f.after.IsZero()
}

// age returns the time since the store last answered; negative if it never has.
func (f *feedState) age(now time.Time) time.Duration {
	last := f.lastAnswer.Load()
	if last == nil {
		return -1
	}
	return now.Sub(*last)
}

// callFailed records a failed call and returns the back-off before the next one.
func (n *Node) callFailed(f *feedState, err error) time.Duration {
	f.healthySince.Store(nil)
	f.gap = true
	if f.onStateChange != nil {
		f.onStateChange()
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

func (n *Node) callSucceeded(f *feedState) {
	now := n.now()
	before := f.lastAnswer.Load()
	switch {
	case before == nil:
		f.changesSince = time.Time{}
	case f.gap:
		f.changesSince = *before
	default:
		f.changesSince = now
	}
	f.afterGap, f.gap = f.gap, false
	f.lastAnswer.Store(&now)
	if f.healthySince.Load() == nil {
		f.healthySince.Store(&now)
	}
	if f.failures == 0 {
		return
	}
	f.failures = 0
	mayExpire := before == nil || n.rowsMayExpire(now.Sub(*before))
	if mayExpire {
		f.returnedAt = now
	}
	if f.onStateChange != nil {
		f.onStateChange()
	}
	n.log.Info("store_regained", zap.String("feed", f.name), zap.Stringer("revision", f.after),
		zap.Duration("outage", now.Sub(f.lostAt)), zap.Bool("rows_may_lapse", mayExpire))
}

// rowsMayExpire reports whether rows may expire while the store accepts no writes for the given
// time. A server's last announcement may precede the outage by up to one heartbeat.
func (n *Node) rowsMayExpire(outage time.Duration) bool {
	heartbeat := n.opts.Bounds.Heartbeat
	return heartbeat == 0 || outage >= (rowTTLHeartbeats-1)*heartbeat
}

// changesFunc applies the changes after one revision, up to another.
type changesFunc func(changes []platform.Change, after, upTo platform.Revision)

// followTable reads a whole table, then its changes, until ctx ends.
func (n *Node) followTable(ctx context.Context, f *feedState, table string, applyRows func([]platform.Row, platform.Revision), applyChanges changesFunc) {
	f.name = table
	if n.startsOnStandby(ctx) {
		n.noteFeedReadByPeers(f)
	}
	loaded := f.continueFromPeers()
	for ctx.Err() == nil {
		if f.lastAnswer.Load() != nil && !n.Following() {
			n.noteFeedReadByPeers(f)
			if !clock.Sleep(ctx, digestInterval) {
				return
			}
			continue
		}
		var err error
		if !loaded {
			err = n.loadTable(ctx, f, table, applyRows)
			loaded = err == nil
		} else {
			err = n.watchTable(ctx, f, table, applyChanges)
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, stall.ErrInterrupted):
			f.gap = true
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			n.log.Info("feed_history_gone", zap.String("feed", table), zap.Stringer("revision", f.after), logging.Error(err))
			f.gap = true
			loaded = n.awaitReadSlot(ctx, f)
			continue
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, n.callFailed(f, err)) {
			return
		}
	}
}

const (
	// readSlot is the delay between the VMs of a failure domain when they reread a whole table
	// because the store no longer has its changes. The others fetch what the first one has read
	// within a few round trips.
	readSlot = 250 * time.Millisecond
	// maxReadSlots bounds the slots that a VM waits, as all VMs may follow the store after an
	// outage.
	maxReadSlots = 4
	// readSlotPoll is the interval at which the state received from other VMs is checked.
	readSlotPoll = 20 * time.Millisecond
)

// awaitReadSlot waits for this VM's slot to read a whole table. It returns true if other VMs
// have delivered the table's contents in the meantime; the feed then continues from their
// revision.
func (n *Node) awaitReadSlot(ctx context.Context, f *feedState) bool {
	remaining := time.Duration((float64(min(n.gossip.Rank(), maxReadSlots)) + rand.Float64()/4) * float64(readSlot))
	for ; remaining > 0 && n.Following(); remaining -= readSlotPoll {
		if !clock.Sleep(ctx, min(remaining, readSlotPoll)) {
			return false
		}
		if f.peerRevision == nil {
			continue
		}
		if known := f.peerRevision(); known.After(f.after) {
			f.after = known
			return true
		}
	}
	return false
}

// noteFeedReadByPeers records that other VMs read a feed for this one. A change that their last
// digest lacks may be as old as the call before that digest.
func (n *Node) noteFeedReadByPeers(f *feedState) {
	f.healthySince.Store(nil)
	f.gap = true
	at, ok := n.followerLastSeen()
	last := f.lastAnswer.Load()
	if at = at.Add(-f.pollWait); ok && (last == nil || at.After(*last)) {
		f.lastAnswer.Store(&at)
	}
}

func (n *Node) loadTable(ctx context.Context, f *feedState, table string, applyRows func([]platform.Row, platform.Revision)) error {
	began := n.now()
	list, err := n.opts.Feed.Rows(ctx, table)
	if err != nil {
		return err
	}
	completeAt := n.completeAt(began)
	if !n.observeEra(list.Revision.Era, "store") {
		return errors.Wrapf(platform.ErrUnavailable, "the answer belongs to the earlier era %d", list.Revision.Era)
	}
	n.callSucceeded(f)
	if list.Revision.Era != f.after.Era {
		now := n.now()
		f.healthySince.Store(&now)
	}
	f.after = list.Revision
	applyRows(list.Rows, list.Revision)
	if f.onApplied != nil {
		f.onApplied(completeAt)
	}
	return nil
}

// maxAnswerLag is the time by which an answer may be older than it is taken for. It is less than
// the difference of origin.SettleTime and origin.MaxLag.
const maxAnswerLag = 450 * time.Millisecond

// completeAt returns the time up to which an answer that has just been read counts as complete. The
// store gave it at earliest or later; this VM may have stood still since.
func (n *Node) completeAt(earliest time.Time) time.Time {
	now := n.now()
	if at := earliest.Add(maxAnswerLag); at.Before(now) {
		return at
	}
	return now
}

func (n *Node) watchTable(ctx context.Context, f *feedState, table string, applyChanges changesFunc) error {
	after := f.after
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	interrupt := func() { cancel(stall.ErrInterrupted) }
	f.interrupt.Store(&interrupt)
	wait := f.pollWait
	if f.failures > 0 {
		wait = 0 // An immediate answer shows that the store is back.
	}
	earliest := n.now()
	changes, next, err := n.opts.Feed.Changes(callCtx, table, after, wait)
	if len(changes) == 0 {
		earliest = earliest.Add(wait) // The store waits for changes.
	}
	completeAt := n.completeAt(earliest)
	f.interrupt.Store(nil)
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			return errors.WithStack(stall.ErrInterrupted)
		}
		return err
	}
	n.callSucceeded(f)
	f.after = next
	applyChanges(changes, after, next)
	if f.onApplied != nil {
		f.onApplied(completeAt)
	}
	if len(changes) > 0 {
		clock.Sleep(ctx, f.batchPause)
	}
	return nil
}
