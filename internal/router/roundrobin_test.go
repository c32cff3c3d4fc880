package router

import (
	"context"
	"testing"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
)

// A call waits for admission, for its body or for a server, or is tried again.
func TestCallThatWaitedGoesToServiceServerThatLeftMeanwhile(t *testing.T) {
	view := func(servers ...backend.Server) *config.View {
		byID := map[backend.ID]backend.Server{}
		for _, s := range servers {
			byID[s.ID] = s
		}
		return config.NewView(&config.Snapshot{Servers: byID})
	}
	stays := backend.Server{ID: "stays"}
	for name, now := range map[string]*config.View{
		"it leaves":      view(backend.Server{ID: "left", Leaving: true}, stays),
		"it was removed": view(stays),
	} {
		current := view(backend.Server{ID: "left"}, stays)
		p := (&RoundRobin{}).Service(func() *config.View { return current }, config.Route{Servers: []backend.ID{"left", "stays"}})
		current = now
		for range 4 {
			if s, err := p.Pick(context.Background(), dispatch.Request{}, dispatch.Attempt{}); err != nil || s.ID != "stays" {
				t.Errorf("%s: server %q, error %v", name, s.ID, err)
			}
		}
	}
}
