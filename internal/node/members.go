package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	// followerReadInterval is the time between two reads of the members by a VM that follows
	// the store, standbyReadInterval by other VMs. A VM that starts reads the members and sends
	// them digests, so further reads are only needed if its digests are lost.
	followerReadInterval = 15 * time.Second
	standbyReadInterval  = 60 * time.Second
	// firstStartSpread is the time within which the VMs of a deployment that starts for the first time
	// announce themselves. A read after that lists them all.
	firstStartSpread = 350 * time.Millisecond
	// membersTimeout is how long a VM that starts waits for the members, firstMembersTimeout the same
	// when the deployment starts for the first time: the rows of all VMs are written one after the other.
	// standbyStartLimit is how long it waits for the state of the VMs that read the store for its domain.
	membersTimeout      = 600 * time.Millisecond
	firstMembersTimeout = platform.CallTimeout + 2*firstStartSpread
	standbyStartLimit   = 700 * time.Millisecond
	standbyStartPoll    = 20 * time.Millisecond
)

// startsOnStandby waits, when this VM starts, until it has the state of VMs that read the store for
// its domain. It returns false if the members show too few of these, or if they are too slow: this VM
// then reads the store itself.
func (n *Node) startsOnStandby(ctx context.Context) bool {
	timeout := membersTimeout
	if n.opts.FirstStart {
		timeout = firstMembersTimeout
	}
	select {
	case <-n.membersTried:
	case <-time.After(timeout):
		return false
	case <-ctx.Done():
		return false
	}
	if n.gossip.ListedFitter() < followers {
		return false
	}
	for began := n.now(); n.now().Sub(began) < standbyStartLimit; {
		if n.hasFollowersState() {
			return true
		}
		if n.fetchFailedAt.Load() != nil {
			return false // The state of other VMs can't be relied on.
		}
		if !clock.Sleep(ctx, standbyStartPoll) {
			return false
		}
	}
	return false
}

// hasFollowersState reports whether other VMs read the store for this one, and whether it has the
// configuration and the servers that they know.
func (n *Node) hasFollowersState() bool {
	if n.Following() {
		return false
	}
	catalog, servers := n.catalogVersion(), n.directory.Known()
	for p := range n.gossip.EachInDomain {
		if isFollower(p) && (p.Catalog > catalog || p.Servers.After(servers)) {
			return false
		}
	}
	return true
}

// maintainMembership announces this VM and reads the other members.
func (n *Node) maintainMembership(ctx context.Context) {
	announced := false
	failures := 0
	var announcedEra platform.Era
	triedOnce := sync.OnceFunc(func() { close(n.membersTried) })
	defer triedOnce()
	if !n.opts.FirstStart {
		// Rows of the VMs that run, or did before a restart of all, are there already. Many VMs that start
		// at once would wait for one another's writes.
		if err := n.readMembers(ctx); err != nil {
			n.log.Info("members_not_read", logging.Error(err))
		}
		triedOnce()
	}
	for ctx.Err() == nil {
		if era, _ := n.era(); !announced || announcedEra != era {
			// A row of an earlier era may be lost, even if its write is acknowledged late.
			announced, announcedEra = n.announce(ctx) == nil, era
			n.updateRecovery(era, func(r *recovery) { r.memberWritten = announced })
		}
		if n.opts.FirstStart && failures == 0 && n.now().Sub(n.started) < firstMembersTimeout {
			clock.Sleep(ctx, firstStartSpread)
		}
		err := n.readMembers(ctx)
		triedOnce()
		interval := standbyReadInterval
		if n.Following() {
			interval = followerReadInterval
		}
		pause := time.Duration((0.75 + rand.Float64()/2) * float64(interval))
		if err != nil || !announced {
			failures++
			pause = min(maxBackoff, minBackoff<<min(failures, 8))
		} else {
			failures = 0
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-n.rereadMembers:
			if era, _ := n.era(); announcedEra != era && !clock.Sleep(ctx, time.Duration(rand.Float64()*float64(announceSpread))) {
				return
			}
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// announceSpread is the period over which the VMs spread the rewriting of their rows after the
// store was restored from an older copy.
const announceSpread = 500 * time.Millisecond

func (n *Node) memberKey() string { return n.opts.MemberTable + "/" + string(n.opts.VM.ID) }

func (n *Node) announce(ctx context.Context) error {
	value, err := json.Marshal(n.member())
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return n.opts.Table.Commit(ctx, nil, []platform.Write{{Key: n.memberKey(), Value: value}})
}

// deregister deletes the member row of a VM that leaves. A row that remains is harmless: no VM
// receives digests from it.
func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := n.opts.Table.Commit(ctx, nil, []platform.Write{{Key: n.memberKey(), Delete: true}}); err != nil {
		n.log.Info("deregister_failed", logging.Error(err))
	}
}

// deregisterTimeout bounds the last call of a process that must end in time.
const deregisterTimeout = 200 * time.Millisecond

func (n *Node) readMembers(ctx context.Context) error {
	unknown := n.goals.HasUndated()
	list, err := n.opts.Feed.Rows(ctx, n.opts.MemberTable)
	if err != nil {
		return err
	}
	if !n.observeEra(list.Revision.Era, "store") {
		return errors.Wrapf(platform.ErrUnavailable, "the answer belongs to the earlier era %d", list.Revision.Era)
	}
	n.storeClock.synchronize(list.Now, n.now())
	members := make([]gossip.Member, 0, len(list.Rows))
	for _, r := range list.Rows {
		if strings.HasPrefix(r.Key, n.namingRowKey("")) {
			n.applyNamingRow(r)
			continue
		}
		if r.Key == n.convictionsRowKey() {
			n.applyConvictionsRow(r)
			continue
		}
		var m gossip.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			n.log.Warn("member_row_malformed", zap.String("key", r.Key), logging.Error(err))
			continue
		}
		members = append(members, m)
	}
	if unknown {
		n.dateUnknownGoals()
	}
	n.gossip.RecordListed(members)
	if !slices.ContainsFunc(members, func(m gossip.Member) bool { return m.ID != n.opts.VM.ID }) {
		n.endFirstPeerWait()
	}
	n.notifyAll()
	return nil
}
