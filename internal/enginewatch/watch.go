// Package enginewatch polls the load reports of engines and reads their cache
// event streams.
package enginewatch

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/serverconn"
	"papayaspan.dev/papayaspan/internal/sse"
)

const (
	pathLoad   = "/load"
	pathEvents = "/events"

	// minPollInterval is the minimum time between two polls of one engine's
	// load report.
	minPollInterval = 500 * time.Millisecond
	// maxPollsPerSecond is the maximum total poll rate of the engines in use.
	maxPollsPerSecond = 16
	// minIdlePollsPerSecond is the total poll rate reserved for the engines
	// that are not in use. Their rate is higher while few engines are in use.
	minIdlePollsPerSecond = 4
	// maxEventStreams is the maximum number of engines for which cache events
	// are read. Every router receives every event, which is too much in a
	// larger fleet; routers then rely on the cached tokens in responses.
	maxEventStreams = 64
	// failuresUntilLost is the number of consecutive failed polls after which
	// an engine is reported as lost.
	failuresUntilLost = 2

	loadTimeout       = time.Second
	maxLoadBytes      = 64 << 10
	reconnectDelay    = time.Second
	reconcileInterval = 200 * time.Millisecond
)

// Sink receives the reports of engines. Its methods may be called concurrently.
type Sink interface {
	// Loaded is called with a load report that was requested at requestedAt
	// and received at now.
	Loaded(id backend.ID, l openai.Load, requestedAt, now time.Time)
	// Lost is called when failuresUntilLost consecutive polls of an engine
	// have failed.
	Lost(id backend.ID)
	// InUse reports whether requests were sent to the engine recently.
	InUse(id backend.ID, now time.Time) bool
	// CacheEvent is called with the next event of an engine's stream.
	CacheEvent(id backend.ID, e openai.CacheEvent, now time.Time)
}

// Watcher polls the load reports of engines and reads their cache event streams.
type Watcher struct {
	client *http.Client
	sink   Sink
	log    *zap.Logger

	mu      sync.Mutex
	engines map[backend.ID]watchedEngine
	wg      sync.WaitGroup
}

// watchedEngine is the state of an engine that the Watcher watches.
type watchedEngine struct {
	url    string
	events bool
	stop   context.CancelFunc
}

// New returns a Watcher that watches no engines until Run is called.
func New(sink Sink, log *zap.Logger) *Watcher {
	return &Watcher{client: &http.Client{Transport: serverconn.DefaultTransport()}, sink: sink, log: log, engines: map[backend.ID]watchedEngine{}}
}

// Run watches the engines among the servers that the function returns, until ctx
// ends. It calls the function every reconcileInterval.
func (w *Watcher) Run(ctx context.Context, servers func() []backend.Server) {
	defer w.wg.Wait()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		w.reconcile(ctx, servers())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts watching new or changed engines and stops watching engines
// that are no longer listed.
func (w *Watcher) reconcile(ctx context.Context, servers []backend.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := map[backend.ID]bool{}
	for _, s := range servers {
		if s.Kind == backend.Engine {
			listed[s.ID] = true
		}
	}
	events := len(listed) <= maxEventStreams
	for _, s := range servers {
		if s.Kind != backend.Engine {
			continue
		}
		old, known := w.engines[s.ID]
		if known && old.url == s.URL && old.events == events {
			continue
		}
		if known {
			old.stop()
		}
		w.watch(ctx, s, events)
	}
	for id, e := range w.engines {
		if !listed[id] {
			e.stop()
			delete(w.engines, id)
		}
	}
}

// watch starts watching an engine. The caller holds w.mu.
func (w *Watcher) watch(ctx context.Context, s backend.Server, events bool) {
	ctx, stop := context.WithCancel(ctx)
	w.engines[s.ID] = watchedEngine{url: s.URL, events: events, stop: stop}
	w.wg.Go(func() { w.pollLoad(ctx, s) })
	if events {
		w.wg.Go(func() { w.readEvents(ctx, s) })
	}
}

// interval returns the time between two polls of an engine's load report.
// Engines in use get most of the total poll rate. If an engine becomes used or
// unused, its interval changes after the current one.
func (w *Watcher) interval(id backend.ID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	enginesInUse := 0
	for e := range w.engines {
		if w.sink.InUse(e, now) {
			enginesInUse++
		}
	}
	return pollInterval(enginesInUse, len(w.engines), w.sink.InUse(id, now))
}

// pollInterval returns the poll interval of an engine. inUse says whether it is
// one of the enginesInUse out of all engines.
func pollInterval(enginesInUse, engines int, inUse bool) time.Duration {
	n, perSecond := enginesInUse, maxPollsPerSecond
	if !inUse {
		n, perSecond = engines-enginesInUse, max(minIdlePollsPerSecond, maxPollsPerSecond-2*enginesInUse)
	}
	return max(time.Duration(n)*time.Second/time.Duration(perSecond), minPollInterval)
}

// pollLoad polls an engine's load report until ctx ends.
func (w *Watcher) pollLoad(ctx context.Context, s backend.Server) {
	failures := 0
	for {
		requestedAt := time.Now()
		l, err := w.getLoad(ctx, s)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			failures = 0
			w.sink.Loaded(s.ID, l, requestedAt, time.Now())
		default:
			failures++
		}
		if failures == failuresUntilLost {
			w.log.Warn("engine_lost", zap.String("engine", string(s.ID)), zap.Error(err))
			w.sink.Lost(s.ID)
		}
		if !pause(ctx, w.interval(s.ID)) {
			return
		}
	}
}

func (w *Watcher) getLoad(ctx context.Context, s backend.Server) (openai.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var l openai.Load
	body, err := w.get(ctx, s, pathLoad)
	if err != nil {
		return l, err
	}
	defer body.Close()
	err = json.NewDecoder(io.LimitReader(body, maxLoadBytes)).Decode(&l)
	return l, errors.Wrap(err, "decode load report")
}

// readEvents reads an engine's cache events and reconnects when the stream
// ends. Events lost in the meantime show as a gap in the sequence numbers.
func (w *Watcher) readEvents(ctx context.Context, s backend.Server) {
	for {
		err := w.readEventStream(ctx, s)
		if ctx.Err() != nil {
			return
		}
		w.log.Debug("cache_events_ended", zap.String("engine", string(s.ID)), zap.Error(err))
		if !pause(ctx, reconnectDelay) {
			return
		}
	}
}

// readEventStream reads cache events from one connection until it fails.
func (w *Watcher) readEventStream(ctx context.Context, s backend.Server) error {
	body, err := w.get(ctx, s, pathEvents)
	if err != nil {
		return err
	}
	defer body.Close()
	r := sse.NewReader(body, 0)
	for {
		ev, err := r.Next()
		if err != nil {
			return err
		}
		var e openai.CacheEvent
		if err := json.Unmarshal(ev.Data, &e); err != nil {
			return errors.Wrap(err, "decode cache event")
		}
		w.sink.CacheEvent(s.ID, e, time.Now())
	}
}

func (w *Watcher) get(ctx context.Context, s backend.Server, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(s.URL, "/")+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "get "+path)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Errorf("get %s: status %d", path, resp.StatusCode)
	}
	return resp.Body, nil
}

// pause waits for a random time between 3/4 d and 5/4 d and reports whether ctx
// has not ended. The jitter prevents routers from polling at the same time.
func pause(ctx context.Context, d time.Duration) bool {
	d = d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
	return clock.Sleep(ctx, d)
}
