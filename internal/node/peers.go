package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/httpbounds"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// digestInterval is the time between digests. Quotas and loads are corrected
	// by them; their excess within two intervals fits the slack of quotas.
	digestInterval = 250 * time.Millisecond
	// digestPause is the least time between digests that are sent for news.
	digestPause = 40 * time.Millisecond
	// summaryPause is the least time between summaries that are sent for placed
	// prompts: bytes between failure domains are dear.
	summaryPause = 100 * time.Millisecond
	// largeFleet is the number of VMs from which digests come half as often: each
	// VM then has a small share of the load that they tell of.
	largeFleet = 16
	// fetchAfter is for how long a peer must be ahead until its state is
	// fetched: the store's feed brings most news within that time.
	fetchAfter = 300 * time.Millisecond
	// fetchFarAfter is the same for a peer in another failure domain: one of the
	// own domain most likely has it by then.
	fetchFarAfter = 800 * time.Millisecond
	// fetchTimeout bounds the fetch of a peer's state.
	fetchTimeout = 700 * time.Millisecond
	// fetchDistrust is for how long a VM reads the store itself after a fetch that
	// failed. A failure delays a change by up to fetchTimeout, a third of what a leave
	// may take, so they must not come one after the other.
	fetchDistrust = 30 * time.Second
	peerIdle      = 30 * time.Second
	// heldAge is for how long a version that a server was seen to hold is told;
	// the server announces it itself within its heartbeat interval.
	heldAge = 4 * time.Second
	// startUptime is up to when a VM counts as just started: it sends its first digests.
	startUptime = 300 * time.Millisecond
	// maxStateBytes bounds a peer's state.
	maxStateBytes = 8 << 20
	pathState     = "/state"
)

// state is what a VM fetches from another.
type state struct {
	Catalog *catalog.Snapshot `json:"catalog,omitempty"`
	Servers fleet.Update      `json:"servers"`
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathState, n.serveState)
	mux.HandleFunc("GET /metrics", n.ServeMetrics)
	return mux
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	known, err1 := strconv.ParseUint(r.URL.Query().Get("catalog"), 10, 64)
	var revision platform.Revision
	err2 := revision.UnmarshalText([]byte(r.URL.Query().Get("servers")))
	if err1 != nil || err2 != nil {
		http.Error(w, "the parameter catalog must be a number, and servers a revision", http.StatusBadRequest)
		return
	}
	s := state{Servers: n.directory.Export(revision, n.now())}
	if c := n.Gateway.Catalog(); c != nil && uint64(c.Version) > known {
		s.Catalog = &c.Snapshot
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		n.log.Info("state_write_failed", logging.Error(err))
	}
}

// sendDigests tells the peers a few times a second what this VM knows.
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
		case <-n.kick:
			if !n.tellAll.Load() {
				audience = gossip.Busy
			}
		}
		if pause := digestPause - n.now().Sub(last); pause > 0 {
			clock.Sleep(ctx, pause)
		}
		if n.tellAll.Swap(false) {
			audience = gossip.Everyone
		}
		last = n.now()
		d := n.digest()
		n.keepForRelay(d.Placements, d.Kept)
		n.gossip.Send(n.address(d, audience), audience)
		if n.gossip.IsRelay() && (audience == gossip.Everyone || last.Sub(summarized) >= summaryPause) {
			summarized = last
			n.gossip.SendSummary(n.summary(d))
		}
		n.housekeep()
	}
}

// address adds to a digest for all VMs what only some were told of before.
func (n *Node) address(d gossip.Digest, to gossip.Audience) gossip.Digest {
	n.untold.placements = newest(append(n.untold.placements, d.Placements...))
	n.untold.kept = newest(append(n.untold.kept, d.Kept...))
	if to == gossip.Everyone {
		d.Placements, d.Kept = n.untold.placements, n.untold.kept
		n.untold = relayed{}
	}
	return d
}

func (n *Node) digest() gossip.Digest {
	now := n.now()
	following := n.followingFor(now)
	d := gossip.Digest{
		Member:       n.member(),
		Incarnation:  n.opts.VM.Incarnation,
		Sequence:     n.sequence.Add(1),
		Uptime:       now.Sub(n.started),
		Leaving:      n.Leaving(),
		Ready:        n.Ready(),
		Calls:        n.calls.Rate(n.Gateway.Calls(), now),
		Giver:        n.keeper.Term().Valid(now, 0),
		Following:    following > 0,
		FollowingFor: following,
		Servers:      n.directory.Newest(),
		NewsAge:      max(0, n.newsAge()),
		Usage:        n.quota.Usages(),
		Loads:        loadList(n.servers.Loads()),
		Crashes:      n.suspects.Own(),
		Placements:   n.servers.TakePlacements(),
		Kept:         n.shelf.Take(),
	}
	if c := n.Gateway.Catalog(); c != nil {
		d.Catalog = c.Version
	}
	d.Left = n.directory.Leaves(now)
	d.Limits = n.limits.Notices()
	for model, list := range n.goals.All() {
		for _, g := range list {
			if g.Since.IsZero() {
				continue
			}
			d.Goals = append(d.Goals, gossip.WeightsGoal{Model: model, Version: g.Version, Age: now.Sub(g.Since)})
		}
	}
	d.Claim = n.lastClaim()
	n.mu.Lock()
	defer n.mu.Unlock()
	d.Reserved = n.reserved
	for id, h := range n.held {
		if now.Sub(h.at) > heldAge {
			delete(n.held, id)
			continue
		}
		d.Held = append(d.Held, gossip.WeightsHeld{ID: id, Started: h.started, Model: h.model, Version: h.version})
	}
	return d
}

