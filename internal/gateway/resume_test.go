package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/selector"
)

func TestStreamOfUnprovedRunIsBoundToThatRun(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	began := &fleet.Entry{ID: "a", Started: 1, Service: "llm", Software: "v1"}
	sameVersion := &fleet.Entry{ID: "b", Started: 1, Service: "llm", Software: "v1"}
	for _, proved := range []bool{true, false} {
		call := modelCall()
		a := &attempt{t: &task{g: g, call: call, route: &catalog.Route{Kind: catalog.Stream, Resumable: true}}, candidate: selector.Candidate{Entry: began}, runProved: proved}
		a.pinStream()
		if a.t.pinned.allows(sameVersion) != proved || !a.t.pinned.allows(began) {
			t.Errorf("proved %v: pinned to %+v", proved, a.t.pinned)
		}
		if _, known := g.opts.Origins.Lookup(origin.NewStreamID(call.ID)); known != proved {
			t.Errorf("proved %v: the origin is recorded: %v", proved, known)
		}
		g.opts.Origins = origin.NewTable(g.opts.Now)
	}
}

func TestResumedStreamNeedsProofOfServerWithoutRow(t *testing.T) {
	for _, running := range []int64{0, 99} {
		served := false
		g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
			served = true
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 4\ndata: a\n\n")
		})
		entry := *g.opts.Directory.View().Server("e")
		entry.Software, entry.Revision.Version = "v1", 2
		gone := fleet.Entry{ID: "e", Gone: true, Hold: time.Minute}
		gone.Revision.Version = 3
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{entry, gone}}, time.Now())
		g.opts.RunningSince = func(context.Context, *fleet.Entry) (int64, error) { return running, nil }
		v1 := origin.Origin{Service: "llm", Version: "v1"}
		g.opts.Origins.Observe([]origin.Origin{v1})
		g.opts.Origins.Record(origin.NewStreamID("first"), v1)
		call, sink := modelCall(), &recordingSink{}
		call.LastEvent, call.Resumes = 3, "first"
		g.Serve(context.Background(), call, sink)
		if served != (running == 0) || (sink.refusal == nil) != served {
			t.Errorf("a server that reports the run %d instead of 0: served %v, refusal %v", running, served, sink.refusal)
		}
	}
}

// The evidence of the servers is from before the connection was opened, and the server has started
// again since.
func TestStreamGoesOnAtServerThatRestartedSinceEvidence(t *testing.T) {
	for _, running := range []int64{0, 99} {
		served := false
		g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
			served = true
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 4\ndata: a\n\n")
		})
		entry := *g.opts.Directory.View().Server("e")
		entry.Software, entry.Revision.Version = "v1", 2
		g.opts.Directory.Apply(fleet.Update{Entries: []fleet.Entry{entry}}, time.Now())
		evidence := g.opts.Now().Add(-100 * time.Millisecond)
		g.opts.ServersProvedAt = func() time.Time { return evidence }
		g.opts.RunningSince = func(context.Context, *fleet.Entry) (int64, error) { return running, nil }
		v1 := origin.Origin{Service: "llm", Version: "v1"}
		g.opts.Origins.Observe([]origin.Origin{v1})
		g.opts.Origins.Record(origin.NewStreamID("first"), v1)
		call, sink := modelCall(), &recordingSink{}
		call.LastEvent, call.Resumes = 3, "first"
		g.Serve(context.Background(), call, sink)
		if served != (running == 0) {
			t.Errorf("a server that reports the run %d instead of 0: served %v, refusal %v", running, served, sink.refusal)
		}
	}
}

func TestNewStreamWaitsForReportOfRunBeforeItIsSent(t *testing.T) {
	const report, firstEvent = 200 * time.Millisecond, 300 * time.Millisecond
	g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(firstEvent)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	})
	g.opts.ServersProvedAt = func() time.Time { return time.Time{} }
	g.opts.RunningSince = func(context.Context, *fleet.Entry) (int64, error) {
		time.Sleep(report)
		return 0, nil
	}
	sink, began := &recordingSink{}, time.Now()
	g.Serve(context.Background(), modelCall(), sink)
	if took := time.Since(began); took >= report+firstEvent || sink.refusal != nil {
		t.Errorf("took %v, refusal %v", took, sink.refusal)
	}
}
