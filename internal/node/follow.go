package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
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

// defaultHeartbeat is assumed where the settings don't tell the time between a server's
// announcements. It is that of the example in the platform's documentation.
const defaultHeartbeat = 1200 * time.Millisecond

// lapseTime returns the time within which the row of a server that announces itself no
// more is gone: it lapses, and the store may have been away just before.
func lapseTime(heartbeat time.Duration) time.Duration {
	if heartbeat == 0 {
		heartbeat = defaultHeartbeat
	}
	return lapseHeartbeats*heartbeat + lapseHold
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

func (n *Node) followOperator(ctx context.Context) {
	n.operatorFeed.wait = operatorWait
	n.follow(ctx, &n.operatorFeed, n.opts.OperatorTable, n.listOperator, n.changeOperator)
}

func (n *Node) listOperator(rows []platform.Row, upTo platform.Revision) {
	n.awaitPeers(n.opts.Decoder.Operator(rows).Catalog)
	o := n.applyOperator(rows)
	n.recovered(upTo.Era, func(r *recovery) {
		r.operator = true
		if o.Catalog != nil {
			r.shown = o.Catalog.Version
		}
		for model, version := range o.Goals {
			if version < n.goals.Wanted(model) {
				r.olderWeights++
			}
		}
	})
}

// peerWait is for how long a VM that starts waits for another VM, which may know of newer
// keys than a store that has just come back from an older copy. Digests come more often.
const peerWait = 400 * time.Millisecond

// awaitPeers waits, before the first configuration is in force, until another VM was heard
// of, and takes over a newer configuration than the store's from it.
func (n *Node) awaitPeers(shown *catalog.Snapshot) {
	if shown == nil || n.Gateway.Catalog() != nil {
		return
	}
	select {
	case <-n.heardPeer:
	case <-time.After(peerWait):
		return
	}
	if from, ok := n.newerCatalog(shown.Version); ok {
		n.fetch(from)
	}
}

// newerCatalog returns a VM that has a newer configuration in force.
func (n *Node) newerCatalog(than catalog.Version) (gossip.Member, bool) {
	now := n.now()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Catalog > than {
			return p.Member, true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if now.Sub(d.at) < gossip.SilenceLimit && d.summary.Catalog > than {
			return d.summary.From, true
		}
	}
	return gossip.Member{}, false
}

// peerHeard ends the wait for other VMs.
func (n *Node) peerHeard() { n.heardPeerOnce.Do(func() { close(n.heardPeer) }) }

func (n *Node) changeOperator(changes []platform.Change, _, _ platform.Revision) {
	rows := make([]platform.Row, 0, len(changes))
	for _, c := range changes {
		if !c.Deleted {
			rows = append(rows, c.Row)
		}
	}
	n.applyOperator(rows)
}

// applyOperator takes rows of the feed's last answer, and returns what they say.
func (n *Node) applyOperator(rows []platform.Row) Operator {
	o := n.opts.Decoder.Operator(rows)
	for _, err := range o.Malformed {
		n.log.Warn("operator_row_malformed", logging.Error(err))
	}
	if o.Catalog != nil {
		n.publish(*o.Catalog, "store")
	}
	for model, version := range o.Goals {
		if n.operatorFeed.late && n.goals.Dated(model, version) {
			continue // By others that have heard of it in time.
		}
		n.setGoal(model, fleet.Goal{Version: version, Since: n.operatorFeed.since}, "store")
	}
	if n.goals.Unknown() {
		n.signal(n.reread)
	}
	return o
}

// publish puts a configuration in force.
func (n *Node) publish(s catalog.Snapshot, source string) {
	if !n.Gateway.Publish(s) {
		return
	}
	n.log.Info("catalog_in_force",
		zap.Uint64("version", uint64(s.Version)),
		zap.String("source", source),
		zap.Int("routes", len(s.Routes)),
		zap.Int("services", len(s.Services)),
		zap.Int("accounts", len(s.Accounts)))
	n.wake()
}

func (n *Node) setGoal(model string, goal fleet.Goal, source string) {
	learnt := n.goals.Add(model, goal)
	if learnt == fleet.Known {
		return
	}
	n.log.Info("weights_named", zap.String("model", model), zap.Uint64("version", goal.Version),
		zap.String("source", source), zap.Duration("age", n.now().Sub(goal.Since)),
		zap.Bool("newest", learnt == fleet.Newest), zap.Bool("corrected", learnt == fleet.Corrected))
	if learnt == fleet.Newest {
		n.wake()
	}
	n.signal(n.named)
}

func (n *Node) followServers(ctx context.Context) {
	n.serverFeed.pause = serverPause
	n.serverFeed.wait = serverWait
	n.serverFeed.resume = n.directory.Known
	n.serverFeed.turned = func() {
		if interrupt := n.operatorFeed.interrupt.Load(); interrupt != nil {
			(*interrupt)()
		}
	}
	n.serverFeed.answered = func() { n.noteNews(n.now()) }
	n.follow(ctx, &n.serverFeed, n.opts.ServerTable, n.listServers, n.changeServers)
}

// listServers takes a whole listing. What it doesn't name may have lapsed in an
// outage.
func (n *Node) listServers(rows []platform.Row, upTo platform.Revision) {
	// A process that has just started doesn't know of outages before.
	returned := n.storeReturned()
	if n.started.After(returned) {
		returned = n.started
	}
	u := fleet.Update{UpTo: upTo, Whole: true, Entries: make([]fleet.Entry, 0, len(rows)), Hold: n.lapseLeft(returned)}
	for _, r := range rows {
		u.Entries = append(u.Entries, n.decodeServer(platform.Change{Row: r}))
	}
	before := n.directory.Known().Era
	n.applyServers(u, "store")
	if before < upTo.Era {
		n.wake()
	}
}

// storeReturned returns when the store last came back after rows may have lapsed, or from
// an older copy; zero if it hasn't.
func (n *Node) storeReturned() time.Time {
	returned := n.serverFeed.returned
	if _, since := n.era(); since.After(returned) {
		return since
	}
	return returned
}

func (n *Node) changeServers(changes []platform.Change, after, upTo platform.Revision) {
	u := fleet.Update{After: after, UpTo: upTo, Entries: make([]fleet.Entry, 0, len(changes))}
	hold := n.lapseLeft(n.storeReturned())
	for _, c := range changes {
		e := n.decodeServer(c)
		if c.Deleted {
			e.Hold = hold
		}
		u.Entries = append(u.Entries, e)
	}
	n.applyServers(u, "store")
	if len(changes) > 0 {
		n.wake()
	}
}

// lapseLeft returns for how long a server whose row is gone may still announce
// itself again after an outage that ended at a time; zero if there was none.
func (n *Node) lapseLeft(returned time.Time) time.Duration {
	if returned.IsZero() || n.storeWasUp() {
		return 0
	}
	return max(0, lapseHold-n.now().Sub(returned))
}

// storeWasUp reports whether another VM has heard from the store for so long, in its
// present era, that no row can be missing because of an outage.
func (n *Node) storeWasUp() bool {
	now := n.now()
	era, _ := n.era()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Servers.Era >= era && p.FollowingFor >= lapseHold {
			return true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if now.Sub(d.at) < gossip.SilenceLimit && d.summary.Servers.Era >= era && d.summary.FollowingFor >= lapseHold {
			return true
		}
	}
	return false
}

func (n *Node) decodeServer(c platform.Change) fleet.Entry {
	e, err := n.opts.Decoder.Server(c)
	if err != nil {
		n.log.Warn("server_entry_malformed", zap.String("server", string(e.ID)), zap.Stringer("revision", c.Revision()), logging.Error(err))
	}
	return e
}

func (n *Node) applyServers(u fleet.Update, source string) {
	missing, withheld := 0, 0
	for _, e := range n.directory.Apply(u, n.now()) {
		n.logServer(e, source)
		switch {
		case e.Hold > 0:
			missing++
		case e.Wait > 0:
			withheld++
		}
	}
	n.recovered(u.UpTo.Era, func(r *recovery) {
		r.servers = r.servers || u.Whole
		r.missing, r.withheld = r.missing+missing, r.withheld+withheld
	})
	n.servers.Keep(n.directory.View())
	if !n.directory.Known().IsZero() {
		n.serversKnown.Store(true)
	}
}

func (n *Node) logServer(e *fleet.Entry, source string) {
	switch {
	case e.Hold > 0:
		n.log.Info("server_vanished", zap.String("server", string(e.ID)), zap.Stringer("revision", e.Revision),
			zap.Duration("hold", e.Hold), zap.String("source", source))
		return
	case e.Wait > 0:
		n.log.Info("server_withheld", zap.String("server", string(e.ID)), zap.Int64("server_started", e.Started),
			zap.Stringer("revision", e.Revision), zap.Duration("wait", e.Wait), zap.String("source", source))
		return
	}
	n.log.Info("server_known",
		zap.String("server", string(e.ID)), zap.String("service", e.Service), zap.String("address", e.Address),
		zap.String("failure_domain", e.FailureDomain), zap.String("state", string(e.State)), zap.Bool("gone", e.Gone),
		zap.Int64("server_started", e.Started), zap.String("weights", e.WeightsText()),
		zap.Stringer("revision", e.Revision), zap.String("source", source))
}
