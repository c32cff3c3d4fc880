package poison

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

// cluster connects guards in one process.
type cluster struct {
	guards       map[vm.ID]*Guard
	disconnected atomic.Bool
}

func newCluster(ids ...vm.ID) *cluster {
	cl := &cluster{guards: map[vm.ID]*Guard{}}
	for _, id := range ids {
		cl.guards[id] = NewGuard(id, clusterPeers{cl}, Options{Now: time.Now, Start: time.Now(), Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	}
	return cl
}

// clusterPeers implements Peers.
type clusterPeers struct{ *cluster }

func (cl clusterPeers) peer(to vm.ID) (*Guard, error) {
	if cl.disconnected.Load() {
		return nil, errors.New("cluster is disconnected")
	}
	return cl.guards[to], nil
}

// Refresh implements Peers. The cluster's roster is always up to date.
func (clusterPeers) Refresh(context.Context) {}

func (cl clusterPeers) Roster() Roster {
	r := Roster{Version: 1}
	for id := range cl.guards {
		r.Members = append(r.Members, id)
	}
	return r
}

func (cl clusterPeers) Acquire(ctx context.Context, to vm.ID, r AcquireRequest) (Decision, error) {
	g, err := cl.peer(to)
	if err != nil {
		return Decision{}, err
	}
	return g.HandleAcquire(ctx, r), nil
}

func (cl clusterPeers) Finish(ctx context.Context, to vm.ID, f Finish) error {
	g, err := cl.peer(to)
	if err == nil {
		g.HandleFinish(ctx, f)
	}
	return err
}

func (cl clusterPeers) Announce(ctx context.Context, to vm.ID, a Announcement) (Ack, error) {
	g, err := cl.peer(to)
	if err != nil {
		return Ack{}, err
	}
	return g.HandleAnnounce(ctx, a), nil
}

func (cl clusterPeers) Reserve(_ context.Context, to vm.ID, s backend.ID, c Content) (bool, error) {
	g, err := cl.peer(to)
	return err == nil && g.HandleReserve(s, c), err
}

func (cl clusterPeers) Suspects(_ context.Context, to vm.ID) ([]Announcement, error) {
	g, err := cl.peer(to)
	if err != nil {
		return nil, err
	}
	return g.Suspects(), nil
}

func (cl clusterPeers) Exchange(_ context.Context, to, from vm.ID, n *crashcause.Notices) (*crashcause.Notices, error) {
	g, err := cl.peer(to)
	if err != nil {
		return nil, err
	}
	return g.HandleExchange(from, n), nil
}

func subject(c Content) RunRequest {
	return RunRequest{Account: c.Account, Content: func() Content { return c }}
}

// onServer returns a chooser that selects the first of the servers that isn't
// excluded.
func onServer(ids ...backend.ID) Chooser {
	return func(excluded []backend.ID) (Target, error) {
		for _, id := range ids {
			free := true
			for _, e := range excluded {
				free = free && e != id
			}
			if free {
				return Target{Server: backend.Server{ID: id}, Incarnation: "i1"}, nil
			}
		}
		return Target{}, verdict.Refuse(503, "no_backend_server", "none")
	}
}

// remoteContent returns a content whose home is not vm-1.
func remoteContent(cl *cluster) Content {
	for i := byte(0); ; i++ {
		c := Content{Account: "a", Digest: Digest{i}}
		if HomeOf(clusterPeers{cl}.Roster(), c) != "vm-1" {
			return c
		}
	}
}

func begin(t *testing.T, g *Guard, c Content, choose Chooser) (*Run, Target) {
	t.Helper()
	run, target, err := g.Begin(context.Background(), subject(c), choose)
	if err != nil {
		t.Fatal(err)
	}
	return run, target
}

// TestUnreachableHome checks that a suspect is refused with content_unverified
// while its home is unreachable, and that other contents still run.
func TestUnreachableHome(t *testing.T) {
	cl := newCluster("vm-1", "vm-2")
	g, c := cl.guards["vm-1"], remoteContent(cl)
	run, _ := begin(t, g, c, onServer("s1"))
	cl.disconnected.Store(true)
	g.End(run, Crashed)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, _, err := g.Begin(ctx, subject(c), onServer("s2"))
	if e := verdict.AsError(err); e.Code != "content_unverified" || e.Verdict != verdict.NotRun || e.RetryAfter == 0 {
		t.Errorf("Begin with an unreachable home: error %v", err)
	}
	begin(t, g, Content{Account: "a", Digest: Digest{255}}, onServer("s2"))
	cl.disconnected.Store(false)
	begin(t, g, c, onServer("s2"))
}

// TestSuspectsRunOnDifferentServers checks that a suspect runs on one server at
// a time and that two suspects run on different servers.
func TestSuspectsRunOnDifferentServers(t *testing.T) {
	cl := newCluster("vm-1", "vm-2", "vm-3")
	one, two := Content{Account: "a", Digest: Digest{1}}, Content{Account: "a", Digest: Digest{2}}
	runOne, _ := begin(t, cl.guards["vm-1"], one, onServer("s1"))
	runTwo, _ := begin(t, cl.guards["vm-2"], two, onServer("s1"))
	cl.guards["vm-1"].End(runOne, Crashed)
	cl.guards["vm-2"].End(runTwo, Crashed)

	runOne, targetOne := begin(t, cl.guards["vm-1"], one, onServer("s2", "s3"))
	_, targetTwo := begin(t, cl.guards["vm-2"], two, onServer("s2", "s3"))
	if targetOne.Server.ID == targetTwo.Server.ID {
		t.Errorf("both suspects run on %s", targetOne.Server.ID)
	}

	second := make(chan error, 1)
	go func() {
		_, _, err := cl.guards["vm-3"].Begin(context.Background(), subject(one), onServer("s4"))
		second <- err
	}()
	select {
	case <-second:
		t.Fatal("the suspect runs twice at the same time")
	case <-time.After(100 * time.Millisecond):
	}
	cl.guards["vm-1"].End(runOne, Completed)
	if err := <-second; err != nil {
		t.Errorf("second run after the first completed: %v", err)
	}
	begin(t, cl.guards["vm-2"], one, onServer("s4"))
}

// TestCrashOfManyCopiesCountsOnce checks that one crash that ends many copies
// of a content counts once, and that the completion of one copy clears the
// content.
func TestCrashOfManyCopiesCountsOnce(t *testing.T) {
	cl := newCluster("vm-1", "vm-2")
	c := Content{Account: "a", Digest: Digest{1}}
	var runs []*Run
	for range 3 {
		for _, id := range []vm.ID{"vm-1", "vm-2"} {
			run, _ := begin(t, cl.guards[id], c, onServer("s1"))
			runs = append(runs, run)
		}
	}
	for i, run := range runs {
		cl.guards[[]vm.ID{"vm-1", "vm-2"}[i%2]].End(run, Crashed)
	}
	for _, id := range []vm.ID{"vm-1", "vm-2", "vm-1", "vm-2"} {
		run, _ := begin(t, cl.guards[id], c, onServer("s2"))
		cl.guards[id].End(run, Completed)
	}
}

func TestNewContent(t *testing.T) {
	base := NewContent([]byte("salt"), "a", "m", []byte(`{"model":"m","prompt":"p","max_tokens":5}`))
	tests := []struct {
		desc         string
		salt         string
		account      account.ID
		target, body string
		same         bool
	}{
		{"different field order, white space and stream field", "salt", "a", "m", `{"stream":true, "max_tokens": 5, "prompt":"p","model":"m","user":"u"}`, true},
		{"different prompt", "salt", "a", "m", `{"model":"m","prompt":"q","max_tokens":5}`, false},
		{"different max_tokens", "salt", "a", "m", `{"model":"m","prompt":"p","max_tokens":6}`, false},
		{"different account", "salt", "b", "m", `{"model":"m","prompt":"p","max_tokens":5}`, false},
		{"different salt", "pepper", "a", "m", `{"model":"m","prompt":"p","max_tokens":5}`, false},
		{"different target", "salt", "a", "n", `{"model":"m","prompt":"p","max_tokens":5}`, false},
		{"not an object", "salt", "a", "m", `[1]`, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := NewContent([]byte(tt.salt), tt.account, tt.target, []byte(tt.body))
			if (got == base) != tt.same {
				t.Errorf("same %v, want %v", got == base, tt.same)
			}
		})
	}
}

// TestEvidenceIsBoundedAndExpires checks that the number of stored contents is
// bounded and that evidence expires.
func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	l, h := NewLocalState("vm-1", 0), NewHomeState(0)
	for i := range maxContents + 100 {
		c := Content{Account: "a", Digest: Digest{byte(i), byte(i >> 8)}}
		now = now.Add(time.Millisecond)
		l.MergeEvidence(now, c, Evidence{"x": false})
		h.Acquire(now, "vm-1", 0, c, Evidence{"x": false})
	}
	if len(l.suspects) != maxContents || len(h.records) != maxContents {
		t.Errorf("%d suspects, %d records", len(l.suspects), len(h.records))
	}
	l.Expire(now.Add(EvidenceTTL))
	h.Expire(now.Add(EvidenceTTL))
	if len(l.suspects) != 0 || len(l.byAccount) != 0 || len(h.records) != 0 {
		t.Errorf("after expiry %d suspects, %d records", len(l.suspects), len(h.records))
	}
}

