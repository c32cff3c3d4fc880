package poison

import (
	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/crashcause"
)

const (
	// minPartBytes is the length of the shortest prompt prefix that is suspected, and the least
	// difference between the lengths of two.
	minPartBytes = 256
	// partGrowth is the divisor that gives the difference of the lengths of two prefixes from the
	// length of the shorter one. Requests that share a prompt prefix therefore share a suspected
	// prefix of at least eight ninths of its length.
	partGrowth = 8
	// maxParts bounds the prefixes of a prompt; the longest then has more than a megabyte.
	maxParts = 64
)

// NewTraits returns the traits of a model request: its body, and prefixes of its prompt. Scope
// names the client account, the model and the version of its weights.
func NewTraits(scope, prompt string, body []byte) crashcause.Traits {
	return crashcause.Traits{Content: crashcause.NewTrait(body, scope, "body"), Parts: promptParts(scope, prompt)}
}

// promptParts returns the traits of the prefixes of a prompt, the shortest first.
func promptParts(scope, prompt string) []crashcause.Trait {
	var parts []crashcause.Trait
	var h xxhash.Digest
	h.ResetWithSeed(xxhash.Sum64String(scope))
	hashed := 0
	for end := minPartBytes; end <= len(prompt) && len(parts) < maxParts; end += max(minPartBytes, end/partGrowth) {
		_, _ = h.WriteString(prompt[hashed:end])
		hashed = end
		parts = append(parts, crashcause.Trait(h.Sum64()))
	}
	return parts
}
