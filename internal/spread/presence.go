package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// joinInterval is the minimum sweep interval of a VM that is waiting for
	// admission.
	joinInterval = 200 * time.Millisecond
	// joinSpacing is the range of the random extension of joinInterval per
	// other VM. It makes it likely that one of many simultaneously starting VMs
	// admits the others.
	joinSpacing = 10 * time.Millisecond
)

func (s *Spreader) renewInterval() time.Duration {
	return roster.RenewInterval(len(s.View().Roster.Members))
}

func (s *Spreader) sweepInterval() time.Duration {
	if v := s.View(); v.Member {
		return roster.SweepInterval(len(v.Roster.Members))
	}
	return joinInterval + rand.N(1+time.Duration(len(s.candidates()))*joinSpacing)
}

// presence returns the content of this VM's presence row.
func (s *Spreader) presence() roster.Presence {
	self := s.opts.Self
	self.Leaving = s.leaving.Load()
	return roster.Presence{
		VM:        self,
		Head:      s.View().Head,
		Left:      s.left.Load(),
		RenewedAt: time.Now().UTC().Round(0),
	}
}

// renewPresence writes the presence row, which acknowledges the head in force,
// unless this VM has left.
func (s *Spreader) renewPresence(ctx context.Context) {
	if s.left.Load() {
		return
	}
	s.writePresence(ctx)
}

func (s *Spreader) writePresence(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if err := s.roster.Renew(ctx, s.presence()); err != nil {
		s.opts.Log.Debug("presence_not_renewed", zap.Error(err))
	}
}

// StartLeaving marks this VM as leaving, so that callers are directed to other
// VMs. It continues to serve requests.
func (s *Spreader) StartLeaving(ctx context.Context) {
	s.leaving.Store(true)
	s.writePresence(ctx)
	s.changeRoster(ctx, func(_ head.Head, r *roster.Roster, _ []roster.Presence) roster.Change {
		self, ok := r.Get(s.opts.Self.ID)
		if !ok {
			return roster.Change{}
		}
		self.Leaving = true
		return roster.Change{Admit: []vm.VM{self}}
	})
}

// Leave removes this VM from the roster after it has stopped serving. If that
// fails, the sweep of another VM removes it later.
func (s *Spreader) Leave(ctx context.Context) {
	s.left.Store(true)
	s.writePresence(ctx)
	s.changeRoster(ctx, func(_ head.Head, r *roster.Roster, _ []roster.Presence) roster.Change {
		if !r.Contains(s.opts.Self.ID) {
			return roster.Change{}
		}
		return roster.Change{Remove: []vm.ID{s.opts.Self.ID}}
	})
}

// readMembers reads the platform's membership list.
func (s *Spreader) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	list, err := s.opts.Membership.Members(ctx)
	if err != nil {
		s.opts.Log.Debug("membership_unread", zap.Error(err))
		return
	}
	listed := make([]vm.ID, len(list))
	for i, m := range list {
		listed[i] = vm.ID(m.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.listed = list
	s.state.absence.Observe(s.state.roster, listed, time.Now())
}
