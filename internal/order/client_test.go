package order

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/lease"
)

// TestTracker checks when a holder waits, reads, sends and stops.
func TestTracker(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	term := lease.Term{Fencing: 2, Since: start, Until: at(time.Minute)}
	old, want := Weights{"m": "v1"}, Weights{"m": "v2"}
	read := func(tr *Tracker) { tr.Reported(old, at(2*time.Second)) }
	sent := func(tr *Tracker) {
		read(tr)
		tr.Sent(want, at(2*time.Second))
		tr.Reported(old, at(3*time.Second))
	}
	tests := []struct {
		desc   string
		checks bool
		before func(*Tracker)
		now    time.Duration
		want   Kind
	}{
		{"waits for the earlier holder's sends", false, nil, MaxSend, Wait},
		{"reads first", false, nil, MaxSend + 1, Read},
		{"reads at once if the engine checks fencing", true, nil, 0, Read},
		{"sends what differs", false, read, 2 * time.Second, Send},
		{"waits for the order to take effect", false, sent, 3 * time.Second, Wait},
		{"reads back", false, sent, 3*time.Second + ReadInterval, Read},
		{"stops before the lease ends", false, read, time.Minute - MaxSend, Stop},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tr := &Tracker{}
			tr.Next(at(0), term, tt.checks, want)
			if tt.before != nil {
				tt.before(tr)
			}
			if got := tr.Next(at(tt.now), term, tt.checks, want); got.Kind != tt.want {
				t.Errorf("Next = %+v, want kind %d", got, tt.want)
			}
		})
	}
}

// TestSendOnce sends an order to an engine that closes the connection without a
// response: the order is sent once, and not at all after its deadline.
func TestSendOnce(t *testing.T) {
	var got atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	c := NewClient()
	if err := c.Send(context.Background(), srv.URL, 1, Weights{"m": "v1"}, time.Now().Add(MaxSend)); err == nil {
		t.Error("Send = nil, want an error for a closed connection")
	}
	if n := got.Load(); n != 1 {
		t.Errorf("the engine got %d orders, want 1", n)
	}
	err := c.Send(context.Background(), srv.URL, 1, Weights{"m": "v1"}, time.Now().Add(-time.Millisecond))
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() || got.Load() != 1 {
		t.Errorf("after the deadline: %v, %d orders", err, got.Load())
	}
}

// TestFenced checks that the refusal of an old fencing token is returned as
// ErrFenced.
func TestFenced(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "old fencing token", http.StatusConflict)
	}))
	defer srv.Close()
	err := NewClient().Send(context.Background(), srv.URL, 1, Weights{"m": "v1"}, time.Now().Add(MaxSend))
	if !errors.Is(err, ErrFenced) {
		t.Errorf("Send = %v, want ErrFenced", err)
	}
}
