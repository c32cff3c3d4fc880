// Package rendezvous implements rendezvous hashing: it scores members for keys, so that
// VMs with the same members choose the same one without communication (Thaler and
// Ravishankar, 1996).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key is a key that members are scored for.
type Key uint64

// NewKey returns the key of a text.
func NewKey(text string) Key { return Key(xxhash.Sum64String(text)) }

// Score returns the score of a member for the key. The member with the highest score is
// chosen.
func (k Key) Score(member string) uint64 {
	return mix(uint64(k) ^ xxhash.Sum64String(member))
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