// BenchmarkRun measures the overhead of the guard for a run, without suspects
// and with a suspect of the same account, in which case the 32 KB content must
// be digested.
func BenchmarkRun(b *testing.B) {
	body := []byte(`{"model":"m","prompt":"` + strings.Repeat("winding data ", 32<<10/13) + `"}`)
	for _, suspects := range []int{0, 1} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			g := newCluster("vm-1", "vm-2").guards["vm-1"]
			if suspects > 0 {
				g.local.MergeEvidence(time.Now(), Content{Account: "a", Digest: Digest{1}}, Evidence{"x": false})
			}
			choose := onServer("s1")
			for b.Loop() {
				content := sync.OnceValue(func() Content { return NewContent([]byte("salt"), "a", "m", body) })
				run, _, err := g.Begin(context.Background(), RunRequest{Account: "a", Content: content}, choose)
				if err != nil {
					b.Fatal(err)
				}
				g.End(run, Completed)
			}
		})
	}
}

// TestMessageSizes checks the sizes of the messages between VMs. About 50
// contents run on an engine, and each of them is announced to all VMs after a
// crash.
func TestMessageSizes(t *testing.T) {
	c := Content{Account: "laurentien-west", Digest: Digest{1}}
	e := Evidence{"engine-123/362fdaa2-dca0-4e5e-a247-4852db90921c": false}
	sizes := map[string]int{
		"announce": proto.Size(toAnnounce(Announcement{Content: c, Version: 1 << 20, Evidence: e, Fence: 1 << 60})),
		"ack":      proto.Size(&peer.AnnounceReply{Vm: "vm-123", Version: 1 << 20, Evidence: toEvidence(e), Fence: 1 << 60}),
		"finish":   proto.Size(&peer.FinishRequest{Vm: "vm-123", Version: 1 << 20, Content: toContent(c), Evidence: toEvidence(e)}),
	}
	t.Logf("bytes: %v", sizes)
	for name, n := range sizes {
		if n > 256 {
			t.Errorf("%s has %d bytes", name, n)
		}
	}
}
