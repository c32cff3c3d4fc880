package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// withKeyAndHost returns the next version of a gateway's configuration, with an account of the given key
// and a further route.
func withKeyAndHost(g *Gateway, key, host string) catalog.Snapshot {
	s := g.Catalog().Snapshot
	s.Version++
	s.Accounts = append([]catalog.Account{}, s.Accounts...)
	s.Accounts = append(s.Accounts, catalog.Account{ID: "a", KeyHashes: []string{account.HashSecret(key)}})
	s.Routes = append([]catalog.Route{}, s.Routes...)
	added := s.Routes[0]
	added.Name, added.Host = host, host
	s.Routes = append(s.Routes, added)
	return s
}

// newOutdatedGateway returns a gateway with version 2 and a function that publishes version 3, which
// another VM has, with another key and a further route.
func newOutdatedGateway(t *testing.T, newest *atomic.Uint64) (g *Gateway, publish func()) {
	g, _ = newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
	})
	g.opts.NewerCatalogKnown = func(v catalog.Version) bool { return uint64(v) < newest.Load() }
	g.Publish(withKeyAndHost(g, "old-key", "old.example"))
	next := withKeyAndHost(g, "new-key", "new.example")
	return g, func() { g.Publish(next) }
}

func TestOutdatedConfigurationRefusesNewKeyOrRoute(t *testing.T) {
	for name, change := range map[string]func(*Call){
		"key":   func(c *Call) { c.Key = "new-key" },
		"route": func(c *Call) { c.Key, c.Host = "old-key", "new.example" },
	} {
		t.Run(name, func(t *testing.T) {
			var newest atomic.Uint64
			newest.Store(3)
			g, publish := newOutdatedGateway(t, &newest)
			time.AfterFunc(100*time.Millisecond, publish)
			c, sink := modelCall(), &recordingSink{}
			change(c)
			g.Serve(context.Background(), c, sink)
			if sink.refusal != nil || sink.body.Len() == 0 {
				t.Errorf("refused with %+v", sink.refusal)
			}
		})
	}
}

func serveWithKey(g *Gateway, key string) (*verdict.Error, time.Duration) {
	c, sink, began := modelCall(), &recordingSink{}, time.Now()
	c.Key = key
	g.Serve(context.Background(), c, sink)
	return sink.refusal, time.Since(began)
}

func TestRefusalOfOutdatedConfigurationIsTemporary(t *testing.T) {
	var newest atomic.Uint64
	newest.Store(3)
	g, publish := newOutdatedGateway(t, &newest)
	e, took := serveWithKey(g, "new-key")
	if e == nil || e.Status != http.StatusServiceUnavailable || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 || took > 2*maxCatalogWait {
		t.Errorf("refused with %+v after %v", e, took)
	}
	newest.Store(2) // No live VM has a newer one any more.
	if e, took = serveWithKey(g, "new-key"); e == nil || e.Status != http.StatusUnauthorized || took >= maxCatalogWait {
		t.Errorf("refused with %+v after %v", e, took)
	}
	newest.Store(3)
	publish()
	if e, took = serveWithKey(g, "wrong-key"); e == nil || e.Status != http.StatusUnauthorized || took >= maxCatalogWait {
		t.Errorf("refused with %+v after %v", e, took)
	}
}

func TestUnknownKeysDontHoldConnectionsOfOutdatedVM(t *testing.T) {
	var newest atomic.Uint64
	newest.Store(3)
	g, _ := newOutdatedGateway(t, &newest)
	var waiting sync.WaitGroup
	for range maxCatalogWaiters {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			serveWithKey(g, "wrong-key")
		}()
	}
	for g.catalogWaiters.Load() < maxCatalogWaiters {
		time.Sleep(time.Millisecond)
	}
	if e, took := serveWithKey(g, "wrong-key"); e == nil || e.Code != codeConfigurationOutdated || took >= maxCatalogWait/2 {
		t.Errorf("refused with %+v after %v", e, took)
	}
	waiting.Wait()
	if n := g.catalogWaiters.Load(); n != 0 {
		t.Errorf("%d calls are counted as waiting", n)
	}
}
