package health

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/serverconn"
)

const (
	// crashProbeTimeout bounds one probe.
	crashProbeTimeout = 200 * time.Millisecond
	// serviceProbeDelay gives a crashed process time to close its listener.
	serviceProbeDelay = 20 * time.Millisecond
	maxLoadBytes      = 64 << 10
)

// Prober distinguishes a crashed server from a broken connection.
type Prober struct {
	client *http.Client
	dialer net.Dialer
}

// NewProber returns a Prober with its own HTTP client.
func NewProber() *Prober {
	return &Prober{client: &http.Client{Transport: serverconn.NewTransport(&http.Transport{DisableKeepAlives: true})}}
}

// Crashed reports whether the server may have crashed since it had the known
// incarnation. An engine that still reports that incarnation has not crashed. A service
// reports none; it has not crashed if it accepts connections.
func (p *Prober) Crashed(ctx context.Context, s backend.Server, known backend.Incarnation) bool {
	if s.Kind == backend.Service {
		return !p.accepts(ctx, s)
	}
	if known == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	return p.incarnation(ctx, s) != known
}

// incarnation returns the incarnation that the engine reports, or "" if it reports
// none.
func (p *Prober) incarnation(ctx context.Context, s backend.Server) backend.Incarnation {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(s.URL, "/")+"/load", nil)
	if err != nil {
		return ""
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var load openai.Load
	if json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load) != nil {
		return ""
	}
	return backend.Incarnation(load.Incarnation)
}

func (p *Prober) accepts(ctx context.Context, s backend.Server) bool {
	u, err := url.Parse(s.URL)
	if err != nil {
		return false
	}
	time.Sleep(serviceProbeDelay)
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", dialAddress(u))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func dialAddress(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}
