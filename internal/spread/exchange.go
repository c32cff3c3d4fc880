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
	// fanout is the number of peers of one round of exchanges.
	fanout = 2
	// eagerFanout is the number while the evidence is getting old.
	eagerFanout = 4
	// uneasyAge is the age of evidence from which a router does more.
	uneasyAge = 1500 * time.Millisecond
	// hintMargin is how much newer a peer's evidence must be to be asked for.
	hintMargin = 1 * time.Second
)

// status describes this router at this time.
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

// takeStatus takes in the status that a peer gave in reply to a request sent at
// sent.
func (st *state) takeStatus(p *peer.Status, sent, now time.Time) {
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

// micros converts microseconds from the network, without overflow.
func micros(us uint64) time.Duration {
	const most = 24 * time.Hour
	if us > uint64(most.Microseconds()) {
		return most
	}
	return time.Duration(us) * time.Microsecond
}

// exchange asks one peer for its status and fetches from it what it has more. It
// reports whether the peer answered.
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
		st.takeStatus(reply.GetStatus(), sent, now)
		own := st.evidence.Head()
		behind = reply.GetStatus().GetConfigNumber() > uint64(own.Number) || reply.GetStatus().GetRosterVersion() > uint64(own.Roster)
	})
	if !behind {
		return true
	}
	if err := s.fetchFrom(ctx, p); err != nil {
		s.opts.Log.Info("peer_unread", zap.String("peer", string(p.ID)), zap.Error(err))
	}
	return true
}

// Exchange implements peer.ControlServer. What the caller says about its own
// evidence is only a hint, because the time that the request took is not
// known.
func (s *Spreader) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	s.mu.Lock()
	now := time.Now()
	reply := &peer.ExchangeReply{Status: s.state.status(now)}
	s.mu.Unlock()
	if better(req.GetStatus(), reply.GetStatus()) {
		s.Tell(vm.ID(req.GetStatus().GetVm()))
	}
	return reply, nil
}

// Tell exchanges status with a VM soon, so that whichever of the two is behind
// learns of it. It never blocks.
func (s *Spreader) Tell(id vm.ID) {
	select {
	case s.hints <- id:
	default:
	}
}

// better reports whether a peer's status shows more than our own.
func better(theirs, own *peer.Status) bool {
	if theirs.GetConfigNumber() > own.GetConfigNumber() || theirs.GetRosterVersion() > own.GetRosterVersion() {
		return true
	}
	if theirs == nil || theirs.EvidenceAgeUs == nil {
		return false
	}
	return own.EvidenceAgeUs == nil || micros(theirs.GetEvidenceAgeUs())+hintMargin < micros(own.GetEvidenceAgeUs())
}

// followHints exchanges with peers that turned out to know more.
func (s *Spreader) followHints(ctx context.Context) {
	for {
		select {
		case id := <-s.hints:
			if p, ok := s.find(id); ok {
				s.exchange(ctx, p)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Spreader) find(id vm.ID) (vm.VM, bool) {
	for _, p := range s.candidates() {
		if p.ID == id {
			return p, true
		}
	}
	return vm.VM{}, false
}

// exchangeSome exchanges with a few random peers.
func (s *Spreader) exchangeSome(ctx context.Context) {
	n := fanout
	if s.evidenceAge() > uneasyAge {
		n = eagerFanout
	}
	s.exchangeAll(ctx, pick(s.candidates(), n))
}

// exchangeAll exchanges with the peers, some at a time, and returns those that
// answered.
func (s *Spreader) exchangeAll(ctx context.Context, peers []vm.VM) []vm.ID {
	const parallel = 32
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answered []vm.ID
	for _, p := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			if s.exchange(ctx, p) {
				mu.Lock()
				answered = append(answered, p.ID)
				mu.Unlock()
			}
			<-slots
		})
	}
	wg.Wait()
	return answered
}

// pick returns up to n random elements.
func pick(vms []vm.VM, n int) []vm.VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(n, len(vms))]
}

// evidenceAge returns the age of the evidence that lets this process serve.
func (s *Spreader) evidenceAge() time.Duration {
	at := s.View().EvidenceAt
	if at.IsZero() {
		return freshness.Bound
	}
	return freshness.Age(at, time.Now())
}

// collect gathers attestations from the whole roster when the evidence is
// getting old, and then tells the others that there is newer evidence here.
// Few routers do so at a time: the older the evidence, the more.
func (s *Spreader) collect(ctx context.Context) {
	age := s.evidenceAge()
	s.mu.Lock()
	extendable := !s.state.evidence.At().IsZero()
	s.mu.Unlock()
	peers := s.candidates()
	if !extendable || rand.Float64() >= collectChance(age, len(peers)) {
		return
	}
	s.exchangeAll(ctx, peers)
	if s.evidenceAge() < age {
		s.exchangeAll(ctx, peers)
	}
}

// collectChance returns the probability with which a router with this many
// peers collects in one interval.
func collectChance(age time.Duration, peers int) float64 {
	collectors := 0.0
	switch {
	case age < uneasyAge:
	case age < 2*uneasyAge:
		collectors = 2
	default:
		collectors = 8
	}
	return min(1, collectors/float64(max(1, peers)))
}
