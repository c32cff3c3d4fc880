package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// fault is a fault that the fake engine injects.
type fault int

const (
	faultNone fault = iota
	faultRefusedDial
	faultNotRun
	faultStatus500
	faultResetBeforeHeader
	faultReset
	faultCleanCut
	faultHalfEvent
	faultStall
	faultWrongIDHeader
	faultWrongIDChunk
	faultRepeat
	faultGap
	faultExtra
	faultErrorEvent
	faultOtherWeights
	faultOtherSoftware
	faultCount
)

// plan is the behavior of one engine: it injects fault after a number of tokens.
type plan struct {
	fault fault
	after int
}

const (
	testTokens = 12
	testID     = "req-1"
)

// fakeEngine streams testTokens numbered tokens in the engine protocol.
type fakeEngine struct {
	plan plan
	// closed, if not nil, receives a value when the context of a stalled
	// request ends.
	closed chan struct{}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ResumeFrom int    `json:"resume_from"`
		CacheSalt  string `json:"cache_salt"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.CacheSalt != "salt" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(openai.HeaderRequestID, r.Header.Get(openai.HeaderRequestID))
	w.Header().Set(openai.HeaderWeightsVersion, "w1")
	w.Header().Set("Content-Type", "text/event-stream")
	switch e.plan.fault {
	case faultNotRun:
		w.Header().Set(HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case faultStatus500:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case faultResetBeforeHeader:
		reset(w)
		return
	case faultWrongIDHeader:
		w.Header().Set(openai.HeaderRequestID, "req-2")
	case faultOtherWeights:
		w.Header().Set(openai.HeaderWeightsVersion, "w2")
	}
	e.stream(w, r, body.ResumeFrom)
}

// software returns the version of the engine's software.
func (e *fakeEngine) software() string {
	if e.plan.fault == faultOtherSoftware {
		return "fp_2"
	}
	return "fp_1"
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, from int) {
	id := r.Header.Get(openai.HeaderRequestID)
	send := func(format string, args ...any) {
		fmt.Fprintf(w, "data: "+format+"\n\n", args...)
		w.(http.Flusher).Flush()
	}
	send(`{"id":%q,"choices":[{"delta":{"role":"assistant"}}]}`, id)
	for i := from; i < testTokens; i++ {
		if i-from == e.plan.after && e.fail(w, r, send, id, i) {
			return
		}
		send(`{"id":%q,"system_fingerprint":%q,"token_index":%d,"choices":[{"delta":{"content":"t%d "}}]}`, id, e.software(), i, i)
	}
	send(`{"id":%q,"choices":[{"delta":{},"finish_reason":"stop"}]}`, id)
	if testTokens-from == e.plan.after && e.fail(w, r, send, id, testTokens) {
		return
	}
	send(`{"id":%q,"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":%d}}`, id, testTokens)
	if testTokens-from < e.plan.after && e.fail(w, r, send, id, testTokens) {
		return
	}
	send(doneMarker)
}

// fail injects the fault at token i and reports whether it ends the stream.
func (e *fakeEngine) fail(w http.ResponseWriter, r *http.Request, send func(string, ...any), id string, i int) bool {
	switch e.plan.fault {
	case faultReset:
		reset(w)
	case faultCleanCut:
	case faultHalfEvent:
		fmt.Fprintf(w, `data: {"id":%q,"token_index":%d,"choi`, id, i)
	case faultStall:
		<-r.Context().Done()
		if e.closed != nil {
			e.closed <- struct{}{}
		}
	case faultWrongIDChunk:
		send(`{"id":"req-2","token_index":%d,"choices":[{"delta":{"content":"wrong "}}]}`, i)
	case faultRepeat:
		send(`{"id":%q,"token_index":%d,"choices":[{"delta":{"content":"again "}}]}`, id, i-1)
	case faultGap:
		send(`{"id":%q,"token_index":%d,"choices":[{"delta":{"content":"skipped "}}]}`, id, i+1)
	case faultExtra:
		if i < testTokens {
			return false
		}
		send(`{"id":%q,"token_index":%d,"choices":[{"delta":{"content":"extra "}}]}`, id, i)
	case faultErrorEvent:
		send(`{"id":%q,"error":{"message":"out of memory"}}`, id)
	default:
		return false
	}
	return true
}

// reset closes the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// listPicker picks its servers in order, each once.
type listPicker []backend.Server

func (p listPicker) Pick(_ context.Context, _ Request, a Attempt) (backend.Server, error) {
	for _, s := range p {
		if !a.HasTried(s.ID) {
			return s, nil
		}
	}
	return backend.Server{}, verdict.Refuse(http.StatusServiceUnavailable, "no_backend_server", "none left")
}

// startEngines starts one fake engine per plan.
func startEngines(t testing.TB, plans ...plan) listPicker {
	var p listPicker
	for i, pl := range plans {
		srv := httptest.NewServer(&fakeEngine{plan: pl})
		if pl.fault == faultRefusedDial {
			srv.Close()
		}
		t.Cleanup(srv.Close)
		p = append(p, backend.Server{ID: backend.ID(fmt.Sprint("e", i)), Kind: backend.Engine, URL: srv.URL})
	}
	return p
}

// memorySink records the response in memory.
type memorySink struct {
	mu     sync.Mutex
	text   strings.Builder
	events int
	done   bool
	heads  []Head
}

func (s *memorySink) Start(h Head) error {
	s.heads = append(s.heads, h)
	return nil
}

func (s *memorySink) Event(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events++
	if string(data) == doneMarker {
		s.done = true
		return nil
	}
	var c struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if len(c.Choices) > 0 {
		s.text.WriteString(c.Choices[0].Delta.Content)
	}
	return nil
}

func (s *memorySink) Body(p []byte) error {
	s.text.Write(p)
	return nil
}

func streamRequest() Request {
	return Request{
		ID: testID, Account: "a", Model: "m", Method: http.MethodPost, Path: "/v1/completions",
		Body: []byte(`{"prompt":"p","stream":true,"stream_options":{"include_usage":true},"resume_from":99,"cache_salt":"mine"}`), Stream: true, Idempotent: true, CacheSalt: "salt",
	}
}

// fullText returns the text of the uninterrupted stream.
func fullText() string {
	var b strings.Builder
	for i := range testTokens {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

func newTestDispatcher(t testing.TB) *Dispatcher {
	d := New(Config{
		Retry:        RetryPolicy{MaxAttempts: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Millisecond},
		Budget:       NewRetryBudget(1, 1000),
		StallTimeout: 100 * time.Millisecond,
	})
	t.Cleanup(d.Close)
	return d
}

// rawServer listens on a local port and runs serve for each connection.
func rawServer(t *testing.T, serve func(c net.Conn)) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }
