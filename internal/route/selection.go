package route

import (
	"math/rand"
	"time"

	"papayaspan.dev/papayaspan/internal/prefix"
)

// selection collects the candidates for one request.
type selection struct {
	chooser *Chooser
	fleet   *Fleet
	request *Request
	now     time.Time
	list    []Candidate
	matches []prefix.Match
}

// addRanked adds the rendezvous choices of the prompt's prefix.
func (s *selection) addRanked(p *pool) {
	chain := s.request.Chain
	if len(chain) == 0 {
		return
	}
	key := chain[min(len(chain), affinityDepth)-1]
	for rank, i := range p.ranked[splitMix64(uint64(key))%buckets] {
		if i >= 0 {
			s.add(i, rank)
		}
	}
}

// addHolders adds the engines that, by the index, hold a part of the prefix.
func (s *selection) addHolders(p *pool) {
	s.matches = s.chooser.Index.Lookup(s.request.Scope, s.request.Chain, s.now, s.matches)
	for _, m := range s.matches {
		i := s.fleet.indexOfSlot(m.Slot)
		if i < 0 || !p.contains(i) {
			continue
		}
		if c := s.add(i, Unranked); c != nil {
			c.HitBlocks, c.ReadyBlocks, c.Age = m.Blocks, m.Ready, m.Age
		}
	}
}

// addSampled adds engines drawn at random.
func (s *selection) addSampled(p *pool, rng *rand.Rand) {
	if len(p.members) <= randomCandidates {
		s.addAll(p)
		return
	}
	for range randomCandidates {
		s.add(p.members[rng.Intn(len(p.members))], Unranked)
	}
}

// addAll adds every engine of the pool that the filters allow.
func (s *selection) addAll(p *pool) {
	for _, i := range p.members {
		s.add(i, Unranked)
	}
}

// add returns the candidate for engine i, which it adds if it is not in the list
// yet, or nil if a filter drops the engine.
func (s *selection) add(i int32, rank int) *Candidate {
	e := &s.fleet.engines[i]
	for j := range s.list {
		if s.list[j].Engine == e {
			return &s.list[j]
		}
	}
	for _, f := range s.chooser.Filters {
		if !f.Allows(s.request, e) {
			return nil
		}
	}
	s.list = append(s.list, Candidate{
		Engine: e,
		Rank:   rank,
		Load:   e.Load.Estimate(s.now),
	})
	return &s.list[len(s.list)-1]
}
