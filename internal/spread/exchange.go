package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// fanout is the number of peers contacted in one round of exchanges.
	fanout = 2
	// agingFanout is the number of peers contacted while the evidence is older
	// than agingThreshold.
	agingFanout = 4
	// agingThreshold is the age of the evidence above which a router contacts
	// more peers and may collect attestations.
	agingThreshold = 1500 * time.Millisecond
	// hintMargin is the minimum age difference at which a peer's newer evidence
	// triggers an exchange.
	hintMargin = 1 * time.Second
)

// status returns this router's status at time now.
func (st *state) status(now time.Time) *peer.Status {
	own, target := st.evidence.Head(), st.evidence.Target()
	out := &peer.Status{Vm: string(st.self), ConfigNumber: uint64(own.Number), RosterVersion: uint64(own.Roster)}
	if target != own {
		out.TargetNumber, out.TargetRoster = uint64(target.Number), uint64(target.Roster)
	}
	if at := st.evidence.At(); !at.IsZero() {
		age := uint64(max(0, freshness.Age(at, now)).Microseconds()) + 1
		out.EvidenceAgeUs = &age
	}
	if quietFor, ok := st.supporter.Attest(now); ok {
		us := uint64(quietFor.Microseconds())
		out.QuietForUs = &us
	}
	return out
}

// applyStatus applies the status that a peer returned for a request sent at
// time sent.
func (st *state) applyStatus(p *peer.Status, sent, now time.Time) {
	own := head.Head{Number: config.Number(p.GetConfigNumber()), Roster: head.RosterVersion(p.GetRosterVersion())}
	target := head.Max(own, head.Head{Number: config.Number(p.GetTargetNumber()), Roster: head.RosterVersion(p.GetTargetRoster())})
	if p.EvidenceAgeUs != nil {
		st.observe(own, freshness.Relayed(sent, micros(p.GetEvidenceAgeUs())), now)
	}
	if p.QuietForUs != nil {
		att := freshness.Attestation{QuietFor: micros(p.GetQuietForUs()), Head: target}
		st.attestations.Add(vm.ID(p.GetVm()), att, sent, now)
	}
	st.attest(now)
}

// micros converts microseconds received from a peer to a duration of at most 24
// hours, which prevents overflow.
func micros(us uint64) time.Duration {
	const limit = 24 * time.Hour
	if us > uint64(limit.Microseconds()) {
		return limit
	}
	return time.Duration(us) * time.Microsecond
}

// exchange requests a peer's status and fetches the peer's configuration or
// roster if it is newer. It reports whether the peer replied.
func (s *Spreader) exchange(ctx context.Context, p vm.VM) bool {
	client, err := s.opts.Peers.Control(p.PeerAddress)
	if err != nil {
		s.opts.Log.Warn("peer_unusable", zap.String("peer", string(p.ID)), zap.Error(err))
		return false
	}
	s.mu.Lock()
	request := &peer.ExchangeRequest{Status: s.state.status(time.Now())}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := client.Exchange(callCtx, request)
	if err != nil {
		s.opts.Log.Debug("peer_unreachable", zap.String("peer", string(p.ID)), zap.Error(err))
		return false
	}
	behind := false
	s.update(func(st *state, now time.Time) {
		st.applyStatus(reply.GetStatus(), sent, now)
		own := st.evidence.Head()
		behind = reply.GetStatus().GetConfigNumber() > uint64(own.Number) || reply.GetStatus().GetRosterVersion() > uint64(own.Roster)
	})
	if !behind {
		return true
	}
	if err := s.fetchFromPeer(ctx, p); err != nil {
		s.opts.Log.Info("peer_unread", zap.String("peer", string(p.ID)), zap.Error(err))
	}
	return true
}

// Exchange implements peer.ControlServer. The caller's evidence age is only a
// hint, because the transit time of the request is unknown.
func (s *Spreader) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	s.mu.Lock()
	now := time.Now()
	reply := &peer.ExchangeReply{Status: s.state.status(now)}
	s.mu.Unlock()
	if isNewer(req.GetStatus(), reply.GetStatus()) {
		s.RequestExchange(vm.ID(req.GetStatus().GetVm()))
	}
	return reply, nil
}

// RequestExchange queues a status exchange with a VM, so that whichever of the two is
// outdated can catch up. It never blocks; if the queue is full, the exchange is
// dropped.
func (s *Spreader) RequestExchange(id vm.ID) {
	select {
	case s.hints <- id:
	default:
	}
}

// isNewer reports whether a peer has a newer configuration, a newer roster, or
// evidence that is newer by more than hintMargin.
func isNewer(theirs, own *peer.Status) bool {
	if theirs.GetConfigNumber() > own.GetConfigNumber() || theirs.GetRosterVersion() > own.GetRosterVersion() {
		return true
	}
	if theirs == nil || theirs.EvidenceAgeUs == nil {
		return false
	}
	return own.EvidenceAgeUs == nil || micros(theirs.GetEvidenceAgeUs())+hintMargin < micros(own.GetEvidenceAgeUs())
}

// processHints exchanges status with peers that have shown a newer status.
func (s *Spreader) processHints(ctx context.Context) {
	for {
		select {
		case id := <-s.hints:
			if p, ok := s.findPeer(id); ok {
				s.exchange(ctx, p)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Spreader) findPeer(id vm.ID) (vm.VM, bool) {
	for _, p := range s.candidates() {
		if p.ID == id {
			return p, true
		}
	}
	return vm.VM{}, false
}

// exchangeRandom exchanges status with a few random peers.
func (s *Spreader) exchangeRandom(ctx context.Context) {
	n := fanout
	if s.evidenceAge() > agingThreshold {
		n = agingFanout
	}
	s.exchangeAll(ctx, pickRandom(s.candidates(), n))
}

// exchangeAll exchanges status with the peers, with bounded concurrency, and
// returns those that replied.
func (s *Spreader) exchangeAll(ctx context.Context, peers []vm.VM) []vm.ID {
	const parallel = 32
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replied []vm.ID
	for _, p := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			if s.exchange(ctx, p) {
				mu.Lock()
				replied = append(replied, p.ID)
				mu.Unlock()
			}
			<-slots
		})
	}
	wg.Wait()
	return replied
}

// pickRandom shuffles vms and returns up to n of them.
func pickRandom(vms []vm.VM, n int) []vm.VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(n, len(vms))]
}

// evidenceAge returns the age of the evidence that allows this process to
// serve.
func (s *Spreader) evidenceAge() time.Duration {
	at := s.View().EvidenceAt
	if at.IsZero() {
		return freshness.Bound
	}
	return freshness.Age(at, time.Now())
}

// collectAttestations exchanges status with all peers when the evidence is old.
// If that yields newer evidence, a second round passes it on. Only a few
// routers do so at a time; the number increases with the age of the evidence.
func (s *Spreader) collectAttestations(ctx context.Context) {
	age := s.evidenceAge()
	s.mu.Lock()
	extendable := !s.state.evidence.At().IsZero()
	s.mu.Unlock()
	peers := s.candidates()
	if !extendable || rand.Float64() >= collectProbability(age, len(peers)) {
		return
	}
	s.exchangeAll(ctx, peers)
	if s.evidenceAge() < age {
		s.exchangeAll(ctx, peers)
	}
}

// collectProbability returns the probability that a router with this many peers
// collects attestations in one interval.
func collectProbability(age time.Duration, peers int) float64 {
	collectors := 0.0
	switch {
	case age < agingThreshold:
	case age < 2*agingThreshold:
		collectors = 2
	default:
		collectors = 8
	}
	return min(1, collectors/float64(max(1, peers)))
}