// housekeep applies what time and the peers' digests change.
func (n *Node) housekeep() {
	now := n.now()
	for _, e := range n.directory.Expire(now) {
		n.logServer(e, "lapsed")
	}
	view := n.directory.View()
	n.logRecovery()
	n.pool.CloseIdle(func(owner string) bool { return view.Server(backend.ID(owner)) != nil })
	n.limits.SetSenders(callTakers(n.opts.VM.ID, n.calls.Last(), n.gossip.Peers(), now, n.opts.Bounds.Quota.Window))
	n.applyPeers()
}

// applyPeers applies what the other VMs told last: their loads, what they
// reserved and how many they are.
func (n *Node) applyPeers() {
	now := n.now()
	loads := map[selector.ServerKey]selector.Report{}
	reserved := map[string]bool{}
	peers := n.gossip.Peers()
	members, senders := countMembers(peers, now, n.opts.Bounds.Quota.Window)
	for _, p := range peers {
		if !p.Alive(now) {
			continue
		}
		addLoads(loads, p.Loads)
		for _, id := range p.Reserved {
			reserved[string(id)] = true
		}
	}
	n.mu.Lock()
	for _, id := range n.reserved {
		reserved[string(id)] = true
	}
	for _, d := range n.domains {
		if now.Sub(d.at) >= gossip.SilenceLimit {
			continue
		}
		addLoads(loads, d.summary.Loads)
		for _, id := range d.summary.Reserved {
			reserved[string(id)] = true
		}
	}
	n.mu.Unlock()
	n.servers.SetPeers(loads)
	n.Gateway.Reserve(reserved)
	n.members.Store(int64(members))
	n.Gateway.SetMembers(members, senders)
	n.quota.SetMembers(senders)
	n.servers.SetSenders(senders)
}

// countMembers returns the number of VMs heard of within a time, this one included,
// and of those to which callers are sent: they share the rates of accounts and the
// servers, and choose by the same state. While no calls come all of them count.
func countMembers(peers []gossip.Peer, now time.Time, within time.Duration) (members, senders int) {
	heard := slices.DeleteFunc(slices.Clone(peers), func(p gossip.Peer) bool { return p.At.IsZero() || now.Sub(p.At) > within })
	members, senders = 1+len(heard), 1+len(gossip.TakeCalls(heard))
	if senders == 1 {
		senders = members
	}
	return members, senders
}

// memberCount returns the number of VMs heard of lately, this one included.
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
		sum[key] = r
	}
}

// received takes a newer digest of a peer.
func (n *Node) received(p *gossip.Peer) {
	n.quota.Heard(quota.Report{From: quota.Process{VM: p.ID, Incarnation: p.Incarnation}, Uptime: p.Uptime, Usages: p.Usage})
	n.suspects.Heard(p.ID, p.Crashes)
	n.heardClaim(p.Claim)
	n.learn(string(p.ID), p.Goals, p.Held, p.Placements, p.Kept)
	n.hearOfLeaves(string(p.ID), p.Left)
	n.hearOfLimits(string(p.ID), p.Limits, p.Uptime)
	n.peerHeard()
	n.hearEra(p.Servers, string(p.ID))
	if p.Uptime < startUptime && n.gossip.IsRelay() {
		n.wake() // It waits for a word on what the store may have lost.
	}
	n.confirm(p.Servers, p.NewsAge)
	n.keepForRelay(p.Placements, p.Kept)
	n.applyPeers()
	if n.ahead(p.Member, p.Catalog, p.Servers) {
		go n.fetch(p.Member)
	}
}

// confirm notes that another VM had evidence of some age that no entry newer than a
// revision exists.
func (n *Node) confirm(revision platform.Revision, age time.Duration) {
	if age <= 0 || revision.After(n.directory.Known()) {
		return
	}
	n.noteNews(n.now().Add(-age))
}

// noteNews notes when the servers known here were all there were.
func (n *Node) noteNews(at time.Time) {
	for {
		old := n.news.Load()
		if old != nil && !at.After(*old) || n.news.CompareAndSwap(old, &at) {
			return
		}
	}
}

// newsAge returns the age of the evidence that the servers known here are all there
// are; negative if there is none.
func (n *Node) newsAge() time.Duration {
	at := n.news.Load()
	if at == nil {
		return -1
	}
	return max(1, n.now().Sub(*at))
}

