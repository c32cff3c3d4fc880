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
func (admitAll) Admit(context.Context, Admission) (Grant, error) { return noopGrant{}, nil }

// fixedOrder is a Balancer that tries the engines in a fixed order, so that a test
// knows on which engine its requests run.
type fixedOrder struct{ RoundRobin }

// Engine implements Balancer.
func (*fixedOrder) Engine(p Prompt) dispatch.Picker { return fixedOrderPicker(p.View.Engines(p.Model)) }

type fixedOrderPicker []backend.Server

// Pick implements dispatch.Picker.
func (p fixedOrderPicker) Pick(_ context.Context, _ dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	for _, s := range p {
		if !a.HasTried(s.ID) {
			return s, nil
		}
	}
	return p[0], nil
}

// cluster consists of engines and of routers connected by gRPC over loopback.
type cluster struct {
	engines []*engine.Engine
	servers []*httptest.Server
	routers []*Router
	urls    []string
	peers   map[vm.ID]string
	pool    *link.Pool
}

// Refresh implements poison.Directory. The cluster's roster is always up to date.
func (f *cluster) Refresh(context.Context) {}

// Roster implements poison.Directory.
func (f *cluster) Roster() poison.Roster {
	r := poison.Roster{Version: 1}
	for id := range f.peers {
		r.Members = append(r.Members, id)
	}
	slices.Sort(r.Members)
	return r
}

// Conn implements poison.Directory.
func (f *cluster) Conn(id vm.ID) (*grpc.ClientConn, error) { return f.pool.Conn(f.peers[id]) }

func (f *cluster) crashes() int {
	n := 0
	for _, e := range f.engines {
		n += e.Stats().Crashes
	}
	return n
}

