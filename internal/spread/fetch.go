package spread

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/ticket"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// peerTimeout is the time limit for a call to a peer.
	peerTimeout = 1 * time.Second
	// fetchTimeout is the time limit for the transfer of a whole configuration.
	fetchTimeout = 5 * time.Second
	// bootPeers is the number of peers that a new process contacts before it
	// reads the store.
	bootPeers = 3
	// bootTimeout is the time limit for contacting peers at boot.
	bootTimeout = 3 * time.Second
	// bootSpacing is the range of the random boot delay per VM in the
	// membership list. It spreads the first reads of processes that start
	// simultaneously.
	bootSpacing = 6 * time.Millisecond
)

// boot fetches the configuration from a few peers. If none has one, it retries
// once after a random delay, so that only a few of many simultaneously starting
// routers read the platform. The poll loop reads whatever the peers don't have.
func (s *Spreader) boot(ctx context.Context) {
	bootCtx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	s.readMembers(bootCtx)
	candidates := s.candidates()
	s.exchangeAll(bootCtx, pickRandom(candidates, bootPeers))
	if s.View().Head.Number > 0 {
		return
	}
	clock.Sleep(bootCtx, rand.N(1+time.Duration(len(candidates))*bootSpacing))
	s.exchangeAll(bootCtx, pickRandom(candidates, bootPeers))
}

// fetchFromPeer fetches missing configuration and roster data from a peer. It
// does nothing if another fetch is in progress.
func (s *Spreader) fetchFromPeer(ctx context.Context, p vm.VM) error {
	if !s.fetching.TryLock() {
		return nil
	}
	defer s.fetching.Unlock()
	client, err := s.opts.Peers.Control(p.PeerAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	own, base := s.state.evidence.Head(), s.state.config
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := client.Fetch(ctx, &peer.FetchRequest{ConfigNumber: uint64(own.Number), RosterVersion: uint64(own.Roster)})
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	snap, records, err := decodeConfig(base, reply)
	if err != nil {
		return err
	}
	var r *roster.Roster
	if len(reply.GetRoster()) > 0 {
		r = &roster.Roster{}
		if err := json.Unmarshal(reply.GetRoster(), r); err != nil {
			return errors.Wrap(err, "decode roster")
		}
	}
	s.tickets.SetLatest(snap)
	s.update(func(st *state, now time.Time) {
		st.installConfig(snap, records)
		if r != nil {
			s.installRoster(st, r, now)
		}
		st.applyStatus(reply.GetStatus(), sent, now)
	})
	return nil
}

// decodeConfig returns the configuration that results from applying a reply to
// base.
func decodeConfig(base *config.Snapshot, reply *peer.FetchReply) (*config.Snapshot, []ticket.Record, error) {
	if len(reply.GetSnapshot()) > 0 {
		snap, err := ticket.DecodeSnapshot(reply.GetSnapshot())
		return snap, nil, err
	}
	var records []ticket.Record
	for _, data := range reply.GetRecords() {
		var r ticket.Record
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, nil, errors.Wrap(err, "decode ticket")
		}
		records = append(records, r)
	}
	snap, err := ticket.Replay(base, records)
	return snap, records, err
}

// Fetch implements peer.ControlServer.
func (s *Spreader) Fetch(_ context.Context, req *peer.FetchRequest) (*peer.FetchReply, error) {
	s.mu.Lock()
	now := time.Now()
	reply := &peer.FetchReply{Status: s.state.status(now)}
	snap, r := s.state.config, s.state.roster
	records, kept := s.state.recordsAfter(config.Number(req.GetConfigNumber()))
	s.mu.Unlock()
	var err error
	if !kept {
		if reply.Snapshot, err = json.Marshal(snap); err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
	}
	for _, rec := range records {
		data, err := json.Marshal(rec)
		if err != nil {
			return nil, errors.Wrap(err, "encode ticket")
		}
		reply.Records = append(reply.Records, data)
	}
	if uint64(r.Version) > req.GetRosterVersion() {
		if reply.Roster, err = json.Marshal(r); err != nil {
			return nil, errors.Wrap(err, "encode roster")
		}
	}
	return reply, nil
}

// candidates returns the peers to contact: the roster and the platform's
// membership list. A VM whose addresses differ between the two appears twice.
func (s *Spreader) candidates() []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []vm.VM
	for _, m := range s.state.roster.Members {
		if m.ID != s.opts.Self.ID {
			out = append(out, m)
		}
	}
	for _, m := range s.state.listed {
		v := vm.VM{ID: vm.ID(m.ID), FailureDomain: m.FailureDomain, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress}
		known, ok := s.state.roster.Get(v.ID)
		if v.ID != s.opts.Self.ID && !(ok && known.PeerAddress == v.PeerAddress) {
			out = append(out, v)
		}
	}
	return out
}

// VMs returns the VMs to which callers may be directed. The result is the same
// for all client accounts.
func (s *Spreader) VMs(account.ID) []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := map[vm.ID]bool{}
	for _, m := range s.state.listed {
		leaving[vm.ID(m.ID)] = m.Leaving
	}
	var out []vm.VM
	for _, m := range s.state.roster.Members {
		if !m.Leaving && !leaving[m.ID] {
			out = append(out, m)
		}
	}
	return out
}
