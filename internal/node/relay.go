package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
)

// domainState is the last summary of another failure domain.
type domainState struct {
	summary *gossip.Summary
	at      time.Time
}

// relayed collects what a relay tells the other domains of prompts.
type relayed struct {
	placements []selector.Placement
	kept       []selector.Kept
}

// maxRelayed bounds what waits for a summary. A VM that is no relay never sends
// it.
const maxRelayed = 256

// keepForRelay keeps what VMs of the own domain tell for the next summary.
func (n *Node) keepForRelay(placements []selector.Placement, kept []selector.Kept) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relayed.placements = newest(append(n.relayed.placements, placements...))
	n.relayed.kept = newest(append(n.relayed.kept, kept...))
}

func newest[T any](list []T) []T { return list[max(0, len(list)-maxRelayed):] }

// summary sums the own domain up for the others. The digest is this VM's own.
func (n *Node) summary(d gossip.Digest) gossip.Summary {
	s := gossip.Summary{
		From:         d.Member,
		Incarnation:  d.Incarnation,
		Sequence:     d.Sequence,
		Members:      []gossip.MemberState{{Member: d.Member, Ready: d.Ready, Leaving: d.Leaving, Calls: d.Calls}},
		Uptime:       d.Uptime,
		FollowingFor: d.FollowingFor,
		Giver:        d.Giver,
		Claim:        d.Claim,
		Catalog:      d.Catalog,
		Servers:      d.Servers,
		NewsAge:      d.NewsAge,
		Goals:        d.Goals,
		Held:         d.Held,
		Left:         d.Left,
		Limits:       d.Limits,
		Reserved:     slices.Clone(d.Reserved),
		Usage:        n.quota.DomainUsages(),
		Crashes:      maps.Clone(d.Crashes),
	}
	loads := map[selector.ServerKey]selector.Report{}
	addLoads(loads, d.Loads)
	now := n.now()
	for _, p := range n.gossip.Peers() {
		if p.FailureDomain != d.FailureDomain || !p.Alive(now) {
			continue
		}
		s.Members = append(s.Members, gossip.MemberState{Member: p.Member, Ready: p.Ready, Leaving: p.Leaving, Calls: p.Calls})
		s.Uptime = max(s.Uptime, p.Uptime)
		s.FollowingFor = max(s.FollowingFor, p.FollowingFor)
		s.Giver = s.Giver || p.Giver
		s.Reserved = append(s.Reserved, p.Reserved...)
		addLoads(loads, p.Loads)
		for content, count := range p.Crashes {
			s.Crashes[content] += count
		}
	}
	s.Loads = loadList(loads)
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Placements, s.Kept = n.relayed.placements, n.relayed.kept
	n.relayed = relayed{}
	return s
}

// summarized takes a newer summary of another domain.
func (n *Node) summarized(s *gossip.Summary) {
	domain := s.From.FailureDomain
	n.mu.Lock()
	n.domains[domain] = domainState{summary: s, at: n.now()}
	n.mu.Unlock()
	name := vm.ID("domain/" + domain)
	n.quota.Heard(quota.Report{From: quota.Process{VM: name}, Members: len(s.Members), Domain: true, Uptime: s.Uptime, Usages: s.Usage})
	n.suspects.Heard(name, s.Crashes)
	n.heardClaim(s.Claim)
	n.learn(string(s.From.ID), s.Goals, s.Held, s.Placements, s.Kept)
	n.hearOfLeaves(string(s.From.ID), s.Left)
	n.hearOfLimits(string(s.From.ID), s.Limits, s.Uptime)
	n.peerHeard()
	n.hearEra(s.Servers, string(s.From.ID))
	n.confirm(s.Servers, s.NewsAge)
	n.applyPeers()
	if n.ahead(s.From, s.Catalog, s.Servers) {
		go n.fetch(s.From)
	}
}

// Following reports whether this VM reads the store's feeds: two VMs of each
// domain do, and others while none of those hears from the store or while their
// states can't be fetched.
func (n *Node) Following() bool {
	if n.gossip.Rank() < followers {
		return true
	}
	now := n.now()
	if failed := n.fetchFailed.Load(); failed != nil && now.Sub(*failed) < fetchDistrust {
		return true
	}
	_, followed := n.followerHeard(now)
	return !followed
}

// followerHeard returns when a VM of the domain that reads the store for this one was
// last heard of, and false if there is none.
func (n *Node) followerHeard(now time.Time) (time.Time, bool) {
	var last time.Time
	for _, p := range n.gossip.Peers() {
		if p.FailureDomain == n.opts.VM.FailureDomain && p.Alive(now) && p.Following && !p.Leaving && p.At.After(last) {
			last = p.At
		}
	}
	return last, !last.IsZero()
}

// followingFor returns for how long this VM has read both feeds without a
// failure; 0 if it doesn't.
func (n *Node) followingFor(now time.Time) time.Duration {
	operator, servers := n.operatorFeed.healthy.Load(), n.serverFeed.healthy.Load()
	if operator == nil || servers == nil || !n.Following() {
		return 0
	}
	return max(1, min(now.Sub(*operator), now.Sub(*servers)))
}

// followers is the number of VMs of a failure domain that read the store's feeds
// for all: one may be lost.
const followers = 2

// loadList returns loads in the form of messages, sorted by server.
func loadList(loads map[selector.ServerKey]selector.Report) []gossip.ServerLoad {
	out := make([]gossip.ServerLoad, 0, len(loads))
	for key, r := range loads {
		out = append(out, gossip.ServerLoad{
			ID: key.ID, Started: key.Started, Running: r.Running,
			Backlog: int(r.Backlog), Churn: int(r.Churn), Memory: int(r.Memory),
			Silent: r.Silent.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b gossip.ServerLoad) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
