package gossip

import (
	"sync"
	"time"
)

const (
	// datagramOverhead is the size of the headers of a datagram, in bytes.
	datagramOverhead = 28
	// maxPause bounds the pause after messages that are large for the link. Digests must follow one
	// another well within SilenceLimit.
	maxPause = 500 * time.Millisecond
)

// pacer bounds the bandwidth that messages take. Datagrams that a link can't carry wait in front of all
// other traffic of the VM, as nothing slows their sender down.
type pacer struct {
	// bitRate is the bandwidth for messages in bits per second; 0 means no bound.
	bitRate float64

	mu   sync.Mutex
	free time.Time
}

// record counts messages of the given size in bytes that were sent to a number of VMs.
func (p *pacer) record(size, recipients int, now time.Time) {
	if p.bitRate <= 0 {
		return
	}
	bits := float64((size+datagramOverhead)*recipients) * 8
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(bits / p.bitRate * float64(time.Second)))
	if latest := now.Add(maxPause); p.free.After(latest) {
		p.free = latest
	}
}

// pause returns the time until the messages so far have taken no more than their bandwidth.
func (p *pacer) pause(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.free.Sub(now))
}

// Pause returns how long the next message should wait so that messages don't take more of the link
// than they may.
func (n *Node) Pause() time.Duration { return n.pacer.pause(n.opts.Now()) }
