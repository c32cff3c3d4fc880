package poison

import (
	"context"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/vm"
)

// HandleAcquire answers as the home of a content. It waits while the suspect
// runs elsewhere, until the context ends.
func (g *Guard) HandleAcquire(ctx context.Context, r AcquireRequest) Decision {
	g.sync()
	polled, told := false, false
	for {
		g.mu.Lock()
		d := g.home.Acquire(g.now(), r.From, r.Version, r.Content, r.Evidence)
		changed := g.changed
		g.mu.Unlock()
		switch {
		case d.Kind != Pending && d.Kind != Busy, ctx.Err() != nil:
			return d
		case d.Kind == Pending && told:
			// A VM answered under another roster.
			g.peers.Refresh(ctx)
			g.sync()
			clock.Sleep(ctx, retryPause)
			told = false
		case d.Kind == Pending || !polled:
			told = d.Kind == Pending
			polled = d.Kind == Busy
			g.announce(ctx, r.Content, d.Ask)
		default:
			polled = g.waitChange(ctx, changed)
		}
	}
}

// waitChange waits for the end of a run and reports whether one was recorded
// before the next poll is due.
func (g *Guard) waitChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// HandleFinish records the end of a run. It returns when the other VMs know of
// new evidence, or the context ends.
func (g *Guard) HandleFinish(ctx context.Context, f Finish) {
	g.peers.Refresh(ctx)
	g.sync()
	g.mu.Lock()
	ask := g.home.Finish(g.now(), f)
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
	for len(ask) > 0 {
		g.announce(ctx, f.Content, ask)
		g.sync()
		g.mu.Lock()
		ask = g.home.Unacked(f.Content)
		g.mu.Unlock()
		if len(ask) > 0 && !clock.Sleep(ctx, retryPause) {
			return
		}
	}
}

// HandleAnnounce takes in what a home tells this VM.
func (g *Guard) HandleAnnounce(ctx context.Context, a Announcement) Ack {
	if g.sync().Version != a.Version {
		g.peers.Refresh(ctx)
		g.sync()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.Announce(g.now(), a)
}

// HandleReserve answers for the slot of a server that this VM looks after.
func (g *Guard) HandleReserve(server backend.ID, c Content) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots.Reserve(g.now(), server, c)
}

// Suspects returns all evidence that this VM has.
func (g *Guard) Suspects() []Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.Suspects()
}

// announce tells the VMs of a suspect and takes in their answers.
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
		g.home.Lost(a.Content, id)
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

// Learn asks the other VMs for their evidence. A VM that has started calls it
// before it serves, because the evidence it had acknowledged is lost.
func (g *Guard) Learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range g.sync().Members {
		if id == g.self {
			continue
		}
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
				g.local.Learn(g.now(), s.Content, s.Evidence)
			}
		}()
	}
	wg.Wait()
}

// Sweep forgets old evidence now and then, until the context ends.
func (g *Guard) Sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		g.mu.Lock()
		g.home.Expire(g.now())
		g.local.Expire(g.now())
		g.slots.Expire(g.now())
		g.mu.Unlock()
	}
}
