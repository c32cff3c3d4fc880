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
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

// mesh connects guards in one process.
type mesh struct {
	guards map[vm.ID]*Guard
	cut    atomic.Bool
}

func newMesh(ids ...vm.ID) *mesh {
	m := &mesh{guards: map[vm.ID]*Guard{}}
	for _, id := range ids {
		m.guards[id] = NewGuard(id, meshPeers{m}, Options{Now: time.Now, Start: time.Now(), Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	}
	return m
}

// meshPeers implements Peers.
type meshPeers struct{ *mesh }

func (m meshPeers) peer(to vm.ID) (*Guard, error) {
	if m.cut.Load() {
		return nil, errors.New("cut")
	}
	return m.guards[to], nil
}

// Refresh implements Peers. The mesh's roster is always up to date.
func (meshPeers) Refresh(context.Context) {}

func (m meshPeers) Roster() Roster {
	r := Roster{Version: 1}
	for id := range m.guards {
		r.Members = append(r.Members, id)
	}
	return r
}

func (m meshPeers) Acquire(ctx context.Context, to vm.ID, r AcquireRequest) (Decision, error) {
	g, err := m.peer(to)
	if err != nil {
		return Decision{}, err
	}
	return g.HandleAcquire(ctx, r), nil
}

func (m meshPeers) Finish(ctx context.Context, to vm.ID, f Finish) error {
	g, err := m.peer(to)
	if err == nil {
		g.HandleFinish(ctx, f)
	}
	return err
}

func (m meshPeers) Announce(ctx context.Context, to vm.ID, a Announcement) (Ack, error) {
	g, err := m.peer(to)
	if err != nil {
		return Ack{}, err
	}
	return g.HandleAnnounce(ctx, a), nil
}

func (m meshPeers) Reserve(_ context.Context, to vm.ID, s backend.ID, c Content) (bool, error) {
	g, err := m.peer(to)
	return err == nil && g.HandleReserve(s, c), err
}

func (m meshPeers) Suspects(_ context.Context, to vm.ID) ([]Announcement, error) {
	g, err := m.peer(to)
	if err != nil {
		return nil, err
	}
	return g.Suspects(), nil
}

func subject(c Content) Subject {
	return Subject{Account: c.Account, Content: func() Content { return c }}
}

// onServer chooses the server unless it is excluded.
func onServer(ids ...backend.ID) Choose {
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

// away returns a content whose home is not vm-1.
func away(m *mesh) Content {
	for i := byte(0); ; i++ {
		c := Content{Account: "a", Digest: Digest{i}}
		if HomeOf(meshPeers{m}.Roster(), c) != "vm-1" {
			return c
		}
	}
}

func begin(t *testing.T, g *Guard, c Content, choose Choose) (*Run, Target) {
	t.Helper()
	run, target, err := g.Begin(context.Background(), subject(c), choose)
	if err != nil {
		t.Fatal(err)
	}
	return run, target
}

// TestUnreachableHome checks that a suspect does not run, and that the refusal
// says so, while its home cannot be asked; other contents run as ever.
func TestUnreachableHome(t *testing.T) {
	m := newMesh("vm-1", "vm-2")
	g, c := m.guards["vm-1"], away(m)
	run, _ := begin(t, g, c, onServer("s1"))
	m.cut.Store(true)
	g.End(run, Crashed)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, _, err := g.Begin(ctx, subject(c), onServer("s2"))
	if e := verdict.AsError(err); e.Code != "content_unverified" || e.Verdict != verdict.NotRun || e.RetryAfter == 0 {
		t.Errorf("error %v", err)
	}
	begin(t, g, Content{Account: "a", Digest: Digest{255}}, onServer("s2"))
	m.cut.Store(false)
	begin(t, g, c, onServer("s2"))
}

// TestSuspectsRunApart checks that a suspect runs on one server at a time and
// that two suspects avoid each other's servers.
func TestSuspectsRunApart(t *testing.T) {
	m := newMesh("vm-1", "vm-2", "vm-3")
	one, two := Content{Account: "a", Digest: Digest{1}}, Content{Account: "a", Digest: Digest{2}}
	runOne, _ := begin(t, m.guards["vm-1"], one, onServer("s1"))
	runTwo, _ := begin(t, m.guards["vm-2"], two, onServer("s1"))
	m.guards["vm-1"].End(runOne, Crashed)
	m.guards["vm-2"].End(runTwo, Crashed)

	runOne, targetOne := begin(t, m.guards["vm-1"], one, onServer("s2", "s3"))
	_, targetTwo := begin(t, m.guards["vm-2"], two, onServer("s2", "s3"))
	if targetOne.Server.ID == targetTwo.Server.ID {
		t.Errorf("both suspects run on %s", targetOne.Server.ID)
	}

	second := make(chan error, 1)
	go func() {
		_, _, err := m.guards["vm-3"].Begin(context.Background(), subject(one), onServer("s4"))
		second <- err
	}()
	select {
	case <-second:
		t.Fatal("the suspect runs twice at once")
	case <-time.After(100 * time.Millisecond):
	}
	m.guards["vm-1"].End(runOne, Completed)
	if err := <-second; err != nil {
		t.Errorf("after the first run had completed: %v", err)
	}
	begin(t, m.guards["vm-2"], one, onServer("s4"))
}

// TestHotContentIsNotConvicted checks that copies which one crash hits count
// once, and that a copy that completes clears them all.
func TestHotContentIsNotConvicted(t *testing.T) {
	m := newMesh("vm-1", "vm-2")
	c := Content{Account: "a", Digest: Digest{1}}
	var runs []*Run
	for range 3 {
		for _, id := range []vm.ID{"vm-1", "vm-2"} {
			run, _ := begin(t, m.guards[id], c, onServer("s1"))
			runs = append(runs, run)
		}
	}
	for i, run := range runs {
		m.guards[[]vm.ID{"vm-1", "vm-2"}[i%2]].End(run, Crashed)
	}
	for _, id := range []vm.ID{"vm-1", "vm-2", "vm-1", "vm-2"} {
		run, _ := begin(t, m.guards[id], c, onServer("s2"))
		m.guards[id].End(run, Completed)
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
		{"other order, space and stream", "salt", "a", "m", `{"stream":true, "max_tokens": 5, "prompt":"p","model":"m","user":"u"}`, true},
		{"other prompt", "salt", "a", "m", `{"model":"m","prompt":"q","max_tokens":5}`, false},
		{"other length", "salt", "a", "m", `{"model":"m","prompt":"p","max_tokens":6}`, false},
		{"other account", "salt", "b", "m", `{"model":"m","prompt":"p","max_tokens":5}`, false},
		{"other salt", "pepper", "a", "m", `{"model":"m","prompt":"p","max_tokens":5}`, false},
		{"other target", "salt", "a", "n", `{"model":"m","prompt":"p","max_tokens":5}`, false},
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

// TestBounds checks that memory is bounded and that evidence expires.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	l, h := NewLocal("vm-1", 0), NewHome(0)
	for i := range maxContents + 100 {
		c := Content{Account: "a", Digest: Digest{byte(i), byte(i >> 8)}}
		now = now.Add(time.Millisecond)
		l.Learn(now, c, Evidence{"x": false})
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

// BenchmarkRun measures what the guard adds to a run, without suspects and with
// suspects of the same account, when the 32 KB content must be digested.
func BenchmarkRun(b *testing.B) {
	body := []byte(`{"model":"m","prompt":"` + strings.Repeat("winding data ", 32<<10/13) + `"}`)
	for _, suspects := range []int{0, 1} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			g := newMesh("vm-1", "vm-2").guards["vm-1"]
			if suspects > 0 {
				g.local.Learn(time.Now(), Content{Account: "a", Digest: Digest{1}}, Evidence{"x": false})
			}
			choose := onServer("s1")
			for b.Loop() {
				content := sync.OnceValue(func() Content { return NewContent([]byte("salt"), "a", "m", body) })
				run, _, err := g.Begin(context.Background(), Subject{Account: "a", Content: content}, choose)
				if err != nil {
					b.Fatal(err)
				}
				g.End(run, Completed)
			}
		})
	}
}

// TestMessageSizes bounds the messages between VMs: some 50 contents run on an
// engine, and each is announced to all VMs after a crash.
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
