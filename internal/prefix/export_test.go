package prefix

import (
	"testing"
	"time"
)

func TestExportImport(t *testing.T) {
	scope, other := NewScope("a", "m", "1"), NewScope("b", "m", "1")
	chain := []Hash{1, 2, 3}
	peer := NewIndex(1000, epoch)
	peer.Attach("x", "1") // makes the positions differ between the indexes
	peer.Record(scope, chain, peer.Attach("same", "1"), 3, epoch, epoch)
	peer.Record(scope, chain, peer.Attach("restarted", "1"), 3, epoch, epoch)
	peer.Record(scope, chain, peer.Attach("gone", "1"), 3, epoch, epoch)

	fresh := NewIndex(1000, epoch)
	same := fresh.Attach("same", "1")
	fresh.Attach("restarted", "2")
	now := epoch.Add(time.Second)
	fresh.Import(peer.Export(1000, now), now)

	got := fresh.Lookup(scope, chain, now, nil)
	want := Match{Slot: same, Blocks: 3, Ready: 3, Age: 62 * tick}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want only %+v", got, want)
	}
	if got := fresh.Lookup(other, chain, now, nil); len(got) > 0 {
		t.Errorf("another account's entries match: %+v", got)
	}
	if n := fresh.Computed(scope, chain); n != 3 {
		t.Errorf("%d blocks known as computed, want 3", n)
	}
	if n := len(peer.Export(shardCount, now).Blocks); n > shardCount {
		t.Errorf("%d blocks exported, want at most %d", n, shardCount)
	}
}
