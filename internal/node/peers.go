package node

import (
	"context"
	"iter"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/tunnel"
)

const (
	// digestInterval is the time between digests. Digests correct quotas and loads; the excess
	// within two intervals fits the quota slack.
	digestInterval = 250 * time.Millisecond
	// minDigestGap is the least time between two digests, also when changes are to be sent.
	minDigestGap = 40 * time.Millisecond
	// gapSenders is the number of VMs that take calls above which that gap grows in proportion. With 78
	// such VMs, hearing their digests took more than the 0.192 of a core that most of them had.
	gapSenders = 24
	// minSummaryGap is the least time between summaries sent because of placed prompts: traffic
	// between failure domains is expensive.
	minSummaryGap = 100 * time.Millisecond
	// largeFleet is the number of VMs from which digests are sent half as often: each VM then
	// has a small share of the load that they report.
	largeFleet      = 16
	peerIdleTimeout = 30 * time.Second
	// countInterval is the least time between two counts of the other VMs that digests lead to.
	countInterval = 100 * time.Millisecond
	// observedMaxAge is how long digests report a version that a server was observed to hold;
	// the server announces it itself within its heartbeat interval.
	observedMaxAge = 4 * time.Second
	// startUptime is the uptime below which a VM counts as just started and is sending its
	// first digests.
	startUptime = 300 * time.Millisecond
)

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, n.serveState)
	mux.HandleFunc("GET "+originsPath, n.serveOrigins)
	mux.HandleFunc("GET /metrics", n.ServeMetrics)
	mux.Handle("GET "+tunnel.Endpoint, n.tunnels)
	return mux
}

// sendDigests sends digests to the peers several times a second and when changes are signalled.
func (n *Node) sendDigests(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	var last, summarized time.Time
	for tick := 0; ; tick++ {
		audience := gossip.Everyone
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if tick%2 == 1 && n.memberCount() >= largeFleet {
				continue
			}
		case <-n.digestDue:
			if !n.digestToAll.Load() {
				audience = gossip.Busy
			}
		}
		n.awaitDigestTurn(ctx, last)
		if n.digestToAll.Swap(false) {
			audience = gossip.Everyone
		}
		last = n.now()
		n.digestUrgent.Store(false)
		d := n.digest()
		d.Origins = n.origins.Notices(originAudiences[audience])
		d.Rollouts = n.rolloutNotices(audience)
		n.queueForRelay(d.Placements, d.Kept)
		n.gossip.Send(n.addUnsent(d, audience), audience)
		n.signal(n.claimSent)
		if n.gossip.IsRelay() && (audience == gossip.Everyone || last.Sub(summarized) >= minSummaryGap) {
			summarized = last
			n.gossip.SendSummary(n.summary(d))
		}
		n.housekeep()
	}
}

// awaitDigestTurn waits until the next digest may be sent. A claim to the order lease, a new
// configuration and servers that leave don't wait.
func (n *Node) awaitDigestTurn(ctx context.Context, last time.Time) {
	for !n.digestUrgent.Load() {
		pause := max(n.digestGap()-n.now().Sub(last), n.gossip.Pause())
		if pause <= 0 || !clock.Sleep(ctx, min(pause, minDigestGap)) {
			return
		}
	}
}

// digestGap returns the least time between two digests.
func (n *Node) digestGap() time.Duration {
	return max(minDigestGap, minDigestGap*time.Duration(n.Gateway.Senders())/gapSenders)
}

// addUnsent records the notices of a digest, and adds to a digest for all VMs those that were
// sent only to active VMs before.
func (n *Node) addUnsent(d gossip.Digest, to gossip.Audience) gossip.Digest {
	n.unsentToStandby.placements = lastNotices(append(n.unsentToStandby.placements, d.Placements...))
	n.unsentToStandby.kept = lastNotices(append(n.unsentToStandby.kept, d.Kept...))
	if to == gossip.Everyone {
		d.Placements, d.Kept = n.unsentToStandby.placements, n.unsentToStandby.kept
		n.unsentToStandby = promptNotices{}
	}
	return d
}

