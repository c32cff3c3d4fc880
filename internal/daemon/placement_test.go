package daemon_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/order"
	"papayaspan.dev/papayaspan/internal/standin/engine"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// rolloutFixture consists of three engines, of which the last ignores fencing,
// and two routers.
type rolloutFixture struct {
	*local.Standins
	t     *testing.T
	store *ticket.Store
	vms   []*daemon.Daemon
}

func startRollout(t *testing.T) *rolloutFixture {
	t.Helper()
	opts := local.EngineOptions()
	opts.LoadTime = 300 * time.Millisecond
	s, err := local.Start(3, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	yes := true
	s.Engines[2].SetControl(engine.Control{IgnoresFencing: &yes})
	r := &rolloutFixture{Standins: s, t: t}
	r.store = ticket.NewStore(s.Platform, s.Platform.Objects(), head.Direct{Table: s.Platform}, "test", time.Now)
	r.fileTicket("first", local.Weights)
	for i := range 2 {
		d, err := s.StartRouter(s.Settings(i+1), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		r.vms = append(r.vms, d)
	}
	return r
}

// fileTicket files a ticket that requests a weights version.
func (r *rolloutFixture) fileTicket(id, version string) {
	r.t.Helper()
	tk := r.FirstTicket()
	tk.ClientID = id
	tk.Models.Set = []config.Model{{Name: local.Model, WeightsVersion: version}}
	tk.Servers.Set[2].ChecksFencing = false
	if rec, err := r.store.File(context.Background(), tk); err != nil || rec.Status != ticket.Accepted {
		r.t.Fatalf("ticket: %+v, %v", rec, err)
	}
}

// awaitWeights waits until every engine reports a weights version.
func (r *rolloutFixture) awaitWeights(version string) {
	r.t.Helper()
	client := order.NewClient()
	updated := 0
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); {
		updated = 0
		for _, url := range r.EngineURLs {
			l, err := client.Read(context.Background(), url)
			if err == nil && l.Weights[local.Model] == version {
				updated++
			}
		}
		if updated == len(r.EngineURLs) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.t.Fatalf("%d of %d engines have %s", updated, len(r.EngineURLs), version)
}

// TestRollout rolls out new weights by ticket. Then one router is killed and an
// engine loads other weights from a delayed order of an unknown sender. The
// remaining router must correct this and roll out the next version.
func TestRollout(t *testing.T) {
	t.Parallel()
	r := startRollout(t)
	r.fileTicket("second", "v2")
	r.awaitWeights("v2")
	r.vms[0].Kill()
	foreign := order.Weights{local.Model: "v1"}
	if err := order.NewClient().Send(context.Background(), r.EngineURLs[2], 0, foreign, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	r.awaitWeights("v2")
	r.fileTicket("third", "v3")
	r.awaitWeights("v3")
	for i, e := range r.Engines {
		if n := e.Stats().Orders; n > 8 {
			t.Errorf("engine %d got %d orders for three versions", i+1, n)
		}
	}
}
