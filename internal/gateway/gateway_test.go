package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// signedDialect adds nothing to requests and treats every response as signed.
type signedDialect struct{}

func (signedDialect) Header(c *Call, _ Outgoing) http.Header { return c.Header.Clone() }

func (signedDialect) Matches(*Call, *http.Response) bool { return true }

func (signedDialect) Head(backend.ID, *http.Response) Head { return Head{Signed: true} }

// recordingSink is a Sink that records what it receives.
type recordingSink struct {
	body    strings.Builder
	refusal *verdict.Error
	aborted bool
}

func (r *recordingSink) Answer(_ int, _ http.Header, body []byte) error {
	r.body.Write(body)
	return nil
}

func (r *recordingSink) Begin(int, http.Header) error { return nil }

func (r *recordingSink) WriteBody(p []byte) error {
	r.body.Write(p)
	return nil
}

func (r *recordingSink) Refuse(e *verdict.Error) { r.refusal = e }

func (r *recordingSink) Abort() { r.aborted = true }

func newTestGateway(t testing.TB, engine http.HandlerFunc) (*Gateway, *selector.Table) {
	server := loopback.Serve(t, engine)
	directory := fleet.NewDirectory(time.Second)
	directory.Apply(fleet.Update{Entries: []fleet.Entry{{
		ID: "e", Service: "llm", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8,
		State: fleet.Ready, Weights: map[string]uint64{"m": 1}, Revision: platform.Revision{Version: 1},
	}}}, time.Now())
	servers := selector.NewTable(10*time.Second, time.Now)
	g := New(Options{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Dialect: signedDialect{}, Directory: directory,
		Goals: fleet.NewGoals(), Servers: servers, Pool: hop.NewPool(),
		Quota:      quota.NewLedger(quota.Settings{Window: 8 * time.Second}, true, time.Now),
		RateLimits: ratelimit.NewTable("vm", time.Now), CrashCauses: crashcause.NewTable(time.Now, func(crashcause.Change) {}), StoreContents: selector.NewStoreIndex(time.Now),
		Origins: origin.NewTable(time.Now), ServersCurrent: func() bool { return true }, ServersProvedAt: time.Now, OriginMissed: func() {},
		ReachableByPeers: func(*fleet.Entry) bool { return false },
		Model:            selector.CostModel{PrefillRate: 50_000}, RetrySlack: 180, FirstStart: true, NotifyPeers: func() {}, DirectoryAge: func() time.Duration { return 0 }, Now: time.Now,
	})
	g.Publish(catalog.Snapshot{
		Version:  1,
		Routes:   []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 1, Targets: []catalog.Target{{Service: "llm", Weight: 1}}}},
		Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Slots: 8, CacheTokens: 160_000, TokenBytes: 1000, LinkBitRate: 1e9}}},
	})
	return g, servers
}

func modelCall() *Call {
	return &Call{
		ID: "1", Method: "POST", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}, Arrived: time.Now(),
		Model: "m", Parts: []selector.Part{{ID: "doc", Tokens: 9000}, {ID: "own", Tokens: 1000}}, PromptTokens: 10_000, LastEvent: -1,
	}
}

// Engines send the head of a stream before they have read the prompt, so the prompt
// counts as backlog until the first event arrives.
func TestPromptCountsUntilFirstEvent(t *testing.T) {
	head, events := make(chan struct{}), make(chan struct{})
	g, servers := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		close(head)
		<-events
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		w.(http.Flusher).Flush()
		<-events
	})
	backlog := func() float64 { return servers.Loads()[selector.ServerKey{ID: "e"}].Backlog }
	sink, done := &recordingSink{}, make(chan struct{})
	go func() {
		defer close(done)
		g.Serve(context.Background(), modelCall(), sink)
	}()
	<-head
	time.Sleep(50 * time.Millisecond)
	if got := backlog(); got != 10_000 {
		t.Errorf("backlog %v after the head, want 10000", got)
	}
	events <- struct{}{}
	for deadline := time.Now().Add(2 * time.Second); backlog() != 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if got := backlog(); got != 0 {
		t.Errorf("backlog %v after the first event", got)
	}
	events <- struct{}{}
	<-done
	if sink.body.String() != "id: 1\ndata: a\n\n" || sink.refusal != nil || sink.aborted {
		t.Errorf("the caller got %q, %v, aborted %v", sink.body.String(), sink.refusal, sink.aborted)
	}
}

// A request that no server can take is refused at once, with a retry delay that is
// short enough for the caller to wait.
func TestRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	g, _ := newTestGateway(t, func(http.ResponseWriter, *http.Request) {})
	g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{{ID: "e", Revision: platform.Revision{Version: 2}, Gone: true}}}, time.Now())
	c, sink := modelCall(), &recordingSink{}
	c.CallerTimeout = 900 * time.Millisecond
	began := time.Now()
	g.Serve(context.Background(), c, sink)
	if time.Since(began) > 100*time.Millisecond || sink.refusal == nil || sink.refusal.Verdict != verdict.NotRun {
		t.Fatalf("refusal %+v after %v", sink.refusal, time.Since(began))
	}
	if after := sink.refusal.RetryAfter; after <= 0 || after > 300*time.Millisecond {
		t.Errorf("retry after %v, want at most a third of 900 ms", after)
	}
}