func (n *Node) digest() gossip.Digest {
	now := n.now()
	following := n.followingFor(now)
	d := gossip.Digest{
		Member:          n.member(),
		Incarnation:     n.opts.VM.Incarnation,
		Sequence:        n.sequence.Add(1),
		Uptime:          now.Sub(n.started),
		Leaving:         n.Leaving(),
		Ready:           n.Ready(),
		Calls:           n.calls.Rate(n.Gateway.Calls(), now),
		HoldsOrderLease: n.keeper.Term().Valid(now, 0),
		Load:            n.measureLoad(now),
		Stranded:        n.path.Cut(),
		Following:       following > 0,
		FollowingFor:    following,
		Servers:         n.directory.Newest(),
		EvidenceAge:     max(0, n.serverStaleness()),
		Usage:           n.quota.Usages(),
		Loads:           sortedLoads(n.servers.Loads()),
		Placements:      n.servers.TakePlacements(),
		Kept:            n.storeContents.TakeUnsent(),
	}
	if c := n.Gateway.Catalog(); c != nil {
		d.Catalog = c.Version
	}
	d.Withheld = n.directory.UnusableRuns(now)
	d.Limits = n.limits.Notices()
	d.Crashes = n.crashCauses.Notices(crashcause.OwnDomain, n.gossip.IsRelay())
	for model, list := range n.goals.All() {
		for _, g := range list {
			if g.Since.IsZero() {
				continue
			}
			d.Goals = append(d.Goals, gossip.WeightsGoal{Model: model, Version: g.Version, Age: now.Sub(g.Since)})
		}
	}
	d.Claim = n.recentClaim()
	n.mu.Lock()
	defer n.mu.Unlock()
	d.Reserved = n.reserved
	for id, h := range n.observed {
		if now.Sub(h.at) > observedMaxAge {
			delete(n.observed, id)
			continue
		}
		d.Held = append(d.Held, gossip.WeightsHeld{ID: id, Started: h.started, Model: h.model, Version: h.version})
	}
	return d
}

// housekeep applies the effects of elapsed time and of the peers' digests.
func (n *Node) housekeep() {
	now := n.now()
	if expired := n.directory.Expire(now); len(expired) > 0 {
		for _, e := range expired {
			n.logServer(e, "lapsed")
		}
		n.observeVersions()
	}
	n.signalUndecidedRuns()
	view := n.directory.View()
	n.logRecovery()
	n.watchIsolation()
	n.watchSpeeds()
	n.pool.CloseIdle(func(owner string) bool { return view.Server(backend.ID(owner)) != nil })
	n.crashCauses.Settle()
	n.gossip.Forget()
	n.updatePeerLoads(func(l *peerLoads) { l.expire(now) })
	n.countPeers(now)
	n.decideAddresses(now)
}

// peerSeq iterates over the other VMs.
type peerSeq = iter.Seq[*gossip.Peer]

// heardWithin reports whether a VM's state arrived within a time.
func heardWithin(p *gossip.Peer, now time.Time, within time.Duration) bool {
	return !p.At.IsZero() && now.Sub(p.At) <= within
}

// countPeers applies how many VMs there are and which of them take calls.
func (n *Node) countPeers(now time.Time) {
	n.peersCountedAt.Store(&now)
	within := n.opts.Bounds.Quota.Window
	n.limits.SetSenders(activeVMs(n.opts.VM.ID, n.calls.Last(), n.gossip.Each, now, within))
	members, senders := countMembers(n.gossip.Each, now, within)
	n.members.Store(int64(members))
	n.Gateway.SetMembers(members, senders)
	n.quota.SetMembers(senders)
	n.servers.SetSenders(senders)
}

// countPeersIfDue calls countPeers unless it was called within countInterval.
func (n *Node) countPeersIfDue() {
	now := n.now()
	if at := n.peersCountedAt.Load(); at == nil || now.Sub(*at) >= countInterval {
		n.countPeers(now)
	}
}

// countMembers returns the number of VMs whose state arrived within the given time, including
// this one, and the number of those to which callers are sent (senders): they share the rates of
// accounts and the servers, and choose engines from the same state. While there are no calls, all
// VMs count as senders.
func countMembers(peers peerSeq, now time.Time, within time.Duration) (members, senders int) {
	members, senders = 1, 1
	busiest := 0.0
	for p := range peers {
		if heardWithin(p, now, within) {
			members++
			busiest = max(busiest, p.Calls)
		}
	}
	for p := range peers {
		if heardWithin(p, now, within) && p.Calls >= gossip.BusyRate(busiest) {
			senders++
		}
	}
	if senders == 1 {
		senders = members
	}
	return members, senders
}

// memberCount returns the number of VMs whose state arrived recently, including this one.
func (n *Node) memberCount() int { return int(max(1, n.members.Load())) }

func addLoads(sum map[selector.ServerKey]selector.Report, list []gossip.ServerLoad) {
	for _, l := range list {
		key := selector.ServerKey{ID: l.ID, Started: l.Started}
		r := sum[key]
		r.Running += l.Running
		r.Backlog += float64(l.Backlog)
		r.Churn += float64(l.Churn)
		r.Memory += float64(l.Memory)
		r.Silent = max(r.Silent, time.Duration(l.Silent)*time.Millisecond)
		r.Gone = r.Gone || l.Gone
		sum[key] = r
	}
}

