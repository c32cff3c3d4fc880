package node

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/gossip"
)

// The VM that has the newer configuration is busy with sending it to others.
func TestVMStartsWithOlderConfigurationThanItKnowsOf(t *testing.T) {
	const busyResponses = 2
	source, v := newTestVM(t, newServerStore()), newTestVM(t, newServerStore())
	v.now = clock.BootTime
	source.Gateway.Publish(testCatalog(7, 3))
	var calls atomic.Int64
	peer := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= busyResponses {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		source.serveState(w, r)
	}))
	datagram, err := json.Marshal(map[string]any{"d": gossip.Digest{
		Member: gossip.Member{ID: "source", FailureDomain: "b", Peer: peer}, Incarnation: 1, Sequence: 1, Catalog: 7,
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := v.gossip.Receive(datagram); err != nil {
		t.Fatal(err)
	}
	stored := testCatalog(5, 3)
	v.awaitFirstPeer(&stored)
	v.publish(stored, "store")
	if got := v.catalogVersion(); got != 7 {
		t.Errorf("version %d is in force after %d fetches, want 7", got, calls.Load())
	}
}
