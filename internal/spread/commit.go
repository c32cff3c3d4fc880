package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// supportTimeout is the time limit for collecting support for a commit.
const supportTimeout = 600 * time.Millisecond

// ErrNoMajority means that no majority of the routers supported a commit within
// the time limit. Nothing was written.
var ErrNoMajority = errors.Wrap(platform.ErrUnavailable, "no majority of the routers can be reached")

// Commit implements head.Committer. It writes only after a majority of the
// roster supports the commit.
func (s *Spreader) Commit(ctx context.Context, base head.Read, next head.Head, checks []platform.Check, writes []platform.Write) error {
	electorate, err := s.electorate(ctx, base.Head)
	if err != nil {
		return err
	}
	id := freshness.ProposalID(rand.Uint64())
	proposal := freshness.NewProposal(id, base.Head, ids(electorate), time.Now())
	s.gatherSupport(ctx, proposal, electorate)
	if !proposal.MaySend(time.Now()) {
		s.withdrawSupport(ctx, id, electorate)
		return ErrNoMajority
	}
	sendCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	sent := time.Now()
	err = head.Direct{Table: s.opts.Table}.Commit(sendCtx, base, next, checks, writes)
	switch {
	case err == nil:
		s.update(func(st *state, now time.Time) { st.observe(next, sent, now) })
		s.wakePoll()
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		s.withdrawSupport(ctx, id, electorate)
	}
	return err
}

const (
	ticketAttempts   = 3
	ticketRetryDelay = 400 * time.Millisecond
)

// ticketCommitter commits tickets. It retries a commit that found no majority,
// because members that have just started may not be reachable yet and an
// operator is waiting for the result.
type ticketCommitter struct{ s *Spreader }

// Commit implements head.Committer.
func (c ticketCommitter) Commit(ctx context.Context, base head.Read, next head.Head, checks []platform.Check, writes []platform.Write) error {
	for attempt := 1; ; attempt++ {
		err := c.s.Commit(ctx, base, next, checks, writes)
		if !errors.Is(err, ErrNoMajority) || attempt == ticketAttempts {
			return err
		}
		select {
		case <-time.After(ticketRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}

// electorate returns the members whose support counts for a commit on top of
// base.
func (s *Spreader) electorate(ctx context.Context, base head.Head) ([]vm.VM, error) {
	s.mu.Lock()
	r := s.state.roster
	s.mu.Unlock()
	if r.Version != base.Roster {
		var err error
		var read head.Read
		read, r, err = s.roster.Read(ctx)
		if err != nil {
			return nil, err
		}
		if read.Head != base {
			return nil, errors.Wrap(platform.ErrConflict, "the head has changed")
		}
	}
	s.mu.Lock()
	gone := s.state.absence.Gone(time.Now())
	s.mu.Unlock()
	if len(gone) == 0 {
		return r.Members, nil
	}
	rows, err := s.roster.Presences(ctx)
	if err != nil {
		return nil, err
	}
	return roster.Electorate(r, gone, rows, time.Now()), nil
}

func ids(vms []vm.VM) []vm.ID {
	out := make([]vm.ID, len(vms))
	for i, v := range vms {
		out[i] = v.ID
	}
	return out
}

// withListedAddresses adds an entry for each member that the platform lists at
// another address than the roster does. A replaced VM can be reached at its new
// address before the roster is updated. Support is counted by the VM ID in the
// reply, so the duplicate entry adds no vote.
func (s *Spreader) withListedAddresses(members []vm.VM) []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[vm.ID]string{}
	for _, m := range s.state.listed {
		listed[vm.ID(m.ID)] = m.PeerAddress
	}
	out := slices.Clone(members)
	for _, m := range members {
		if addr := listed[m.ID]; addr != "" && addr != m.PeerAddress {
			m.PeerAddress = addr
			out = append(out, m)
		}
	}
	return out
}

// gatherSupport requests support from the electorate and returns when a
// majority has given it or the time limit is reached.
func (s *Spreader) gatherSupport(ctx context.Context, p *freshness.Proposal, electorate []vm.VM) {
	ctx, cancel := context.WithTimeout(ctx, supportTimeout)
	defer cancel()
	supporters := make(chan vm.ID, 2*len(electorate))
	var wg sync.WaitGroup
	for _, m := range s.withListedAddresses(electorate) {
		wg.Go(func() {
			if supporter, err := s.requestSupport(ctx, p, m); err == nil {
				supporters <- supporter
			}
		})
	}
	go func() {
		wg.Wait()
		close(supporters)
	}()
	for supporter := range supporters {
		p.Supported(supporter)
		if p.MaySend(time.Now()) {
			return
		}
	}
}

func (s *Spreader) requestSupport(ctx context.Context, p *freshness.Proposal, m vm.VM) (vm.ID, error) {
	request := &peer.SupportRequest{Proposal: uint64(p.ID), BaseNumber: uint64(p.Base.Number), BaseRoster: uint64(p.Base.Roster)}
	if m.ID == s.opts.Self.ID {
		_, err := s.Support(ctx, request)
		return m.ID, err
	}
	client, err := s.opts.Peers.Control(m.PeerAddress)
	if err != nil {
		return "", err
	}
	reply, err := client.Support(ctx, request)
	if err != nil {
		return "", errors.Wrap(err, "ask for support")
	}
	return vm.ID(reply.GetVm()), nil
}

// withdrawSupport notifies the electorate in the background that a commit
// failed. Support that can't be withdrawn expires.
func (s *Spreader) withdrawSupport(ctx context.Context, id freshness.ProposalID, electorate []vm.VM) {
	request := &peer.WithdrawRequest{Proposal: uint64(id)}
	ctx = context.WithoutCancel(ctx)
	for _, m := range electorate {
		if m.ID == s.opts.Self.ID {
			_, _ = s.Withdraw(ctx, request)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			client, err := s.opts.Peers.Control(m.PeerAddress)
			if err == nil {
				_, err = client.Withdraw(ctx, request)
			}
			if err != nil {
				s.opts.Log.Debug("support_not_withdrawn", zap.String("peer", string(m.ID)), zap.Error(err))
			}
		}()
	}
}

// Support implements peer.ControlServer.
func (s *Spreader) Support(_ context.Context, req *peer.SupportRequest) (*peer.SupportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := head.Head{Number: config.Number(req.GetBaseNumber()), Roster: head.RosterVersion(req.GetBaseRoster())}
	s.state.supporter.Support(freshness.ProposalID(req.GetProposal()), base, time.Now())
	return &peer.SupportReply{Vm: string(s.opts.Self.ID)}, nil
}

// Withdraw implements peer.ControlServer.
func (s *Spreader) Withdraw(_ context.Context, req *peer.WithdrawRequest) (*peer.WithdrawReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.supporter.Withdraw(freshness.ProposalID(req.GetProposal()), time.Now())
	return &peer.WithdrawReply{}, nil
}
