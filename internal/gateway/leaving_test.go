package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/selector"
)

// leavingDialect reads every response as one of a server that leaves.
type leavingDialect struct{ signedDialect }

func (leavingDialect) Head(backend.ID, *http.Response) Head { return Head{Signed: true, Leaving: true} }

func TestLogOfLeaveLacksWhatTellsRunsApart(t *testing.T) {
	g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	})
	core, logs := observer.New(zap.InfoLevel)
	g.opts.Log, g.opts.Dialect = zap.New(core), leavingDialect{}
	g.opts.Servers.ProveRun(selector.KeyOf(g.opts.Directory.View().All()[0]), g.opts.Now())
	g.Serve(context.Background(), modelCall(), &recordingSink{})
	lines := logs.FilterMessage("server_says_leaving").All()
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	fields := lines[0].ContextMap()
	for _, name := range []string{"server_started", "server_revision", "connection_age", "connection_reused", "run_proof_age", "run_doubted", "known_started", "known_revision", "known_state"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("the line lacks %s: %v", name, fields)
		}
	}
}