func startCluster(t *testing.T, routers, engines int) *cluster {
	f := &cluster{peers: map[vm.ID]string{}}
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

func (f *cluster) startRouter(t *testing.T, id vm.ID, l net.Listener, snap *config.Snapshot) (url string) {
	guard := poison.NewGuard(id, poison.Client{Directory: f}, poison.Options{Now: time.Now, Start: time.Now(), Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	server, err := link.NewServer(link.Files{})
	if err != nil {
		t.Fatal(err)
	}
	poison.Register(server, guard)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	s := settings.Default()
	r := New(Options{
		Settings: &s, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Dispatcher: dispatch.New(dispatch.Config{}),
		Freshness: fixedFreshness(true), Admitter: admitAll{}, Balancer: &fixedOrder{}, Guard: guard,
		Health: health.NewTable(), Now: time.Now,
	})
	r.Publish(snap)
	f.routers = append(f.routers, r)
	srv := httptest.NewServer(r.Handler())
	t.Cleanup(srv.Close)
	return srv.URL
}

// streamResult is the response that a caller received.
type streamResult struct {
	status int
	text   string
	done   bool
	err    openai.ErrorDetail
	retry  string
}

// requestStream requests a completion of n tokens as a stream and reads it.
func requestStream(url, prompt string, n int) (a streamResult, err error) {
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

// TestStreamsResumeAfterEngineCrash checks that the streams of a crashed engine
// are resumed on another engine, each by its own router, and arrive complete.
func TestStreamsResumeAfterEngineCrash(t *testing.T) {
	f := startCluster(t, 2, 3)
	const tokens = 60
	after := 10
	f.engines[0].SetControl(engine.Control{CrashAfterTokens: &after})
	results := make(chan error, 6)
	for i := range cap(results) {
		go func() {
			prompt := fmt.Sprint("nameplate ", i)
			a, err := requestStream(f.urls[i%len(f.urls)], prompt, tokens)
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

// TestPoisonContentIsRefusedAfterTwoCrashes checks that a content that crashes
// engines is refused after two crashes by all routers, and that streams that ran
// on the crashed engines complete.
func TestPoisonContentIsRefusedAfterTwoCrashes(t *testing.T) {
	f := startCluster(t, 2, 4)
	text := "burnt"
	for _, e := range f.engines {
		e.SetControl(engine.Control{CrashText: &text})
	}
	const tokens = 200
	unrelated := make(chan streamResult, 2)
	for i := range cap(unrelated) {
		go func() {
			a, err := requestStream(f.urls[i], fmt.Sprint("innocent ", i), tokens)
			if err != nil {
				a.err.Message = err.Error()
			}
			unrelated <- a
		}()
	}
	// The unrelated streams start on the first engine, to which the poison content
	// is sent as well.
	waitFor(t, func() bool { return f.engines[0].Stats().Requests == 2 })
	time.Sleep(20 * time.Millisecond)
	for i := range 6 {
		a, err := requestStream(f.urls[i%2], "a burnt stator", 20)
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
	for range cap(unrelated) {
		if a := <-unrelated; !a.done {
			t.Errorf("unrelated stream: %d bytes, %+v", len(a.text), a.err)
		}
	}
}

// Requests that share a long beginning of their prompts, and differ after it, crash engines
// because of what they share.
func TestSharedPromptPrefixThatCrashesEnginesIsRefused(t *testing.T) {
	f := startCluster(t, 2, 4)
	text := "burnt"
	for _, e := range f.engines {
		e.SetControl(engine.Control{CrashText: &text})
	}
	const allowed = 5 + 3 // Of the platform's rule: five crashes, and three requests after them.
	shared := strings.Repeat("a burnt stator with a long description ", 100)
	for i := range 2 * allowed {
		if _, err := requestStream(f.urls[i%2], shared+fmt.Sprint("case ", i), 20); err != nil {
			t.Logf("request %d: %v", i, err)
		}
	}
	if n := f.crashes(); n > allowed {
		t.Errorf("%d crashes by requests with one prompt prefix, want at most %d", n, allowed)
	}
}

// Guards against evidence on a prompt prefix that stays on the router that has seen the crashes.
func TestPromptPrefixThatCrashedEnginesIsRefusedByOtherRouter(t *testing.T) {
	f := startCluster(t, 2, 4)
	text := "burnt"
	for _, e := range f.engines {
		e.SetControl(engine.Control{CrashText: &text})
	}
	shared := strings.Repeat("a burnt stator with a long description ", 100)
	for i := range 4 {
		_, _ = requestStream(f.urls[0], shared+fmt.Sprint("case ", i), 20)
	}
	before := f.crashes()
	if a, err := requestStream(f.urls[1], shared+"another", 20); err != nil || a.err.Code != "poison_request" || f.crashes() != before {
		t.Errorf("%+v, %v, %d crashes after %d", a, err, f.crashes(), before)
	}
}

// TestUnreachableEngineIsAvoidedUntilItReturns checks that an engine that refuses
// connections is not tried for each request, and that it receives requests again
// after it has restarted.
func TestUnreachableEngineIsAvoidedUntilItReturns(t *testing.T) {
	f := startCluster(t, 1, 2)
	f.servers[0].CloseClientConnections()
	addr := f.servers[0].Listener.Addr().String()
	f.servers[0].Close()
	const requests = 50
	for i := range requests {
		if a, err := requestStream(f.urls[0], fmt.Sprint("note ", i), 1); err != nil || !a.done {
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
	restarted := &http.Server{Handler: f.engines[0].Handler()}
	defer restarted.Close()
	go func() { _ = restarted.Serve(l) }()
	before := f.engines[0].Stats().Requests
	waitFor(t, func() bool {
		_, err := requestStream(f.urls[0], "back", 1)
		return err == nil && f.engines[0].Stats().Requests > before
	})
}

// recordingPicker is a picker with all optional interfaces that records the calls
// of an Observer.
type recordingPicker struct {
	fixedOrderPicker
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

// TestGuardedPickerForwardsToInnerPicker checks that the guarded picker returns
// the hints of the balancer's picker and forwards the events of attempts to it.
func TestGuardedPickerForwardsToInnerPicker(t *testing.T) {
	e := engine.New(engine.Options{BlockTokens: 16, CacheBlocks: 64, MaxRunning: 1, Weights: map[string]string{"m": "v1"}})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	r := newTestRouter(true)
	inner := &recordingPicker{fixedOrderPicker: fixedOrderPicker{{ID: "e", Kind: backend.Engine, URL: srv.URL}}}
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
