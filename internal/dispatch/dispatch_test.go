package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// TestResume checks that for any sequence of engine faults the caller receives
// the tokens of the uninterrupted stream, and that a stream that cannot be
// continued does not look complete.
func TestResume(t *testing.T) {
	d := newTestDispatcher(t)
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 100
	properties := gopter.NewProperties(params)
	planGen := gopter.CombineGens(gen.IntRange(0, int(faultCount)-1), gen.IntRange(0, testTokens+2)).
		Map(func(v []any) plan { return plan{fault(v[0].(int)), v[1].(int)} })
	properties.Property("tokens equal those of the uninterrupted stream", prop.ForAll(
		func(plans []plan) string {
			sink := &memorySink{}
			out, err := d.Do(context.Background(), streamRequest(), startEngines(t, plans...), sink)
			return checkStream(sink, out, err)
		},
		gen.SliceOfN(4, planGen),
	))
	properties.TestingRun(t)
}

// framingEvents is the number of events without tokens: the role, the finish
// reason, the usage and the done marker.
const framingEvents = 4

// checkStream returns a description of the first error in the response, or "".
func checkStream(sink *memorySink, out Outcome, err error) string {
	text := sink.text.String()
	switch {
	case err == nil && (text != fullText() || !sink.done):
		return fmt.Sprintf("complete response %q, done %v", text, sink.done)
	case err == nil && sink.events != testTokens+framingEvents:
		return fmt.Sprintf("%d events", sink.events)
	case err != nil && (!strings.HasPrefix(fullText(), text) || sink.done):
		return fmt.Sprintf("aborted response %q, done %v", text, sink.done)
	case len(sink.heads) > 1:
		return "sink started twice"
	case err != nil && out.Started && verdict.Of(err) == verdict.NotRun:
		return "verdict not_run, but the response was started"
	}
	return ""
}

func TestDo(t *testing.T) {
	tests := []struct {
		desc     string
		plans    []plan
		attempts int
		status   int
		verdict  verdict.Verdict
	}{
		{"no fault", []plan{{}}, 1, 0, verdict.Ran},
		{"reset mid-stream", []plan{{faultReset, 5}, {}}, 2, 0, verdict.Ran},
		{"reset after the finish reason", []plan{{faultReset, testTokens}, {}}, 2, 0, verdict.Ran},
		{"reset after the usage", []plan{{faultReset, testTokens + 1}, {}}, 1, 0, verdict.Ran},
		{"tokens after the finish reason", []plan{{faultExtra, testTokens}, {}}, 2, 0, verdict.Ran},
		{"engine refuses with X-Not-Run", []plan{{faultNotRun, 0}}, 1, 503, verdict.NotRun},
		{"no connection", []plan{{faultRefusedDial, 0}}, 1, 503, verdict.NotRun},
		{"reset, then no connection", []plan{{faultResetBeforeHeader, 0}, {faultRefusedDial, 0}}, 2, 503, verdict.MayHaveRun},
		{"three attempts interrupted, fourth complete", []plan{{faultCleanCut, 1}, {faultStall, 2}, {faultWrongIDChunk, 0}, {}}, 4, 0, verdict.Ran},
		{"at most four attempts", []plan{{faultReset, 1}, {faultReset, 1}, {faultReset, 1}, {faultReset, 1}, {}}, 4, 502, verdict.MayHaveRun},
		{"resume never changes weights", []plan{{faultReset, 3}, {faultOtherWeights, 99}}, 2, 503, verdict.MayHaveRun},
		{"resume never changes the software version", []plan{{faultReset, 3}, {faultOtherSoftware, 99}}, 2, 503, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			sink := &memorySink{}
			out, err := newTestDispatcher(t).Do(context.Background(), streamRequest(), startEngines(t, tt.plans...), sink)
			if wrong := checkStream(sink, out, err); wrong != "" {
				t.Error(wrong)
			}
			if out.Attempts != tt.attempts || out.Verdict != tt.verdict || verdict.Of(err) != tt.verdict {
				t.Errorf("attempts %d, verdict %v, error %v", out.Attempts, out.Verdict, err)
			}
			if err != nil && verdict.AsError(err).Status != tt.status {
				t.Errorf("error %v has status %d", err, verdict.AsError(err).Status)
			}
		})
	}
}