// A server that accepts no connections costs one failed attempt, not one per request,
// and gets requests again once it accepts connections.
func TestUnreachableServerIsSkippedUntilReachable(t *testing.T) {
	var good, back atomic.Int32
	answer := func(n *atomic.Int32) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		}
	}
	g, _ := newTestGateway(t, answer(&good))
	l := loopback.Listen(t)
	address := l.Addr().String()
	l.Close()
	down := fleet.Entry{ID: "down", Service: "llm", Address: address, Slots: 8, State: fleet.Ready, Weights: map[string]uint64{"m": 1}, Revision: platform.Revision{Version: 2}}
	g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{down}}, time.Now())
	calls := 0
	serve := func(n int) {
		t.Helper()
		for range n {
			c, sink := modelCall(), &recordingSink{}
			calls++
			c.Parts[0].ID = strconv.Itoa(calls) // No engine has it cached.
			g.Serve(context.Background(), c, sink)
			if sink.refusal != nil {
				t.Fatalf("refused: %+v", sink.refusal)
			}
		}
	}
	failed := func() int64 {
		return metrics.GetOrRegisterCounter("attempt.not_connected.not_run", g.opts.Metrics).Count()
	}
	serve(40)
	if failed() != 1 || good.Load() != 40 {
		t.Errorf("%d attempts failed and %d requests were answered, want 1 and 40", failed(), good.Load())
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: answer(&back)}}
	server.Start()
	t.Cleanup(server.Close)
	for deadline := time.Now().Add(4 * time.Second); back.Load() == 0 && time.Now().Before(deadline); {
		serve(2)
		time.Sleep(20 * time.Millisecond)
	}
	if back.Load() == 0 || failed() != 1 {
		t.Errorf("%d requests at the server after its restart, %d attempts failed; want some and 1", back.Load(), failed())
	}
}

// A server that resets connections without crashing must not cause the refusal of a
// content that many callers send. A server that crashes counts against each content
// that it ran.
func TestOnlyCrashesCountAgainstContent(t *testing.T) {
	reset := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	g, _ := newTestGateway(t, reset)
	send := func() *recordingSink {
		sink := &recordingSink{}
		g.Serve(context.Background(), modelCall(), sink)
		return sink
	}
	const crashes = 3 // The rules allow three.
	for range 2 * crashes {
		if sink := send(); sink.refusal == nil || sink.refusal.Code != "answer_lost" {
			t.Fatalf("got %+v, want a lost answer", sink.refusal)
		}
		time.Sleep(crashCheckDelay + 20*time.Millisecond)
	}
	for i := range crashes {
		crashing := loopback.Unstarted(t, nil)
		crashing.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			crashing.Listener.Close()
			reset(w, r)
		})
		crashing.Start()
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{{
			ID: "e", Service: "llm", Address: strings.TrimPrefix(crashing.URL, "http://"), Slots: 8, State: fleet.Ready,
			Weights: map[string]uint64{"m": 1}, Started: int64(i + 1), Revision: platform.Revision{Version: platform.Version(i + 2)},
		}}}, time.Now())
		if sink := send(); sink.refusal == nil || sink.refusal.Verdict != verdict.MayHaveRun {
			t.Fatalf("crash %d: %+v", i, sink.refusal)
		}
		time.Sleep(crashCheckDelay + 50*time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // The time that other VMs have to report successes.
	g.opts.CrashCauses.Settle()
	if sink := send(); sink.refusal == nil || sink.refusal.Code != "crashes_servers" || sink.refusal.Verdict != verdict.NotRun {
		t.Errorf("after %d crashes: %+v", crashes, sink.refusal)
	}
}

// Many servers that crash at once look idle. A request that finds them unreachable goes
// on to a server that is up.
func TestRetriesPastManyUnreachableServers(t *testing.T) {
	g, servers := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	})
	good := g.opts.Directory.View().Server("e")
	for range 4 { // The reachable server is busy.
		servers.Begin(&selector.Candidate{Entry: good}, nil, 50_000)
	}
	for i := range 9 {
		l := loopback.Listen(t)
		l.Close()
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{{
			ID: backend.ID(fmt.Sprint("down-", i)), Service: "llm", Address: l.Addr().String(), Slots: 8, State: fleet.Ready,
			Weights: map[string]uint64{"m": 1}, Revision: platform.Revision{Version: platform.Version(i + 2)},
		}}}, time.Now())
	}
	sink := &recordingSink{}
	g.Serve(context.Background(), modelCall(), sink)
	if sink.refusal != nil || sink.body.Len() == 0 {
		t.Errorf("refused although one server is reachable: %+v", sink.refusal)
	}
}

func TestServiceAddedLongAfterStartHasNoRetryReserve(t *testing.T) {
	g, _ := newTestGateway(t, func(http.ResponseWriter, *http.Request) {})
	started := time.Now()
	now := started
	g.opts.FirstStart, g.opts.RetryWindow, g.started, g.opts.Now = false, 10*time.Second, started, func() time.Time { return now }
	if g.retryBudget("early").Spend() {
		t.Error("the reserve of the process before may be spent again")
	}
	now = started.Add(g.opts.RetryWindow)
	if !g.retryBudget("added").Spend() {
		t.Error("no reserve although the process before ended a window ago")
	}
}

// The repeated sends of all VMs together stay within the slack, however many VMs take
// calls.
func TestRetrySlackIsShared(t *testing.T) {
	for _, senders := range []int{1, 8, 40} {
		g, _ := newTestGateway(t, func(http.ResponseWriter, *http.Request) {})
		budget := g.retryBudget("llm") // The budget exists before the other VMs are known.
		g.SetMembers(senders, senders)
		sends := 0
		for budget.Spend() {
			sends++
		}
		if total := float64(sends * senders); total > g.opts.RetrySlack/2 || sends == 0 {
			t.Errorf("%d VMs repeat %v sends, want some, at most half of the slack of %v", senders, total, g.opts.RetrySlack)
		}
	}
}
