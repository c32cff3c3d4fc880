package daemon

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	goahttp "goa.design/goa/v3/http"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/gen/http/admin/server"
	"papayaspan.dev/papayaspan/internal/admin"
)

// Paths on the admin port that are not part of the administration API.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// adminHandler serves the administration API, health, readiness and metrics.
func (d *Daemon) adminHandler(service *admin.Service) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := gen.NewEndpoints(service)
	srv := server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Mount(mux, srv)
	root := http.NewServeMux()
	root.Handle("/", http.MaxBytesHandler(mux, d.settings.Limits.MaxBodyBytes))
	root.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	root.HandleFunc("GET "+PathReady, d.serveReady)
	root.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	return root
}

// serveReady returns status 200 while this VM should receive requests: it has a
// configuration, has fresh evidence that it is current, and is not draining.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.router.Draining() || d.router.View().Number == 0 || !d.spread.Fresh(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
