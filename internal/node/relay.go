package node

import (
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
)

// domainState is the last summary of another failure domain.
type domainState struct {
	summary    *gossip.Summary
	receivedAt time.Time
}

// promptNotices are notices about prompts for other VMs.
type promptNotices struct {
	placements []selector.Placement
	kept       []selector.StoredParts
}

// maxQueuedNotices bounds each kind of queued notices. A VM that is not a relay never sends its
// queue of summary notices.
const maxQueuedNotices = 256

// queueForRelay queues notices from VMs of this domain for the next summary.
func (n *Node) queueForRelay(placements []selector.Placement, kept []selector.StoredParts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relayQueue.placements = lastNotices(append(n.relayQueue.placements, placements...))
	n.relayQueue.kept = lastNotices(append(n.relayQueue.kept, kept...))
}

func lastNotices[T any](list []T) []T { return list[max(0, len(list)-maxQueuedNotices):] }

// summary summarizes this domain for the other domains. The digest is this VM's own.
func (n *Node) summary(d gossip.Digest) gossip.Summary {
	s := gossip.Summary{
		From:            d.Member,
		Incarnation:     d.Incarnation,
		Sequence:        d.Sequence,
		Members:         []gossip.MemberState{{Member: d.Member, Ready: d.Ready, Leaving: d.Leaving, Calls: d.Calls, Load: d.Load, Stranded: d.Stranded}},
		Uptime:          d.Uptime,
		RelayUptime:     d.Uptime,
		FollowingFor:    d.FollowingFor,
		HoldsOrderLease: d.HoldsOrderLease,
		Claim:           d.Claim,
		Catalog:         d.Catalog,
		Servers:         d.Servers,
		EvidenceAge:     d.EvidenceAge,
		Goals:           d.Goals,
		Held:            d.Held,
		Withheld:        d.Withheld,
		Limits:          d.Limits,
		Reserved:        slices.Clone(d.Reserved),
		Usage:           n.quota.DomainUsages(),
		Crashes:         n.crashCauses.Notices(crashcause.OtherDomains, true),
		Origins:         n.origins.Notices(origin.OtherDomains),
	}
	loads := map[selector.ServerKey]selector.Report{}
	addLoads(loads, d.Loads)
	addFull(loads, d.Loads, 0)
	for p := range n.gossip.EachInDomain {
		s.Members = append(s.Members, gossip.MemberState{Member: p.Member, Ready: p.Ready, Leaving: p.Leaving, Calls: p.Calls, Load: p.Load, Stranded: p.Stranded})
		s.Uptime = max(s.Uptime, p.Uptime)
		s.FollowingFor = max(s.FollowingFor, p.FollowingFor)
		s.HoldsOrderLease = s.HoldsOrderLease || p.HoldsOrderLease
		s.Reserved = append(s.Reserved, p.Reserved...)
		addLoads(loads, p.Loads)
		addFull(loads, p.Loads, n.now().Sub(p.At))
	}
	s.Loads = sortedLoads(loads)
	if n.delivery != nil {
		s.Rollouts = n.delivery.DomainNotices()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Placements, s.Kept = n.relayQueue.placements, n.relayQueue.kept
	n.relayQueue = promptNotices{}
	return s
}

// receiveSummary applies a newer summary of another domain.
func (n *Node) receiveSummary(s *gossip.Summary) {
	domain := s.From.FailureDomain
	n.mu.Lock()
	n.domains[domain] = domainState{summary: s, receivedAt: n.now().Add(-s.Delay)}
	n.mu.Unlock()
	name := vm.ID("domain/" + domain)
	n.quota.Record(quota.Report{From: quota.Process{VM: name}, Members: len(s.Members), Domain: true, Uptime: s.Uptime, Usages: s.Usage})
	n.applyCrashes(s.Crashes, string(s.From.ID), false)
	n.applyOrigins(s.Origins, false)
	n.applyRollouts(s.Rollouts, string(s.From.ID), false, s.Delay)
	n.receiveClaim(s.Claim)
	n.applyPeerKnowledge(string(s.From.ID), s.Goals, s.Held, s.Placements, s.Kept)
	n.applyUnusableRuns(string(s.From.ID), s.Withheld)
	n.applyRateLimits(string(s.From.ID), s.Limits, s.Uptime)
	n.endFirstPeerWait()
	n.observePeerEra(s.Servers, string(s.From.ID))
	n.confirmServers(s.Servers, s.EvidenceAge, s.Delay)
	n.updatePeerLoads(func(l *peerLoads) { l.record(string(name), n.now().Add(-s.Delay), s.Loads, s.Reserved) })
	n.countPeersIfDue()
	n.fetchIfAhead(s.From, s.Catalog, s.Servers)
}

// Following reports whether this VM reads the store's feeds. Two VMs of each domain do; the
// others do while neither of them receives answers from the store, or while a peer's state
// can't be fetched.
func (n *Node) Following() bool {
	if n.gossip.RanksBelow(followers) {
		return true
	}
	if failedAt := n.fetchFailedAt.Load(); failedAt != nil && n.now().Sub(*failedAt) < fetchFailureHold {
		return true
	}
	for p := range n.gossip.EachInDomain {
		if isFollower(p) {
			return false
		}
	}
	return true
}

// isFollower reports whether a VM reads the store for its domain.
func isFollower(p *gossip.Peer) bool { return p.Following && !p.Leaving }

// followerLastSeen returns when the state of a VM of this domain that reads the store last
// arrived, and false if there is no such VM.
func (n *Node) followerLastSeen() (time.Time, bool) {
	var last time.Time
	for p := range n.gossip.EachInDomain {
		if isFollower(p) && p.At.After(last) {
			last = p.At
		}
	}
	return last, !last.IsZero()
}

// followingFor returns how long this VM has read both feeds without a failure; 0 if it doesn't
// read them.
func (n *Node) followingFor(now time.Time) time.Duration {
	operator, servers := n.operatorFeed.healthySince.Load(), n.serverFeed.healthySince.Load()
	if operator == nil || servers == nil || !n.Following() {
		return 0
	}
	return max(1, min(now.Sub(*operator), now.Sub(*servers)))
}

// followers is the number of VMs of a failure domain that read the store's feeds for all: one
// may be lost.
const followers = 2

// sortedLoads converts loads to the form used in messages, sorted by server.
func sortedLoads(loads map[selector.ServerKey]selector.Report) []gossip.ServerLoad {
	out := make([]gossip.ServerLoad, 0, len(loads))
	for key, r := range loads {
		out = append(out, gossip.ServerLoad{
			ID: key.ID, Started: key.Started, Running: r.Running,
			Backlog: int(r.Backlog), Churn: int(r.Churn), Memory: int(r.Memory),
			Silent: r.Silent.Milliseconds(),
			Full:   r.FullFor.Milliseconds(),
			Gone:   r.Gone,
		})
	}
	slices.SortFunc(out, func(a, b gossip.ServerLoad) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
