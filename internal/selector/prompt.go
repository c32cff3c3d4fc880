package selector

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/rendezvous"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	// ID names the content of the part.
	ID     string
	Tokens int
}

const (
	// fetchFrom is the length of shared parts, in tokens, from which engines are
	// asked to fetch them from one another: two blocks of an engine's memory.
	fetchFrom = 32
	// tellFrom is the length from which VMs tell each other where parts are. Below it an
	// engine reads the parts about as fast as it looks for them elsewhere, which takes it a
	// millisecond or more by the platform's documentation.
	tellFrom = 256
	// keepFrom is the length from which parts are worth a place in the store of kept cache,
	// a message of their own, and the wait for another request's reading.
	keepFrom = 1024
)

// Prompt is the prompt of a model request as a chain of parts.
type Prompt struct {
	Model  string
	Tokens int
	// EngineTokens is the memory of an engine that may run the request.
	EngineTokens int
	// chain holds, for each part, a hash of it and all parts before it.
	chain []link
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
	return p
}

// ownTokens is the length of the last part.
func (p *Prompt) ownTokens() int {
	if len(p.chain) == 0 {
		return p.Tokens
	}
	return p.chain[len(p.chain)-1].tokens
}

// SharedTokens is the length of the parts that other requests may share: all
// but the last, which is the request's own.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for i := 0; i < len(p.chain)-1; i++ {
		sum += p.chain[i].tokens
	}
	return sum
}

// sharedHash names the shared parts; 0 if there are none.
func (p *Prompt) sharedHash() uint64 {
	if len(p.chain) < 2 {
		return 0
	}
	return p.chain[len(p.chain)-2].hash
}

// SharedKey is the key by which the shared parts are given a store.
func (p *Prompt) SharedKey() rendezvous.Key { return rendezvous.Key(p.sharedHash()) }

// Name names the shared parts for logs, without revealing the prompt.
func (p *Prompt) Name() string {
	if len(p.chain) < 2 {
		return ""
	}
	return strconv.FormatUint(p.sharedHash(), 16)
}

// Fetchable reports whether the shared parts are worth a transfer between
// engines.
func (p *Prompt) Fetchable() bool { return p.SharedTokens() >= fetchFrom }

// Keepable reports whether the shared parts are worth a place in the store and a
// message to other VMs at once.
func (p *Prompt) Keepable() bool { return p.SharedTokens() >= keepFrom }

// Tellable reports whether other VMs are told where the shared parts are, with the next
// digest at the latest.
func (p *Prompt) Tellable() bool { return p.SharedTokens() >= tellFrom }

// Placement tells other VMs that an engine has got the shared parts of a prompt.
type Placement struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Model   string     `json:"m"`
	Weights uint64     `json:"w"`
	// Prefix is the hash of the shared parts, and Tokens their length.
	Prefix uint64 `json:"p"`
	Tokens int    `json:"t"`
	// ReadIn is the time in which the engine is expected to have read them.
	ReadIn time.Duration `json:"r,omitempty"`
}
