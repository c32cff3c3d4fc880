package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	// memberInterval is the time between two reads of the members by a VM that
	// follows the store, standbyInterval by others: a VM that starts reads the
	// members and makes itself known to them, so the rest of the reads are for the
	// case that its digests are lost.
	memberInterval  = 15 * time.Second
	standbyInterval = 60 * time.Second
)

// keepMembership announces this VM and reads the other members.
func (n *Node) keepMembership(ctx context.Context) {
	announced := false
	failures := 0
	var told platform.Era
	for ctx.Err() == nil {
		if era, _ := n.era(); !announced || told != era {
			// A row of an earlier era may be lost, also one that is acknowledged late.
			announced, told = n.announce(ctx) == nil, era
			n.recovered(era, func(r *recovery) { r.announced = announced })
		}
		err := n.readMembers(ctx)
		interval := standbyInterval
		if n.Following() {
			interval = memberInterval
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
		case <-n.reread:
			if era, _ := n.era(); told != era && !clock.Sleep(ctx, time.Duration(rand.Float64()*float64(announceSpread))) {
				return
			}
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// announceSpread is the time within which all VMs write their rows again after the store
// has come back from an older copy.
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

// deregister removes the announcement of a VM that leaves. A row that stays is
// harmless: nobody hears of the VM.
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
	unknown := n.goals.Unknown()
	list, err := n.opts.Feed.Rows(ctx, n.opts.MemberTable)
	if err != nil {
		return err
	}
	if !n.sawEra(list.Revision.Era, "store") {
		return errors.Wrapf(platform.ErrUnavailable, "the answer is of the earlier era %d", list.Revision.Era)
	}
	n.storeClock.set(list.Now, n.now())
	members := make([]gossip.Member, 0, len(list.Rows))
	for _, r := range list.Rows {
		if strings.HasPrefix(r.Key, n.goalKey("")) {
			n.readGoals(r)
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
		n.dateGoals()
	}
	n.gossip.Listed(members)
	if !slices.ContainsFunc(members, func(m gossip.Member) bool { return m.ID != n.opts.VM.ID }) {
		n.peerHeard()
	}
	n.wake()
	return nil
}
