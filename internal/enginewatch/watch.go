// Package enginewatch follows the engines' load reports and cache events.
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
	"papayaspan.dev/papayaspan/internal/httpbounds"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/sse"
)

const (
	pathLoad   = "/load"
	pathEvents = "/events"

	// minPollInterval is the shortest time between two load reports of one
	// engine.
	minPollInterval = 500 * time.Millisecond
	// maxPollsPerSecond bounds the load reports of the engines in use together.
	maxPollsPerSecond = 16
	// minIdlePollsPerSecond is the share of the other engines together. They
	// get more while few are in use.
	minIdlePollsPerSecond = 4
	// maxEventStreams is the number of engines up to which their cache events
	// are read. In a larger fleet every router would receive every event; the
	// cached tokens of replies must do there.
	maxEventStreams = 64
	// failuresUntilLost is how many reports in a row must fail.
	failuresUntilLost = 2

	loadTimeout       = time.Second
	maxLoadBytes      = 64 << 10
	reconnectDelay    = time.Second
	reconcileInterval = 200 * time.Millisecond
)

// Sink takes in what engines report. Its methods may be called concurrently.
type Sink interface {
	// Loaded gets a load report that was asked for at the time asked.
	Loaded(id backend.ID, l openai.Load, asked, now time.Time)
	// Lost is called when an engine stops reporting.
	Lost(id backend.ID)
	// InUse reports whether the engine was sent requests lately.
	InUse(id backend.ID, now time.Time) bool
	// CacheEvent gets the next event of an engine's stream.
	CacheEvent(id backend.ID, e openai.CacheEvent, now time.Time)
}

// Watcher follows engines.
type Watcher struct {
	client *http.Client
	sink   Sink
	log    *zap.Logger

	mu      sync.Mutex
	engines map[backend.ID]watched
	wg      sync.WaitGroup
}

// watched is an engine that is followed.
type watched struct {
	url    string
	events bool
	stop   context.CancelFunc
}

// New returns a Watcher that follows no engine yet.
func New(sink Sink, log *zap.Logger) *Watcher {
	return &Watcher{client: &http.Client{Transport: httpbounds.Transport()}, sink: sink, log: log, engines: map[backend.ID]watched{}}
}

// Run follows the engines that servers lists until ctx ends.
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

// reconcile starts and stops following engines.
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
		w.follow(ctx, s, events)
	}
	for id, e := range w.engines {
		if !listed[id] {
			e.stop()
			delete(w.engines, id)
		}
	}
}

// follow starts following an engine. The caller holds w.mu.
func (w *Watcher) follow(ctx context.Context, s backend.Server, events bool) {
	ctx, stop := context.WithCancel(ctx)
	w.engines[s.ID] = watched{url: s.URL, events: events, stop: stop}
	w.wg.Go(func() { w.pollLoad(ctx, s) })
	if events {
		w.wg.Go(func() { w.readEvents(ctx, s) })
	}
}

// interval is the time between two load reports of an engine. Engines in use
// share most of the reports; a change of use takes effect after one interval.
func (w *Watcher) interval(id backend.ID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	used := 0
	for e := range w.engines {
		if w.sink.InUse(e, now) {
			used++
		}
	}
	return pollInterval(used, len(w.engines), w.sink.InUse(id, now))
}

func pollInterval(used, all int, inUse bool) time.Duration {
	n, perSecond := used, maxPollsPerSecond
	if !inUse {
		n, perSecond = all-used, max(minIdlePollsPerSecond, maxPollsPerSecond-2*used)
	}
	return max(time.Duration(n)*time.Second/time.Duration(perSecond), minPollInterval)
}

func (w *Watcher) pollLoad(ctx context.Context, s backend.Server) {
	failures := 0
	for {
		asked := time.Now()
		l, err := w.load(ctx, s)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			failures = 0
			w.sink.Loaded(s.ID, l, asked, time.Now())
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

func (w *Watcher) load(ctx context.Context, s backend.Server) (openai.Load, error) {
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

// readEvents reads an engine's cache events and connects again when the stream
// breaks. What was lost meanwhile shows as a gap.
func (w *Watcher) readEvents(ctx context.Context, s backend.Server) {
	for {
		err := w.readStream(ctx, s)
		if ctx.Err() != nil {
			return
		}
		w.log.Debug("cache_events_ended", zap.String("engine", string(s.ID)), zap.Error(err))
		if !pause(ctx, reconnectDelay) {
			return
		}
	}
}

func (w *Watcher) readStream(ctx context.Context, s backend.Server) error {
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

// pause waits for about d and reports whether ctx is still live. The jitter
// keeps routers from polling in step.
func pause(ctx context.Context, d time.Duration) bool {
	d = d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
	return clock.Sleep(ctx, d)
}
