package selector

import (
	"sync"
	"time"
)

// shelfKey names shared parts in a store that were read with some weights.
type shelfKey struct {
	store           string
	prefix, weights uint64
}

// Shelf is what this VM believes of the stores of kept cache: the parts that
// engines sent there. A store drops what was used least recently. It is safe for
// concurrent use.
type Shelf struct {
	now   func() time.Time
	mu    sync.Mutex
	parts map[shelfKey]holding
	// told are the parts that other VMs have to hear of.
	told []Kept
}

// Kept tells other VMs that a store has got the shared parts of a prompt.
type Kept struct {
	// Store is the store's address.
	Store   string `json:"s"`
	Prefix  uint64 `json:"p"`
	Weights uint64 `json:"w"`
	Tokens  int    `json:"t"`
}

// NewShelf returns an empty shelf.
func NewShelf(now func() time.Time) *Shelf {
	return &Shelf{now: now, parts: map[shelfKey]holding{}}
}

func keyOf(store string, p *Prompt, weights uint64) shelfKey {
	return shelfKey{store: store, prefix: p.sharedHash(), weights: weights}
}

// Holds returns the shared tokens of the prompt that a store with a capacity in
// tokens holds.
func (s *Shelf) Holds(store string, p *Prompt, weights uint64, capacity int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.parts[keyOf(store, p, weights)]
	if !ok {
		return 0
	}
	sum := 0
	for key, o := range s.parts {
		if key.store == store && o.used.After(x.used) {
			sum += o.tokens
		}
	}
	if float64(sum+x.tokens) > usableMemory*float64(capacity) {
		return 0
	}
	return p.SharedTokens()
}

// Used notes that the parts are fetched from the store.
func (s *Shelf) Used(store string, p *Prompt, weights uint64) {
	s.put(keyOf(store, p, weights), p.SharedTokens())
}

// Saved notes that an engine has read the parts and sends them to the store.
func (s *Shelf) Saved(store string, p *Prompt, weights uint64) {
	key := keyOf(store, p, weights)
	s.put(key, p.SharedTokens())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, Kept{Store: store, Prefix: key.prefix, Weights: weights, Tokens: p.SharedTokens()})
}

// Heard notes what another VM tells.
func (s *Shelf) Heard(k Kept) {
	s.put(shelfKey{store: k.Store, prefix: k.Prefix, weights: k.Weights}, k.Tokens)
}

func (s *Shelf) put(key shelfKey, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) >= maxHoldings {
		s.forgetOldest()
	}
	s.parts[key] = holding{used: s.now(), tokens: tokens}
}

func (s *Shelf) forgetOldest() {
	var oldest shelfKey
	var at time.Time
	for key, x := range s.parts {
		if at.IsZero() || x.used.Before(at) {
			oldest, at = key, x.used
		}
	}
	delete(s.parts, oldest)
}

// Take returns what is to be told since the last call.
func (s *Shelf) Take() []Kept {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.told
	s.told = nil
	return out
}
