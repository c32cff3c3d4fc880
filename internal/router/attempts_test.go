package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/health"
	"papayaspan.dev/papayaspan/internal/link"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/poison"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/standin/engine"
	"papayaspan.dev/papayaspan/internal/vm"
)

// admitAll admits every request at once.
type admitAll struct{}

// Admit implements Admitter.
func (admitAll) Admit(context.Context, Admission) (Grant, error) { return openGrant{}, nil }

// inOrder offers the engines in a fixed order, so that a test knows where its
// requests run.
type inOrder struct{ RoundRobin }

// Engine implements Balancer.
func (*inOrder) Engine(p Prompt) dispatch.Picker { return orderPicker(p.View.Engines(p.Model)) }

type orderPicker []backend.Server

// Pick implements dispatch.Picker.
func (p orderPicker) Pick(_ context.Context, _ dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	for _, s := range p {
		if !a.Excludes(s.ID) {
			return s, nil
		}
	}
	return p[0], nil
}

// fleet is routers over loopback with gRPC between them, and engines.
type fleet struct {
	engines []*engine.Engine
	servers []*httptest.Server
	routers []*Router
	urls    []string
	peers   map[vm.ID]string
	pool    *link.Pool
}

// Refresh implements poison.Directory. The fleet's roster is always up to date.
func (f *fleet) Refresh(context.Context) {}

// Roster implements poison.Directory.
func (f *fleet) Roster() poison.Roster {
	r := poison.Roster{Version: 1}
	for id := range f.peers {
		r.Members = append(r.Members, id)
	}
	slices.Sort(r.Members)
	return r
}

// Conn implements poison.Directory.
func (f *fleet) Conn(id vm.ID) (*grpc.ClientConn, error) { return f.pool.Conn(f.peers[id]) }

func (f *fleet) crashes() int {
	n := 0
	for _, e := range f.engines {
		n += e.Stats().Crashes
	}
	return n
}

func startFleet(t *testing.T, routers, engines int) *fleet {
	f := &fleet{peers: map[vm.ID]string{}}
	pool, err := link.NewPool(link.Files{}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.pool = pool
	t.Cleanup(pool.Close)
	snap := config.Empty()
	snap.Number = 1
	snap.Accounts["a"] = account.Account{ID: "a"}
	snap.Keys["k"] = account.Key{ID: "k", Account: "a", Hash: account.HashSecret(testSecret)}
	snap.Models["m"] = config.Model{Name: "m", WeightsVersion: "v1"}
	for i := range engines {
		e := engine.New(engine.Options{BlockTokens: 16, CacheBlocks: 64, MaxRunning: 32, DecodePerToken: 2 * time.Millisecond, Weights: map[string]string{"m": "v1"}})
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		f.engines = append(f.engines, e)
		f.servers = append(f.servers, srv)
		id := backend.ID(fmt.Sprintf("engine-%d", i+1))
		snap.Servers[id] = backend.Server{ID: id, Kind: backend.Engine, URL: srv.URL, Models: []string{"m"}}
	}
	listeners := map[vm.ID]net.Listener{}
	for i := range routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		id := vm.ID(fmt.Sprintf("vm-%d", i+1))
		f.peers[id] = l.Addr().String()
		listeners[id] = l
	}
	for _, id := range f.Roster().Members {
		f.urls = append(f.urls, f.startRouter(t, id, listeners[id], snap))
	}
	return f
}

