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
// hold its answers back or break them off after the run.
type shop struct {
	mu   sync.Mutex
	runs map[string]int
	gate chan struct{}
	cut  bool
}

func (s *shop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	key := r.Header.Get(router.HeaderIdempotencyKey)
	s.mu.Lock()
	s.runs[key]++
	n, gate, cut := s.runs[key], s.gate, s.cut
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "booked %s, run %d", key, n)
}

func (s *shop) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *shop) set(gate chan struct{}, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate, s.cut = gate, cut
}

// hold makes the shop hold its answers back until open is called.
func (f *fixture) hold() (open func()) {
	gate := make(chan struct{})
	f.shop.set(gate, false)
	open = sync.OnceFunc(func() { close(gate) })
	f.t.Cleanup(open)
	return open
}

type fixture struct {
	*local.Standins
	t     *testing.T
	shop  *shop
	vms   []*daemon.Daemon
	store *ticket.Store
}

// start starts the stand-ins, a shop and two routers.
func start(t *testing.T) *fixture {
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
	f.file("first", srv.URL)
	for i := range 2 {
		d, err := s.StartRouter(s.Settings(i+1), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		f.vms = append(f.vms, d)
	}
	for i := range f.vms {
		f.eventually(i, "warm-up", func(a answer) bool { return a.status == http.StatusCreated })
	}
	return f
}

// file files the first ticket with the shop at url.
func (f *fixture) file(id, url string) {
	f.t.Helper()
	tk := f.FirstTicket()
	tk.ClientID = id
	tk.Servers.Set[len(tk.Servers.Set)-1].URL = url
	// Calls without a cost need no home of the account's rate, whose loss is
	// not what these tests are about.
	for i := range tk.Routes.Set {
		tk.Routes.Set[i].CostTokens = 0
	}
	if rec, err := f.store.File(context.Background(), tk); err != nil || rec.Status != ticket.Accepted {
		f.t.Fatalf("ticket: %+v, %v", rec, err)
	}
}

type answer struct {
	status   int
	body     string
	code     string
	verdict  string
	replayed bool
}

// book sends a booking through a VM.
func (f *fixture) book(ctx context.Context, vm int, key, body string) answer {
	url := "http://" + f.vms[vm].Self().CallerAddress + "/shop/book"
	return f.send(ctx, url, key, body)
}

func (f *fixture) send(ctx context.Context, url, key, body string) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return answer{}
	}
	req.Header.Set("Authorization", "Bearer "+local.CallerSecret)
	req.Header.Set(router.HeaderIdempotencyKey, key)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return answer{code: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{code: err.Error()}
	}
	a := answer{status: resp.StatusCode, body: string(data), replayed: resp.Header.Get(router.HeaderReplayed) == "true"}
	var e openai.ErrorBody
	if json.Unmarshal(data, &e) == nil {
		a.code, a.verdict = e.Error.Code, e.Error.Verdict
	}
	return a
}

// eventually repeats a booking until the answer is as wanted.
func (f *fixture) eventually(vm int, key string, want func(answer) bool) answer {
	f.t.Helper()
	var a answer
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		a = f.book(context.Background(), vm, key, "stator 12")
		if want(a) {
			return a
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("last answer %+v", a)
	return a
}

func (f *fixture) runs(key string, want int) {
	f.t.Helper()
	if got := f.shop.count(key); got != want {
		f.t.Errorf("%s ran %d times, want %d", key, got, want)
	}
}

// TestConcurrentRepeats sends each booking many times at once through both VMs
// while the table loses answers and drops writes.
func TestConcurrentRepeats(t *testing.T) {
	t.Parallel()
	f := start(t)
	ctx := context.Background()
	for round := range 5 {
		key := fmt.Sprint("booking-", round)
		f.Platform.SetFaults(memplatform.Faults{LoseAnswers: 2, DropWrites: 1, DelayMillis: 1})
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				a := f.book(ctx, i%2, key, "stator 12")
				ok := a.status == http.StatusCreated || a.verdict == "may_have_run" || a.verdict == "not_run"
				if !ok {
					t.Errorf("answer %+v", a)
				}
			})
		}
		wg.Wait()
		f.Platform.SetFaults(memplatform.Faults{})
		for vm := range f.vms {
			a := f.eventually(vm, key, func(a answer) bool { return a.replayed })
			if want := "booked " + key + ", run 1"; a.body != want {
				t.Errorf("replay %q, want %q", a.body, want)
			}
		}
		f.runs(key, 1)
	}
}

