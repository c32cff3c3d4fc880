// Package prefix predicts which engines hold the KV cache of a prompt's
// prefix. Prompts are split into blocks of a fixed size; each block's hash covers
// the block and everything before it.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/account"
)

// DefaultBlockTokens is the default size of a block in tokens.
const DefaultBlockTokens = 2048

// BytesPerToken is the mean size of a token in bytes. It is used to split a text
// into blocks without the model's tokenizer.
const BytesPerToken = 4

// checkSeed is the seed of a scope's check; it makes the check independent of the
// scope's root hash.
const checkSeed = 1

// saltBytes is the length to which the SHA-256 sum is truncated for the salt.
const saltBytes = 16

// Hash identifies a block together with all blocks before it, within a Scope.
type Hash uint64

// Scope isolates cache entries: an entry is only used for requests of the same
// client account, model and weights version. The zero Scope matches no request.
type Scope struct {
	salt  string
	seed  uint64
	check uint64
}

// NewScope returns the scope of a client account's requests for one version of
// a model.
func NewScope(id account.ID, model, weightsVersion string) Scope {
	sum := sha256.New()
	for _, part := range []string{string(id), model, weightsVersion} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		sum.Write(size[:])
		sum.Write([]byte(part))
	}
	return scopeOf(hex.EncodeToString(sum.Sum(nil)[:saltBytes]))
}

// scopeOf returns the scope of a salt.
func scopeOf(salt string) Scope {
	var check xxhash.Digest
	check.ResetWithSeed(checkSeed)
	check.WriteString(salt)
	return Scope{salt: salt, seed: xxhash.Sum64String(salt), check: check.Sum64()}
}

// Salt returns the cache_salt that is sent to engines. Engines derive the root of
// their block hashes from it with Root.
func (s Scope) Salt() string { return s.salt }

// Root returns the parent hash of the first block.
func (s Scope) Root() Hash { return Hash(s.seed) }

// Root returns the parent hash of the first block for a cache_salt.
func Root(salt string) Hash { return scopeOf(salt).Root() }

// Extend returns the hash of a block whose preceding block has the hash parent.
func Extend(parent Hash, block string) Hash {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(parent))
	d.WriteString(block)
	return Hash(d.Sum64())
}

// Chain appends the hashes of the full blocks of text to buf. A partial last
// block is omitted, because engines cache only full blocks.
func Chain(root Hash, text string, blockTokens int, buf []Hash) []Hash {
	size := blockTokens * BytesPerToken
	for parent := root; len(text) >= size; text = text[size:] {
		parent = Extend(parent, text[:size])
		buf = append(buf, parent)
	}
	return buf
}
