package selector

import (
	"sync"
	"time"
)

// storeKey identifies shared parts in a KV store that were computed with a weights version.
type storeKey struct {
	store           string
	prefix, weights uint64
}

// StoreIndex is this VM's estimate of the contents of the KV stores: the parts that engines
// have saved there. A store evicts the least recently used parts first. It is safe for
// concurrent use.
type StoreIndex struct {
	now   func() time.Time
	mu    sync.Mutex
	parts map[storeKey]cachedPart
	// unsent holds the saved parts that other VMs have not been sent yet.
	unsent []StoredParts
}

// StoredParts announces to other VMs that a KV store has received the shared parts of a prompt.
type StoredParts struct {
	// Store is the store's address.
	Store   string `json:"s"`
	Prefix  uint64 `json:"p"`
	Weights uint64 `json:"w"`
	Tokens  int    `json:"t"`
}

// NewStoreIndex returns an empty index of the KV stores.
func NewStoreIndex(now func() time.Time) *StoreIndex {
	return &StoreIndex{now: now, parts: map[storeKey]cachedPart{}}
}

func storeKeyFor(store string, p *Prompt, weights uint64) storeKey {
	return storeKey{store: store, prefix: p.sharedHash(), weights: weights}
}

// Holds returns the number of shared tokens of the prompt that a store with a capacity
// in tokens is expected to hold.
func (s *StoreIndex) Holds(store string, p *Prompt, weights uint64, capacity int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.parts[storeKeyFor(store, p, weights)]
	if !ok {
		return 0
	}
	sum := 0
	for key, o := range s.parts {
		if key.store == store && o.lastUsed.After(x.lastUsed) {
			sum += o.tokens
		}
	}
	if float64(sum+x.tokens) > usableMemoryShare*float64(capacity) {
		return 0
	}
	return p.SharedTokens()
}

// RecordFetch records that an engine fetches the parts from the store.
func (s *StoreIndex) RecordFetch(store string, p *Prompt, weights uint64) {
	s.record(storeKeyFor(store, p, weights), p.SharedTokens())
}

// RecordSave records that an engine has finished the prefill of the parts and sends them to the store.
func (s *StoreIndex) RecordSave(store string, p *Prompt, weights uint64) {
	key := storeKeyFor(store, p, weights)
	s.record(key, p.SharedTokens())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent = append(s.unsent, StoredParts{Store: store, Prefix: key.prefix, Weights: weights, Tokens: p.SharedTokens()})
}

// RecordReport records a save that another VM announces.
func (s *StoreIndex) RecordReport(k StoredParts) {
	s.record(storeKey{store: k.Store, prefix: k.Prefix, weights: k.Weights}, k.Tokens)
}

func (s *StoreIndex) record(key storeKey, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) >= maxCachedParts {
		s.evictOldest()
	}
	s.parts[key] = cachedPart{lastUsed: s.now(), tokens: tokens}
}

func (s *StoreIndex) evictOldest() {
	var oldest storeKey
	var at time.Time
	for key, x := range s.parts {
		if at.IsZero() || x.lastUsed.Before(at) {
			oldest, at = key, x.lastUsed
		}
	}
	delete(s.parts, oldest)
}

// TakeUnsent returns the saves to announce to other VMs since the last call.
func (s *StoreIndex) TakeUnsent() []StoredParts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.unsent
	s.unsent = nil
	return out
}