func (f *fleet) startRouter(t *testing.T, id vm.ID, l net.Listener, snap *config.Snapshot) (url string) {
	guard := poison.NewGuard(id, poison.Client{Directory: f}, poison.Options{Now: time.Now, Start: time.Now(), Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	server, err := link.NewServer(link.Files{})
	if err != nil {
		t.Fatal(err)
	}
	peer.RegisterPoisonServer(server, poison.Server{Guard: guard})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	s := settings.Default()
	r := New(Options{
		Settings: &s, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Dispatcher: dispatch.New(dispatch.Config{}),
		Evidence: fixedEvidence(true), Admitter: admitAll{}, Balancer: &inOrder{}, Guard: guard,
		Health: health.NewTable(), Now: time.Now,
	})
	r.Publish(snap)
	f.routers = append(f.routers, r)
	srv := httptest.NewServer(r.Handler())
	t.Cleanup(srv.Close)
	return srv.URL
}

// answer is what a caller got.
type answer struct {
	status int
	text   string
	done   bool
	err    openai.ErrorDetail
	retry  string
}

// stream asks for an answer of n tokens.
func stream(url, prompt string, n int) (a answer, err error) {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, n)
	req, err := http.NewRequest(http.MethodPost, url+openai.PathCompletions, strings.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header.Set("Authorization", "Bearer "+testSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	a.status, a.retry = resp.StatusCode, resp.Header.Get("Retry-After")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data := strings.TrimPrefix(lines.Text(), "data: ")
		if data == openai.Done {
			a.done = true
		}
		var chunk struct {
			openai.Completion
			openai.ErrorBody
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		if len(chunk.Choices) > 0 {
			a.text += chunk.Choices[0].Text
		}
		if chunk.Error.Code != "" {
			a.err = chunk.Error
		}
	}
	return a, lines.Err()
}

func wantText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(engine.Token(prompt, i))
	}
	return b.String()
}

// TestCrashMidStream checks that the streams of an engine that crashes go on
// whole on another, each through its own router.
func TestCrashMidStream(t *testing.T) {
	f := startFleet(t, 2, 3)
	const tokens = 60
	after := 10
	f.engines[0].SetControl(engine.Control{CrashAfterTokens: &after})
	results := make(chan error, 6)
	for i := range cap(results) {
		go func() {
			prompt := fmt.Sprint("nameplate ", i)
			a, err := stream(f.urls[i%len(f.urls)], prompt, tokens)
			if err == nil && (!a.done || a.text != wantText(prompt, tokens)) {
				err = fmt.Errorf("stream %d: done %v, %+v, text %q", i, a.done, a.err, a.text)
			}
			results <- err
		}()
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if f.crashes() != 1 {
		t.Errorf("%d crashes, want 1", f.crashes())
	}
}

// TestPoisonStops checks that a content that crashes engines is refused after
// two crashes through whichever router it comes, and that streams which ran
// beside it complete.
func TestPoisonStops(t *testing.T) {
	f := startFleet(t, 2, 4)
	text := "burnt"
	for _, e := range f.engines {
		e.SetControl(engine.Control{CrashText: &text})
	}
	const tokens = 200
	innocent := make(chan answer, 2)
	for i := range cap(innocent) {
		go func() {
			a, err := stream(f.urls[i], fmt.Sprint("innocent ", i), tokens)
			if err != nil {
				a.err.Message = err.Error()
			}
			innocent <- a
		}()
	}
	// The innocent streams begin on the first engine, where the poison goes.
	waitFor(t, func() bool { return f.engines[0].Stats().Requests == 2 })
	time.Sleep(20 * time.Millisecond)
	for i := range 6 {
		a, err := stream(f.urls[i%2], "a burnt stator", 20)
		if err != nil || a.status != http.StatusUnprocessableEntity || a.err.Code != "poison_request" || a.retry == "" {
			t.Errorf("try %d: %+v, %v", i, a, err)
		}
		if i > 0 && a.err.Verdict != "not_run" {
			t.Errorf("try %d: verdict %s", i, a.err.Verdict)
		}
	}
	if f.crashes() != 2 {
		t.Errorf("%d crashes, want 2", f.crashes())
	}
	for range cap(innocent) {
		if a := <-innocent; !a.done {
			t.Errorf("innocent stream: %d bytes, %+v", len(a.text), a.err)
		}
	}
}

// TestDeadEngineIsAvoided checks that requests stop trying an engine that
// refuses connections, and that it gets work again once it is back.
func TestDeadEngineIsAvoided(t *testing.T) {
	f := startFleet(t, 1, 2)
	f.servers[0].CloseClientConnections()
	addr := f.servers[0].Listener.Addr().String()
	f.servers[0].Close()
	const requests = 50
	for i := range requests {
		if a, err := stream(f.urls[0], fmt.Sprint("note ", i), 1); err != nil || !a.done {
			t.Fatalf("request %d: %+v, %v", i, a, err)
		}
	}
	if n := f.routers[0].stats.retries.Count(); n == 0 || n > 5 {
		t.Errorf("%d retries of %d requests", n, requests)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	back := &http.Server{Handler: f.engines[0].Handler()}
	defer back.Close()
	go func() { _ = back.Serve(l) }()
	before := f.engines[0].Stats().Requests
	waitFor(t, func() bool {
		_, err := stream(f.urls[0], "back", 1)
		return err == nil && f.engines[0].Stats().Requests > before
	})
}

// recordingPicker is a picker with all optional interfaces.
type recordingPicker struct {
	orderPicker
	calls []string
}

func (*recordingPicker) Hints(backend.ID) dispatch.Hints { return dispatch.Hints{Priority: 7} }

func (p *recordingPicker) Started(dispatch.Request, dispatch.Attempt, backend.Server) {
	p.calls = append(p.calls, "started")
}

func (p *recordingPicker) Answered(dispatch.Request, dispatch.Result) {
	p.calls = append(p.calls, "answered")
}

func (p *recordingPicker) Ended(dispatch.Request, dispatch.Result) {
	p.calls = append(p.calls, "ended")
}

// TestAttemptsForward checks that the balancer's picker keeps its priority and
// learns of the attempts behind health and poison handling.
func TestAttemptsForward(t *testing.T) {
	e := engine.New(engine.Options{BlockTokens: 16, CacheBlocks: 64, MaxRunning: 1, Weights: map[string]string{"m": "v1"}})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	r := newTestRouter(true)
	inner := &recordingPicker{orderPicker: orderPicker{{ID: "e", Kind: backend.Engine, URL: srv.URL}}}
	body := []byte(`{"model":"m","prompt":"p","max_tokens":1}`)
	picker := r.withGuards(inner, "a", "m", body)
	req := dispatch.Request{ID: "r", Account: "a", Model: "m", Method: http.MethodPost, Path: openai.PathCompletions, Body: body}
	if _, err := dispatch.New(dispatch.Config{}).Do(t.Context(), req, picker, dispatch.NewHTTPSink(httptest.NewRecorder(), time.Second)); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(inner.calls, " "); got != "started answered ended" {
		t.Errorf("calls %q", got)
	}
	if n := picker.(dispatch.Hinter).Hints("e").Priority; n != 7 {
		t.Errorf("priority %d", n)
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out")
		}
	}
}
