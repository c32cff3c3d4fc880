// Package local runs the stand-in platform, engines and service, and optionally
// routers, in one process on loopback. Only tests and the demo commands use it.
package local

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/standin/engine"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/standin/platformserver"
	"papayaspan.dev/papayaspan/internal/standin/service"
)

// Model is the model that the stand-in engines serve.
const Model = "plan-7b"

// Weights is the weights version of Model that the stand-in engines have loaded.
const Weights = "v1"

// Standins is a set of running stand-ins: a platform, engines and a plain HTTP
// service.
type Standins struct {
	Platform    *memplatform.Platform
	PlatformURL string
	Engines     []*engine.Engine
	EngineURLs  []string
	Service     *service.Service
	ServiceURL  string

	servers []*http.Server
}

// EngineOptions returns the default options of the stand-in engines.
func EngineOptions() engine.Options {
	return engine.Options{
		BlockTokens:     32,
		CacheBlocks:     4096,
		PrefillPerToken: 20 * time.Microsecond,
		DecodePerToken:  5 * time.Millisecond,
		MaxRunning:      32,
		LoadTime:        2 * time.Second,
		Weights:         map[string]string{Model: Weights},
	}
}

// Start starts the platform, n engines and one service.
func Start(n int, opts engine.Options) (*Standins, error) {
	s := &Standins{Platform: memplatform.New(), Service: service.New()}
	var err error
	if s.PlatformURL, err = s.serve(platformserver.New(s.Platform)); err != nil {
		return nil, err
	}
	if s.ServiceURL, err = s.serve(s.Service.Handler()); err != nil {
		s.Close()
		return nil, err
	}
	for range n {
		e := engine.New(opts)
		url, err := s.serve(e.Handler())
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Engines = append(s.Engines, e)
		s.EngineURLs = append(s.EngineURLs, url)
	}
	s.Platform.AddWeights(Model, Weights)
	return s, nil
}

func (s *Standins) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// Close stops all servers immediately, without draining them.
func (s *Standins) Close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}
