package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/router"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// shop is a plain service that counts the runs of each idempotency key. It can
// delay its responses or abort the connection after the run.
type shop struct {
	mu    sync.Mutex
	runs  map[string]int
	gate  chan struct{}
	abort bool
}

func (s *shop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	key := r.Header.Get(router.HeaderIdempotencyKey)
	s.mu.Lock()
	s.runs[key]++
	n, gate, abort := s.runs[key], s.gate, s.abort
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if abort {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "booked %s, run %d", key, n)
}

func (s *shop) runCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *shop) set(gate chan struct{}, abort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate, s.abort = gate, abort
}

// holdResponses makes the shop delay its responses until release is called.
func (f *fixture) holdResponses() (release func()) {
	gate := make(chan struct{})
	f.shop.set(gate, false)
	release = sync.OnceFunc(func() { close(gate) })
	f.t.Cleanup(release)
	return release
}

type fixture struct {
	*local.Standins
	t     *testing.T
	shop  *shop
	vms   []*daemon.Daemon
	store *ticket.Store
}

// startFixture starts the stand-ins, a shop and two routers.
func startFixture(t *testing.T) *fixture {
	t.Helper()
	s, err := local.Start(1, local.EngineOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &fixture{Standins: s, t: t, shop: &shop{runs: map[string]int{}}}
	srv := httptest.NewServer(f.shop)
	t.Cleanup(srv.Close)
	f.store = ticket.NewStore(s.Platform, s.Platform.Objects(), head.Direct{Table: s.Platform}, "test", time.Now)
	f.fileTicket("first", srv.URL)
	for i := range 2 {
		d, err := s.StartRouter(s.Settings(i+1), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		f.vms = append(f.vms, d)
	}
	for i := range f.vms {
		f.bookUntil(i, "warm-up", func(a response) bool { return a.status == http.StatusCreated })
	}
	return f
}

// fileTicket files a copy of the first ticket under a client ID, with the shop
// at url.
func (f *fixture) fileTicket(id, url string) {
	f.t.Helper()
	tk := f.FirstTicket()
	tk.ClientID = id
	tk.Servers.Set[len(tk.Servers.Set)-1].URL = url
	// Requests without a cost don't depend on the VM that is home to the
	// account's rate; these tests don't cover its loss.
	for i := range tk.Routes.Set {
		tk.Routes.Set[i].CostTokens = 0
	}
	if rec, err := f.store.File(context.Background(), tk); err != nil || rec.Status != ticket.Accepted {
		f.t.Fatalf("ticket: %+v, %v", rec, err)
	}
}

type response struct {
	status   int
	body     string
	code     string
	verdict  string
	replayed bool
}

// sendBooking sends a booking through a VM.
func (f *fixture) sendBooking(ctx context.Context, vm int, key, body string) response {
	url := "http://" + f.vms[vm].Self().CallerAddress + "/shop/book"
	return f.send(ctx, url, key, body)
}

func (f *fixture) send(ctx context.Context, url, key, body string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return response{}
	}
	req.Header.Set("Authorization", "Bearer "+local.CallerSecret)
	req.Header.Set(router.HeaderIdempotencyKey, key)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return response{code: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{code: err.Error()}
	}
	a := response{status: resp.StatusCode, body: string(data), replayed: resp.Header.Get(router.HeaderReplayed) == "true"}
	var e openai.ErrorBody
	if json.Unmarshal(data, &e) == nil {
		a.code, a.verdict = e.Error.Code, e.Error.Verdict
	}
	return a
}

// bookUntil repeats a booking until want accepts the response.
func (f *fixture) bookUntil(vm int, key string, want func(response) bool) response {
	f.t.Helper()
	var a response
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		a = f.sendBooking(context.Background(), vm, key, "stator 12")
		if want(a) {
			return a
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("last response %+v", a)
	return a
}

func (f *fixture) assertRuns(key string, want int) {
	f.t.Helper()
	if got := f.shop.runCount(key); got != want {
		f.t.Errorf("%s ran %d times, want %d", key, got, want)
	}
}

// TestConcurrentRepeats sends each booking many times at once through both VMs
// while the table loses responses and drops writes.
func TestConcurrentRepeats(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	ctx := context.Background()
	for round := range 5 {
		key := fmt.Sprint("booking-", round)
		f.Platform.SetFaults(memplatform.Faults{LoseAnswers: 2, DropWrites: 1, DelayMillis: 1})
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				a := f.sendBooking(ctx, i%2, key, "stator 12")
				ok := a.status == http.StatusCreated || a.verdict == "may_have_run" || a.verdict == "not_run"
				if !ok {
					t.Errorf("response %+v", a)
				}
			})
		}
		wg.Wait()
		f.Platform.SetFaults(memplatform.Faults{})
		for vm := range f.vms {
			a := f.bookUntil(vm, key, func(a response) bool { return a.replayed })
			if want := "booked " + key + ", run 1"; a.body != want {
				t.Errorf("replay %q, want %q", a.body, want)
			}
		}
		f.assertRuns(key, 1)
	}
}

