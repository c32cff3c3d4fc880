package router

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const testSecret = "test-secret"

type fixedFreshness bool

func (f fixedFreshness) Fresh(time.Time) bool { return bool(f) }

func newTestRouter(fresh bool) *Router {
	s := settings.Default()
	s.Limits.MaxBodyBytes = 4096
	s.Limits.MaxJSONDepth = 8
	r := New(Options{
		Settings:  &s,
		Log:       zap.NewNop(),
		Metrics:   metrics.NewRegistry(),
		Freshness: fixedFreshness(fresh),
		Now:       time.Now,
	})
	snap := config.Empty()
	snap.Number = 1
	snap.Accounts["a"] = account.Account{ID: "a", Contract: account.Contract{Rate: 1, Burst: 1}}
	snap.Keys["k"] = account.Key{ID: "k", Account: "a", Hash: account.HashSecret(testSecret)}
	snap.Models["m"] = config.Model{Name: "m", WeightsVersion: "v1"}
	r.Publish(snap)
	return r
}

// Every refusal of an invalid request is an OpenAI error object with the verdict
// "not run". The verdict is true: the router has no dispatcher, so a dispatch
// would panic.
func TestRefusals(t *testing.T) {
	deep := strings.Repeat("[", 9) + strings.Repeat("]", 9)
	tests := []struct {
		desc   string
		stale  bool
		path   string
		key    string
		class  string
		body   string
		status int
		code   string
	}{
		{"no key", false, openai.PathChatCompletions, "", "", `{"model":"m"}`, 401, "key_missing"},
		{"unknown key", false, openai.PathChatCompletions, "wrong", "", `{"model":"m"}`, 401, "key_unknown"},
		{"stale configuration", true, openai.PathChatCompletions, testSecret, "", `{"model":"m"}`, 503, "configuration_stale"},
		{"body too large", false, openai.PathChatCompletions, testSecret, "", strings.Repeat(" ", 5000), 413, "body_too_large"},
		{"not JSON", false, openai.PathChatCompletions, testSecret, "", `{"model"`, 400, "malformed_json"},
		{"too deep", false, openai.PathChatCompletions, testSecret, "", `{"model":"m","x":` + deep + `}`, 400, "json_too_deep"},
		{"wrong type", false, openai.PathChatCompletions, testSecret, "", `{"model":7}`, 400, "malformed_request"},
		{"unknown model", false, openai.PathChatCompletions, testSecret, "", `{"model":"x"}`, 404, "model_unknown"},
		{"unknown class", false, openai.PathChatCompletions, testSecret, "urgent", `{"model":"m"}`, 400, "class_unknown"},
		{"key in the body", false, openai.PathChatCompletions, testSecret, "", `{"model":"m","prompt":"` + testSecret + `"}`, 400, "key_in_request"},
		{"unknown path", false, "/nowhere", testSecret, "", ``, 404, "route_unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
			req.Header.Set("Authorization", "Bearer "+tt.key)
			req.Header.Set(HeaderClass, tt.class)
			w := httptest.NewRecorder()
			newTestRouter(!tt.stale).Handler().ServeHTTP(w, req)
			var body openai.ErrorBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatalf("%v: %s", err, w.Body)
			}
			if w.Code != tt.status || body.Error.Code != tt.code || body.Error.Verdict != verdict.NotRun.String() {
				t.Errorf("status %d, error %+v", w.Code, body.Error)
			}
			if strings.Contains(w.Body.String(), testSecret) {
				t.Error("the response contains the key")
			}
		})
	}
}

func TestPublishNeverReverts(t *testing.T) {
	r := newTestRouter(true)
	older := config.Empty()
	r.Publish(older)
	if n := r.View().Number; n != 1 {
		t.Errorf("number %d after an older snapshot, want 1", n)
	}
}

func FuzzCheckDepth(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":null}]}`))
	f.Add([]byte(`[[[[[[[[[]]]]]]]]]`))
	f.Add([]byte(`{"a":`))
	f.Add([]byte(`{"[[[[[[[[[[\\\"{{{{{{{{{{\\\\":"]]"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		const limit = 8
		want := json.Valid(body) && decodedDepth(body) <= limit
		if got := checkDepth(body, limit) == nil; got != want {
			t.Errorf("accepted %v: %q", got, body)
		}
	})
}

// decodedDepth returns the nesting depth of JSON, counted from the decoder's
// tokens.
func decodedDepth(body []byte) int {
	dec := json.NewDecoder(bytes.NewReader(body))
	depth, deepest := 0, 0
	for {
		tok, err := dec.Token()
		if err != nil {
			return deepest
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
			deepest = max(deepest, depth)
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
}
