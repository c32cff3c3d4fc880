package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// The platform's rule allows two requests between half a second after a refusal with Retry-After and
// its end; one request at a time comes here.
func TestRequestsReachEngineThatAskedForNone(t *testing.T) {
	const wait = 1500 * time.Millisecond
	var mu sync.Mutex
	refusedAt, late, served := map[backend.ID]time.Time{}, 0, 0
	h := newBalancerHarness(t, 2)
	h.serve = func(id backend.ID, rw http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		at, refused := refusedAt[id]
		switch {
		case refused && time.Since(at) >= wait:
			served++
			return false
		case refused:
			late++
		default:
			refusedAt[id] = time.Now()
		}
		rw.Header().Set(openai.HeaderRequestID, r.Header.Get(openai.HeaderRequestID))
		rw.Header().Set(dispatch.HeaderNotRun, "true")
		rw.Header().Set("Retry-After", "1.5")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	longest := time.Duration(0)
	for end := time.Now().Add(wait + 500*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h.lastID++
		p := Prompt{Account: "a", Model: "m", WeightsVersion: "1", Text: "note", View: h.view}
		body := []byte(`{"model":"m","stream":true,"max_tokens":2,"prompt":"note"}`)
		req := dispatch.Request{ID: fmt.Sprint("r", h.lastID), Account: "a", Model: "m", Method: http.MethodPost, Path: openai.PathCompletions, Header: http.Header{}, Body: body, Stream: true, Idempotent: true}
		_, err := h.dispatcher.Do(t.Context(), req, h.balancer.Engine(p), dispatch.NewHTTPSink(httptest.NewRecorder(), time.Second))
		var refusal *verdict.Error
		if errors.As(err, &refusal) && refusal.Verdict == verdict.NotRun {
			longest = max(longest, refusal.RetryAfter)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(refusedAt) != 2 || late > 0 {
		t.Errorf("%d engines refused; %d requests reached them in the time that they had asked for", len(refusedAt), late)
	}
	if longest < wait/2 || longest > wait {
		t.Errorf("callers are told to come back after %v at most", longest)
	}
	if served == 0 {
		t.Error("the engines get no requests after that time")
	}
}