// TestConnectionLostAfterRun aborts the connection after the booking ran. The
// outcome is unknown on every VM, and no VM runs the booking again.
func TestConnectionLostAfterRun(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	ctx := context.Background()
	f.shop.set(nil, true)
	if a := f.sendBooking(ctx, 0, "k", "stator 12"); a.verdict != "may_have_run" {
		t.Errorf("first response %+v", a)
	}
	f.shop.set(nil, false)
	for vm := range f.vms {
		f.bookUntil(vm, "k", func(a response) bool { return a.code == "outcome_unknown" && a.verdict == "may_have_run" })
	}
	f.assertRuns("k", 1)
	if a := f.sendBooking(ctx, 1, "k", "another stator"); a.code != "idempotency_key_reused" || a.verdict != "not_run" {
		t.Errorf("other content under the same key: %+v", a)
	}
}

// TestNotRunVerdictIsCorrect checks that bookings are refused as not run while
// the table is down and while the service is unreachable, and that each runs
// once afterwards.
func TestNotRunVerdictIsCorrect(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	ctx := context.Background()
	f.Platform.SetFaults(memplatform.Faults{Down: true})
	if a := f.sendBooking(ctx, 0, "k1", "stator 12"); a.code != "claim_store_unavailable" || a.verdict != "not_run" {
		t.Errorf("table down: %+v", a)
	}
	f.assertRuns("k1", 0)
	f.Platform.SetFaults(memplatform.Faults{})
	f.bookUntil(1, "k1", func(a response) bool { return a.status == http.StatusCreated && !a.replayed })
	f.assertRuns("k1", 1)

	closed := httptest.NewServer(f.shop)
	url := closed.URL
	closed.Close()
	f.fileTicket("gone", url)
	unreachable := func(a response) bool { return a.verdict == "not_run" && a.status >= 500 }
	for i := 0; !unreachable(f.sendBooking(ctx, 0, fmt.Sprint("probe-", i), "")); i++ {
		time.Sleep(20 * time.Millisecond) // until the ticket has reached the VM
	}
	f.bookUntil(0, "k2", unreachable)
	f.assertRuns("k2", 0)
	restored := httptest.NewServer(f.shop)
	defer restored.Close()
	f.fileTicket("back", restored.URL)
	f.bookUntil(1, "k2", func(a response) bool { return a.status == http.StatusCreated && !a.replayed })
	f.assertRuns("k2", 1)
}

// TestCallerDisconnects checks that a booking whose caller disconnected runs to
// completion, and that a repeat through another VM gets its outcome.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	release := f.holdResponses()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	f.sendBooking(ctx, 0, "k", "stator 12")
	f.bookUntil(1, "k", func(a response) bool { return a.code == "request_in_progress" && a.verdict == "may_have_run" })
	release()
	a := f.bookUntil(1, "k", func(a response) bool { return a.replayed })
	if a.body != "booked k, run 1" {
		t.Errorf("replay %+v", a)
	}
	f.assertRuns("k", 1)
}

// TestRefusedRepeat checks that a repeat which is not admitted gets the outcome of
// the earlier run under its key, and that a new key is refused as not run.
func TestRefusedRepeat(t *testing.T) {
	f := startFixture(t)
	f.bookUntil(0, "ran", func(a response) bool { return a.status == http.StatusCreated })
	f.shop.set(nil, true)
	f.sendBooking(context.Background(), 0, "lost", "stator 12")
	f.shop.set(nil, false)
	tk := f.FirstTicket()
	tk.ClientID = "dear"
	for i := range tk.Routes.Set {
		tk.Routes.Set[i].CostTokens = 1e9
	}
	tk.Servers.Set = nil
	rec, err := f.store.File(context.Background(), tk)
	if err != nil || rec.Status != ticket.Accepted {
		t.Fatalf("ticket: %+v, %v", rec, err)
	}
	for f.vms[1].Spread().View().Head.Number < rec.Number {
		time.Sleep(time.Millisecond)
	}
	f.bookUntil(1, "new", func(a response) bool { return a.code == "burst_exceeded" && a.verdict == "not_run" })
	f.bookUntil(1, "ran", func(a response) bool { return a.replayed })
	f.bookUntil(1, "lost", func(a response) bool { return a.verdict == "may_have_run" })
	f.assertRuns("new", 0)
	f.assertRuns("ran", 1)
	f.assertRuns("lost", 1)
}

// TestRouterKilledDuringRequest kills the router between the claim and the
// response. The booking may have run and must never run again.
func TestRouterKilledDuringRequest(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	release := f.holdResponses()
	done := make(chan response, 1)
	go func() { done <- f.sendBooking(context.Background(), 0, "k", "stator 12") }()
	for f.shop.runCount("k") == 0 {
		time.Sleep(time.Millisecond)
	}
	f.vms[0].Kill()
	if a := <-done; a.status == http.StatusCreated || a.verdict == "not_run" {
		t.Errorf("response of the killed router: %+v", a)
	}
	release()
	// The killed VM may be home to the account's rate; until another VM is, a
	// repeat is refused before its claim is checked.
	f.bookUntil(1, "k", func(a response) bool {
		if a.status < http.StatusBadRequest {
			t.Fatalf("repeat: %+v", a)
		}
		return a.status == http.StatusConflict && a.verdict == "may_have_run"
	})
	for range 20 {
		if a := f.sendBooking(context.Background(), 1, "k", "stator 12"); a.verdict != "may_have_run" {
			t.Fatalf("repeat: %+v", a)
		}
	}
	f.assertRuns("k", 1)
}

// TestKeyedCompletion repeats a model request with an idempotency key through
// the other VM and expects the same response without another run.
func TestKeyedCompletion(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	body := `{"model":"` + local.Model + `","max_tokens":5,"messages":[{"role":"user","content":"rewind plan"}]}`
	url := func(vm int) string { return "http://" + f.vms[vm].Self().CallerAddress + openai.PathChatCompletions }
	ctx := context.Background()
	first := f.send(ctx, url(0), "plan", body)
	if first.status != http.StatusOK {
		t.Fatalf("first response %+v", first)
	}
	runsBefore := f.Engines[0].Stats().Requests
	var repeat response
	for deadline := time.Now().Add(5 * time.Second); !repeat.replayed && time.Now().Before(deadline); {
		repeat = f.send(ctx, url(1), "plan", body)
	}
	if !repeat.replayed || repeat.body != first.body {
		t.Errorf("repeat %+v, want %q", repeat, first.body)
	}
	if got := f.Engines[0].Stats().Requests; got != runsBefore {
		t.Errorf("the engine ran %d requests, want %d", got, runsBefore)
	}
}
