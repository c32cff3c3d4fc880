package gateway

import (
	"testing"

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
