package poison

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// exchangeInterval is the interval at which evidence on prompt prefixes is sent to the other
	// VMs and settled after a crash.
	exchangeInterval = 100 * time.Millisecond
	// exchangeTime is how long that goes on after the evidence last changed: longer than the evidence is
	// announced and takes to settle.
	exchangeTime = 3 * time.Second
	// clearingTime is how long after a crash successes are sent to the other VMs. A success later
	// matters only if it changes a conviction.
	clearingTime = 30 * time.Second
	// maxHold bounds how long a request is held back while the evidence against its prompt settles,
	// which takes less than half of it.
	maxHold = 1 * time.Second
	// holdInterval is the interval at which a request that is held back is checked again.
	holdInterval = 20 * time.Millisecond
	// beginTime is the time after the first byte of a response within which a crash may still be
	// due to the beginning of the response.
	beginTime = 500 * time.Millisecond
)

// causes finds the prompt prefixes that crash servers, whatever else the requests hold. It sends
// messages only after crashes.
type causes struct {
	self  vm.ID
	peers Peers
	table *crashcause.Table
	now   func() time.Time

	mu sync.Mutex
	// changedAt and crashAt are when the evidence last changed and when the last crash became known.
	changedAt, crashAt time.Time
	exchanging         bool
}

func newCauses(self vm.ID, peers Peers, now func() time.Time, rec *recorder) *causes {
	c := &causes{self: self, peers: peers, now: now}
	c.table = crashcause.NewTable(now, func(change crashcause.Change) {
		rec.causeChanged(change)
		c.recordChange(false)
	})
	return c
}

// convicted returns the conviction because of which a request is refused, and the time until it
// ends.
func (c *causes) convicted(s RunRequest) (crashcause.Conviction, time.Duration, bool) {
	if s.Traits == nil {
		return crashcause.Conviction{}, 0, false
	}
	return c.table.Convicted(s.Traits())
}

// hold waits while the conviction of a request depends on evidence that is about to settle.
func (c *causes) hold(ctx context.Context, s RunRequest) {
	if s.Traits == nil {
		return
	}
	for until := c.now().Add(maxHold); c.table.Pending(s.Traits()) && c.now().Before(until); {
		if !clock.Sleep(ctx, holdInterval) {
			return
		}
	}
}

// recordEnd records the end of a run as evidence. After a crash, each of the other VMs has the
// evidence at the end of the wait group, which takes at most callTimeout, or is not reachable.
func (c *causes) recordEnd(r *Run, end End, begun bool) *sync.WaitGroup {
	var sent sync.WaitGroup
	if r.traits == nil {
		return &sent
	}
	switch end {
	case Completed:
		c.table.RecordSuccess(r.traits(), 0)
		c.mu.Lock()
		recent := !c.crashAt.IsZero() && c.now().Sub(c.crashAt) < clearingTime
		c.mu.Unlock()
		if recent {
			c.recordChange(false)
		}
	case Crashed:
		run := crashcause.Run{Traits: r.traits(), Sent: r.sent, Begun: begun}
		c.table.RecordCrash(c.crashKey(r), c.now(), []crashcause.Run{run})
		c.recordChange(true)
		return c.send(c.table.Notices(crashcause.OwnDomain, false))
	}
	return &sent
}

// crashKey identifies the crash that ended a run. VMs that know the same incarnation of the server
// give it the same key. Without one, or after a crash of that incarnation, the key is that of this
// VM: the crash then may count twice, but crashes that are counted one after the other are
// different ones.
func (c *causes) crashKey(r *Run) selector.ServerKey {
	name := string(r.observed)
	if name == "" || r.crashes > 0 {
		name = fmt.Sprintf("%s/%s/%d", name, c.self, r.crashes)
	}
	return selector.ServerKey{ID: r.server, Started: int64(xxhash.Sum64String(name) >> 1)}
}

// recordChange has the evidence sent to the other VMs for exchangeTime.
func (c *causes) recordChange(crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changedAt = c.now()
	if crash {
		c.crashAt = c.changedAt
	}
	if !c.exchanging {
		c.exchanging = true
		go c.exchange()
	}
}

// exchange settles the evidence and sends it until it has not changed for exchangeTime.
func (c *causes) exchange() {
	for {
		c.table.Settle()
		c.send(c.table.Notices(crashcause.OwnDomain, false))
		c.mu.Lock()
		c.exchanging = c.now().Sub(c.changedAt) < exchangeTime
		more := c.exchanging
		c.mu.Unlock()
		if !more || !clock.Sleep(context.Background(), exchangeInterval) {
			return
		}
	}
}

// send sends evidence to the other VMs, each of which gets it at the end of the wait group or is
// not reachable.
func (c *causes) send(n *crashcause.Notices) *sync.WaitGroup {
	sent := &sync.WaitGroup{}
	if n == nil {
		return sent
	}
	for _, id := range c.peers.Roster().Members {
		if id != c.self {
			sent.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				c.exchangeWith(ctx, id, n)
			})
		}
	}
	return sent
}

// exchangeWith sends evidence to a VM and adopts the convictions that it replies with. A VM of an
// earlier build doesn't know the call.
func (c *causes) exchangeWith(ctx context.Context, id vm.ID, n *crashcause.Notices) {
	if reply, err := c.peers.Exchange(ctx, id, c.self, n); err == nil {
		c.table.Apply(reply, string(id), true)
	}
}

// repeat sends the convictions to the other VMs, one of which may have missed them, if this VM is
// the first of the roster.
func (c *causes) repeat() {
	if members := c.peers.Roster().Members; len(members) > 0 && slices.Min(members) == c.self {
		c.send(c.table.AllConvictions())
	}
}

// handleExchange applies evidence from another VM and returns the convictions in force.
func (c *causes) handleExchange(from vm.ID, n *crashcause.Notices) *crashcause.Notices {
	reply := c.table.Apply(n, string(from), true)
	if n != nil && (reply || len(n.Crashes) > 0) {
		c.recordChange(len(n.Crashes) > 0)
	}
	return c.table.AllConvictions()
}