// TestBrokenAnswer breaks the connection after the booking ran. Nobody knows
// the outcome and nobody runs it again.
func TestBrokenAnswer(t *testing.T) {
	t.Parallel()
	f := start(t)
	ctx := context.Background()
	f.shop.set(nil, true)
	if a := f.book(ctx, 0, "k", "stator 12"); a.verdict != "may_have_run" {
		t.Errorf("first answer %+v", a)
	}
	f.shop.set(nil, false)
	for vm := range f.vms {
		f.eventually(vm, "k", func(a answer) bool { return a.code == "outcome_unknown" && a.verdict == "may_have_run" })
	}
	f.runs("k", 1)
	if a := f.book(ctx, 1, "k", "another stator"); a.code != "idempotency_key_reused" || a.verdict != "not_run" {
		t.Errorf("other content under the same key: %+v", a)
	}
}

// TestNotRunIsTrue refuses bookings while the table is down and while the
// service cannot be reached, and runs them once afterwards.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	f := start(t)
	ctx := context.Background()
	f.Platform.SetFaults(memplatform.Faults{Down: true})
	if a := f.book(ctx, 0, "k1", "stator 12"); a.code != "claim_store_unavailable" || a.verdict != "not_run" {
		t.Errorf("table down: %+v", a)
	}
	f.runs("k1", 0)
	f.Platform.SetFaults(memplatform.Faults{})
	f.eventually(1, "k1", func(a answer) bool { return a.status == http.StatusCreated && !a.replayed })
	f.runs("k1", 1)

	gone := httptest.NewServer(f.shop)
	url := gone.URL
	gone.Close()
	f.file("gone", url)
	unreachable := func(a answer) bool { return a.verdict == "not_run" && a.status >= 500 }
	for i := 0; !unreachable(f.book(ctx, 0, fmt.Sprint("probe-", i), "")); i++ {
		time.Sleep(20 * time.Millisecond) // until the ticket has reached the VM
	}
	f.eventually(0, "k2", unreachable)
	f.runs("k2", 0)
	back := httptest.NewServer(f.shop)
	defer back.Close()
	f.file("back", back.URL)
	f.eventually(1, "k2", func(a answer) bool { return a.status == http.StatusCreated && !a.replayed })
	f.runs("k2", 1)
}

// TestCallerLeaves checks that a booking whose caller left is run to its end
// and its outcome given to the repeat, also through another VM.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	f := start(t)
	open := f.hold()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	f.book(ctx, 0, "k", "stator 12")
	f.eventually(1, "k", func(a answer) bool { return a.code == "request_in_progress" && a.verdict == "may_have_run" })
	open()
	a := f.eventually(1, "k", func(a answer) bool { return a.replayed })
	if a.body != "booked k, run 1" {
		t.Errorf("replay %+v", a)
	}
	f.runs("k", 1)
}

// TestRouterKilled kills the router between the claim and the answer. The
// booking may have run and never runs again.
func TestRouterKilled(t *testing.T) {
	t.Parallel()
	f := start(t)
	open := f.hold()
	done := make(chan answer, 1)
	go func() { done <- f.book(context.Background(), 0, "k", "stator 12") }()
	for f.shop.count("k") == 0 {
		time.Sleep(time.Millisecond)
	}
	f.vms[0].Kill()
	if a := <-done; a.status == http.StatusCreated || a.verdict == "not_run" {
		t.Errorf("answer of the killed router: %+v", a)
	}
	open()
	// The account's rate may be kept on the killed VM; until it has another
	// home, a repeat is refused before it reaches the claim.
	f.eventually(1, "k", func(a answer) bool {
		if a.status < http.StatusBadRequest {
			t.Fatalf("repeat: %+v", a)
		}
		return a.code == "request_in_progress" && a.verdict == "may_have_run"
	})
	for range 20 {
		if a := f.book(context.Background(), 1, "k", "stator 12"); a.verdict != "may_have_run" {
			t.Fatalf("repeat: %+v", a)
		}
	}
	f.runs("k", 1)
}

// TestKeyedCompletion repeats a model request with an idempotency key through
// the other VM and gets the same answer without another run.
func TestKeyedCompletion(t *testing.T) {
	t.Parallel()
	f := start(t)
	body := `{"model":"` + local.Model + `","max_tokens":5,"messages":[{"role":"user","content":"rewind plan"}]}`
	url := func(vm int) string { return "http://" + f.vms[vm].Self().CallerAddress + openai.PathChatCompletions }
	ctx := context.Background()
	first := f.send(ctx, url(0), "plan", body)
	if first.status != http.StatusOK {
		t.Fatalf("first answer %+v", first)
	}
	ran := f.Engines[0].Stats().Requests
	var again answer
	for deadline := time.Now().Add(5 * time.Second); !again.replayed && time.Now().Before(deadline); {
		again = f.send(ctx, url(1), "plan", body)
	}
	if !again.replayed || again.body != first.body {
		t.Errorf("repeat %+v, want %q", again, first.body)
	}
	if got := f.Engines[0].Stats().Requests; got != ran {
		t.Errorf("the engine ran %d requests, want %d", got, ran)
	}
}
