// Package daemon assembles one router process: it builds the components,
// listens, and shuts down gracefully.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/admin"
	"papayaspan.dev/papayaspan/internal/budget"
	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/health"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/link"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/poison"
	"papayaspan.dev/papayaspan/internal/router"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/spread"
	"papayaspan.dev/papayaspan/internal/vm"
	"papayaspan.dev/papayaspan/internal/warm"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Table      platform.Table
	Objects    platform.Objects
	Membership platform.Membership
	Weights    platform.Weights
}

// Daemon is one router process.
type Daemon struct {
	settings *settings.Settings
	log      *zap.Logger
	platform Platform
	metrics  metrics.Registry
	// incarnation distinguishes this process from earlier ones on the same VM.
	incarnation vm.Incarnation

	router     *router.Router
	balancer   *router.PrefixBalancer
	claims     *claim.Store
	budget     *budget.Service
	admitter   *router.FairAdmitter
	spread     *spread.Spreader
	guard      *poison.Guard
	evidence   *suspectEvidence
	health     *health.Table
	peerServer *grpc.Server
	pool       *link.Pool
	servers    []*http.Server

	callerListener, peerListener, adminListener net.Listener
	callerGuard, adminGuard                     *clientconn.Guard

	cancel         context.CancelFunc
	loops          sync.WaitGroup
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// New builds a router process and opens its listeners. Start begins to serve.
func New(s *settings.Settings, log *zap.Logger, p Platform) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, platform: p, metrics: metrics.NewRegistry(), drainRequested: make(chan struct{}), incarnation: vm.Incarnation(rand.Uint64())}
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	targets := []struct {
		addr string
		l    *net.Listener
	}{
		{d.settings.Listen.Caller, &d.callerListener},
		{d.settings.Listen.Peer, &d.peerListener},
		{d.settings.Listen.Admin, &d.adminListener},
	}
	for _, t := range targets {
		l, err := net.Listen("tcp", t.addr)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen on %s", t.addr)
		}
		*t.l = l
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callerListener, d.peerListener, d.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Self describes the VM of this process.
func (d *Daemon) Self() vm.VM {
	return vm.VM{
		ID:            vm.ID(d.settings.VM.ID),
		Incarnation:   d.incarnation,
		FailureDomain: d.settings.VM.FailureDomain,
		CallerAddress: advertised(d.settings.Advertise.Caller, d.callerListener),
		PeerAddress:   advertised(d.settings.Advertise.Peer, d.peerListener),
	}
}

// holder returns the name under which this process holds leases.
func (d *Daemon) holder() lease.Holder {
	return lease.Holder(fmt.Sprintf("%s-%x", d.settings.VM.ID, uint64(d.incarnation)))
}

// AdminAddress returns the address of the administration API, host:port.
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }

func advertised(configured string, l net.Listener) string {
	if configured != "" {
		return configured
	}
	return l.Addr().String()
}

func (d *Daemon) build() error {
	files := link.Files{Cert: d.settings.PeerTLS.CertFile, Key: d.settings.PeerTLS.KeyFile, CA: d.settings.PeerTLS.CAFile}
	peerServer, err := link.NewServer(files)
	if err != nil {
		return err
	}
	pool, err := link.NewPool(files, d.peerListener.Addr().String())
	if err != nil {
		return err
	}
	d.peerServer, d.pool = peerServer, pool

	d.spread = d.newSpreader()
	peer.RegisterControlServer(d.peerServer, d.spread)
	d.budget = d.newBudget()
	peer.RegisterBudgetServer(d.peerServer, budget.Server{Service: d.budget})
	d.admitter = router.NewFairAdmitter(d.budget)
	directory := rosterDirectory{self: d.Self().ID, roster: d.roster, refresh: d.spread.Refresh, pool: pool}
	d.guard = poison.NewGuard(d.Self().ID, poison.Client{Directory: directory}, poison.Options{Now: time.Now, Start: time.Now(), Log: d.log, Metrics: d.metrics})
	poison.Register(peerServer, d.guard)
	d.evidence = &suspectEvidence{d: d}
	d.health = health.NewTable()
	d.balancer = router.NewPrefixBalancer(d.settings.Routing, d.log)
	peer.RegisterPrefixServer(peerServer, &warm.Server{Index: d.balancer.Index()})
	d.claims = d.newClaims(d.Self())
	clientMemory := clientconn.NewBodyBudget(d.settings.Limits.ClientMemoryBytes)
	d.callerGuard = d.newGuard("callers", clientMemory, d.settings.Limits.MaxConnections)
	d.adminGuard = d.newGuard("admin", clientMemory, maxAdminConns)
	d.router = router.New(router.Options{
		Clients:     d.callerGuard,
		Settings:    d.settings,
		Log:         d.log,
		Metrics:     d.metrics,
		Dispatcher:  dispatch.New(dispatch.Config{Responses: clientMemory}),
		Freshness:   d.evidence,
		Admitter:    d.admitter,
		Budget:      d.budget,
		Balancer:    d.balancer,
		Addresses:   d.spread,
		Claims:      d.claims,
		Health:      d.health,
		Guard:       d.guard,
		ContentSalt: []byte(d.settings.Routing.ContentSalt),
		Now:         time.Now,
	})
	service := admin.New(d.spread.Tickets(), fleet{d}, d.settings.Operators, d.log)
	return d.buildServers(service)
}

