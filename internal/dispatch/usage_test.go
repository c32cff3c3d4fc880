package dispatch

import (
	"context"
	"testing"
)

// TestUsageIsHiddenFromCallersThatDidNotAsk checks that the token usage, which
// the router always requests from engines to count tokens, is passed on only to
// callers that asked for it.
func TestUsageIsHiddenFromCallersThatDidNotAsk(t *testing.T) {
	tests := []struct {
		desc   string
		body   string
		events int
	}{
		{"asked", `{"prompt":"p","stream":true,"stream_options":{"include_usage":true}}`, testTokens + 3},
		{"did not ask", `{"prompt":"p","stream":true}`, testTokens + 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			req := streamRequest()
			req.Body = []byte(tt.body)
			sink := &memorySink{}
			out, err := newTestDispatcher(t).Do(context.Background(), req, startEngines(t, plan{}), sink)
			if err != nil || out.Usage.PromptTokens == 0 {
				t.Fatalf("usage %+v, error %v", out.Usage, err)
			}
			if sink.events != tt.events+1 { // the done marker is an event
				t.Errorf("%d events, want %d", sink.events, tt.events+1)
			}
		})
	}
}
