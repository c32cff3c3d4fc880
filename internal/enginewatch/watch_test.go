package enginewatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
)

type nullSink struct{}

func (nullSink) Loaded(backend.ID, openai.Load, time.Time, time.Time) {}
func (nullSink) Lost(backend.ID)                                      {}
func (nullSink) CacheEvent(backend.ID, openai.CacheEvent, time.Time)  {}
func (nullSink) InUse(backend.ID, time.Time) bool                     { return true }

// TestEventStreamsAreBounded checks that no cache events are read if there are
// more than maxEventStreams engines.
func TestEventStreamsAreBounded(t *testing.T) {
	tests := []struct {
		desc    string
		engines int
		streams int64
	}{
		{"20 engines", 20, 20},
		{"one engine over the maximum", maxEventStreams + 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var streams, loads atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == pathEvents {
					streams.Add(1)
				} else {
					loads.Add(1)
				}
			}))
			defer srv.Close()
			var servers []backend.Server
			for i := range tt.engines {
				servers = append(servers, backend.Server{ID: backend.ID(fmt.Sprint(i)), Kind: backend.Engine, URL: srv.URL})
			}
			ctx, cancel := context.WithCancel(t.Context())
			w := New(nullSink{}, zap.NewNop())
			w.reconcile(ctx, servers)
			for loads.Load() < int64(tt.engines) || streams.Load() < tt.streams {
				time.Sleep(time.Millisecond)
			}
			cancel()
			w.wg.Wait()
			if got := streams.Load(); got < tt.streams || tt.streams == 0 && got > 0 {
				t.Errorf("%d event streams, want %d", got, tt.streams)
			}
		})
	}
}

func TestPollInterval(t *testing.T) {
	tests := []struct {
		desc      string
		used, all int
		inUse     bool
		want      time.Duration
	}{
		{"few engines, all in use", 3, 3, true, minPollInterval},
		{"20 engines, all in use", 20, 20, true, 1250 * time.Millisecond},
		{"many engines, in use", 48, 600, true, 3 * time.Second},
		{"many engines, not in use", 48, 600, false, 138 * time.Second},
		{"20 engines, all idle", 0, 20, false, 1250 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			if got := pollInterval(tc.used, tc.all, tc.inUse); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPollBudget checks that the total poll rate is bounded for any number of
// engines in use.
func TestPollBudget(t *testing.T) {
	const maxPerSecond = maxPollsPerSecond + minIdlePollsPerSecond
	for _, all := range []int{3, 20, 600} {
		for used := range all + 1 {
			busy := float64(used) / pollInterval(used, all, true).Seconds()
			idle := float64(all-used) / pollInterval(used, all, false).Seconds()
			if busy+idle > maxPerSecond+0.1 {
				t.Errorf("%d of %d in use: %.1f polls per second, want at most %d", used, all, busy+idle, maxPerSecond)
			}
		}
	}
}
