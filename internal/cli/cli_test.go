package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Exit codes distinguish "not run" from "may have run" for scripts.
func TestExitCodes(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	record := `{"number":7,"client_id":"c","operator":"alice","status":"%","filed_at":"2026-01-01T00:00:00Z","in_force_everywhere":false}`
	failure := `{"name":"unavailable","message":"m","verdict":"%","retry_after_seconds":5}`
	fill := func(s, v string) string { return strings.Replace(s, "%", v, 1) }
	ticketFile := filepath.Join(t.TempDir(), "t.jsonc")
	if err := os.WriteFile(ticketFile, []byte("// comment\n{\"client_id\": \"c\"}"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc    string
		handler http.HandlerFunc
		args    []string
		want    int
		output  string
	}{
		{"accepted", respond(200, fill(record, "accepted")), []string{"file", ticketFile}, ExitOK, "ticket 7"},
		{"refused", respond(200, fill(record, "refused")), []string{"file", ticketFile}, ExitNotRun, "refused"},
		{"not in force in time", respond(200, fill(record, "accepted")), []string{"file", "-wait", "1ms", ticketFile}, ExitNotInForce, "in force everywhere: false"},
		{"platform unavailable", respond(503, fill(failure, "not_run")), []string{"file", ticketFile}, ExitNotRun, "come back in 5 s"},
		{"response lost at the platform", respond(503, fill(failure, "may_have_run")), []string{"file", ticketFile}, ExitMayHaveRun, "may_have_run"},
		{"connection closed before the response", abort, []string{"file", ticketFile}, ExitMayHaveRun, "outcome unknown"},
		{"no connection", nil, []string{"file", ticketFile}, ExitNotRun, "not run"},
		{"no such file", abort, []string{"file", "nowhere"}, ExitUsage, "nowhere"},
		{"no such command", abort, []string{"fly"}, ExitUsage, "Usage"},
		{"json", respond(200, fill(record, "accepted")), []string{"file", "-json", ticketFile}, ExitOK, `"client_id": "c"`},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			srv := httptest.NewServer(tt.handler)
			if tt.handler == nil {
				srv.Close()
			}
			defer srv.Close()
			args := tt.args
			if args[0] == "file" {
				args = append([]string{"file", "-admin", srv.URL}, args[1:]...)
			}
			var out bytes.Buffer
			if got := Run(context.Background(), args, &out, &out); got != tt.want {
				t.Errorf("exit code %d, want %d: %s", got, tt.want, &out)
			}
			if !strings.Contains(out.String(), tt.output) {
				t.Errorf("no %q in %s", tt.output, &out)
			}
		})
	}
}

// Every event that the decisions command selects is still logged somewhere, so
// that renaming a log event does not silently drop it from the output.
func TestDecisionEventsExist(t *testing.T) {
	var source strings.Builder
	err := filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasPrefix(path, "../cli") {
			return err
		}
		data, err := os.ReadFile(path)
		source.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range decisionEvents {
		name := strings.TrimPrefix(event, "event=")
		if !strings.Contains(source.String(), `"`+name+`"`) {
			t.Errorf("nothing logs %s", name)
		}
	}
}

func FuzzReadTicket(f *testing.F) {
	example, err := os.ReadFile("../../examples/ticket.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(`{"client_id":"c","keys":{"set":[null]}}`))
	f.Add([]byte(`{"client_id":"c","accounts":{"set":[{"id":"a"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ReadTicket(data)
		if (p == nil) == (err == nil) {
			t.Fatalf("ticket %v and error %v", p, err)
		}
	})
}
