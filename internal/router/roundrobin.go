package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const noServerRetryAfter = 1 * time.Second

// RoundRobin picks servers in turn. It serves as the baseline for engines and as
// the balancer of plain services.
type RoundRobin struct{ next atomic.Uint64 }

// Engine implements Balancer.
func (b *RoundRobin) Engine(p Prompt) dispatch.Picker {
	servers := p.View.Engines(p.Model)
	return roundRobinPicker{balancer: b, servers: func() []backend.Server { return servers }}
}

// Service implements Balancer.
func (b *RoundRobin) Service(view func() *config.View, route config.Route) dispatch.Picker {
	return roundRobinPicker{balancer: b, servers: func() []backend.Server {
		var servers []backend.Server
		current := view()
		for _, id := range route.Servers {
			if s, ok := current.Servers[id]; ok {
				servers = append(servers, s)
			}
		}
		return servers
	}}
}

type roundRobinPicker struct {
	balancer *RoundRobin
	servers  func() []backend.Server
}

// Pick implements dispatch.Picker. A server that was tried before is picked
// only if there is no other: it may have recovered meanwhile.
func (p roundRobinPicker) Pick(_ context.Context, _ dispatch.Request, a dispatch.Attempt) (backend.Server, error) {
	start, servers := p.balancer.next.Add(1), p.servers()
	var fallback *backend.Server
	for i := range servers {
		s := servers[(start+uint64(i))%uint64(len(servers))]
		switch {
		case s.Leaving:
		case !a.HasTried(s.ID):
			return s, nil
		case fallback == nil:
			fallback = &s
		}
	}
	if fallback != nil {
		return *fallback, nil
	}
	return backend.Server{}, verdict.RefuseUntil(http.StatusServiceUnavailable, "no_backend_server", "no backend server can take the request now", noServerRetryAfter)
}
