package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/selector"
)

const (
	// digestInterval is the time between digests. Quotas and loads are corrected
	// by them; their excess within two intervals fits the slack of quotas.
	digestInterval = 250 * time.Millisecond
	// fetchAfter is for how long a peer must be ahead until its state is
	// fetched: the store's feed brings most news within that time.
	fetchAfter = 300 * time.Millisecond
	// fetchTimeout bounds the fetch of a peer's state.
	fetchTimeout = 700 * time.Millisecond
	peerIdle     = 30 * time.Second
	// heldAge is for how long a version that a server was seen to hold is told;
	// the server announces it itself within its heartbeat interval.
	heldAge = 4 * time.Second
	// maxStateBytes bounds a peer's state.
	maxStateBytes = 8 << 20
	pathState     = "/state"
)

// state is what a VM fetches from another.
type state struct {
	Catalog *catalog.Snapshot `json:"catalog,omitempty"`
	Servers []fleet.Entry     `json:"servers"`
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathState, n.serveState)
	mux.HandleFunc("GET /metrics", n.ServeMetrics)
	return mux
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.ParseUint(r.URL.Query().Get("catalog"), 10, 64)
	if err != nil {
		http.Error(w, "the parameter catalog is not a number", http.StatusBadRequest)
		return
	}
	s := state{Servers: n.directory.Export()}
	if c := n.Gateway.Catalog(); c != nil && uint64(c.Version) > known {
		s.Catalog = &c.Snapshot
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		n.log.Info("state_write_failed", zap.Error(err))
	}
}

// sendDigests tells the peers a few times a second what this VM knows.
func (n *Node) sendDigests(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.kick:
		}
		n.gossip.Send(n.digest())
		n.housekeep()
	}
}

func (n *Node) digest() gossip.Digest {
	now := n.now()
	d := gossip.Digest{
		Member:      n.member(),
		Incarnation: n.opts.VM.Incarnation,
		Sequence:    n.sequence.Add(1),
		Uptime:      now.Sub(n.started),
		Leaving:     n.Leaving(),
		Ready:       n.Ready(),
		Giver:       n.keeper.Term().Valid(now, 0),
		Servers:     n.directory.Revision(),
		Usage:       n.quota.Usages(),
		Loads:       loadReports(n.servers),
		Crashes:     n.suspects.Own(),
		Placements:  n.servers.TakePlacements(),
		Kept:        n.shelf.Take(),
	}
	if c := n.Gateway.Catalog(); c != nil {
		d.Catalog = c.Version
	}
	for model, list := range n.goals.All() {
		for _, g := range list {
			d.Goals = append(d.Goals, gossip.WeightsGoal{Model: model, Version: g.Version, Age: now.Sub(g.Since)})
		}
	}
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
	n.pool.CloseIdle(func(owner string) bool { return view.Server(backend.ID(owner)) != nil })
	loads := map[selector.ServerKey]selector.Report{}
	reserved := map[string]bool{}
	members := 1
	for _, p := range n.gossip.Peers() {
		if p.At.IsZero() || now.Sub(p.At) > n.opts.Bounds.Quota.Window {
			continue
		}
		members++
		if !p.Alive(now) {
			continue
		}
		for _, l := range p.Loads {
			key := selector.ServerKey{ID: l.ID, Started: l.Started}
			r := loads[key]
			loads[key] = selector.Report{Running: r.Running + l.Running, Backlog: r.Backlog + float64(l.Backlog), Churn: r.Churn + float64(l.Churn), Memory: r.Memory + float64(l.Memory)}
		}
		for _, id := range p.Reserved {
			reserved[string(id)] = true
		}
	}
	n.mu.Lock()
	for _, id := range n.reserved {
		reserved[string(id)] = true
	}
	n.mu.Unlock()
	n.servers.SetPeers(loads)
	n.Gateway.Reserve(reserved)
	n.Gateway.SetMembers(members)
	n.quota.SetMembers(members)
	n.servers.SetMembers(members)
}

// received takes a newer digest of a peer.
func (n *Node) received(p *gossip.Peer) {
	n.quota.Heard(quota.Process{VM: p.ID, Incarnation: p.Incarnation}, p.Uptime, p.Usage)
	n.suspects.Heard(p.ID, p.Crashes)
	for _, g := range p.Goals {
		n.setGoal(g.Model, fleet.Goal{Version: g.Version, Since: n.now().Add(-g.Age)}, string(p.ID))
	}
	for _, h := range p.Held {
		n.directory.SetWeights(h.ID, h.Started, h.Model, h.Version)
	}
	if len(p.Reserved) > 0 {
		n.housekeep()
	}
	for _, m := range p.Placements {
		n.servers.Placed(m)
	}
	for _, k := range p.Kept {
		n.shelf.Heard(k)
	}
	if n.ahead(p) {
		go n.fetch(p)
	}
}

// ahead reports whether a peer has known more for some time, so that its state
// should be fetched now.
func (n *Node) ahead(p *gossip.Peer) bool {
	var version catalog.Version
	if c := n.Gateway.Catalog(); c != nil {
		version = c.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Catalog <= version && p.Servers <= n.directory.Revision() {
		delete(n.behind, p.ID)
		return false
	}
	since, known := n.behind[p.ID]
	if !known {
		n.behind[p.ID] = n.now()
		return false
	}
	if n.now().Sub(since) < fetchAfter || n.fetching {
		return false
	}
	n.fetching = true
	return true
}

// fetch takes over a peer's state.
func (n *Node) fetch(p *gossip.Peer) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fetching = false
		delete(n.behind, p.ID)
	}()
	s, err := n.fetchState(p)
	if err != nil {
		n.log.Info("state_fetch_failed", zap.String("peer", string(p.ID)), zap.Error(err))
		return
	}
	if s.Catalog != nil {
		n.publish(*s.Catalog, string(p.ID))
	}
	n.applyServers(s.Servers, string(p.ID))
}

var peerClient = &http.Client{Timeout: fetchTimeout}

func (n *Node) fetchState(p *gossip.Peer) (state, error) {
	var version catalog.Version
	if c := n.Gateway.Catalog(); c != nil {
		version = c.Version
	}
	q := url.Values{"catalog": {strconv.FormatUint(uint64(version), 10)}}
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
	return false
}