// serveOnceThenClose answers the first request of a connection. It reads the
// second, counts it as run and closes the connection without a response.
func serveOnceThenClose(ran *atomic.Int32) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for i := range 2 {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			discard(req.Body)
			if i == 0 && req.URL.Path == "/first" {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				continue
			}
			ran.Add(1)
			return
		}
	}
}

// TestTransportNeverResends checks that the dispatcher never resends a request
// when a reused connection is closed. It also checks that http.Transport with
// its defaults does, so that the test still covers the case.
func TestTransportNeverResends(t *testing.T) {
	tests := []struct {
		desc, method, body string
	}{
		{"GET without a body", http.MethodGet, ""},
		{"POST with an idempotency key", http.MethodPost, "x"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var ran atomic.Int32
			url := rawServer(t, serveOnceThenClose(&ran))
			client := &http.Client{Transport: &http.Transport{}}
			send := func(path string) {
				req, _ := http.NewRequest(tt.method, url+path, strings.NewReader(tt.body))
				req.Header.Set("Idempotency-Key", "k")
				if resp, err := client.Do(req); err == nil {
					discard(resp.Body)
					resp.Body.Close()
				}
			}
			send("/first")
			send("/book")
			if ran.Load() != 2 {
				t.Fatalf("the default transport ran the request %d times, want 2: it no longer resends", ran.Load())
			}

			ran.Store(0)
			d := newTestDispatcher(t)
			p := listPicker{{ID: "s", Kind: backend.Service, URL: url}}
			req := Request{ID: testID, Method: tt.method, Body: []byte(tt.body), Header: http.Header{"Idempotency-Key": {"k"}}}
			req.Path = "/first"
			if _, err := d.Do(context.Background(), req, p, &memorySink{}); err != nil {
				t.Fatal(err)
			}
			req.Path = "/book"
			_, err := d.Do(context.Background(), req, p, &memorySink{})
			if ran.Load() != 1 || verdict.Of(err) != verdict.MayHaveRun {
				t.Errorf("ran %d times, error %v", ran.Load(), err)
			}
		})
	}
}

// TestNotRunVerdictIsCorrect closes reused connections at random times and checks
// that the server received no request that was reported as not run.
func TestNotRunVerdictIsCorrect(t *testing.T) {
	var received atomic.Int32
	url := rawServer(t, func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		discard(req.Body)
		received.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Duration(time.Now().UnixNano()%300) * time.Microsecond)
	})
	d := newTestDispatcher(t)
	p := listPicker{{ID: "s", Kind: backend.Service, URL: url}}
	notRun, mayHaveRun, ran := 0, 0, 0
	for i := range 2000 {
		before := received.Load()
		req := Request{ID: fmt.Sprint(i), Method: http.MethodPost, Path: "/", Body: []byte("x")}
		_, err := d.Do(context.Background(), req, p, &memorySink{})
		switch verdict.Of(err) {
		case verdict.NotRun:
			notRun++
			if received.Load() != before {
				t.Fatalf("request %d was received by the server but reported as not run: %v", i, err)
			}
		case verdict.Ran:
			ran++
		default:
			mayHaveRun++
		}
	}
	t.Logf("not run %d, may have run %d, ran %d", notRun, mayHaveRun, ran)
}

// TestShortBody checks that a body shorter than its Content-Length is never
// passed on as complete, and that only an idempotent request is retried.
func TestShortBody(t *testing.T) {
	var calls atomic.Int32
	short := rawServer(t, func(c net.Conn) {
		defer c.Close()
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			discard(req.Body)
			calls.Add(1)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
		}
	})
	whole := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "whole") }))
	defer whole.Close()
	p := listPicker{{ID: "s", Kind: backend.Service, URL: short}, {ID: "w", Kind: backend.Service, URL: whole.URL}}
	for _, idempotent := range []bool{false, true} {
		sink := &memorySink{}
		req := Request{ID: testID, Method: http.MethodPost, Path: "/", Body: []byte("x"), Idempotent: idempotent}
		out, err := newTestDispatcher(t).Do(context.Background(), req, p, sink)
		if !idempotent && (verdict.Of(err) != verdict.MayHaveRun || out.Started || out.Attempts != 1) {
			t.Errorf("not idempotent: %+v, %v", out, err)
		}
		if idempotent && (err != nil || sink.text.String() != "whole") {
			t.Errorf("idempotent: %q, %v", sink.text.String(), err)
		}
	}
	if calls.Load() != 2 {
		t.Errorf("%d calls, want 2", calls.Load())
	}
}

// TestCallerDisconnectCancelsEngine checks that the engine's request is canceled
// promptly when the caller closes its connection.
func TestCallerDisconnectCancelsEngine(t *testing.T) {
	engine := &fakeEngine{plan: plan{faultStall, 1}, closed: make(chan struct{}, 1)}
	srv := httptest.NewServer(engine)
	defer srv.Close()
	d := New(Config{StallTimeout: time.Minute})
	result := make(chan error, 1)
	routerSrv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := listPicker{{ID: "e", Kind: backend.Engine, URL: srv.URL}}
		_, err := d.Do(r.Context(), streamRequest(), p, NewHTTPSink(w, time.Second))
		result <- err
	}))
	defer routerSrv.Close()
	resp, err := http.Get(routerSrv.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	disconnectedAt := time.Now()
	select {
	case <-engine.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine still runs the request")
	}
	if took := time.Since(disconnectedAt); took > time.Second {
		t.Errorf("the engine's request was canceled after %v", took)
	}
	if e := verdict.AsError(<-result); e.Code != "deadline_exceeded" || e.Verdict != verdict.MayHaveRun {
		t.Errorf("error %v", e)
	}
}

// floodEngine streams large chunks until its request is canceled.
type floodEngine struct {
	sent   atomic.Int64
	closed chan struct{}
}

func (e *floodEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(openai.HeaderRequestID)
	w.Header().Set(openai.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("x", 32<<10)
	for i := 0; r.Context().Err() == nil; i++ {
		n, _ := fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, i, text)
		e.sent.Add(int64(n))
	}
	close(e.closed)
}

// TestSlowReader checks that a caller that does not read is disconnected, that the
// engine's request is canceled, and that the data buffered meanwhile is bounded.
func TestSlowReader(t *testing.T) {
	engine := &floodEngine{closed: make(chan struct{})}
	srv := httptest.NewServer(engine)
	defer srv.Close()
	d := newTestDispatcher(t)
	result := make(chan error, 1)
	routerSrv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := listPicker{{ID: "e", Kind: backend.Engine, URL: srv.URL}}
		_, err := d.Do(context.Background(), streamRequest(), p, NewHTTPSink(w, 200*time.Millisecond))
		result <- err
	}))
	defer routerSrv.Close()
	c, err := net.Dial("tcp", routerSrv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-result:
		if e := verdict.AsError(err); e.Code != "caller_failed" {
			t.Errorf("error %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the caller was not disconnected")
	}
	<-engine.closed
	// The limit allows for the kernel's socket buffers.
	if sent := engine.sent.Load(); sent > 32<<20 {
		t.Errorf("%d bytes were read from the engine", sent)
	}
}

// TestBrokenStream checks that a caller can distinguish an aborted stream from a
// complete one: it gets an error event, and the body is not terminated.
func TestBrokenStream(t *testing.T) {
	d := newTestDispatcher(t)
	p := startEngines(t, plan{faultReset, 3})
	routerSrv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sink := NewHTTPSink(w, time.Second)
		if _, err := d.Do(r.Context(), streamRequest(), p, sink); err != nil {
			sink.Fail(verdict.AsError(err))
		}
	}))
	defer routerSrv.Close()
	resp, err := http.Get(routerSrv.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != io.ErrUnexpectedEOF {
		t.Errorf("the body ended with %v", err)
	}
	if !bytes.Contains(body, []byte(`"verdict":"may_have_run"`)) || bytes.Contains(body, []byte(doneMarker)) {
		t.Errorf("body %q", body)
	}
}

// TestRetryBudget checks that the number of retries stays within the budget when
// all attempts fail.
func TestRetryBudget(t *testing.T) {
	d := New(Config{Budget: NewRetryBudget(0.1, 5), Retry: RetryPolicy{MaxAttempts: 4}})
	p := startEngines(t, plan{fault: faultStatus500}, plan{fault: faultStatus500}, plan{fault: faultStatus500})
	attempts := 0
	const requests = 100
	for range requests {
		out, _ := d.Do(context.Background(), streamRequest(), p, &memorySink{})
		attempts += out.Attempts
	}
	if retries := attempts - requests; retries > 5+requests/10 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
}
