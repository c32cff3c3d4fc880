package selector

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/rendezvous"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	// ID names the content of the part.
	ID     string
	Tokens int
}

// Prompt is the prompt of a model request as a chain of parts.
type Prompt struct {
	Model  string
	Tokens int
	// chain holds, for each part, a hash of it and all parts before it.
	chain []link
	// home is the key by which VMs agree on a server without talking.
	home rendezvous.Key
}

type link struct {
	hash   uint64
	tokens int
}

// NewPrompt returns the prompt with these parts. Scope separates the caches of
// accounts that share nothing.
func NewPrompt(model, scope string, tokens int, parts []Part) *Prompt {
	p := &Prompt{Model: model, Tokens: tokens}
	hash := xxhash.Sum64String(model + "\x00" + scope)
	for _, part := range parts {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], hash)
		hash = xxhash.Sum64String(string(b[:]) + part.ID)
		p.chain = append(p.chain, link{hash: hash, tokens: part.Tokens})
	}
	if len(parts) > 1 {
		// The last part is the request's own.
		p.home = rendezvous.Key(p.chain[len(parts)-2].hash)
	} else {
		p.home = rendezvous.Key(hash)
	}
	return p
}

// Home returns the rank of a server for the prompt; the highest is its home.
func (p *Prompt) Home(e *fleet.Entry) uint64 { return p.home.Score(string(e.ID)) }

// SharedTokens is the length of the parts that other requests may share.
func (p *Prompt) SharedTokens() float64 {
	sum := 0
	for i := 0; i < len(p.chain)-1; i++ {
		sum += p.chain[i].tokens
	}
	return float64(sum)
}

// holdings is what this VM believes of an engine's cache: the parts that it
// sent there, since the engine's weights last changed.
type holdings struct {
	weights uint64
	parts   map[uint64]time.Time
}

// maxHoldings bounds the parts remembered of one engine.
const maxHoldings = 4096

func (h *holdings) sync(p *Prompt, e *fleet.Entry) {
	if w := e.Weights[p.Model]; h.parts == nil || w != h.weights || len(h.parts) > maxHoldings {
		h.weights, h.parts = w, map[uint64]time.Time{}
	}
}

// expect returns how many leading tokens of the prompt the engine holds.
func (h *holdings) expect(p *Prompt, e *fleet.Entry) float64 {
	h.sync(p, e)
	sum := 0
	for _, l := range p.chain {
		if _, ok := h.parts[l.hash]; !ok {
			break
		}
		sum += l.tokens
	}
	return float64(sum)
}

func (h *holdings) add(p *Prompt, e *fleet.Entry, now time.Time) {
	h.sync(p, e)
	for _, l := range p.chain {
		h.parts[l.hash] = now
	}
}

const (
	// homeCredit and secondCredit are the chances that the first and the second
	// home of a prompt hold its shared parts although this VM never sent them
	// there: other VMs choose the same homes.
	homeCredit   = 0.8
	secondCredit = 0.4
)

// CreditHomes raises the expected cached tokens of the prompt's homes among the
// candidates. It makes VMs that know nothing of one another's requests choose
// alike.
func CreditHomes(p *Prompt, candidates []Candidate) {
	first, second := -1, -1
	for i := range candidates {
		if candidates[i].Behind > 0 {
			continue
		}
		switch score := p.Home(candidates[i].Entry); {
		case first < 0 || score > p.Home(candidates[first].Entry):
			first, second = i, first
		case second < 0 || score > p.Home(candidates[second].Entry):
			second = i
		}
	}
	shared := p.SharedTokens()
	if first >= 0 {
		candidates[first].CachedTokens = max(candidates[first].CachedTokens, homeCredit*shared)
	}
	if second >= 0 {
		candidates[second].CachedTokens = max(candidates[second].CachedTokens, secondCredit*shared)
	}
}
