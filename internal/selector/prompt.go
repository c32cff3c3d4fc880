package selector

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/rendezvous"
)

// Part is a section of a prompt that requests may share.
type Part struct {
	// ID identifies the content of the part.
	ID     string
	Tokens int
}

const (
	// minFetchTokens is the length of the shared parts from which engines are asked to
	// fetch them from one another: two blocks of an engine's memory.
	minFetchTokens = 32
	// minAnnounceTokens is the length of the shared parts from which VMs announce their
	// placement to each other. The prefill of shorter parts is about as fast as the lookup
	// elsewhere, which takes an engine a millisecond or more according to the platform's
	// documentation.
	minAnnounceTokens = 256
	// largePartTokens is the length from which parts are worth space in a KV store, a
	// message of their own, and waiting for the prefill of another request.
	largePartTokens = 1024
)

// Prompt is the prompt of a model request as a chain of parts.
type Prompt struct {
	Model  string
	Tokens int
	// EngineTokens is the memory of an engine that may run the request, in tokens.
	EngineTokens int
	// chain holds, for each part, a hash of that part and all parts before it.
	chain []link
}

type link struct {
	hash   uint64
	tokens int
}

// NewPrompt returns a prompt that consists of the given parts. Prompts of different
// scopes share no cached parts, which separates accounts that must not share a cache.
func NewPrompt(model, scope string, tokens int, parts []Part) *Prompt {
	p := &Prompt{Model: model, Tokens: tokens}
	hash := xxhash.Sum64String(model + "\x00" + scope)
	for _, part := range parts {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], hash)
		hash = xxhash.Sum64String(string(b[:]) + part.ID)
		p.chain = append(p.chain, link{hash: hash, tokens: part.Tokens})
	}
	return p
}

// unsharedTokens returns the length of the last part, which is the request's own.
func (p *Prompt) unsharedTokens() int {
	if len(p.chain) == 0 {
		return p.Tokens
	}
	return p.chain[len(p.chain)-1].tokens
}

// SharedTokens returns the length of the parts that other requests may share: all
// but the last, which is the request's own.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for i := 0; i < len(p.chain)-1; i++ {
		sum += p.chain[i].tokens
	}
	return sum
}

// sharedHash returns the hash that identifies the shared parts; 0 if there are none.
func (p *Prompt) sharedHash() uint64 {
	if len(p.chain) < 2 {
		return 0
	}
	return p.chain[len(p.chain)-2].hash
}

// SharedKey returns the key by which the shared parts are assigned to a KV store.
func (p *Prompt) SharedKey() rendezvous.Key { return rendezvous.Key(p.sharedHash()) }

// Name returns an identifier of the shared parts for logs that doesn't reveal the prompt.
func (p *Prompt) Name() string {
	if len(p.chain) < 2 {
		return ""
	}
	return strconv.FormatUint(p.sharedHash(), 16)
}

// Fetchable reports whether the shared parts are long enough to be transferred
// between engines.
func (p *Prompt) Fetchable() bool { return p.SharedTokens() >= minFetchTokens }

// Storable reports whether the shared parts are long enough to be saved in a KV store
// and to be announced to other VMs at once.
func (p *Prompt) Storable() bool { return p.SharedTokens() >= largePartTokens }

// Announceable reports whether the placement of the shared parts is announced to other
// VMs, at the latest with the next digest.
func (p *Prompt) Announceable() bool { return p.SharedTokens() >= minAnnounceTokens }

// Placement announces to other VMs that an engine has received the shared parts of a prompt.
type Placement struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Model   string     `json:"m"`
	Weights uint64     `json:"w"`
	// Prefix is the hash of the shared parts, and Tokens their length.
	Prefix uint64 `json:"p"`
	Tokens int    `json:"t"`
	// ReadyIn is the expected time until the engine has finished their prefill.
	ReadyIn time.Duration `json:"r,omitempty"`
	// PerToken is the time that the engine took for a token of the prompt, if the prefill is complete
	// and had next to no queue ahead; 0 if it isn't known.
	PerToken time.Duration `json:"k,omitempty"`
}