// learn takes over what another VM tells of weights and prompts.
func (n *Node) learn(from string, goals []gossip.WeightsGoal, held []gossip.WeightsHeld, placed []selector.Placement, kept []selector.Kept) {
	for _, g := range goals {
		n.setGoal(g.Model, fleet.Goal{Version: g.Version, Since: n.now().Add(-g.Age)}, from)
	}
	for _, h := range held {
		if n.directory.SetWeights(h.ID, h.Started, h.Model, h.Version, n.now()) {
			n.tell(h.ID, heldWeights{started: h.Started, model: h.Model, version: h.Version, at: n.now()})
		}
	}
	for _, m := range placed {
		n.servers.Placed(m)
	}
	for _, k := range kept {
		n.shelf.Heard(k)
	}
}

// hearOfLeaves takes over what another VM tells of leaves that the store doesn't show.
func (n *Node) hearOfLeaves(from string, left []fleet.Leave) {
	for _, run := range left {
		if e := n.directory.HearLeave(run, n.now()); e != nil {
			n.logServer(e, from)
		}
	}
}

// heldWeights is a version that a server was seen to hold, ahead of its
// announcement.
type heldWeights struct {
	started int64
	model   string
	version uint64
	at      time.Time
}

// tell notes a version that a server holds for the next digests.
func (n *Node) tell(id backend.ID, h heldWeights) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[id] = h
}

// ahead reports whether a peer has known more for some time, so that its state
// should be fetched now.
func (n *Node) ahead(p gossip.Member, catalogKnown catalog.Version, serversKnown platform.Revision) bool {
	var version catalog.Version
	if c := n.Gateway.Catalog(); c != nil {
		version = c.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if catalogKnown <= version && !serversKnown.After(n.directory.Known()) {
		delete(n.behind, p.ID)
		return false
	}
	since, known := n.behind[p.ID]
	if !known {
		since = n.now()
		n.behind[p.ID] = since
	}
	newEra := serversKnown.Era > n.directory.Known().Era && p.FailureDomain == n.opts.VM.FailureDomain
	if n.now().Sub(since) < n.fetchAfter(p) && !newEra || n.fetching {
		return false
	}
	n.fetching = true
	return true
}

// fetchAfter returns for how long a peer must be ahead until its state is
// fetched. A VM that doesn't read the feeds itself asks at the next digest.
func (n *Node) fetchAfter(p gossip.Member) time.Duration {
	switch {
	case p.FailureDomain != n.opts.VM.FailureDomain:
		return fetchFarAfter
	case n.Following():
		return fetchAfter
	default:
		return 0
	}
}

// fetch takes over a peer's state.
func (n *Node) fetch(p gossip.Member) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fetching = false
		delete(n.behind, p.ID)
	}()
	began, known := n.now(), n.directory.Known()
	s, err := n.fetchState(p)
	if err != nil {
		at := n.now()
		n.fetchFailed.Store(&at)
		n.log.Info("state_fetch_failed", zap.String("peer", string(p.ID)), zap.Duration("took", at.Sub(began)), logging.Error(err))
		return
	}
	n.fetchFailed.Store(nil)
	n.log.Info("state_fetched", zap.String("peer", string(p.ID)), zap.Stringer("after", known),
		zap.Stringer("up_to", s.Servers.UpTo), zap.Bool("whole", s.Servers.Whole), zap.Int("servers", len(s.Servers.Entries)),
		zap.Bool("catalog", s.Catalog != nil), zap.Duration("took", n.now().Sub(began)))
	if s.Catalog != nil {
		n.publish(*s.Catalog, string(p.ID))
	}
	n.applyServers(s.Servers, string(p.ID))
}

// peerClient opens a connection for each fetch: one that is kept may have fallen
// silent, and the time-out that shows it is a third of what a leave may take.
var peerClient = &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: httpbounds.MaxHeadBytes}}

func (n *Node) fetchState(p gossip.Member) (state, error) {
	var version catalog.Version
	if c := n.Gateway.Catalog(); c != nil {
		version = c.Version
	}
	q := url.Values{
		"catalog": {strconv.FormatUint(uint64(version), 10)},
		"servers": {n.directory.Known().String()},
	}
	var s state
	resp, err := peerClient.Get("http://" + p.Peer + pathState + "?" + q.Encode())
	if err != nil {
		return s, errors.Wrap(err, "fetch state")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("fetch state: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s)
	return s, errors.Wrap(err, "decode state")
}

// peerGivesOrders reports whether a live peer holds the lease for orders, as
// far as heard.
func (n *Node) peerGivesOrders() bool {
	now := n.now()
	for _, p := range n.gossip.Peers() {
		if p.Alive(now) && p.Giver {
			return true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.domains {
		if d.summary.Giver && now.Sub(d.at) < gossip.SilenceLimit {
			return true
		}
	}
	return false
}