// addFull adds the times for which servers are full according to a report of the given age.
func addFull(sum map[selector.ServerKey]selector.Report, list []gossip.ServerLoad, age time.Duration) {
	for _, l := range list {
		if left := time.Duration(l.Full)*time.Millisecond - age; l.Full > 0 && left > 0 {
			key := selector.ServerKey{ID: l.ID, Started: l.Started}
			r := sum[key]
			r.FullFor = max(r.FullFor, left)
			sum[key] = r
		}
	}
}

// receiveDigest applies a newer digest of a peer.
func (n *Node) receiveDigest(p *gossip.Peer) {
	n.quota.Record(quota.Report{From: quota.Process{VM: p.ID, Incarnation: p.Incarnation}, Uptime: p.Uptime, Usages: p.Usage})
	n.applyCrashes(p.Crashes, string(p.ID), true)
	n.applyOrigins(p.Origins, true)
	n.applyRollouts(p.Rollouts, string(p.ID), true, p.Delay)
	n.receiveClaim(p.Claim)
	n.applyPeerKnowledge(string(p.ID), p.Goals, p.Held, p.Placements, p.Kept)
	n.applyUnusableRuns(string(p.ID), p.Withheld)
	n.applyRateLimits(string(p.ID), p.Limits, p.Uptime)
	n.endFirstPeerWait()
	n.observePeerEra(p.Servers, string(p.ID))
	if p.Uptime < startUptime && n.gossip.IsRelay() {
		n.notifyAll() // It waits to learn what the store may have lost.
	}
	n.confirmServers(p.Servers, p.EvidenceAge, p.Delay)
	n.queueForRelay(p.Placements, p.Kept)
	n.updatePeerLoads(func(l *peerLoads) { l.record(string(p.ID), p.At, p.Loads, p.Reserved) })
	n.countPeersIfDue()
	n.fetchIfAhead(p.Member, p.Catalog, p.Servers)
}

// confirmServers records another VM's evidence, of the given age when it was sent, that there is no
// entry newer than a revision.
func (n *Node) confirmServers(revision platform.Revision, age, delay time.Duration) {
	if age <= 0 || revision.After(n.directory.Known()) {
		return
	}
	n.noteServersCurrent(n.now().Add(-age - delay))
}

// noteServersCurrent records a time at which the servers known here were complete.
func (n *Node) noteServersCurrent(at time.Time) {
	for {
		old := n.serversCurrentAt.Load()
		if old != nil && !at.After(*old) || n.serversCurrentAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// serverStaleness returns the age of the latest evidence that the servers known here are
// complete; negative if there is none.
func (n *Node) serverStaleness() time.Duration {
	at := n.serversCurrentAt.Load()
	if at == nil {
		return -1
	}
	return max(1, n.now().Sub(*at))
}

// applyPeerKnowledge applies what another VM reports about weights and prompts.
func (n *Node) applyPeerKnowledge(from string, goals []gossip.WeightsGoal, held []gossip.WeightsHeld, placed []selector.Placement, kept []selector.StoredParts) {
	for _, g := range goals {
		n.setGoal(g.Model, fleet.Goal{Version: g.Version, Since: n.now().Add(-g.Age)}, from)
	}
	for _, h := range held {
		if n.directory.SetWeights(h.ID, h.Started, h.Model, h.Version, n.now()) {
			n.publishObserved(h.ID, observedWeights{started: h.Started, model: h.Model, version: h.Version, at: n.now()})
		}
	}
	for _, m := range placed {
		n.servers.RecordPlacement(m)
	}
	for _, k := range kept {
		n.storeContents.RecordReport(k)
	}
}

// applyUnusableRuns applies the unusable runs that another VM reports; the store's rows show
// them as ready.
func (n *Node) applyUnusableRuns(from string, runs []fleet.UnusableRun) {
	for _, run := range runs {
		if e := n.directory.ApplyUnusableRun(run, n.now()); e != nil {
			n.logServer(e, from)
		}
	}
}

// observedWeights is a version that a server was observed to hold before it announced it.
type observedWeights struct {
	started int64
	model   string
	version uint64
	at      time.Time
}

// publishObserved adds a version that a server holds to the next digests.
func (n *Node) publishObserved(id backend.ID, h observedWeights) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observed[id] = h
}

// peerHoldsOrderLease reports whether a live peer holds the order lease, according to the
// latest digests and summaries.
func (n *Node) peerHoldsOrderLease() bool {
	if n.gossip.Any(func(p *gossip.Peer) bool { return p.HoldsOrderLease }) {
		return true
	}
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if d.summary.HoldsOrderLease && now.Sub(d.receivedAt) < gossip.SilenceLimit {
			return true
		}
	}
	return false
}
