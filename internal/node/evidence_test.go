package node

import (
	"context"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// lateFeed returns answers that were given some time ago.
type lateFeed struct {
	*serverStore
	v    *testVM
	late time.Duration
}

func (f *lateFeed) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.Change, platform.Revision, error) {
	changes, upTo, err := f.serverStore.Changes(ctx, table, after, wait)
	f.v.clock = f.v.clock.Add(wait + f.late)
	return changes, upTo, err
}

func TestAnswerReadAfterStandstillIsNoRecentEvidence(t *testing.T) {
	store := newServerStore()
	store.write("x", "ready", 1)
	v := newTestVM(t, store)
	v.loadServers()
	feed := &lateFeed{serverStore: store, v: v}
	v.opts.Feed = feed
	v.serverFeed.pollWait = serverPollWait.least
	v.serverFeed.onApplied = v.noteServersCurrent
	v.readChanges()
	if age := v.serverStaleness(); age > 10*time.Millisecond {
		t.Errorf("an answer in time is %v old", age)
	}
	feed.late = 4 * time.Second
	v.readChanges()
	if age := v.serverStaleness(); age < feed.late-maxAnswerLag {
		t.Errorf("an answer that waited %v counts as %v old", feed.late, age)
	}
	if v.serversCurrent() && len(v.gossip.Peers()) > 0 {
		t.Error("the servers count as current")
	}
	if maxAnswerLag >= origin.SettleTime-origin.MaxLag {
		t.Error("a version can be in use before a late answer counts as old")
	}
}

func TestServersAreNotCurrentBesideSilentVM(t *testing.T) {
	store := newServerStore()
	store.write("x", "ready", 1)
	v := newTestVM(t, store)
	v.loadServers()
	v.noteServersCurrent(v.clock)
	for _, id := range []string{"near", "far"} {
		v.gossip.RecordListed([]gossip.Member{{ID: vm.ID(id), FailureDomain: "b", Peer: "127.0.0.1:1"}})
	}
	v.clock = v.clock.Add(2 * origin.MaxLag)
	if v.serversCurrent() {
		t.Error("two VMs that are silent may know newer servers")
	}
}

// Between two answers of the store the servers must count as complete.
func TestPollsKeepEvidenceRecent(t *testing.T) {
	for _, drain := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		wait, pause := serverPollWait.within(drain), serverBatchPause.within(drain)
		if wait+pause >= origin.MaxLag {
			t.Errorf("with a drain bound of %v calls wait %v and pause %v, too long for evidence younger than %v", drain, wait, pause, origin.MaxLag)
		}
		// A call that is lost is noticed 0.7 s after its wait; then another one and digests follow.
		if known := wait + pause + 700*time.Millisecond; known > max(drain, 2*time.Second)-300*time.Millisecond {
			t.Errorf("with a drain bound of %v a lost call is noticed after %v", drain, known)
		}
	}
	if got := operatorPollWait.within(5 * time.Second); got != 4*time.Second {
		t.Errorf("calls for the operator's objects wait %v", got)
	}
}
