package poison

import (
	"context"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/vm"
)

// HandleAcquire decides on a request for a grant as the home of the content. It
// waits until the context ends while the suspect is running elsewhere.
func (g *Guard) HandleAcquire(ctx context.Context, r AcquireRequest) Decision {
	g.syncRoster()
	polled, announced := false, false
	for {
		g.mu.Lock()
		d := g.home.Acquire(g.now(), r.From, r.Version, r.Content, r.Evidence)
		runEnded := g.runEnded
		g.mu.Unlock()
		switch {
		case d.Kind != Pending && d.Kind != Busy, ctx.Err() != nil:
			return d
		case d.Kind == Pending && announced:
			// A VM replied with another roster version.
			g.peers.Refresh(ctx)
			g.syncRoster()
			clock.Sleep(ctx, retryDelay)
			announced = false
		case d.Kind == Pending || !polled:
			announced = d.Kind == Pending
			polled = d.Kind == Busy
			g.announce(ctx, r.Content, d.AnnounceTo)
		default:
			polled = g.waitForEnd(ctx, runEnded)
		}
	}
}

// waitForEnd waits for the end of a run and reports whether one was recorded
// before the next poll is due.
func (g *Guard) waitForEnd(ctx context.Context, runEnded <-chan struct{}) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-runEnded:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// HandleFinish records the end of a run. It returns when the other VMs have
// acknowledged any new evidence, or when the context ends.
func (g *Guard) HandleFinish(ctx context.Context, f Finish) {
	g.peers.Refresh(ctx)
	g.syncRoster()
	g.mu.Lock()
	unacked := g.home.Finish(g.now(), f)
	close(g.runEnded)
	g.runEnded = make(chan struct{})
	g.mu.Unlock()
	for len(unacked) > 0 {
		g.announce(ctx, f.Content, unacked)
		g.syncRoster()
		g.mu.Lock()
		unacked = g.home.Unacked(f.Content)
		g.mu.Unlock()
		if len(unacked) > 0 && !clock.Sleep(ctx, retryDelay) {
			return
		}
	}
}

// HandleAnnounce applies an announcement from a home.
func (g *Guard) HandleAnnounce(ctx context.Context, a Announcement) Ack {
	if g.syncRoster().Version != a.Version {
		g.peers.Refresh(ctx)
		g.syncRoster()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.HandleAnnouncement(g.now(), a)
}

// HandleReserve reserves the slot of a server that is assigned to this VM.
func (g *Guard) HandleReserve(server backend.ID, c Content) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots.Reserve(g.now(), server, c)
}

// Suspects returns all evidence stored on this VM.
func (g *Guard) Suspects() []Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.Announcements()
}

// HandleExchange applies evidence on prompt prefixes and returns the convictions in force.
func (g *Guard) HandleExchange(from vm.ID, n *crashcause.Notices) *crashcause.Notices {
	return g.causes.handleExchange(from, n)
}

// announce sends the evidence on a content to the VMs and records their
// acknowledgements.
func (g *Guard) announce(ctx context.Context, c Content, to []vm.ID) {
	if len(to) == 0 {
		return
	}
	g.mu.Lock()
	a := g.home.Announcement(c)
	g.mu.Unlock()
	var wg sync.WaitGroup
	for _, id := range to {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.announceTo(ctx, id, a)
		}()
	}
	wg.Wait()
}

func (g *Guard) announceTo(ctx context.Context, id vm.ID, a Announcement) {
	ack, err := g.callAnnounce(ctx, id, a)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.home.Ack(g.now(), a, ack)
	case ctx.Err() == nil:
		g.home.MarkUnreachable(a.Content, id)
	}
}

func (g *Guard) callAnnounce(ctx context.Context, id vm.ID, a Announcement) (Ack, error) {
	if id == g.self {
		return g.HandleAnnounce(ctx, a), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.peers.Announce(ctx, id, a)
}

// FetchEvidence fetches the evidence of the other VMs. A VM calls it after it starts
// and before it serves, because a restart loses the evidence that it had
// acknowledged.
func (g *Guard) FetchEvidence(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range g.syncRoster().Members {
		if id == g.self {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.causes.exchangeWith(ctx, id, nil)
		}()
		wg.Add(1)
		go func() {
			defer wg.Done()
			suspects, err := g.peers.Suspects(ctx, id)
			if err != nil {
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, s := range suspects {
				g.local.MergeEvidence(g.now(), s.Content, s.Evidence)
			}
		}()
	}
	wg.Wait()
}

// Sweep deletes expired evidence and slots, and repeats convictions, periodically until the context
// ends.
func (g *Guard) Sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		g.mu.Lock()
		g.home.Expire(g.now())
		g.local.Expire(g.now())
		g.slots.Expire(g.now())
		g.mu.Unlock()
		g.causes.repeat()
	}
}
