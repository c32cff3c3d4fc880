// Package linkmeter counts the bytes that a VM sends and receives on its link, by what they are for.
package linkmeter

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Kind is what bytes are for.
type Kind uint8

const (
	// Gossip are the messages between VMs about their state.
	Gossip Kind = iota
	// Peers are the connections that other VMs open: states, tunnels and metrics.
	Peers
	// Servers are the requests to backend servers and their responses, also those through other VMs.
	Servers
	// Callers are the requests of callers and the responses to them.
	Callers
	kinds
)

var names = [kinds]string{"gossip", "peers", "servers", "callers"}

// String returns the name in metrics and logs.
func (k Kind) String() string { return names[k] }

// Meter counts the bytes of a VM. A nil Meter counts nothing.
type Meter struct{ sent, received [kinds]atomic.Int64 }

// New returns a Meter whose counts are metrics, in bytes since the start of the process.
func New(r metrics.Registry) *Meter {
	m := &Meter{}
	for k := range kinds {
		r.GetOrRegister("link_sent."+k.String(), metrics.NewFunctionalGauge(m.sent[k].Load))
		r.GetOrRegister("link_received."+k.String(), metrics.NewFunctionalGauge(m.received[k].Load))
	}
	return m
}

// Sent counts bytes that were handed to the operating system.
func (m *Meter) Sent(k Kind, n int) {
	if m != nil {
		m.sent[k].Add(int64(n))
	}
}

// Received counts bytes that were read.
func (m *Meter) Received(k Kind, n int) {
	if m != nil {
		m.received[k].Add(int64(n))
	}
}

// Traffic is the number of bytes by kind from the start of the process to a time.
type Traffic struct {
	At             time.Time
	Sent, Received [kinds]int64
}

// Read returns the bytes so far.
func (m *Meter) Read(now time.Time) Traffic {
	t := Traffic{At: now}
	for k := range kinds {
		t.Sent[k], t.Received[k] = m.sent[k].Load(), m.received[k].Load()
	}
	return t
}

// Rates returns the bits a second since an earlier reading, sent and received, all kinds together.
func (t Traffic) Rates(since Traffic) (sent, received float64) {
	seconds := t.At.Sub(since.At).Seconds()
	if seconds <= 0 {
		return 0, 0
	}
	for k := range kinds {
		sent += float64(t.Sent[k]-since.Sent[k]) * 8 / seconds
		received += float64(t.Received[k]-since.Received[k]) * 8 / seconds
	}
	return sent, received
}