func (d *Daemon) buildServers(service *admin.Service) error {
	limits := d.settings.Limits
	callerServer := &http.Server{
		Handler:  d.router.Handler(),
		ErrorLog: zap.NewStdLog(d.log.Named("http")),
	}
	d.callerGuard.Protect(callerServer)
	if cert := d.settings.CallerTLS; cert.CertFile != "" {
		loadCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c, err := tls.LoadX509KeyPair(cert.CertFile, cert.KeyFile)
			return &c, errors.Wrap(err, "load caller certificate")
		}
		if _, err := loadCertificate(nil); err != nil {
			return err
		}
		callerServer.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: loadCertificate, NextProtos: []string{"http/1.1"}}
	}
	adminServer := &http.Server{
		Handler:     d.adminHandler(service),
		ReadTimeout: limits.BodyTimeout.Std(),
		ErrorLog:    zap.NewStdLog(d.log.Named("http")),
	}
	d.adminGuard.Protect(adminServer)
	d.servers = []*http.Server{callerServer, adminServer}
	return nil
}

// Start starts the servers and the background loops, which run until Shutdown or
// Kill. It does not wait for the first configuration, because peers and the
// platform may both be unavailable.
func (d *Daemon) Start(ctx context.Context) {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.runInBackground(func() { d.spread.Run(loopCtx) })
	d.runInBackground(func() { d.budget.Run(loopCtx) })
	d.runInBackground(func() { d.guard.Sweep(loopCtx) })
	d.runInBackground(func() { d.watchEngines(loopCtx) })
	d.runInBackground(func() { d.warmIndex(loopCtx) })
	d.runClaims(loopCtx)
	d.runPlacement(loopCtx)
	d.runInBackground(func() { d.logServeError("peers", d.peerServer.Serve(d.peerListener)) })
	d.runInBackground(func() { d.evidence.run(loopCtx) })
	d.runInBackground(func() { d.logServeError("callers", d.serveCallers()) })
	d.runInBackground(func() { d.logServeError("admin", d.servers[1].Serve(d.adminGuard.Listener(d.adminListener))) })
	self := d.Self()
	d.log.Info("router_started",
		zap.String("vm", string(self.ID)),
		zap.String("failure_domain", self.FailureDomain),
		zap.String("caller_address", self.CallerAddress),
		zap.String("peer_address", self.PeerAddress),
		zap.String("admin_address", d.AdminAddress()))
}

func (d *Daemon) serveCallers() error {
	if d.servers[0].TLSConfig != nil {
		return d.servers[0].Serve(d.callerGuard.Listener(tls.NewListener(d.callerListener, d.servers[0].TLSConfig)))
	}
	return d.servers[0].Serve(d.callerGuard.Listener(d.callerListener))
}

func (d *Daemon) runInBackground(f func()) {
	d.loops.Add(1)
	go func() {
		defer d.loops.Done()
		f()
	}()
}

func (d *Daemon) logServeError(server string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("server_ended", zap.String("server", server), zap.Error(err))
	}
}

// DrainRequested returns a channel that is closed when an operator requests a
// drain.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainRequested }

func (d *Daemon) requestDrain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// leaveNotice is how long a leaving VM continues to accept requests, so that
// peers and callers with an older address list see the change in time.
const leaveNotice = 2 * time.Second

// Shutdown removes this VM from the address list, lets running requests finish
// within the drain timeout of the settings, and stops.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.router.StartDrain()
	d.log.Info("drain_started")
	d.spread.StartLeaving(ctx)
	select {
	case <-time.After(leaveNotice):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Limits.DrainTimeout.Std())
	defer cancel()
	err := d.servers[0].Shutdown(ctx)
	d.flushClaims(ctx)
	d.handOver(ctx)
	d.spread.Leave(context.WithoutCancel(ctx))
	d.Kill()
	d.log.Info("router_stopped", zap.Error(err))
	return errors.Wrap(err, "drain")
}

// Kill stops immediately without draining, as in a crash.
func (d *Daemon) Kill() {
	if d.cancel != nil {
		d.cancel()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peerServer.Stop()
	d.pool.Close()
	d.loops.Wait()
}
